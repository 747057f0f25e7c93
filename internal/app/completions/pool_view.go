package completions

import (
	"slices"
	"sync"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/port"
)

// target is the target of an attempt. All state is keyed by address, because names
// are unique only within a pool: two teams may use one name for different targets.
// Names are used in logs, traces and replies.
type target struct {
	Name        string
	Address     string
	Incarnation port.Incarnation
}

// poolView combines a pool of one configuration snapshot with the observed states
// of its targets. It is cached across requests, because pools are large and both
// inputs change rarely. It is immutable except for byWeights.
type poolView struct {
	snapshot *config.Snapshot
	revision uint64
	pool     config.Pool
	// index maps addresses to positions in the pool.
	index  map[string]int
	states []TargetState
	// weightsVersion is the version that new requests require.
	weightsVersion string
	// available lists the addresses of the targets that are not leaving.
	available      []string
	availableIndex map[string]int

	mu sync.Mutex
	// byWeights maps each weights version that requests required to the targets
	// that may serve it.
	byWeights map[string]targetList
}

// targetList holds the targets that may serve one weights version, in the form that
// placement takes, with their positions in the pool. It is shared and immutable.
type targetList struct {
	targets   []placement.Target
	positions []int
}

// viewCache holds the views of the pools in the latest snapshot.
type viewCache struct {
	mu       sync.Mutex
	snapshot *config.Snapshot
	views    map[config.Ref]*poolView
}

// poolView returns the current view of the request's pool. Requests that started
// under an earlier snapshot build a view of their own.
func (r *Router) poolView(p *plan) *poolView {
	revision := r.Targets.Revision()
	cache := &r.views
	cache.mu.Lock()
	if cache.snapshot != p.snapshot && r.Source.Current() == p.snapshot {
		cache.snapshot, cache.views = p.snapshot, map[config.Ref]*poolView{}
	}
	var previous *poolView
	if cache.snapshot == p.snapshot {
		previous = cache.views[p.poolRef]
	}
	cache.mu.Unlock()
	if previous != nil && previous.revision == revision {
		return previous
	}
	view := r.newPoolView(p, previous, revision)
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.snapshot == p.snapshot {
		cache.views[p.poolRef] = view
	}
	return view
}

// newPoolView builds a view. The caller reads the revision before the states are
// read, so the next request detects a change in between.
func (r *Router) newPoolView(p *plan, previous *poolView, revision uint64) *poolView {
	v := &poolView{snapshot: p.snapshot, revision: revision, pool: p.pool,
		states: make([]TargetState, len(p.pool.Targets)), available: make([]string, 0, len(p.pool.Targets)),
		byWeights: map[string]targetList{}}
	if previous != nil {
		v.index = previous.index
	} else {
		v.index = make(map[string]int, len(p.pool.Targets))
		for i, t := range p.pool.Targets {
			v.index[t.Address] = i
		}
	}
	for i, t := range p.pool.Targets {
		v.states[i] = r.Targets.State(t.Address)
		if !v.states[i].Leaving {
			v.available = append(v.available, t.Address)
		}
	}
	v.availableIndex = v.index
	if len(v.available) < len(v.index) {
		v.availableIndex = make(map[string]int, len(v.available))
		for i, address := range v.available {
			v.availableIndex[address] = i
		}
	}
	v.weightsVersion = servedVersion(p.pool.WeightsVersion, v.states)
	return v
}

// servedVersion returns the desired version if any target serves it or has an
// unknown version, otherwise the version that most targets serve.
func servedVersion(desired string, states []TargetState) string {
	counts := map[string]int{}
	best := ""
	for _, s := range states {
		version := s.WeightsVersion
		if s.Leaving {
			continue
		}
		if version == "" || version == desired {
			return desired
		}
		counts[version]++
		if best == "" || counts[version] > counts[best] || counts[version] == counts[best] && version > best {
			best = version
		}
	}
	if best == "" {
		return desired
	}
	return best
}

// excluded returns why target i cannot serve the weights version, or "" if it can.
func (v *poolView) excluded(i int, weights string) string {
	s := &v.states[i]
	switch {
	case s.Leaving:
		return excludedLeaving
	case weights != "" && s.WeightsVersion != "" && s.WeightsVersion != weights:
		return excludedWeights
	}
	return ""
}

// serving returns the targets that may serve the weights version.
func (v *poolView) serving(weights string) targetList {
	v.mu.Lock()
	defer v.mu.Unlock()
	if list, known := v.byWeights[weights]; known {
		return list
	}
	list := targetList{make([]placement.Target, 0, len(v.pool.Targets)), make([]int, 0, len(v.pool.Targets))}
	for i, t := range v.pool.Targets {
		if v.excluded(i, weights) != "" {
			continue
		}
		// Placement identifies targets by name, so the address is passed as the name.
		list.positions = append(list.positions, i)
		list.targets = append(list.targets, placement.Target{
			Name: t.Address, Address: t.Address, Region: t.Region, AvailabilityZone: t.AvailabilityZone,
			Incarnation: v.states[i].Incarnation, ColdUntil: v.states[i].ColdUntil,
			Slots: v.pool.Slots, CacheBlocks: v.pool.CacheBlocks,
			PrefillTokensPerSecond: float64(v.pool.PrefillTokensPerSecond),
			DecodeMsPerToken:       float64(v.pool.DecodeMsPerToken),
		})
	}
	v.byWeights[weights] = list
	return list
}

// appendExcept appends the targets of the list to dst, except those at the excluded
// positions in the pool. It copies whole runs, because few targets of many are
// excluded.
func (l targetList) appendExcept(dst []placement.Target, excluded []int) []placement.Target {
	slices.Sort(excluded)
	begin := 0
	for _, position := range excluded {
		at, found := slices.BinarySearch(l.positions, position)
		if found && at >= begin {
			dst = append(dst, l.targets[begin:at]...)
			begin = at + 1
		}
	}
	return append(dst, l.targets[begin:]...)
}

// openCircuits returns the available targets whose circuits are open. It returns
// none if all circuits are open, so that requests can still wait for a target to
// recover.
func (r *Router) openCircuits(v *poolView) []string {
	var open []string
	for address, reason := range r.circuits.Unusable(r.Clock.Now()) {
		if _, available := v.availableIndex[address]; available && reason == retry.ReasonOpen {
			open = append(open, address)
		}
	}
	if len(open) == len(v.available) {
		return nil
	}
	return open
}
