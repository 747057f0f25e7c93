// Package weights brings model engines to the versions that the operator names.
// Only the holder of a lease gives orders; the lease is claimed when there is an
// order to give and costs nothing otherwise.
package weights

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"mimosaseam.example/mimosaseam/internal/core/lease"
	"mimosaseam.example/mimosaseam/internal/core/rollout"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// tick is the time between two looks while a version is being rolled out.
	tick = 100 * time.Millisecond
	// readBack is the time between two questions to an ordered target.
	readBack = 100 * time.Millisecond
	// idleTick is the time between two looks otherwise, for targets that join
	// with older weights.
	idleTick = 500 * time.Millisecond
	// claimSpread divides the first claims of the routers, so that mostly one
	// claims and the others read its claim.
	claimSpread = 400 * time.Millisecond
	// holderHeadStart lets the router that held the lease last go on with it.
	holderHeadStart = 300 * time.Millisecond
	// leaseDivisor makes a claim shorter than the time within which two holders
	// must not take turns.
	leaseDivisor = 2
	// orderLost is when an order whose effect is not seen is given up.
	orderLost = 6 * time.Second
	// reportLag is how old a target's report may be: reports are as of some hundred
	// ms ago.
	reportLag = 1500 * time.Millisecond
	// lateAfter is the duration of a roll-out from which on more targets load at once:
	// answers on old weights are worth less than the time that the others lose.
	lateAfter = 2500 * time.Millisecond
	// maxNamings bounds the namings of a model that are remembered; the oldest is
	// long past its bound by then.
	maxNamings = 64
	readLimit  = 64 // records of one read of claims
	// serveAgain is how long an ordered target is expected to start no request.
	serveAgain = 900 * time.Millisecond
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

// pending is an order whose effect has not been seen yet.
type pending struct {
	incarnation port.Incarnation
	version     int
	accepted    int // orders accepted before this one
	sent        bool
	sentAt      time.Time
	answered    bool
	begun       time.Time
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
	fold     lease.Fold
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

// start orders a target in the background.
func (m *Manager) start(ctx context.Context, t Target, version int) {
	p := &pending{incarnation: t.Incarnation, version: version, begun: m.Clock.Now()}
	m.mu.Lock()
	m.pending[t.ID] = p
	m.mu.Unlock()
	go func() {
		m.drive(ctx, t, p)
		m.mu.Lock()
		if m.pending[t.ID] == p {
			delete(m.pending, t.ID)
		}
		m.mu.Unlock()
		m.wake()
	}()
}

func (m *Manager) wake() {
	select {
	case m.changed <- struct{}{}:
	default: // a wake-up waits already
	}
}

// drive orders a target and reads back until it serves the version, or the order
// is given up.
func (m *Manager) drive(ctx context.Context, t Target, p *pending) {
	for m.Clock.Now().Sub(p.begun) < orderLost {
		status, err := m.Control.Status(ctx, t.Address, t.ID)
		if err != nil {
			m.Logger.Info("target not asked about an order", "target", t.ID, "error", err.Error())
			m.fail(t)
			return
		}
		m.OnWeights(t.ID, status.Weights)
		switch {
		case status.Weights[t.Model] >= p.version:
			m.Logger.Info("weights in force", "target", t.ID, "version", p.version, "ms", m.Clock.Now().Sub(p.begun).Milliseconds())
			m.forgive(t)
			return
		case status.Ordered || p.sent && status.Accepted > p.accepted:
			m.OnOrdered(t.ID, 2*readBack)
		case p.answered && m.Clock.Now().Sub(p.sentAt) < reportLag:
			// The target said that it carries the order out; its report is older.
		case p.sent:
			// The order got lost, or is carried out later: then it is refused, because
			// the target will have accepted another number of orders.
			m.fail(t)
			return
		default:
			p.accepted = status.Accepted
			if !m.send(ctx, t, p) {
				m.fail(t)
				return
			}
		}
		if err := ctxtime.Sleep(ctx, readBack); err != nil {
			return
		}
	}
	m.Logger.Warn("order given up", "target", t.ID, "version", p.version)
	m.fail(t)
}

// fail puts a target behind the others that are due: its place is free for one
// that answers.
func (m *Manager) fail(t Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures[t.ID]++
}

func (m *Manager) forgive(t Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.failures, t.ID)
}

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
	free := lease.FreeAt(m.observed, current.TTL())
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

// send gives an order while the lease is held and reports whether it may have
// been taken.
func (m *Manager) send(ctx context.Context, t Target, p *pending) bool {
	// Checked directly before sending: a router that was suspended past its lease
	// must not order.
	token, held := m.lease(m.Clock.Now())
	if !held {
		m.Logger.Info("order not sent", "target", t.ID, "why", "the lease has run out")
		return false
	}
	p.sent, p.sentAt = true, m.Clock.Now()
	err := m.Control.Order(ctx, t.Address, port.WeightsOrder{Target: t.ID, Model: t.Model, Version: p.version,
		Mode: port.SwitchKeepRuns, Holder: m.Holder, Fencing: token, ExpectAccepted: p.accepted})
	m.Logger.Info("order", "target", t.ID, "version", p.version, "fencing", token, "expect", p.accepted, "error", text(err))
	var stale *port.StaleFencingError
	var unknown *port.UnknownOutcomeError
	switch {
	case err == nil, errors.As(err, &unknown):
		p.answered = err == nil
		m.OnOrdered(t.ID, serveAgain)
		return true
	case errors.As(err, &stale):
		m.setHeld(0, time.Time{})
	}
	return false
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

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
