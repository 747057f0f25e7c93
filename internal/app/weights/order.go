package weights

import (
	"context"
	"errors"
	"time"

	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// readBack is the time between two questions to an ordered target.
	readBack = 100 * time.Millisecond
	// orderLost is when an order whose effect is not seen is given up.
	orderLost = 6 * time.Second
	// reportLag is how old a target's report may be: reports are as of some hundred
	// ms ago.
	reportLag = 1500 * time.Millisecond
	// serveAgain is how long an ordered target is expected to start no request.
	serveAgain = 900 * time.Millisecond
)

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
			m.OnPaused(t.ID, 2*readBack)
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
		m.OnPaused(t.ID, serveAgain)
		return true
	case errors.As(err, &stale):
		m.setHeld(0, time.Time{})
	}
	return false
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
