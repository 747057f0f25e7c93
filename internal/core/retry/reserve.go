package retry

import (
	"sync"
	"time"
)

// reservationTTL is the lifetime of a reservation that is not released. Streams broken
// by a crash end within the same time, so a request that has run longer is past the
// point of the crash.
const reservationTTL = crashDedupWindow

// Arbiter prevents suspects of different routers from running on the same target.
// Calls may block for one round trip.
type Arbiter interface {
	// Reserve reports whether the suspect may run on the target now. It returns true
	// when the deciding router is unreachable: a network partition must not block
	// requests.
	Reserve(target string, fp Fingerprint) bool
	// Release ends the reservation of the target. It does not block.
	Release(target string, fp Fingerprint)
}

// Reservations holds the targets that are reserved for a single suspect, on the router
// that decides for these targets. It ensures that a crash has only one suspect across
// all routers. It is safe for concurrent use.
type Reservations struct {
	mu       sync.Mutex
	byTarget map[string]reservation
}

type reservation struct {
	fp      Fingerprint
	expires time.Time
}

// NewReservations returns a Reservations without entries.
func NewReservations() *Reservations { return &Reservations{byTarget: map[string]reservation{}} }

// Reserve reserves the target for the suspect unless another suspect holds it.
func (r *Reservations) Reserve(now time.Time, target string, fp Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for t, h := range r.byTarget {
		if !now.Before(h.expires) {
			delete(r.byTarget, t)
		}
	}
	if h, taken := r.byTarget[target]; taken && h.fp != fp {
		return false
	}
	r.byTarget[target] = reservation{fp: fp, expires: now.Add(reservationTTL)}
	return true
}

// Release ends the suspect's reservation.
func (r *Reservations) Release(target string, fp Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byTarget[target].fp == fp {
		delete(r.byTarget, target)
	}
}
