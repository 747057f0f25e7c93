// Package weights brings model engines to the versions that the operator names.
// Only the holder of a lease gives orders; the lease is claimed when there is an
// order to give and costs nothing otherwise.
package weights

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/lease"
	"mimosaseam.example/mimosaseam/internal/core/rollout"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// tick is the time between two looks while a version is being rolled out.
	tick = 100 * time.Millisecond
	// idleTick is the time between two looks otherwise, for targets that join
	// with older weights.
	idleTick = 500 * time.Millisecond
	// lateAfter is the duration of a roll-out from which on more targets load at once:
	// answers on old weights are worth less than the time that the others lose.
	lateAfter = 2500 * time.Millisecond
	// maxNamings bounds the namings of a model that are remembered; the oldest is
	// long past its bound by then.
	maxNamings = 64
)

// Target is a model engine with the weights that it serves.
type Target struct {
	ID          string
	Address     string
	Incarnation port.Incarnation
	Model       string
	Version     int
	InFlight    int
}

// Deps are the dependencies of a Manager.
type Deps struct {
	Log     port.Log
	Control port.WeightsControl
	// Clock goes on while the VM is suspended.
	Clock  port.Clock
	Logger *slog.Logger
	// Holder identifies this life of the router.
	Holder string
	// TurnTime is the time within which two holders must not take turns.
	TurnTime time.Duration
	// Fenced says that targets refuse orders with old fencing tokens. Then a holder
	// that lost its lease cannot do harm, and the next need not wait for the turn
	// time.
	Fenced bool
	// Targets returns the engines that stay.
	Targets func() []Target
	// OnOrdered is told that a target will start no request until the time.
	OnOrdered func(id string, until time.Duration)
	// OnWeights is told the versions that a target reported.
	OnWeights func(id string, weights map[string]int)
}

// Manager rolls versions out.
type Manager struct {
	Deps
	changed chan struct{}

	mu        sync.Mutex
	wanted    map[string]int
	named     time.Time // when the newest version was learned
	namedAt   map[string]time.Time
	namings   map[string][]rollout.Naming
	heldUntil time.Time
	token     port.Offset
	pending   map[string]*pending
	// failures counts the orders in a row that a target did not carry out.
	failures map[string]int

	// The rest is used by Run only.
	fold     lease.State
	next     port.Offset
	observed time.Time // when the claim in force was read
}

// New returns a manager.
func New(d Deps) *Manager {
	return &Manager{Deps: d, changed: make(chan struct{}, 1), wanted: map[string]int{},
		namedAt: map[string]time.Time{}, namings: map[string][]rollout.Naming{}, next: 1,
		pending: map[string]*pending{}, failures: map[string]int{}}
}

// Want names the version that the targets of a model should serve.
func (m *Manager) Want(model string, version int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.wanted[model] >= version {
		return
	}
	m.wanted[model] = version
	m.named = m.Clock.Now()
	m.namedAt[model] = m.named
	kept := m.namings[model]
	if len(kept) == maxNamings {
		kept = kept[1:]
	}
	m.namings[model] = append(kept, rollout.Naming{Version: version, At: m.named})
	m.Logger.Info("weights named", "model", model, "version", version)
	m.wake()
}

// Wanted returns the version named for a model and when this router learned of
// it by the boot clock.
func (m *Manager) Wanted(model string) (version int, named time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wanted[model], m.namedAt[model]
}

// Floor returns the oldest version on which a request may still begin when none may
// begin on older weights within the time after a naming; 0: any.
func (m *Manager) Floor(model string, within time.Duration) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return rollout.Floor(m.namings[model], m.Clock.Now(), within)
}

func (m *Manager) state() (map[string]int, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.wanted), m.named
}

// Run rolls out until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	for {
		wait := idleTick
		if m.step(ctx) {
			wait = tick
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-m.changed:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// step starts the orders that are due and reports whether a roll-out is under way.
func (m *Manager) step(ctx context.Context) bool {
	wanted, named := m.state()
	targets := m.survey()
	if !rollout.Behind(targets, wanted) {
		return false
	}
	due := rollout.Next(targets, wanted, m.Clock.Now().Sub(named) > lateAfter)
	if len(due) == 0 || !m.mayClaimOrHold(ctx, named) {
		return true
	}
	for _, next := range due {
		for _, t := range m.Targets() {
			if t.ID == next.ID && t.Model == next.Model {
				m.start(ctx, t, wanted[t.Model])
			}
		}
	}
	return true
}

// survey lists the engines with the orders under way.
func (m *Manager) survey() []rollout.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []rollout.Target
	for _, t := range m.Targets() {
		p := m.pending[t.ID]
		out = append(out, rollout.Target{ID: t.ID, Model: t.Model, Version: t.Version, InFlight: t.InFlight,
			Ordered: p != nil && p.incarnation == t.Incarnation, Failures: m.failures[t.ID]})
	}
	return out
}

func (m *Manager) wake() {
	select {
	case m.changed <- struct{}{}:
	default: // a wake-up waits already
	}
}
