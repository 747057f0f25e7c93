// Package weights rolls out weights versions, which the operator announces, to model
// engines. Only the holder of a lease gives orders. The lease is claimed when there is an
// order to give, and causes no log traffic otherwise.
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
	// rolloutInterval is the time between two steps during a rollout.
	rolloutInterval = 100 * time.Millisecond
	// idleInterval is the time between two steps otherwise, to detect targets that join
	// with older weights.
	idleInterval = 500 * time.Millisecond
	// lateAfter is the duration of a rollout after which more targets load at once:
	// responses on old weights then cost more than the capacity lost to loading.
	lateAfter = 2500 * time.Millisecond
	// maxHistory is the number of announced versions of a model that are retained. The
	// oldest is long past its bound by then.
	maxHistory = 64
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
	Log port.Log
	// History returns the newest history of the log that is known; nil: there is only one.
	History func() port.History
	Control port.WeightsControl
	// Clock also counts the time for which the VM was suspended.
	Clock  port.Clock
	Logger *slog.Logger
	// Holder identifies this incarnation of the router.
	Holder string
	// HandoverInterval is the minimum time between the last order of one holder and the
	// first order of the next.
	HandoverInterval time.Duration
	// TargetsCheckFencing is set if targets refuse orders with old fencing tokens. A holder
	// that lost its lease is then harmless, and the next one need not wait for the handover
	// interval.
	TargetsCheckFencing bool
	// Candidate reports whether this router claims the lease early. The others claim it only
	// when a rollout takes long, which bounds the reads of the claims; nil: all do.
	Candidate func() bool
	// Targets returns the engines that are not leaving.
	Targets func() []Target
	// OnPaused is called when a target is expected to start no requests for the time pause.
	OnPaused func(id string, pause time.Duration)
	// OnLoading is called when a target has accepted an order and when it serves the
	// ordered version; nil: not called.
	OnLoading func(l port.TargetLoading)
	// OnWeights is called with the versions in a target's status report.
	OnWeights func(id string, weights map[string]int)
}

// Manager rolls out weights versions.
type Manager struct {
	Deps
	changed chan struct{}

	mu          sync.Mutex
	desired     map[string]int
	announced   time.Time // when the newest version was received
	announcedAt map[string]time.Time
	history     map[string][]rollout.AnnouncedVersion
	heldUntil   time.Time
	token       port.Offset
	pending     map[string]*pending
	// failures counts the consecutive orders that a target did not carry out.
	failures map[string]int

	// The fields below are used by Run only.
	claims   lease.State
	next     port.Offset
	observed time.Time // when the current claim was read
	// logHistory is the newest known one, and restored when it was first seen: zero in the
	// first history, in which no claim was ever lost.
	logHistory port.History
	restored   time.Time
	// claimsLost is when claims were last found dropped from the log that this router had not
	// read.
	claimsLost time.Time
	// outdated is the number of outdated targets at the last step, and progressed when it
	// last fell: another router gives orders.
	outdated   int
	progressed time.Time
}

// New returns a manager.
func New(d Deps) *Manager {
	return &Manager{Deps: d, changed: make(chan struct{}, 1), desired: map[string]int{},
		announcedAt: map[string]time.Time{}, history: map[string][]rollout.AnnouncedVersion{}, next: 1,
		pending: map[string]*pending{}, failures: map[string]int{}}
}

// SetDesired sets the version that the targets of a model should serve. Versions that are
// not newer than the current one are ignored.
func (m *Manager) SetDesired(model string, version int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.desired[model] >= version {
		return
	}
	m.desired[model] = version
	m.announced = m.Clock.Now()
	m.announcedAt[model] = m.announced
	history := m.history[model]
	if len(history) == maxHistory {
		history = history[1:]
	}
	m.history[model] = append(history, rollout.AnnouncedVersion{Version: version, At: m.announced})
	m.Logger.Info("weights named", "model", model, "version", version)
	m.wake()
}

// Desired returns the version announced last for a model and the time by the boot clock
// at which this router received it.
func (m *Manager) Desired(model string) (version int, announced time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.desired[model], m.announcedAt[model]
}

// MinVersion returns the oldest version on which a request may still begin if none may
// begin on older weights once the time has passed since an announcement; 0: any.
func (m *Manager) MinVersion(model string, within time.Duration) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return rollout.MinVersion(m.history[model], m.Clock.Now(), within)
}

func (m *Manager) desiredVersions() (map[string]int, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.desired), m.announced
}

// Run rolls out the announced versions until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	for {
		wait := idleInterval
		if m.step(ctx) {
			wait = rolloutInterval
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

// step starts the orders that are due and reports whether a rollout is in progress.
func (m *Manager) step(ctx context.Context) bool {
	m.followHistory()
	desired, announced := m.desiredVersions()
	targets := m.rolloutTargets()
	outdated := rollout.CountOutdated(targets, desired)
	if outdated < m.outdated {
		m.progressed = m.Clock.Now()
	}
	m.outdated = outdated
	if outdated == 0 {
		return false
	}
	due := rollout.NextTargets(targets, desired, m.Clock.Now().Sub(announced) > lateAfter)
	if len(due) == 0 || !m.ensureLease(ctx, announced) {
		return true
	}
	for _, next := range due {
		for _, t := range m.Targets() {
			if t.ID == next.ID && t.Model == next.Model {
				m.startOrder(ctx, t, desired[t.Model])
			}
		}
	}
	return true
}

// rolloutTargets lists the engines and whether an order is pending for each.
func (m *Manager) rolloutTargets() []rollout.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []rollout.Target
	for _, t := range m.Targets() {
		p := m.pending[t.ID]
		out = append(out, rollout.Target{ID: t.ID, Model: t.Model, Version: t.Version, InFlight: t.InFlight,
			OrderPending: p != nil && p.incarnation == t.Incarnation, Failures: m.failures[t.ID]})
	}
	return out
}

func (m *Manager) wake() {
	select {
	case m.changed <- struct{}{}:
	default: // a wake-up is pending already
	}
}
