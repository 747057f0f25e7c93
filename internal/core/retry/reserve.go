package retry

import (
	"sync"
	"time"
)

// reserveFor bounds a reservation whose holder does not release it. Broken streams of
// a crash end within the same time, so a request that ran longer is past the place.
const reserveFor = sameCrash

// Arbiter keeps crash suspects of different routers apart. Calls may block for the
// time of one message.
type Arbiter interface {
	// Reserve reports whether the suspect may run on the target now. It returns true
	// when nobody can be asked: a cut must not stop requests.
	Reserve(target string, fp Fingerprint) bool
	// Release gives the target back. It does not wait.
	Release(target string, fp Fingerprint)
}

// Reservations are the targets on which a suspect runs alone, as the router that
// decides for them knows. A crash then has one suspect over all routers. It is safe
// for concurrent use.
type Reservations struct {
	mu   sync.Mutex
	held map[string]reservation
}

type reservation struct {
	fp    Fingerprint
	until time.Time
}

// NewReservations returns an empty set.
func NewReservations() *Reservations { return &Reservations{held: map[string]reservation{}} }

// Reserve gives the target to the suspect unless another one has it.
func (r *Reservations) Reserve(now time.Time, target string, fp Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for t, h := range r.held {
		if !now.Before(h.until) {
			delete(r.held, t)
		}
	}
	if h, taken := r.held[target]; taken && h.fp != fp {
		return false
	}
	r.held[target] = reservation{fp: fp, until: now.Add(reserveFor)}
	return true
}

// Release ends the suspect's reservation.
func (r *Reservations) Release(target string, fp Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held[target].fp == fp {
		delete(r.held, target)
	}
}
