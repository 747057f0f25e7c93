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
	// claimJitter spreads the first claims of the routers, so that usually one router
	// claims the lease and the others read its claim.
	claimJitter = 400 * time.Millisecond
	// holderHeadStart is how long the other routers leave the lease to its last holder.
	holderHeadStart = 300 * time.Millisecond
	// lateClaim is the time without progress of a rollout after which a router claims the
	// lease that is no candidate: all candidates seem to have failed.
	lateClaim = 5 * time.Second
	// leaseDivisor makes a claim shorter than the handover interval.
	leaseDivisor = 2
	readLimit    = 64 // records per read of the claims
)

// ttl is the duration of a claim.
func (m *Manager) ttl() time.Duration { return m.HandoverInterval / leaseDivisor }

// ensureLease reports whether this router holds the lease. It claims the lease if it is
// free, and renews its own before it expires.
func (m *Manager) ensureLease(ctx context.Context, announced time.Time) bool {
	now := m.Clock.Now()
	if left := m.heldFor(now); left > 0 {
		if left < m.ttl()/2 {
			m.claim(ctx)
		}
		return m.heldFor(m.Clock.Now()) > 0
	}
	if now.Before(announced.Add(m.claimDelay(announced))) || !m.leaseFree(now) {
		return false
	}
	if err := m.readClaims(ctx); err != nil {
		m.Logger.Warn("lease not read", "error", err)
		return false
	}
	if !m.leaseFree(m.Clock.Now()) {
		return false
	}
	m.claim(ctx)
	return m.heldFor(m.Clock.Now()) > 0
}

// followHistory gives up a lease of an earlier history of the log: another router may hold
// one of the newest.
func (m *Manager) followHistory() {
	if m.History == nil || m.History() == m.logHistory {
		return
	}
	old := m.logHistory
	m.logHistory, m.restored = m.History(), m.Clock.Now()
	held := m.heldFor(m.restored) > 0
	m.setHeld(0, time.Time{})
	if old > 0 || held { // otherwise the first response of the log told it
		m.Logger.Warn("log history changed", "stream", port.StreamOrders, "old", old, "new", m.logHistory, "lease_given_up", held)
	}
}

// heldFor returns the remaining time of this router's lease.
func (m *Manager) heldFor(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heldUntil.Sub(now)
}

// claimDelay returns how long this router leaves the claim to others.
func (m *Manager) claimDelay(announced time.Time) time.Duration {
	if current, known := m.claims.Current(); known && current.Holder == m.Holder {
		return 0
	}
	if m.Candidate != nil && !m.Candidate() {
		return lateClaim + max(0, m.progressed.Sub(announced))
	}
	spread := time.Duration(xxhash.Sum64String(m.Holder) % uint64(claimJitter))
	if _, known := m.claims.Current(); !known {
		return spread
	}
	return holderHeadStart + spread
}

// leaseFree reports whether the current claim has expired. Where targets do not check
// fencing tokens, its holder must also have been unable to give orders for the handover
// interval, and so must the holder of a claim that a restored log has lost, or that was dropped
// before this router read it.
func (m *Manager) leaseFree(now time.Time) bool {
	for _, lost := range []time.Time{m.restored, m.claimsLost} {
		if !m.TargetsCheckFencing && !lost.IsZero() && now.Before(lease.ClaimableAt(lost, m.ttl()).Add(m.HandoverInterval)) {
			return false
		}
	}
	current, known := m.claims.Current()
	if !known || current.Holder == m.Holder {
		return true
	}
	free := lease.ClaimableAt(m.observed, current.TTL())
	if !m.TargetsCheckFencing {
		free = free.Add(m.HandoverInterval)
	}
	return !now.Before(free)
}

// readClaims applies the claims that were appended since the last read.
func (m *Manager) readClaims(ctx context.Context) error {
	for {
		batch, err := m.Log.Read(ctx, port.StreamOrders, m.next, readLimit, 0)
		var expired *port.ExpiredError
		if errors.As(err, &expired) && expired.Oldest > m.next {
			// The claims that were dropped unread may include the one in force.
			m.next, m.claimsLost = expired.Oldest, m.Clock.Now()
			m.Logger.Info("lease claims dropped unread", "from", expired.From, "oldest", expired.Oldest)
			continue
		}
		if err != nil {
			return err
		}
		for _, r := range batch.Records {
			if m.claims.Apply(r) {
				m.observed = m.Clock.Now()
				current, _ := m.claims.Current()
				m.Logger.Info("lease", "holder", current.Holder, "fencing", current.Offset)
			}
		}
		m.next = batch.Next
		if batch.ReachesEnd() {
			return nil
		}
	}
}

// claim appends a claim to the log. It takes effect if it directly follows the last
// record that was read. A claim with a lost response is read back at the next step.
func (m *Manager) claim(ctx context.Context) {
	data, err := lease.Encode(lease.Claim{Holder: m.Holder, After: m.next - 1, TTLMs: m.ttl().Milliseconds()})
	if err != nil {
		m.Logger.Error("cannot encode lease claim", "error", err)
		return
	}
	begun := m.Clock.Now()
	record := port.Record{ID: uuid.NewString(), Data: data}
	offset, err := m.Log.Append(ctx, port.StreamOrders, []port.Record{record})
	if err != nil {
		m.Logger.Warn("lease not claimed", "error", err)
		if err := m.readClaims(ctx); err != nil {
			m.Logger.Warn("lease not read", "error", err)
		}
		return
	}
	if offset != m.next {
		m.setHeld(0, time.Time{})
		m.Logger.Info("lease lost to another claim", "offset", offset, "expected", m.next)
		if err := m.readClaims(ctx); err != nil {
			m.Logger.Warn("lease not read", "error", err)
		}
		return
	}
	record.Offset = offset
	m.claims.Apply(record)
	m.next, m.observed = offset+1, m.Clock.Now()
	m.setHeld(offset, lease.HeldUntil(begun, m.ttl()))
	m.Logger.Info("lease claimed", "fencing", offset, "held_ms", m.heldFor(m.Clock.Now()).Milliseconds())
}

// fencingToken returns the fencing token and whether the lease is held.
func (m *Manager) fencingToken(now time.Time) (port.Offset, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.History != nil && m.History() != m.token.History() {
		return m.token, false
	}
	return m.token, now.Before(m.heldUntil)
}

func (m *Manager) setHeld(token port.Offset, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.token, m.heldUntil = token, until
}
