package limits

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// fakeLoads is a PeerState that lists the loaded targets, including those of other
// pools.
type fakeLoads struct {
	fakePeers
	loads map[string]int
}

func (s *fakeLoads) PeerInFlight(target string) int { return s.loads[target] }
func (s *fakeLoads) PeerLoads() map[string]int      { return s.loads }

// Guards against a capacity that differs from the sum over the usable targets. It
// may, because capacity doesn't examine idle targets one by one.
func TestCapacityIsTheSumOverUsableTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeLoads{loads: map[string]int{"elsewhere": 3}}
		s.setRouters(rapid.IntRange(1, 6).Draw(t, "routers"), 0, rapid.Bool().Draw(t, "contact"))
		req := Request{Slots: rapid.IntRange(1, 40).Draw(t, "slots"), Members: map[string]int{}}
		calc := newShareCalculator(s)
		want := 0
		for i := range rapid.IntRange(1, 20).Draw(t, "targets") {
			name := fmt.Sprint("e", i)
			req.Targets, req.Members[name] = append(req.Targets, name), i
			if rapid.Bool().Draw(t, "loaded") {
				s.loads[name] = rapid.IntRange(0, 50).Draw(t, "peers")
			}
			if rapid.IntRange(0, 4).Draw(t, "out") == 0 {
				req.Unavailable = append(req.Unavailable, name)
			} else {
				want += calc.target(name, req.Slots)
			}
		}
		if got := calc.capacity(req); got != want {
			t.Fatalf("capacity %d, want %d", got, want)
		}
		req.Members = nil // capacity then examines every target
		if got := calc.capacity(req); got != want {
			t.Fatalf("capacity one by one %d, want %d", got, want)
		}
	})
}
