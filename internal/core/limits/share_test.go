package limits

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests unless a flag sets another one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

type fakePeers struct {
	routers  Routers
	demand   float64
	inFlight int
}

func (f *fakePeers) Routers() Routers                     { return f.routers }
func (f *fakePeers) PeerDemand(string) float64            { return f.demand }
func (f *fakePeers) PeerInFlight(string) int              { return f.inFlight }
func (f *fakePeers) setRouters(count, index int, ok bool) { f.routers = Routers{count, index, ok} }

// Guards against routers that, during a network partition, together admit more than
// 1.5 times an account's limit, or raise their shares.
func TestSharesStayBelowBoundDuringPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "routers")
		limit := rapid.IntRange(1, 100).Draw(t, "limit")
		views, calculators := make([]*fakePeers, n), make([]*shareCalculator, n)
		own := make([]float64, n)
		share, quota := make([]float64, n), make([]int, n)
		measure := func(stage string) {
			sum, quotaSum := 0.0, 0
			for i, d := range calculators {
				fraction, limitShare := d.fraction("a", own[i]), d.concurrency("a", limit, own[i])
				if stage == "cut" && i < n && (fraction > share[i]+1e-9 || limitShare > quota[i]) {
					t.Fatalf("router %d raised its share", i)
				}
				if i < n {
					share[i], quota[i] = fraction, limitShare
				}
				sum, quotaSum = sum+fraction, quotaSum+limitShare
			}
			if sum > 1.5+1e-9 || float64(quotaSum) > 1.5*float64(limit) {
				t.Fatalf("%s: shares %v, concurrency %v of %v", stage, sum, quotaSum, limit)
			}
		}
		demand := rapid.Float64Range(0, 50)
		for i := range n {
			// A router's view of its peers' demand may be arbitrarily stale.
			own[i] = demand.Draw(t, "own")
			views[i] = &fakePeers{routers: Routers{n, i, true}, demand: demand.Draw(t, "peers")}
			calculators[i] = newShareCalculator(views[i])
		}
		measure("all reachable")
		for i := range n {
			own[i] = demand.Draw(t, "own after the partition")
			views[i].setRouters(rapid.IntRange(1, n).Draw(t, "seen"), 0, false)
		}
		measure("cut")
		// New routers join one side of the partition, up to doubling it.
		side := rapid.IntRange(1, n).Draw(t, "side")
		joiners := rapid.IntRange(0, side).Draw(t, "joiners")
		for i := range side {
			views[i].setRouters(n+joiners, i, false)
		}
		for i := range joiners {
			own = append(own, demand.Draw(t, "own of joiner"))
			calculators = append(calculators, newShareCalculator(&fakePeers{routers: Routers{n + joiners, n + i, false}}))
		}
		measure("cut")
	})
}

// Guards against shares that do not add up to the limit while all routers agree, and
// against shares that ignore demand.
func TestSharesFollowDemand(t *testing.T) {
	is := is.New(t)
	sum, quotaSum := 0.0, 0
	for i := range 6 {
		own := float64(10 * i)
		d := newShareCalculator(&fakePeers{routers: Routers{6, i, true}, demand: 150 - own})
		sum += d.fraction("a", own)
		quotaSum += d.concurrency("b", 4, 0)
	}
	is.True(sum > 0.95 && sum <= 1)
	is.Equal(quotaSum, 4)
	busy := newShareCalculator(&fakePeers{routers: Routers{6, 0, true}})
	is.Equal(busy.fraction("a", 5), 1.5/6)
	is.Equal(newShareCalculator(SingleRouter{}).fraction("a", 0), 1.0)
}

// Guards against a router that overfills a target which its peers already use.
func TestTargetShareLeavesCapacityForPeers(t *testing.T) {
	cases := []struct {
		slots, count, peers int
		allReachable        bool
		want                int
	}{
		{32, 1, 0, true, 32}, {32, 4, 0, true, 12}, {32, 4, 22, true, 10}, {32, 4, 32, true, 8},
		{32, 4, 0, false, 8}, {32, 540, 0, true, 1},
	}
	for i, c := range cases {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			d := newShareCalculator(&fakePeers{routers: Routers{c.count, 0, c.allReachable}, inFlight: c.peers})
			is.New(t).Equal(d.target("e1", c.slots), c.want)
		})
	}
}
