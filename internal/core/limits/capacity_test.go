package limits

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// loadedShares lists the loaded targets, one of which may be of another pool.
type loadedShares struct {
	fakeShares
	loads map[string]int
}

func (s *loadedShares) PeerInFlight(target string) int { return s.loads[target] }
func (s *loadedShares) PeerLoads() map[string]int      { return s.loads }

// Guards against a capacity that is not the sum over the usable targets because
// idle targets are not looked at one by one.
func TestCapacityIsTheSumOverUsableTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &loadedShares{loads: map[string]int{"elsewhere": 3}}
		s.see(rapid.IntRange(1, 6).Draw(t, "routers"), 0, rapid.Bool().Draw(t, "contact"))
		a := Request{Slots: rapid.IntRange(1, 40).Draw(t, "slots"), Members: map[string]int{}}
		d := newDivider(s)
		want := 0
		for i := range rapid.IntRange(1, 20).Draw(t, "targets") {
			name := fmt.Sprint("e", i)
			a.Targets, a.Members[name] = append(a.Targets, name), i
			if rapid.Bool().Draw(t, "loaded") {
				s.loads[name] = rapid.IntRange(0, 50).Draw(t, "peers")
			}
			if rapid.IntRange(0, 4).Draw(t, "out") == 0 {
				a.Unavailable = append(a.Unavailable, name)
			} else {
				want += d.target(name, a.Slots)
			}
		}
		if got := d.capacity(a); got != want {
			t.Fatalf("capacity %d, want %d", got, want)
		}
		a.Members = nil // a source or caller that lists nothing
		if got := d.capacity(a); got != want {
			t.Fatalf("capacity one by one %d, want %d", got, want)
		}
	})
}
