package orders

import (
	"context"
	"errors"
	"strconv"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// readsPerTick bounds the traffic for engine states to about 1 KB/s,
	// regardless of the number of targets.
	readsPerTick = 4
	// loadingDivisor bounds the targets of a pool that load at the same time
	// to 1/loadingDivisor of the pool, but at least one.
	loadingDivisor = 20
)

// targetState is the last state read from a target.
type targetState struct {
	state       port.EngineState
	unreachable bool
}

// survey holds the target states read under the current lease. A new holder
// starts with an empty survey, because targets may be loading on the order of
// the previous holder.
type survey struct {
	token port.Offset
	next  int // index of the next target to read
	known map[string]targetState
}

// reconcile reads the state of some targets and sends orders to those that
// differ from the configuration, once all targets of their pool have been read.
func (m *Manager) reconcile(ctx context.Context, token port.Offset) {
	desired := m.deps.Desired()
	if len(desired) == 0 {
		return
	}
	if !m.renews(token) {
		m.survey = survey{known: map[string]targetState{}}
	}
	m.survey.token = token
	for _, d := range m.toRead(desired) {
		m.read(ctx, d)
	}
	m.orderPools(ctx, desired)
}

// renews reports whether the survey was made under a claim of the current
// tenure, so that it is still valid.
func (m *Manager) renews(token port.Offset) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.survey.token != 0 && m.survey.token >= m.tenure && m.survey.token <= token
}

// toRead selects the targets to read now: loading targets first, then the others
// in round-robin order.
func (m *Manager) toRead(desired []Desired) []Desired {
	var out []Desired
	for _, d := range desired {
		if len(out) < readsPerTick && m.survey.known[d.Address].state.Loading {
			out = append(out, d)
		}
	}
	for range min(readsPerTick-len(out), len(desired)) {
		out = append(out, desired[m.survey.next%len(desired)])
		m.survey.next++
	}
	return out
}

func (m *Manager) read(ctx context.Context, d Desired) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := m.deps.Engine.State(ctx, d.Address)
	if err != nil {
		m.deps.Logger.Debug("cannot read engine state", "target", d.Target, "error", err)
	}
	m.survey.known[d.Address] = targetState{state: state, unreachable: err != nil}
}

// orderPools sends the orders that are due.
func (m *Manager) orderPools(ctx context.Context, desired []Desired) {
	pools := map[string][]Desired{}
	for _, d := range desired {
		pools[d.Pool] = append(pools[d.Pool], d)
	}
	for _, pool := range pools {
		free, complete := m.freeLoads(pool)
		if !complete {
			continue
		}
		for _, d := range pool {
			if free > 0 && m.differs(d) && (d.ChecksFencing || m.hasSettled()) && m.order(ctx, d) {
				free--
			}
		}
	}
}

// freeLoads returns how many more targets of the pool may start loading, and
// whether all its targets have been read.
func (m *Manager) freeLoads(pool []Desired) (free int, complete bool) {
	free = max(1, len(pool)/loadingDivisor)
	for _, d := range pool {
		k, read := m.survey.known[d.Address]
		if !read {
			return 0, false
		}
		if k.state.Loading {
			free--
		}
	}
	return free, true
}

func (m *Manager) differs(d Desired) bool {
	k := m.survey.known[d.Address]
	return !k.unreachable && !k.state.Loading &&
		(k.state.Model != d.Model || k.state.WeightsVersion != d.WeightsVersion)
}

// order sends one order and reports whether the target may now be loading.
func (m *Manager) order(ctx context.Context, d Desired) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if m.deps.Weights != nil {
		if err := m.deps.Weights.Fetch(ctx, d.WeightsVersion); err != nil {
			m.deps.Logger.Info("weight store not ready, order postponed", "target", d.Target, "error", err)
			return false
		}
	}
	// The lease is checked after every wait and immediately before sending: a
	// process paused beyond its lease must not send orders.
	token, held := m.held()
	if !held {
		return false
	}
	order := port.Order{
		ID:   orderID(token, d),
		Kind: port.OrderLoadVersion, Model: d.Model, Version: d.WeightsVersion, FencingToken: token,
	}
	err := m.deps.Engine.Order(ctx, d.Address, order)
	var stale *port.StaleFencingError
	if errors.As(err, &stale) {
		m.deps.Logger.Warn("order refused, another router holds a newer lease", "target", d.Target, "fencing", token)
		m.giveUp()
		return false
	}
	if err != nil {
		m.deps.Logger.Warn("order failed, reading back the state of the target", "target", d.Target, "error", err)
	} else {
		m.deps.Logger.Info("order sent", "target", d.Target, "weights_version", d.WeightsVersion, "fencing", token)
	}
	// The state is read back in the next ticks; until then the target counts as loading.
	m.survey.known[d.Address] = targetState{state: port.EngineState{Loading: true}}
	return true
}

func orderID(token port.Offset, d Desired) string {
	return strconv.FormatUint(uint64(token), 10) + "/" + d.Target + "/" + d.WeightsVersion
}
