package weights

import (
	"context"
	"errors"
	"time"

	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/panics"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// statusInterval is the time between two status requests to an ordered target.
	statusInterval = 100 * time.Millisecond
	// orderTimeout is the time after which an order without a visible effect is given up.
	orderTimeout = 6 * time.Second
	// maxReportAge bounds the age of a target's status reports, which are usually some
	// hundred ms old.
	maxReportAge = 1500 * time.Millisecond
	// switchPause is the expected time for which an ordered target starts no requests.
	switchPause = 900 * time.Millisecond
	// announcedPause is the pause announced to other routers. It is longer, because the
	// end of the load is announced too.
	announcedPause = 2 * switchPause
)

// pending is an order whose effect was not observed yet.
type pending struct {
	incarnation  port.Incarnation
	version      int
	accepted     int // orders accepted before this one
	sent         bool
	sentAt       time.Time
	acknowledged bool
	begun        time.Time
}

// startOrder gives an order to a target in the background.
func (m *Manager) startOrder(ctx context.Context, t Target, version int) {
	p := &pending{incarnation: t.Incarnation, version: version, begun: m.Clock.Now()}
	m.mu.Lock()
	m.pending[t.ID] = p
	m.mu.Unlock()
	go func() {
		defer func() {
			m.mu.Lock()
			if m.pending[t.ID] == p {
				delete(m.pending, t.ID)
			}
			m.mu.Unlock()
			m.wake()
		}()
		defer panics.Catch(m.Logger, "order", "target", t.ID)
		m.execute(ctx, t, p)
	}()
}

// execute sends an order to a target and polls its status until it serves the version or
// the order is given up.
func (m *Manager) execute(ctx context.Context, t Target, p *pending) {
	for m.Clock.Now().Sub(p.begun) < orderTimeout {
		status, err := m.Control.Status(ctx, t.Address, t.ID)
		if err != nil {
			m.Logger.Info("target status not read", "target", t.ID, "error", err.Error())
			m.recordFailure(t)
			return
		}
		m.OnWeights(t.ID, status.Weights)
		switch {
		case status.Weights[t.Model] >= p.version:
			m.Logger.Info("weights in force", "target", t.ID, "version", p.version, "ms", m.Clock.Now().Sub(p.begun).Milliseconds())
			m.clearFailures(t)
			if p.sent {
				m.announce(t, p.version, 0)
			}
			return
		case status.OrderInProgress || p.sent && status.AcceptedOrders > p.accepted:
			m.OnPaused(t.ID, 2*statusInterval)
		case p.acknowledged && m.Clock.Now().Sub(p.sentAt) < maxReportAge:
			// The target accepted the order, and its status report is older than that.
		case p.sent:
			// The order was lost, or arrives late. A late one is refused if the target
			// has accepted another order by then.
			m.recordFailure(t)
			return
		default:
			p.accepted = status.AcceptedOrders
			if !m.send(ctx, t, p) {
				m.recordFailure(t)
				return
			}
		}
		if err := ctxtime.Sleep(ctx, statusInterval); err != nil {
			return
		}
	}
	m.Logger.Warn("order given up", "target", t.ID, "version", p.version)
	m.recordFailure(t)
}

// recordFailure ranks a target behind the others that are due, so that one that responds
// takes its place.
func (m *Manager) recordFailure(t Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures[t.ID]++
}

func (m *Manager) clearFailures(t Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.failures, t.ID)
}

// send sends an order if the lease is held, and reports whether the target may have
// accepted it.
func (m *Manager) send(ctx context.Context, t Target, p *pending) bool {
	// The lease is checked directly before sending: a router that was suspended past
	// its expiry must not give orders.
	token, held := m.fencingToken(m.Clock.Now())
	if !held {
		m.Logger.Info("order not sent", "target", t.ID, "why", "the lease has expired")
		return false
	}
	p.sent, p.sentAt = true, m.Clock.Now()
	err := m.Control.Order(ctx, t.Address, port.WeightsOrder{Target: t.ID, Model: t.Model, Version: p.version,
		Mode: port.SwitchKeepRuns, Holder: m.Holder, FencingToken: token, ExpectAcceptedOrders: p.accepted})
	m.Logger.Info("order", "target", t.ID, "version", p.version, "fencing", token, "expect", p.accepted, "error", errorText(err))
	var stale *port.StaleFencingError
	var unknown *port.UnknownOutcomeError
	switch {
	case err == nil, errors.As(err, &unknown):
		p.acknowledged = err == nil
		m.OnPaused(t.ID, switchPause)
		m.announce(t, p.version, announcedPause)
		return true
	case errors.As(err, &stale):
		m.setHeld(0, time.Time{})
	}
	return false
}

func (m *Manager) announce(t Target, version int, pause time.Duration) {
	if m.OnLoading != nil {
		m.OnLoading(port.TargetLoading{Target: t.ID, Model: t.Model, Version: version, Pause: pause})
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
