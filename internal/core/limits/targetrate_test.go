package limits

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// ratedFleet is a fleet of routers that know the rate of one target.
type ratedFleet struct {
	rates []*TargetRates
	// alive is the number of routers in the view of all; the first ones are chosen.
	alive int
}

func newRatedFleet(routers int) *ratedFleet {
	f := &ratedFleet{alive: routers}
	for i := range routers {
		f.rates = append(f.rates, NewTargetRates(Fleet{Count: func() int { return f.alive },
			Chosen: func(_ string, n int) bool { return (i+f.alive)%len(f.rates) < n }}))
	}
	return f
}

// Guards against routers that together send a target more than the rate that it named for
// all of them, whatever their number, and that leave most of it unused.
func TestRoutersShareTheRateOfATarget(t *testing.T) {
	const window, seconds = 4, 40
	for _, routers := range []int{1, 7, 75, 295} {
		for _, perSecond := range []float64{0.25, 1, 2.3, 12, 80} {
			t.Run(fmt.Sprint(routers, " routers, ", perSecond, " a second"), func(t *testing.T) {
				is := is.New(t)
				f := newRatedFleet(routers)
				now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
				for _, r := range f.rates {
					r.Observe(now, now, "t", perSecond)
				}
				var sent [seconds * 10]int
				total := 0
				for tick := range sent {
					now = now.Add(100 * time.Millisecond)
					if tick == 200 {
						f.alive = max(1, f.alive-1) // one router stops
					}
					for _, r := range f.rates {
						for r.Wait(now, "t") == 0 && r.Take(now, "t") {
							sent[tick]++
							total++
						}
					}
				}
				for from := range len(sent) - window*10 {
					sum := 0
					for _, n := range sent[from : from+window*10] {
						sum += n
					}
					is.True(float64(sum) <= 1.5*perSecond*window+5)
				}
				is.True(float64(total) >= 0.6*perSecond*seconds-extraSenders)
			})
		}
	}
}

// Guards against a rate that is forgotten while the target names it, or kept afterwards, and
// against old news that brings it back.
func TestRateHoldsWhileItIsNamed(t *testing.T) {
	is := is.New(t)
	f := newRatedFleet(1)
	r, now := f.rates[0], time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	is.Equal(r.Wait(now, "t"), time.Duration(0))
	is.Equal(r.Observe(now, now, "t", 2), RateChange{Changed: true, Announce: true})
	is.Equal(r.Wait(now, "t"), 500*time.Millisecond)
	is.True(!r.Take(now, "t"))
	is.Equal(r.Observe(now, now.Add(-time.Second), "t", 0), RateChange{}) // an older request's response
	is.Equal(r.Observe(now, now, "t", 2.1), RateChange{})
	now = now.Add(500 * time.Millisecond)
	is.True(r.Take(now, "t"))
	is.True(!r.Take(now, "t"))
	r.Return("t")
	is.True(r.Take(now, "t"))
	is.Equal(r.ObservePeer(now, "t", 9, time.Second), RateChange{}) // older than own knowledge
	for _, absurd := range []float64{math.NaN(), math.Inf(1), -1, 1e300} {
		is.Equal(r.ObservePeer(now.Add(time.Second), "t", absurd, 0), RateChange{})
	}
	is.Equal(r.PerSecond("t"), 2.1)
	sent := now
	now = now.Add(100 * time.Millisecond)
	is.Equal(r.Observe(now, sent, "t", 0), RateChange{Changed: true, Announce: true})
	is.True(r.Take(now, "t"))
	is.Equal(r.ObservePeer(now, "t", 3, time.Second), RateChange{})
	is.True(r.Take(now, "t"))
	is.Equal(r.ObservePeer(now.Add(time.Second), "t", 3, 0), RateChange{Changed: true, Announce: true})
	is.True(!r.Take(now.Add(time.Second), "t"))
}

// Guards against a router that sends although others share the rate, and against one that
// spends at once what it saved up while it was not chosen.
func TestOnlyChosenRoutersSend(t *testing.T) {
	is := is.New(t)
	chosen := false
	r := NewTargetRates(Fleet{Count: func() int { return 295 }, Chosen: func(string, int) bool { return chosen }})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r.Observe(now, now, "t", 5)
	now = now.Add(time.Minute)
	is.Equal(r.Wait(now, "t"), Never)
	is.True(!r.Take(now, "t"))
	chosen, now = true, now.Add(time.Minute)
	is.True(!r.Take(now, "t"))
	is.True(r.Wait(now, "t") < 2*time.Second)
	now = now.Add(2 * time.Second)
	is.True(r.Take(now, "t"))
}

// Guards against a target that a router never uses again because the news of its rate's
// end was lost.
func TestRateEndsWithoutNews(t *testing.T) {
	is := is.New(t)
	r := NewTargetRates(Fleet{Count: func() int { return 295 }, Chosen: func(string, int) bool { return false }})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r.Observe(now, now, "t", 5)
	is.True(!r.Take(now.Add(rateTTL-time.Second), "t"))
	is.Equal(r.Wait(now.Add(rateTTL), "t"), time.Duration(0))
	is.True(r.Take(now.Add(rateTTL), "t"))
}
