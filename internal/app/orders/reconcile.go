package orders

import (
	"context"
	"errors"
	"strconv"

	"mimosaseam.example/mimosaseam/internal/port"
)

// reconcile compares each engine with its desired state and orders at most one
// target of each pool at a time, so that the others keep serving.
func (m *Manager) reconcile(ctx context.Context) {
	busy := map[string]bool{}
	var pending []Desired
	for _, d := range m.deps.Desired() {
		state, err := m.readState(ctx, d.Address)
		switch {
		case err != nil:
			m.deps.Logger.Debug("engine state not read", "target", d.Target, "error", err)
		case state.Loading:
			busy[d.Pool] = true
		case state.Model != d.Model || state.WeightsVersion != d.WeightsVersion:
			pending = append(pending, d)
		}
	}
	for _, d := range pending {
		if busy[d.Pool] || (!d.ChecksFencing && !m.hasSettled()) {
			continue
		}
		if m.order(ctx, d) {
			busy[d.Pool] = true
		}
	}
}

func (m *Manager) readState(ctx context.Context, address string) (port.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	return m.deps.Engine.State(ctx, address)
}

// order sends one order and reports whether the target may be loading now.
func (m *Manager) order(ctx context.Context, d Desired) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if m.deps.Weights != nil {
		if err := m.deps.Weights.Fetch(ctx, d.WeightsVersion); err != nil {
			m.deps.Logger.Info("weight store not ready, order postponed", "target", d.Target, "error", err)
			return false
		}
	}
	// The lease is checked after every wait and directly before sending: a
	// process paused past its lease must not order.
	token, held := m.held()
	if !held {
		return false
	}
	order := port.Order{
		ID:   orderID(token, d),
		Kind: port.OrderLoadVersion, Model: d.Model, Version: d.WeightsVersion, Fencing: token,
	}
	err := m.deps.Engine.Order(ctx, d.Address, order)
	var stale *port.StaleFencingError
	if errors.As(err, &stale) {
		m.deps.Logger.Warn("order refused, another router holds a newer lease", "target", d.Target, "fencing", token)
		m.giveUp()
		return false
	}
	if err != nil {
		m.deps.Logger.Warn("order failed, the state is read back", "target", d.Target, "error", err)
	} else {
		m.deps.Logger.Info("order given", "target", d.Target, "weights_version", d.WeightsVersion, "fencing", token)
	}
	return true
}

func orderID(token port.Offset, d Desired) string {
	return strconv.FormatUint(uint64(token), 10) + "/" + d.Target + "/" + d.WeightsVersion
}
