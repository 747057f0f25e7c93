package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against an older entry that supersedes a newer one.
func TestMergeOrder(t *testing.T) {
	const (
		alive, suspect, leaving, dead = port.MemberAlive, port.MemberSuspect, port.MemberLeaving, port.MemberDead
	)
	cases := map[string]struct {
		known, received, want port.Member
	}{
		"suspect beats alive":            {entry(5, alive), entry(5, suspect), entry(5, suspect)},
		"refutation beats suspect":       {entry(5, suspect), entry(6, alive), entry(6, alive)},
		"alive does not beat suspect":    {entry(5, suspect), entry(5, alive), entry(5, suspect)},
		"leaving beats suspect":          {entry(5, suspect), entry(5, leaving), entry(5, leaving)},
		"suspect does not beat leaving":  {entry(5, leaving), entry(5, suspect), entry(5, leaving)},
		"dead beats leaving":             {entry(5, leaving), entry(5, dead), entry(5, dead)},
		"new incarnation beats dead":     {entry(5, dead), entry(9, alive), entry(9, alive)},
		"new incarnation beats leaving":  {entry(5, leaving), entry(9, alive), entry(9, alive)},
		"earlier incarnation is ignored": {entry(9, alive), entry(5, dead), entry(9, alive)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := testView()
			v.Merge(start, port.Gossip{Members: []port.Member{c.known}})
			if c.known.State == dead {
				v.add(start, c.known)
			}
			v.Merge(start, port.Gossip{Members: []port.Member{c.received}})
			is.Equal(v.members["b"].Member, c.want)
		})
	}
}

// Guards against a router that doesn't refute the suspect or dead state recorded
// for it, or that is superseded by an earlier process of the same name.
func TestRefutation(t *testing.T) {
	cases := map[string]struct {
		received port.Member
		want     uint64
	}{
		"suspected":                  {port.Member{Name: "a", Incarnation: 100, State: port.MemberSuspect}, 101},
		"declared dead":              {port.Member{Name: "a", Incarnation: 100, State: port.MemberDead}, 101},
		"earlier process was ahead":  {port.Member{Name: "a", Incarnation: 170, State: port.MemberAlive}, 171},
		"earlier process was behind": {port.Member{Name: "a", Incarnation: 50, State: port.MemberDead}, 100},
		"confirmed":                  {port.Member{Name: "a", Incarnation: 100, State: port.MemberAlive}, 100},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := testView()
			v.Merge(start, port.Gossip{Members: []port.Member{c.received}})
			is.New(t).Equal(v.Self().Incarnation, c.want)
		})
	}
}

// Guards against sending requests to leaving targets because of an outdated list,
// a late message or an expired mark, and against marks that outlive the target.
func TestLeavingTargets(t *testing.T) {
	type step func(v *View)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	list := func(now, asOf int, s port.VMState) step {
		vms := []port.VM{{Name: "e1", Role: port.RoleEngine, State: s}}
		return func(v *View) { v.ApplyVMList(at(now), port.VMSnapshot{AsOf: at(asOf), VMs: vms}) }
	}
	leaving := func(now int, inc port.Incarnation) step {
		return func(v *View) { v.MarkLeaving(at(now), "e1", inc) }
	}
	returned := func(now int) step { return func(v *View) { v.MarkReturned(at(now), "e1") } }
	gossip := func(m port.TargetMark) step {
		return func(v *View) { v.Merge(at(0), port.Gossip{Targets: []port.TargetMark{m}}) }
	}
	tick := func(now int) step { return func(v *View) { v.Tick(at(now)) } }
	ttl := int(MarkTTL.Seconds())
	cases := map[string]struct {
		steps []step
		want  bool
	}{
		"list":                           {[]step{list(0, 0, port.VMLeaving)}, true},
		"direct, the list is outdated":   {[]step{leaving(0, ""), list(5, -55, port.VMLive)}, true},
		"direct, the list never had it":  {[]step{leaving(0, ""), list(90, 30, port.VMLive)}, true},
		"replaced under the same name":   {[]step{list(0, -60, port.VMLeaving), list(90, 30, port.VMLive)}, false},
		"direct, newer than the list":    {[]step{list(0, -60, port.VMLeaving), leaving(80, ""), list(90, 30, port.VMLive)}, true},
		"returned, the list is outdated": {[]step{leaving(0, ""), returned(9), list(10, -50, port.VMLeaving)}, false},
		"returned, leaves again":         {[]step{leaving(0, ""), returned(9), list(90, 30, port.VMLeaving)}, true},
		"leaves again at once":           {[]step{leaving(0, ""), returned(9), leaving(9, "")}, true},
		"another incarnation":            {[]step{leaving(0, "life-1")}, false},
		"same incarnation":               {[]step{leaving(0, "life-2")}, true},
		"one incarnation, then any":      {[]step{leaving(0, "life-1"), leaving(1, "")}, true},
		"peer":                           {[]step{gossip(port.TargetMark{Target: "e1", Version: 1})}, true},
		"late message of a peer":         {[]step{leaving(0, ""), gossip(port.TargetMark{Target: "e1", Version: 1, Returned: true})}, true},
		"expired mark of a peer":         {[]step{gossip(port.TargetMark{Target: "e1", Version: 1, Age: MarkTTL + 1})}, false},
		"mark expires":                   {[]step{leaving(0, ""), tick(ttl + 1)}, false},
		"mark is refreshed":              {[]step{leaving(0, ""), leaving(ttl-1, ""), tick(ttl + 1)}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := testView()
			for _, s := range c.steps {
				s(v)
			}
			is.New(t).Equal(v.IsLeaving("e1", "life-2"), c.want)
		})
	}
}

// Guards against an unbounded number of probed routers and against neighbours in
// one availability zone only.
func TestNeighbours(t *testing.T) {
	cases := map[string]struct{ routers, local, want int }{
		"540 routers":                    {540, 4, 8},
		"7 routers, all are neighbours":  {7, 0, 6},
		"9 routers, one in each zone":    {9, 0, 8},
		"18 routers, one more in a zone": {18, 1, 8},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(c.routers, 1)
			for _, n := range s.nodes {
				local := 0
				for _, peer := range n.Neighbours() {
					m := n.members[peer.Name]
					if m.Region == n.self.Region && m.AvailabilityZone == n.self.AvailabilityZone {
						local++
					}
				}
				is.Equal(len(n.Neighbours()), c.want)
				is.Equal(local, c.local)
			}
		})
	}
}

// Guards against gossip that exceeds its size limit and against updates that are
// sent indefinitely.
func TestGossipIsBounded(t *testing.T) {
	is := is.New(t)
	v := testView()
	s := newSim(100, 1)
	for _, n := range s.nodes {
		v.Merge(start, port.Gossip{Members: []port.Member{n.Self()}})
	}
	v.MarkLeaving(start, "engine-1", "")
	v.AddFingerprint(start, "f")
	total := 0
	for range 10_000 {
		g, size := v.Gossip(start, "router-001", nil, gossipBytes)
		is.True(size <= gossipBytes)
		total += len(g.Members) + len(g.Targets) + len(g.Fingerprints)
	}
	is.Equal(total, 102*v.transmitLimit())
}

func entry(inc uint64, s port.MemberState) port.Member {
	return port.Member{Name: "b", Address: "10.0.0.2:7000", Incarnation: inc, State: s}
}

func testView() *View {
	self := port.Member{Name: "a", Address: "10.0.0.1:7000", Region: "r", AvailabilityZone: "z", Incarnation: 100}
	return New(start, self, nil, rand.New(rand.NewPCG(1, 2)))
}
