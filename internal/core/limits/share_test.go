package limits

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

type fakeShares struct {
	routers  Routers
	demand   float64
	inFlight int
}

func (f *fakeShares) Routers() Routers              { return f.routers }
func (f *fakeShares) PeerDemand(string) float64     { return f.demand }
func (f *fakeShares) PeerInFlight(string) int       { return f.inFlight }
func (f *fakeShares) see(count, index int, ok bool) { f.routers = Routers{count, index, ok} }

// Guards against routers that, while cut off from each other, admit more than
// 1.5 times an account's limit together, or raise their shares.
func TestSharesStayBelowBoundWhileCutOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "routers")
		limit := rapid.IntRange(1, 100).Draw(t, "limit")
		views, dividers := make([]*fakeShares, n), make([]*divider, n)
		own := make([]float64, n)
		share, quota := make([]float64, n), make([]int, n)
		measure := func(stage string) {
			sum, places := 0.0, 0
			for i, d := range dividers {
				fraction, places1 := d.fraction("a", own[i]), d.concurrency("a", limit, own[i])
				if stage == "cut" && i < n && (fraction > share[i]+1e-9 || places1 > quota[i]) {
					t.Fatalf("router %d raised its share", i)
				}
				if i < n {
					share[i], quota[i] = fraction, places1
				}
				sum, places = sum+fraction, places+places1
			}
			if sum > 1.5+1e-9 || float64(places) > 1.5*float64(limit) {
				t.Fatalf("%s: shares %v, concurrency %v of %v", stage, sum, places, limit)
			}
		}
		demand := rapid.Float64Range(0, 50)
		for i := range n {
			// What a router believes of its peers' demand may be long out of date.
			own[i] = demand.Draw(t, "own")
			views[i] = &fakeShares{routers: Routers{n, i, true}, demand: demand.Draw(t, "peers")}
			dividers[i] = newDivider(views[i])
		}
		measure("in contact")
		for i := range n {
			own[i] = demand.Draw(t, "own after the cut")
			views[i].see(rapid.IntRange(1, n).Draw(t, "seen"), 0, false)
		}
		measure("cut")
		// New routers join one side of the cut, up to doubling it.
		side := rapid.IntRange(1, n).Draw(t, "side")
		joiners := rapid.IntRange(0, side).Draw(t, "joiners")
		for i := range side {
			views[i].see(n+joiners, i, false)
		}
		for i := range joiners {
			own = append(own, demand.Draw(t, "own of joiner"))
			dividers = append(dividers, newDivider(&fakeShares{routers: Routers{n + joiners, n + i, false}}))
		}
		measure("cut")
	})
}

// Guards against limits that do not add up while routers agree, and against
// demand that is not followed.
func TestSharesFollowDemand(t *testing.T) {
	is := is.New(t)
	sum, places := 0.0, 0
	for i := range 6 {
		own := float64(10 * i)
		d := newDivider(&fakeShares{routers: Routers{6, i, true}, demand: 150 - own})
		sum += d.fraction("a", own)
		places += d.concurrency("b", 4, 0)
	}
	is.True(sum > 0.95 && sum <= 1)
	is.Equal(places, 4)
	busy := newDivider(&fakeShares{routers: Routers{6, 0, true}})
	is.Equal(busy.fraction("a", 5), 1.5/6)
	is.Equal(newDivider(SingleRouter{}).fraction("a", 0), 1.0)
}

// Guards against a router that fills a target which its peers already fill.
func TestTargetShareLeavesRoomForPeers(t *testing.T) {
	cases := []struct {
		slots, count, peers int
		inContact           bool
		want                int
	}{
		{32, 1, 0, true, 32}, {32, 4, 0, true, 12}, {32, 4, 22, true, 10}, {32, 4, 32, true, 8},
		{32, 4, 0, false, 8}, {32, 540, 0, true, 1},
	}
	for i, c := range cases {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			d := newDivider(&fakeShares{routers: Routers{c.count, 0, c.inContact}, inFlight: c.peers})
			is.New(t).Equal(d.target("e1", c.slots), c.want)
		})
	}
}
