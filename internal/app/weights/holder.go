package weights

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"mimosaseam.example/mimosaseam/internal/core/lease"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// claimSpread divides the first claims of the routers, so that mostly one
	// claims and the others read its claim.
	claimSpread = 400 * time.Millisecond
	// holderHeadStart lets the router that held the lease last go on with it.
	holderHeadStart = 300 * time.Millisecond
	// leaseDivisor makes a claim shorter than the time within which two holders
	// must not take turns.
	leaseDivisor = 2
	readLimit    = 64 // records of one read of claims
)

// ttl is the duration of a claim.
func (m *Manager) ttl() time.Duration { return m.TurnTime / leaseDivisor }

// mayClaimOrHold reports whether this router holds the lease, after claiming it
// when it is free.
func (m *Manager) mayClaimOrHold(ctx context.Context, named time.Time) bool {
	now := m.Clock.Now()
	if left := m.heldFor(now); left > 0 {
		if left < m.ttl()/2 {
			m.claim(ctx)
		}
		return m.heldFor(m.Clock.Now()) > 0
	}
	if now.Before(named.Add(m.turn())) || !m.free(now) {
		return false
	}
	if err := m.read(ctx); err != nil {
		m.Logger.Warn("lease not read", "error", err)
		return false
	}
	if !m.free(m.Clock.Now()) {
		return false
	}
	m.claim(ctx)
	return m.heldFor(m.Clock.Now()) > 0
}

// heldFor returns for how long the lease is still held.
func (m *Manager) heldFor(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heldUntil.Sub(now)
}

// turn is how long this router leaves the first claim to others.
func (m *Manager) turn() time.Duration {
	if current, known := m.fold.Current(); known && current.Holder == m.Holder {
		return 0
	}
	spread := time.Duration(xxhash.Sum64String(m.Holder) % uint64(claimSpread))
	if _, known := m.fold.Current(); !known {
		return spread
	}
	return holderHeadStart + spread
}

// free reports whether the claim in force has run out and, where targets do not
// check fencing tokens, its holder can have given no order for the time within
// which holders must not take turns.
func (m *Manager) free(now time.Time) bool {
	current, known := m.fold.Current()
	if !known || current.Holder == m.Holder {
		return true
	}
	free := lease.ClaimableAt(m.observed, current.TTL())
	if !m.Fenced {
		free = free.Add(m.TurnTime)
	}
	return !now.Before(free)
}

// read folds in the claims that were appended since.
func (m *Manager) read(ctx context.Context) error {
	for {
		batch, err := m.Log.Read(ctx, port.StreamOrders, m.next, readLimit, 0)
		var expired *port.ExpiredError
		if errors.As(err, &expired) && expired.Oldest > m.next {
			m.next = expired.Oldest
			continue
		}
		if err != nil {
			return err
		}
		for _, r := range batch.Records {
			if m.fold.Apply(r) {
				m.observed = m.Clock.Now()
				current, _ := m.fold.Current()
				m.Logger.Info("lease", "holder", current.Holder, "fencing", current.Offset)
			}
		}
		m.next = batch.Next
		if len(batch.Records) < readLimit {
			return nil
		}
	}
}

// claim appends a claim. It wins when it directly follows what was read. A claim
// whose answer is lost is read back at the next step.
func (m *Manager) claim(ctx context.Context) {
	data, err := lease.Encode(lease.Claim{Holder: m.Holder, After: m.next - 1, TTLMs: m.ttl().Milliseconds()})
	if err != nil {
		m.Logger.Error("lease claim not encoded", "error", err)
		return
	}
	begun := m.Clock.Now()
	record := port.Record{ID: uuid.NewString(), Data: data}
	offset, err := m.Log.Append(ctx, port.StreamOrders, []port.Record{record})
	if err != nil {
		m.Logger.Warn("lease not claimed", "error", err)
		if err := m.read(ctx); err != nil {
			m.Logger.Warn("lease not read", "error", err)
		}
		return
	}
	if offset != m.next {
		m.setHeld(0, time.Time{})
		m.Logger.Info("lease lost to another claim", "offset", offset, "expected", m.next)
		if err := m.read(ctx); err != nil {
			m.Logger.Warn("lease not read", "error", err)
		}
		return
	}
	record.Offset = offset
	m.fold.Apply(record)
	m.next, m.observed = offset+1, m.Clock.Now()
	m.setHeld(offset, lease.HeldUntil(begun, m.ttl()))
	m.Logger.Info("lease claimed", "fencing", offset, "held_ms", m.heldFor(m.Clock.Now()).Milliseconds())
}

// lease returns the fencing token while the lease is held.
func (m *Manager) lease(now time.Time) (port.Offset, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.token, now.Before(m.heldUntil)
}

func (m *Manager) setHeld(token port.Offset, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.token, m.heldUntil = token, until
}
