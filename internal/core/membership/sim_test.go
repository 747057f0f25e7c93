package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

var start = time.Unix(1_700_000_000, 0)

// gossipBytes is the size limit of the gossip in one exchange of a large fleet.
const gossipBytes = 120

// node is a simulated router; a node that is down does not act or respond.
type node struct {
	*View
	down bool
}

// sim simulates rounds of exchanges without a network. Within a round, nodes act
// one after the other; a round takes one ExchangeInterval.
type sim struct {
	now   time.Time
	rnd   *rand.Rand
	nodes []*node
	// at maps an address to the node that responds there.
	at map[string]*node
	// cut reports whether messages from one node to another are lost.
	cut func(from, to *node) bool
	// list is the VM list that the platform serves.
	list []port.VM
}

// newSim returns a simulation of n routers in 3 regions with 3 availability zones
// each, all in the VM list.
func newSim(n int, seed uint64) *sim {
	s := &sim{now: start, rnd: rand.New(rand.NewPCG(seed, 1)), at: map[string]*node{}}
	for i := range n {
		s.list = append(s.list, port.VM{
			Name: fmt.Sprintf("router-%03d", i), Role: port.RoleRouter, Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			Region: fmt.Sprintf("region-%d", i%3), AvailabilityZone: fmt.Sprintf("zone-%d", i/3%3), State: port.VMLive,
		})
	}
	for i := range n {
		s.nodes = append(s.nodes, nil)
		s.restart(i)
	}
	return s
}

// restart replaces node i by a new process that has only the VM list.
func (s *sim) restart(i int) {
	vm := s.list[i]
	self := port.Member{
		Name: vm.Name, Address: vm.Address, Region: vm.Region, AvailabilityZone: vm.AvailabilityZone,
		Incarnation: uint64(s.now.UnixMilli()),
	}
	s.nodes[i] = &node{View: New(s.now, self, nil, rand.New(rand.NewPCG(uint64(i), s.rnd.Uint64())))}
	s.nodes[i].ApplyVMList(s.now, port.VMSnapshot{AsOf: s.now, VMs: s.list})
	s.at[vm.Address] = s.nodes[i]
}

// settle puts every view into the converged state, with no queued updates.
func (s *sim) settle() {
	for _, n := range s.nodes {
		for _, other := range s.nodes {
			n.Merge(s.now, port.Gossip{Members: []port.Member{other.Self()}})
		}
		n.updates = newUpdateQueue()
	}
}

func (s *sim) run(rounds int) {
	for range rounds {
		s.round()
	}
}

// until runs rounds until done returns true, at most limit, and returns their
// number.
func (s *sim) until(limit int, done func() bool) int {
	for i := range limit {
		if done() {
			return i
		}
		s.round()
	}
	return limit
}

func (s *sim) round() {
	s.now = s.now.Add(ExchangeInterval)
	for _, n := range s.nodes {
		if n.down {
			continue
		}
		n.Tick(s.now)
		if peer, ok := n.NextPeer(s.now); ok {
			s.exchange(n, peer)
		}
	}
	s.flood()
}

// flood delivers urgent messages hop by hop until none is queued.
func (s *sim) flood() (hops int) {
	for again := true; again; {
		again = false
		for _, n := range s.nodes {
			g, ok := n.TakeUrgent(s.now)
			if !ok || n.down {
				continue
			}
			again = true
			for _, peer := range n.Neighbours() {
				if to := s.at[peer.Address]; s.reaches(n, to) {
					to.Merge(s.now, g)
				}
			}
		}
		if again {
			hops++
		}
	}
	return hops
}

func (s *sim) exchange(n *node, peer Peer) {
	to := s.at[peer.Address]
	if !s.reaches(n, to) {
		n.RecordFailure(s.now, peer)
		return
	}
	request, _ := n.Gossip(s.now, peer.Name, nil, gossipBytes)
	to.RecordIncoming(s.now, n.Self())
	to.Merge(s.now, request)
	response, _ := to.Gossip(s.now, n.Self().Name, &request, gossipBytes)
	n.RecordResponse(s.now, peer, to.Self())
	n.Merge(s.now, response)
}

func (s *sim) reaches(from, to *node) bool {
	return to != nil && !to.down && (s.cut == nil || !s.cut(from, to))
}

// agreed reports whether, in the view of every running node, the running nodes
// are reachable in their current state and incarnation and all others are dead or
// absent.
func (s *sim) agreed() bool {
	for _, n := range s.nodes {
		if n.down {
			continue
		}
		for _, other := range s.nodes {
			if other != n && !n.agrees(s.now, other) {
				return false
			}
		}
	}
	return true
}

func (n *node) agrees(now time.Time, other *node) bool {
	self := other.Self()
	m := n.members[self.Name]
	if other.down {
		return m == nil || m.State == port.MemberDead
	}
	return m != nil && m.State == self.State && m.Incarnation == self.Incarnation && !n.partitioned(now, m)
}
