package shares

import (
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/limits"
	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/port"
)

func member(name string, state port.MemberState, listed bool) membership.Router {
	return membership.Router{Member: port.Member{Name: name, State: state}, Listed: listed}
}

// Guards against a partition or a dead entry that changes the divisor of limits.
func TestSetRouters(t *testing.T) {
	cases := map[string]struct {
		others []membership.Router
		want   limits.Routers
	}{
		"alone":       {nil, limits.Routers{Count: 1, AllReachable: true}},
		"alive":       {[]membership.Router{member("a", port.MemberAlive, true)}, limits.Routers{Count: 2, Index: 1, AllReachable: true}},
		"suspect":     {[]membership.Router{member("z", port.MemberSuspect, true)}, limits.Routers{Count: 2}},
		"cut off":     {[]membership.Router{member("z", port.MemberDead, true)}, limits.Routers{Count: 2}},
		"gone":        {[]membership.Router{member("a", port.MemberDead, false)}, limits.Routers{Count: 1, AllReachable: true}},
		"leaving too": {[]membership.Router{member("z", port.MemberLeaving, true)}, limits.Routers{Count: 2, AllReachable: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := New("m", func() map[string]map[string]float64 { return nil })
			s.SetRouters(c.others)
			is.New(t).Equal(s.Routers(), c.want)
		})
	}
}

// Guards against counts of peers that are stale or counted twice.
func TestPeerSums(t *testing.T) {
	is := is.New(t)
	s := New("m", func() map[string]map[string]float64 {
		return map[string]map[string]float64{"a": {"acc": 2}, "b": {"acc": 3, "other": 9}}
	})
	is.Equal(s.PeerDemand("acc"), 5.0)
	s.SetInFlight("a", map[string]int{"e1": 2})
	s.SetInFlight("b", map[string]int{"e1": 3})
	s.SetInFlight("a", nil)
	is.Equal(s.PeerInFlight("e1"), 3)
}
