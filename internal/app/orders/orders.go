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
	fold lease.State
	// started maps the ids of this router's claims to when their append began.
	started map[string]time.Time
	// observed is when the claim in force was read, or when this router began to
	// read while it has seen none.
	observed time.Time
	// heldUntil is when this router must stop giving orders; zero without lease.
	heldUntil time.Time
	// tenure is the offset of the first claim of this router's present tenure.
	tenure port.Offset
	// settled is when engines that ignore fencing tokens may be ordered.
	settled time.Time

	// survey is used by Run only.
	survey survey
}

// New returns a manager; Observe must be given the records of the stream of
// orders from its last Tail records on.
func New(deps Deps) *Manager {
	return &Manager{deps: deps, started: map[string]time.Time{}, observed: deps.Clock.Now()}
}

// Tail is how many records before the end of the stream a reader may start.
const Tail = 16

// Observe folds a record of the stream of orders.
func (m *Manager) Observe(r port.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	begun, mine := m.started[r.ID]
	delete(m.started, r.ID)
	before, _ := m.fold.Current()
	if !m.fold.Apply(r) {
		return
	}
	now := m.deps.Clock.Now()
	m.observed, m.heldUntil = now, time.Time{}
	if !mine {
		return
	}
	m.heldUntil = lease.HeldUntil(begun, leaseTTL)
	if before.Holder != m.deps.Holder {
		m.tenure, m.settled = r.Offset, now.Add(orderTimeout)
	}
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
	if token, held := m.held(); held {
		m.reconcile(ctx, token)
	}
}

// claimDue says whether to claim: to renew past half of the lease, or to take
// over a lease that has run out.
func (m *Manager) claimDue() (lease.Claim, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	claim := lease.Claim{Holder: m.deps.Holder, After: m.fold.LastOffset(), TTLMs: leaseTTL.Milliseconds()}
	now := m.deps.Clock.Now()
	if now.Before(m.heldUntil) {
		return claim, m.heldUntil.Sub(now) < leaseTTL/2
	}
	ttl := leaseTTL
	if current, known := m.fold.Current(); known {
		ttl = current.TTL()
	}
	return claim, !now.Before(lease.ClaimableAt(m.observed, ttl))
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
	_, err = m.deps.Log.Append(ctx, port.StreamOrders, []port.Record{{ID: id, Data: data}})
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
	current, known := m.fold.Current()
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
