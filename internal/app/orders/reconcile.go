package orders

import (
	"context"
	"errors"
	"strconv"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// readsPerTick bounds reading back engine states to about 1 KB/s, whatever
	// the number of targets.
	readsPerTick = 4
	// loadingShare is the part of a pool that may be loading at once, as a
	// divisor; at least one target may.
	loadingShare = 20
)

// known is the last state read from a target.
type known struct {
	state       port.EngineState
	unreachable bool
}

// survey remembers what was read under the current lease. A new holder starts
// with an empty one, because targets may be loading by order of the old holder.
type survey struct {
	token port.Offset
	turn  int
	known map[string]known
}

// reconcile reads the state of some targets and orders those that differ from
// the configuration, once all targets of their pool have been read.
func (m *Manager) reconcile(ctx context.Context, token port.Offset) {
	desired := m.deps.Desired()
	if len(desired) == 0 {
		return
	}
	if !m.renews(token) {
		m.survey = survey{known: map[string]known{}}
	}
	m.survey.token = token
	for _, d := range m.toRead(desired) {
		m.read(ctx, d)
	}
	m.orderPools(ctx, desired)
}

// renews reports whether the survey was made under an earlier claim of the
// same tenure.
func (m *Manager) renews(token port.Offset) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.survey.token != 0 && m.survey.token >= m.tenure && m.survey.token <= token
}

// toRead chooses the targets to read now: those that load, then the next in turn.
func (m *Manager) toRead(desired []Desired) []Desired {
	var out []Desired
	for _, d := range desired {
		if len(out) < readsPerTick && m.survey.known[d.Address].state.Loading {
			out = append(out, d)
		}
	}
	for range min(readsPerTick-len(out), len(desired)) {
		out = append(out, desired[m.survey.turn%len(desired)])
		m.survey.turn++
	}
	return out
}

func (m *Manager) read(ctx context.Context, d Desired) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := m.deps.Engine.State(ctx, d.Address)
	if err != nil {
		m.deps.Logger.Debug("engine state not read", "target", d.Target, "error", err)
	}
	m.survey.known[d.Address] = known{state: state, unreachable: err != nil}
}

// orderPools gives the orders that are due.
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

// freeLoads returns how many more targets of the pool may load, and whether all
// its targets have been read.
func (m *Manager) freeLoads(pool []Desired) (free int, complete bool) {
	free = max(1, len(pool)/loadingShare)
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
		m.deps.Logger.Warn("order failed, the state is read back", "target", d.Target, "error", err)
	} else {
		m.deps.Logger.Info("order given", "target", d.Target, "weights_version", d.WeightsVersion, "fencing", token)
	}
	// The state is read back in the next ticks; until then the target counts as loading.
	m.survey.known[d.Address] = known{state: port.EngineState{Loading: true}}
	return true
}

func orderID(token port.Offset, d Desired) string {
	return strconv.FormatUint(uint64(token), 10) + "/" + d.Target + "/" + d.WeightsVersion
}
