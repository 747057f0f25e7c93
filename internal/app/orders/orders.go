// Package orders reconciles model engines with the model and weights version in
// the configuration. Only the holder of a lease sends orders.
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
	// orderTimeout bounds one order. A new holder waits this long before it sends
	// orders to engines that do not check fencing tokens, because the previous
	// holder may have sent an order just before its lease expired.
	orderTimeout = 5 * time.Second
	stateTimeout = 2 * time.Second
)

// Desired is the model and weights version that a target should serve.
type Desired struct {
	Pool           string
	Target         string
	Address        string
	Model          string
	WeightsVersion string
	ChecksFencing  bool
}

// Deps are the dependencies of a Manager.
type Deps struct {
	Log    port.Log
	Engine port.Engine
	// Weights grants downloads within the rate limit of the weight store. Optional.
	Weights port.WeightStore
	Clock   port.Clock
	Logger  *slog.Logger
	// Holder identifies this incarnation of the router.
	Holder string
	// Desired returns the targets of all engine pools.
	Desired func() []Desired
}

// Manager competes for the lease and sends orders while it holds it.
type Manager struct {
	deps Deps

	mu     sync.Mutex
	claims lease.State
	// started maps the ids of this router's claims to the start of their append.
	started map[string]time.Time
	// observed is when the current claim was read, or when this router started
	// reading if it has seen none.
	observed time.Time
	// heldUntil is when this router must stop sending orders; zero without a lease.
	heldUntil time.Time
	// tenure is the offset of the first claim of this router's current tenure.
	tenure port.Offset
	// settled is when orders may be sent to engines that ignore fencing tokens.
	settled time.Time

	// survey is accessed by Run only.
	survey survey
}

// New returns a Manager. The caller must pass to Observe at least the last Tail
// records of the orders stream and all later ones.
func New(deps Deps) *Manager {
	return &Manager{deps: deps, started: map[string]time.Time{}, observed: deps.Clock.Now()}
}

// Tail is the number of records before the end of the stream at which reading
// may start.
const Tail = 16

// Observe applies a record of the orders stream.
func (m *Manager) Observe(r port.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	begun, mine := m.started[r.ID]
	delete(m.started, r.ID)
	before, _ := m.claims.Current()
	if !m.claims.Apply(r) {
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

// Run competes for the lease and sends orders until the context ends.
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

// claimDue reports whether to append a claim: to renew the lease once half of it
// has passed, or to take over an expired lease.
func (m *Manager) claimDue() (lease.Claim, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	claim := lease.Claim{Holder: m.deps.Holder, After: m.claims.LastOffset(), TTLMs: leaseTTL.Milliseconds()}
	now := m.deps.Clock.Now()
	if now.Before(m.heldUntil) {
		return claim, m.heldUntil.Sub(now) < leaseTTL/2
	}
	ttl := leaseTTL
	if current, known := m.claims.Current(); known {
		ttl = current.TTL()
	}
	return claim, !now.Before(lease.ClaimableAt(m.observed, ttl))
}

// claim appends a claim. Whether it succeeded is determined by reading the
// stream, so a lost response needs no special handling.
func (m *Manager) claim(ctx context.Context, c lease.Claim) {
	data, err := lease.Encode(c)
	if err != nil {
		m.deps.Logger.Error("cannot encode lease claim", "error", err)
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

// held returns the fencing token if the lease is valid by this router's clock.
func (m *Manager) held() (port.Offset, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current, known := m.claims.Current()
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

// giveUp stops sending orders until a new claim succeeds.
func (m *Manager) giveUp() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heldUntil = time.Time{}
}
