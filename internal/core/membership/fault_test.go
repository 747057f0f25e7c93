package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against views that don't converge after a fault: a running router that
// stays dead in other views, or a stopped one that stays alive.
func TestViewsAgreeAfterFaults(t *testing.T) {
	otherRegion := func(from, to *node) bool { return from.self.Region != to.self.Region }
	cases := []struct {
		name    string
		routers int
		fault   func(s *sim)
		// rounds is the upper bound; the number measured is logged.
		rounds int
	}{
		{"first start", 7, func(*sim) {}, 30},
		{"one killed", 7, func(s *sim) { s.nodes[3].down = true }, 60},
		{"one restarted", 7, func(s *sim) { s.restart(3) }, 30},
		{"all but one restarted", 7, func(s *sim) { s.restartFrom(1) }, 30},
		{"all restarted", 7, func(s *sim) { s.restartFrom(0) }, 30},
		{"one killed, restarted after it is marked dead", 7, func(s *sim) {
			s.nodes[3].down = true
			s.run(60)
			s.restart(3)
		}, 30},
		{"all but one down for a minute", 7, func(s *sim) {
			for _, n := range s.nodes[1:] {
				n.down = true
			}
			s.run(60)
			s.restartFrom(1)
		}, 60},
		{"partition between regions", 12, func(s *sim) {
			s.cut = otherRegion
			s.run(180)
			s.cut = nil
		}, 120},
		{"one frozen for a minute", 7, func(s *sim) {
			s.nodes[3].down = true
			s.run(60)
			s.nodes[3].down = false
		}, 60},
		{"one cut off for a minute", 7, func(s *sim) {
			s.cut = func(from, to *node) bool { return from == s.nodes[3] || to == s.nodes[3] }
			s.run(60)
			s.cut = nil
		}, 60},
		{"first start at 60", 60, func(*sim) {}, 120},
		{"all restarted at 60", 60, func(s *sim) { s.restartFrom(0) }, 120},
		{"one killed at 60", 60, func(s *sim) { s.nodes[33].down = true }, 90},
		{"partition between regions at 60", 60, func(s *sim) {
			s.cut = otherRegion
			s.run(180)
			s.cut = nil
		}, 300},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(c.routers, 7)
			if c.name != "first start" && c.name != "first start at 60" {
				s.run(60)
			}
			c.fault(s)
			rounds := s.until(c.rounds, s.agreed)
			t.Logf("%d routers agree after %d rounds", c.routers, rounds)
			is.New(t).True(s.agreed())
		})
	}
}

// Guards against a partition in which the routers of the other side count as
// stopped, and against one that leaves a side without neighbours.
func TestPartitionMarksOtherRegionOutOfContact(t *testing.T) {
	is := is.New(t)
	s := newSim(12, 3)
	s.run(60)
	s.cut = func(from, to *node) bool { return from.self.Region != to.self.Region }
	s.run(120)
	for _, n := range s.nodes {
		for _, r := range n.Routers(s.now) {
			is.Equal(r.OutOfContact(), r.Region != n.self.Region)
		}
		is.Equal(len(n.Neighbours()), 3)
	}
}

// Guards against a region that counts as unreachable because one dead router in
// it is probed repeatedly.
func TestDeadRouterKeepsItsRegionInContact(t *testing.T) {
	is := is.New(t)
	s := newSim(60, 3)
	s.settle()
	s.nodes[33].down = true
	s.run(90)
	for range 60 {
		s.round()
		is.True(s.agreed())
	}
}

// Guards against retaining the routers of a removed region indefinitely.
func TestVMListDropsRoutersOfRemovedRegion(t *testing.T) {
	is := is.New(t)
	s := newSim(12, 3)
	s.run(60)
	remaining := port.VMSnapshot{AsOf: s.now}
	for i, n := range s.nodes {
		if n.down = n.self.Region == "region-1"; !n.down {
			remaining.VMs = append(remaining.VMs, s.list[i])
		}
	}
	s.run(120)
	for _, n := range s.nodes {
		n.ApplyVMList(s.now, remaining)
		if !n.down {
			is.Equal(len(n.Routers(s.now)), 7)
		}
	}
}

// Guards against an isolated router that spreads suspicions of all other routers.
func TestIsolatedRouterSpreadsNoSuspicion(t *testing.T) {
	is := is.New(t)
	s := newSim(7, 3)
	s.run(60)
	before := s.nodes[5].Self().Incarnation
	s.cut = func(from, to *node) bool { return from == s.nodes[3] || to == s.nodes[3] }
	s.run(30)
	for _, r := range s.nodes[3].Routers(s.now) {
		is.Equal(r.State, port.MemberSuspect)
	}
	s.cut = nil
	s.run(60)
	is.True(s.agreed())
	is.Equal(s.nodes[5].Self().Incarnation, before)
}

// Guards against a one-way network cut that marks a running router dead.
func TestOneWayCutKeepsTheRouter(t *testing.T) {
	is := is.New(t)
	s := newSim(7, 3)
	s.run(60)
	s.cut = func(from, to *node) bool { return from == s.nodes[0] && to == s.nodes[3] }
	for range 300 {
		s.round()
		for _, n := range s.nodes {
			if m := n.members[s.nodes[3].self.Name]; m != nil {
				is.True(m.State != port.MemberDead)
			}
		}
	}
}

// Guards against a VM list that is 60 s old and marks dead routers alive, hides
// running ones or changes their addresses.
func TestListSixtySecondsLate(t *testing.T) {
	is := is.New(t)
	s := newSim(7, 3)
	s.run(60)
	old := append([]port.VM(nil), s.list...)
	// Router 3 dies for good; router 4 is replaced at another address.
	s.nodes[3].down = true
	s.nodes[4].down = true
	s.list[4].Address = "10.9.9.9:7000"
	s.list[4].State = port.VMLive
	s.restart(4)
	old[4].State = port.VMLeaving
	for range 12 {
		s.run(5)
		for _, n := range s.nodes {
			n.ApplyVMList(s.now, port.VMSnapshot{AsOf: s.now.Add(-time.Minute), VMs: old})
		}
	}
	is.True(s.agreed())
	for i, n := range s.nodes {
		if i != 3 && i != 4 {
			is.Equal(n.members["router-004"].Address, "10.9.9.9:7000")
			is.Equal(n.members["router-004"].State, port.MemberAlive)
		}
	}
}

// Guards against keeping both routers alive when one takes the address of the
// other.
func TestAddressTakenByAnotherRouter(t *testing.T) {
	is := is.New(t)
	s := newSim(7, 3)
	s.run(60)
	s.nodes[3].down = true
	s.list[3].Name = "router-new"
	s.restart(3)
	s.run(10)
	for i, n := range s.nodes {
		if i != 3 {
			is.Equal(n.members["router-003"].State, port.MemberDead)
			is.Equal(n.members["router-new"].State, port.MemberAlive)
		}
	}
}

// Guards against a leaving target that takes more than 3 s to become known to all
// routers. Without urgent messages the bound is 3 exchange intervals; in the case
// with the cut, the first router's urgent messages are lost.
func TestLeavingTargetIsKnownEverywhere(t *testing.T) {
	cases := map[string]struct {
		routers int
		cut     bool
		// hops bounds the length of a chain of urgent messages, rounds the number
		// of exchange rounds.
		hops, rounds int
	}{
		"7 routers":                     {7, false, 2, 0},
		"7 routers, urgent path is cut": {7, true, 0, 3},
		"540 routers":                   {540, false, 8, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(c.routers, 11)
			s.settle()
			s.nodes[0].MarkLeaving(s.now, "engine-1", "")
			known := func() bool {
				for _, n := range s.nodes {
					if !n.IsLeaving("engine-1", "") {
						return false
					}
				}
				return true
			}
			if c.cut {
				s.nodes[0].TakeUrgent(s.now)
			}
			hops := s.flood()
			rounds := s.until(c.rounds, known)
			t.Logf("%d routers: %d hops of urgent messages, %d rounds of exchanges", c.routers, hops, rounds)
			is.True(hops <= c.hops)
			is.True(known())
		})
	}
}

// Guards against updates that don't reach the whole fleet, or only slowly.
func TestUpdatesReach540Routers(t *testing.T) {
	is := is.New(t)
	s := newSim(540, 5)
	s.settle()
	s.run(5)
	s.restart(100)
	self := s.nodes[100].Self()
	known := func() bool {
		for _, n := range s.nodes {
			if n != s.nodes[100] && n.members[self.Name].Incarnation != self.Incarnation {
				return false
			}
		}
		return true
	}
	rounds := s.until(60, known)
	t.Logf("a restart is known to 540 routers after %d rounds", rounds)
	is.True(known())
}

func (s *sim) restartFrom(first int) {
	for i := range s.nodes[first:] {
		s.restart(first + i)
	}
}
