package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// unreachableProbeRounds is the interval, in rounds, at which an unreachable
	// router or a seed is tried, so that a network partition heals.
	unreachableProbeRounds = 5
	// rotationRounds is the interval, in rounds, at which one random neighbour is
	// replaced. Each replacement costs a connection handshake.
	rotationRounds = 120
)

// Peer is a router to exchange gossip with. Name is empty for a seed that has
// not responded yet.
type Peer struct {
	Name    string
	Address string
}

// NextPeer returns the router to exchange gossip with in this round. It must be
// called once per ExchangeInterval.
func (v *View) NextPeer(now time.Time) (Peer, bool) {
	v.round++
	if v.round%rotationRounds == 0 {
		v.rotateNeighbours()
	}
	v.refreshNeighbours()
	if peer, ok := v.peerToRetry(now); ok {
		return peer, true
	}
	if v.round%unreachableProbeRounds == 0 || len(v.neighbours) == 0 {
		if peer, ok := v.unreachablePeer(); ok {
			return peer, true
		}
	}
	if len(v.neighbours) == 0 {
		return Peer{}, false
	}
	v.nextNeighbour = (v.nextNeighbour + 1) % len(v.neighbours)
	m := v.members[v.neighbours[v.nextNeighbour]]
	return Peer{Name: m.Name, Address: m.Address}, true
}

// peerToRetry returns a failed neighbour to try again, or another router of its
// region to find out whether the region responds.
func (v *View) peerToRetry(now time.Time) (Peer, bool) {
	for _, name := range v.neighbours {
		m := v.members[name]
		if m.State != port.MemberAlive || m.failures == 0 {
			continue
		}
		responds := v.regionResponds(now, m)
		if m.failures < failuresToSuspect || responds && m.failures <= maxRetries {
			return Peer{Name: name, Address: m.Address}, true
		}
		if !responds && v.round%2 == 0 {
			return v.otherInRegion(m)
		}
	}
	return Peer{}, false
}

// otherInRegion picks a random other router of the member's region.
func (v *View) otherInRegion(m *member) (Peer, bool) {
	var others []Peer
	for _, name := range v.names {
		if o := v.members[name]; o != m && o.Region == m.Region && o.State == port.MemberAlive && o.Address != "" {
			others = append(others, Peer{Name: name, Address: o.Address})
		}
	}
	if len(others) == 0 {
		return Peer{}, false
	}
	return others[v.rnd.IntN(len(others))], true
}

// Neighbours returns the routers that this router probes: at most MaxNeighbours
// (8), half of them in its own availability zone if both halves can be filled.
func (v *View) Neighbours() []Peer {
	v.refreshNeighbours()
	peers := make([]Peer, len(v.neighbours))
	for i, name := range v.neighbours {
		peers[i] = Peer{Name: name, Address: v.members[name].Address}
	}
	return peers
}

// unreachablePeer picks a random dead router, router of an unreachable region, or
// seed at whose address no router is known.
func (v *View) unreachablePeer() (Peer, bool) {
	candidates := v.UnknownSeeds()
	for _, name := range v.names {
		if m := v.members[name]; m.Address != "" && (m.State == port.MemberDead || v.unreachableRegions[m.Region]) {
			candidates = append(candidates, Peer{Name: name, Address: m.Address})
		}
	}
	if len(candidates) == 0 {
		return Peer{}, false
	}
	return candidates[v.rnd.IntN(len(candidates))], true
}

// UnknownSeeds returns the seeds at whose address no router is known.
func (v *View) UnknownSeeds() []Peer {
	known := map[string]bool{}
	for _, m := range v.members {
		known[m.Address] = true
	}
	var seeds []Peer
	for _, s := range v.seeds {
		if !known[s] {
			seeds = append(seeds, Peer{Address: s})
		}
	}
	return seeds
}

// rotateNeighbours drops one random neighbour, so that gossip does not depend on
// one fixed graph and spreads between all parts of the fleet.
func (v *View) rotateNeighbours() {
	if len(v.neighbours) == MaxNeighbours {
		i := v.rnd.IntN(len(v.neighbours))
		v.neighbours = append(v.neighbours[:i], v.neighbours[i+1:]...)
		v.neighboursStale = true
	}
}

// refreshNeighbours selects the neighbours again after a change of members.
func (v *View) refreshNeighbours() {
	if !v.neighboursStale {
		return
	}
	v.neighboursStale = false
	var local, remote []string
	for _, name := range v.names {
		m := v.members[name]
		switch {
		case m.Address == "" || m.State > port.MemberSuspect || v.unreachableRegions[m.Region]:
		case m.Region == v.self.Region && m.AvailabilityZone == v.self.AvailabilityZone:
			local = append(local, name)
		default:
			remote = append(remote, name)
		}
	}
	const half = MaxNeighbours / 2
	localCount := min(len(local), max(half, MaxNeighbours-len(remote)))
	remoteCount := min(len(remote), MaxNeighbours-localCount)
	v.neighbours = append(v.pickNeighbours(local, localCount), v.pickNeighbours(remote, remoteCount)...)
	v.rnd.Shuffle(len(v.neighbours), func(i, j int) {
		v.neighbours[i], v.neighbours[j] = v.neighbours[j], v.neighbours[i]
	})
}

// pickNeighbours chooses n of the names: the successor on a ring of hashed names,
// then current neighbours, then others at random. The ring ensures that every
// router is probed by at least one other.
func (v *View) pickNeighbours(names []string, n int) []string {
	if n == 0 {
		return nil
	}
	chosen := []string{v.successor(names)}
	chosenSet := map[string]bool{chosen[0]: true}
	candidate := map[string]bool{}
	for _, name := range names {
		candidate[name] = true
	}
	for _, name := range v.neighbours {
		if len(chosen) < n && candidate[name] && !chosenSet[name] {
			chosen, chosenSet[name] = append(chosen, name), true
		}
	}
	for _, i := range v.rnd.Perm(len(names)) {
		if name := names[i]; len(chosen) < n && !chosenSet[name] {
			chosen, chosenSet[name] = append(chosen, name), true
		}
	}
	return chosen
}

// successor returns the name whose hash follows that of this router's name.
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
