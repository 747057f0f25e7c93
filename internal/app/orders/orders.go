// Package orders brings model engines to the model and weights version that
// the configuration asks for. Only the holder of a lease gives orders.
package orders

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"

	"mimosaseam.example/mimosaseam/internal/core/lease"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	leaseName    = "orders"
	leaseTTL     = 15 * time.Second
	tickInterval = time.Second
	// orderTimeout bounds one order. A new holder waits it out before it orders
	// engines that do not check fencing tokens, because the old holder may have
	// sent an order just before its lease ended.
	orderTimeout = 5 * time.Second
	stateTimeout = 2 * time.Second
)

// Desired is what one target should serve.
type Desired struct {
	Pool           string
	Target         string
	Address        string
	Model          string
	WeightsVersion string
	ChecksFencing  bool
}

// Deps are what the manager needs from outside.
type Deps struct {
	Log    port.Log
	Engine port.Engine
	// Weights grants downloads under the store's rate limit. Optional.
	Weights port.WeightStore
	Clock   port.Clock
	Logger  *slog.Logger
	// Holder identifies this life of the router.
	Holder string
	// Desired returns the targets of all engine pools.
	Desired func() []Desired
}

// Manager competes for the lease and, while it holds it, gives orders.
type Manager struct {
	deps Deps

	mu   sync.Mutex
	fold *lease.Fold
	// started maps the ids of this router's claims to when their append began.
	started map[string]time.Time
	// observed is when the claim in force was read.
	observed time.Time
	// heldUntil is when this router must stop giving orders; zero without lease.
	heldUntil time.Time
	// settled is when engines that ignore fencing tokens may be ordered.
	settled time.Time
}

// New returns a manager; Observe must be given the records of the fleet stream.
func New(deps Deps) *Manager {
	return &Manager{deps: deps, fold: lease.NewFold(), started: map[string]time.Time{}}
}

// Observe folds a record of the fleet stream; records of other kinds are ignored.
func (m *Manager) Observe(r port.Record) {
	claim, err := lease.Decode(r.Data)
	if err != nil || claim.Name != leaseName {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	before, hadBefore := m.fold.Current(leaseName)
	if !m.fold.Apply(r.Offset, claim) {
		delete(m.started, r.ID)
		return
	}
	now := m.deps.Clock.Now()
	m.observed, m.heldUntil = now, time.Time{}
	if begun, mine := m.started[r.ID]; mine && claim.Holder == m.deps.Holder {
		m.heldUntil = lease.HeldUntil(begun, leaseTTL)
		if hadBefore && before.Holder != m.deps.Holder {
			m.settled = now.Add(orderTimeout)
		}
	}
	delete(m.started, r.ID)
}

// Run competes for the lease and gives orders until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			m.step(ctx)
		}
	}
}

func (m *Manager) step(ctx context.Context) {
	if claim, due := m.claimDue(); due {
		m.claim(ctx, claim)
	}
	if _, held := m.held(); held {
		m.reconcile(ctx)
	}
}

// claimDue says whether to claim: to renew past half of the lease, or to take
// over a lease that has run out.
func (m *Manager) claimDue() (lease.Claim, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	claim := lease.Claim{Name: leaseName, Holder: m.deps.Holder, TTLMs: leaseTTL.Milliseconds()}
	current, known := m.fold.Current(leaseName)
	if !known {
		return claim, len(m.started) == 0
	}
	claim.Replaces = current.Offset
	now := m.deps.Clock.Now()
	if now.Before(m.heldUntil) {
		return claim, m.heldUntil.Sub(now) < leaseTTL/2
	}
	return claim, !now.Before(lease.FreeAt(m.observed, current.TTL()))
}

// claim appends a claim. Whether it won is learned by reading the stream, so a
// lost answer needs no handling of its own.
func (m *Manager) claim(ctx context.Context, c lease.Claim) {
	data, err := lease.Encode(c)
	if err != nil {
		m.deps.Logger.Error("lease claim not encoded", "error", err)
		return
	}
	id := uuid.NewString()
	m.mu.Lock()
	m.started[id] = m.deps.Clock.Now()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	_, err = m.deps.Log.Append(ctx, port.StreamFleet, []port.Record{{ID: id, Data: data}})
	var unknown *port.UnknownOutcomeError
	if err != nil && !errors.As(err, &unknown) {
		m.mu.Lock()
		delete(m.started, id)
		m.mu.Unlock()
	}
}

// held returns the fencing token while the lease is valid by this router's clock.
func (m *Manager) held() (port.Offset, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current, known := m.fold.Current(leaseName)
	if !known || current.Holder != m.deps.Holder || !m.deps.Clock.Now().Before(m.heldUntil) {
		return 0, false
	}
	return current.Offset, true
}

// Holding reports whether this router holds the lease.
func (m *Manager) Holding() bool {
	_, held := m.held()
	return held
}

func (m *Manager) hasSettled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.deps.Clock.Now().Before(m.settled)
}

// giveUp stops giving orders until a new claim wins.
func (m *Manager) giveUp() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heldUntil = time.Time{}
}
