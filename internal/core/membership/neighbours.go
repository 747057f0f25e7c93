package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// probeLostEvery is the share of rounds, one in so many, in which a router
	// out of contact or a seed is tried, so that a split heals.
	probeLostEvery = 5
	// rotateEvery is the number of rounds after which one random neighbour is
	// exchanged. Each exchange of a neighbour costs a handshake.
	rotateEvery = 120
)

// Target is the router to exchange with. Name is empty for a seed that has
// not answered yet.
type Target struct {
	Name    string
	Address string
}

// Next returns the router to exchange with in this round. It is called once
// per interval.
func (v *View) Next(now time.Time) (Target, bool) {
	v.round++
	if v.round%rotateEvery == 0 {
		v.rotate()
	}
	v.refresh()
	if t, ok := v.doubted(now); ok {
		return t, true
	}
	if v.round%probeLostEvery == 0 || len(v.neighbours) == 0 {
		if t, ok := v.lostTarget(); ok {
			return t, true
		}
	}
	if len(v.neighbours) == 0 {
		return Target{}, false
	}
	v.next = (v.next + 1) % len(v.neighbours)
	m := v.members[v.neighbours[v.next]]
	return Target{Name: m.Name, Address: m.Address}, true
}

// doubted returns a neighbour that failed, to try it again, or another router
// of its region that tells whether the region answers.
func (v *View) doubted(now time.Time) (Target, bool) {
	for _, name := range v.neighbours {
		m := v.members[name]
		if m.State != port.MemberAlive || m.failures == 0 {
			continue
		}
		answers := v.regionAnswers(now, m)
		if m.failures < failuresToSuspect || answers && m.failures <= maxRetries {
			return Target{Name: name, Address: m.Address}, true
		}
		if !answers && v.round%2 == 0 {
			return v.otherIn(m)
		}
	}
	return Target{}, false
}

// otherIn picks another router of the same region.
func (v *View) otherIn(m *member) (Target, bool) {
	var others []Target
	for _, name := range v.names {
		if o := v.members[name]; o != m && o.Region == m.Region && o.State == port.MemberAlive && o.Address != "" {
			others = append(others, Target{Name: name, Address: o.Address})
		}
	}
	if len(others) == 0 {
		return Target{}, false
	}
	return others[v.rnd.IntN(len(others))], true
}

// Neighbours returns the routers that this router probes: at most 8, half of
// them in the own availability zone when both halves can be filled.
func (v *View) Neighbours() []Target {
	v.refresh()
	targets := make([]Target, len(v.neighbours))
	for i, name := range v.neighbours {
		targets[i] = Target{Name: name, Address: v.members[name].Address}
	}
	return targets
}

// lostTarget picks a dead router, one in a region out of contact, or a seed at
// whose address no router is known.
func (v *View) lostTarget() (Target, bool) {
	lost := v.UnknownSeeds()
	for _, name := range v.names {
		if m := v.members[name]; m.Address != "" && (m.State == port.MemberDead || v.lostRegions[m.Region]) {
			lost = append(lost, Target{Name: name, Address: m.Address})
		}
	}
	if len(lost) == 0 {
		return Target{}, false
	}
	return lost[v.rnd.IntN(len(lost))], true
}

// UnknownSeeds returns the seeds at whose address no router is known.
func (v *View) UnknownSeeds() []Target {
	known := map[string]bool{}
	for _, m := range v.members {
		known[m.Address] = true
	}
	var seeds []Target
	for _, s := range v.seeds {
		if !known[s] {
			seeds = append(seeds, Target{Address: s})
		}
	}
	return seeds
}

// rotate drops one random neighbour, so that information mixes and no part of
// the fleet depends on one fixed graph.
func (v *View) rotate() {
	if len(v.neighbours) == MaxNeighbours {
		i := v.rnd.IntN(len(v.neighbours))
		v.neighbours = append(v.neighbours[:i], v.neighbours[i+1:]...)
		v.stale = true
	}
}

// refresh fills the neighbours again after a change.
func (v *View) refresh() {
	if !v.stale {
		return
	}
	v.stale = false
	var local, remote []string
	for _, name := range v.names {
		m := v.members[name]
		switch {
		case m.Address == "" || m.State > port.MemberSuspect || v.lostRegions[m.Region]:
		case m.Region == v.self.Region && m.AvailabilityZone == v.self.AvailabilityZone:
			local = append(local, name)
		default:
			remote = append(remote, name)
		}
	}
	const half = MaxNeighbours / 2
	wantLocal := min(len(local), max(half, MaxNeighbours-len(remote)))
	wantRemote := min(len(remote), MaxNeighbours-wantLocal)
	v.neighbours = append(v.pick(local, wantLocal), v.pick(remote, wantRemote)...)
	v.rnd.Shuffle(len(v.neighbours), func(i, j int) {
		v.neighbours[i], v.neighbours[j] = v.neighbours[j], v.neighbours[i]
	})
}

// pick chooses the successor on a ring of hashed names, then neighbours of
// before, then others at random. The ring makes sure that every router is
// probed by at least one other.
func (v *View) pick(names []string, n int) []string {
	if n == 0 {
		return nil
	}
	chosen := []string{v.successor(names)}
	taken := map[string]bool{chosen[0]: true}
	candidate := map[string]bool{}
	for _, name := range names {
		candidate[name] = true
	}
	for _, name := range v.neighbours {
		if len(chosen) < n && candidate[name] && !taken[name] {
			chosen, taken[name] = append(chosen, name), true
		}
	}
	for _, i := range v.rnd.Perm(len(names)) {
		if name := names[i]; len(chosen) < n && !taken[name] {
			chosen, taken[name] = append(chosen, name), true
		}
	}
	return chosen
}

// successor returns the name whose hash follows that of the own name.
func (v *View) successor(names []string) string {
	sorted := append([]string(nil), names...)
	sort.Slice(sorted, func(i, j int) bool { return xxhash.Sum64String(sorted[i]) < xxhash.Sum64String(sorted[j]) })
	self := xxhash.Sum64String(v.self.Name)
	i := sort.Search(len(sorted), func(i int) bool { return xxhash.Sum64String(sorted[i]) > self })
	return sorted[i%len(sorted)]
}

func (v *View) dropSeed(address string) {
	for i, s := range v.seeds {
		if s == address {
			v.seeds = append(v.seeds[:i], v.seeds[i+1:]...)
			return
		}
	}
}
