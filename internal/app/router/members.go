package router

import (
	"slices"
	"sync"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/port"
)

// target is a pool member as an attempt sees it. All state is kept under its
// address: names are unique in one pool only, so two teams may use one name for
// different targets. The name is for people.
type target struct {
	Name        string
	Address     string
	Incarnation port.Incarnation
}

// members is what one configuration snapshot and the observed states of targets
// say of a pool. It is computed once for many requests, because pools are large
// and both change rarely. It is immutable but for byWeights.
type members struct {
	snapshot *config.Snapshot
	revision uint64
	pool     config.Pool
	// index finds the position of an address in the pool.
	index  map[string]int
	states []TargetState
	// served is the weights version to ask for.
	served string
	// working lists the addresses that are not leaving.
	working      []string
	workingIndex map[string]int

	mu sync.Mutex
	// byWeights holds, for each version that requests asked for, the targets
	// that may serve it.
	byWeights map[string]roster
}

// roster lists the members that may serve one weights version, as placement
// wants them, with their positions in the pool. It is shared and not changed.
type roster struct {
	targets   []placement.Target
	positions []int
}

// pools keeps the members of the pools in the latest snapshot.
type pools struct {
	mu       sync.Mutex
	snapshot *config.Snapshot
	all      map[config.Ref]*members
}

// members returns the current view of the request's pool. Requests that began
// under an earlier snapshot build their own.
func (r *Router) members(p *plan) *members {
	revision := r.Targets.Revision()
	c := &r.pools
	c.mu.Lock()
	if c.snapshot != p.snapshot && r.Source.Current() == p.snapshot {
		c.snapshot, c.all = p.snapshot, map[config.Ref]*members{}
	}
	var last *members
	if c.snapshot == p.snapshot {
		last = c.all[p.poolRef]
	}
	c.mu.Unlock()
	if last != nil && last.revision == revision {
		return last
	}
	m := r.newMembers(p, last, revision)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot == p.snapshot {
		c.all[p.poolRef] = m
	}
	return m
}

// newMembers builds a view. The revision is read before the states, so a change
// in between is seen by the next request.
func (r *Router) newMembers(p *plan, last *members, revision uint64) *members {
	m := &members{snapshot: p.snapshot, revision: revision, pool: p.pool,
		states: make([]TargetState, len(p.pool.Targets)), working: make([]string, 0, len(p.pool.Targets)),
		byWeights: map[string]roster{}}
	if last != nil {
		m.index = last.index
	} else {
		m.index = make(map[string]int, len(p.pool.Targets))
		for i, t := range p.pool.Targets {
			m.index[t.Address] = i
		}
	}
	for i, t := range p.pool.Targets {
		m.states[i] = r.Targets.State(t.Address)
		if !m.states[i].Leaving {
			m.working = append(m.working, t.Address)
		}
	}
	m.workingIndex = m.index
	if len(m.working) < len(m.index) {
		m.workingIndex = make(map[string]int, len(m.working))
		for i, address := range m.working {
			m.workingIndex[address] = i
		}
	}
	m.served = servedVersion(p.pool.WeightsVersion, m.states)
	return m
}

// servedVersion returns the wanted version if a target serves it or is not
// known to serve another, else the one that most targets serve.
func servedVersion(wanted string, states []TargetState) string {
	counts := map[string]int{}
	best := ""
	for _, s := range states {
		version := s.WeightsVersion
		if s.Leaving {
			continue
		}
		if version == "" || version == wanted {
			return wanted
		}
		counts[version]++
		if best == "" || counts[version] > counts[best] || counts[version] == counts[best] && version > best {
			best = version
		}
	}
	if best == "" {
		return wanted
	}
	return best
}

// excluded says why the member cannot serve the weights version, if it cannot.
func (m *members) excluded(i int, weights string) string {
	s := &m.states[i]
	switch {
	case s.Leaving:
		return excludedLeaving
	case weights != "" && s.WeightsVersion != "" && s.WeightsVersion != weights:
		return excludedWeights
	}
	return ""
}

// serving lists the members that may serve the weights version.
func (m *members) serving(weights string) roster {
	m.mu.Lock()
	defer m.mu.Unlock()
	if list, known := m.byWeights[weights]; known {
		return list
	}
	list := roster{make([]placement.Target, 0, len(m.pool.Targets)), make([]int, 0, len(m.pool.Targets))}
	for i, t := range m.pool.Targets {
		if m.excluded(i, weights) != "" {
			continue
		}
		// Placement tells targets apart by name, so it is given the address.
		list.positions = append(list.positions, i)
		list.targets = append(list.targets, placement.Target{
			Name: t.Address, Address: t.Address, Region: t.Region, AvailabilityZone: t.AvailabilityZone,
			Incarnation: m.states[i].Incarnation, ColdUntil: m.states[i].ColdUntil,
			Slots: m.pool.Slots, CacheBlocks: m.pool.CacheBlocks,
			PrefillTokensPerSecond: float64(m.pool.PrefillTokensPerSecond),
			DecodeMsPerToken:       float64(m.pool.DecodeMsPerToken),
		})
	}
	m.byWeights[weights] = list
	return list
}

// without appends the targets of the roster to kept, except those at the given
// positions in the pool. It copies runs, because few of many are left out.
func (l roster) without(kept []placement.Target, out []int) []placement.Target {
	slices.Sort(out)
	begin := 0
	for _, position := range out {
		at, found := slices.BinarySearch(l.positions, position)
		if found && at >= begin {
			kept = append(kept, l.targets[begin:at]...)
			begin = at + 1
		}
	}
	return append(kept, l.targets[begin:]...)
}

// withoutCircuit lists the working targets whose circuits are open. While all
// are, none is listed: requests may still wait for one to return.
func (r *Router) withoutCircuit(m *members) []string {
	var open []string
	for address, reason := range r.circuits.Unusable(r.Clock.Now()) {
		if _, working := m.workingIndex[address]; working && reason == retry.ReasonOpen {
			open = append(open, address)
		}
	}
	if len(open) == len(m.working) {
		return nil
	}
	return open
}
