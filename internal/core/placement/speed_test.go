package placement

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/workload"
	"mimosaseam.example/mimosaseam/internal/port"
)

func plainTargets(n, slots int) []Target {
	out := make([]Target, n)
	for i := range out {
		out[i] = Target{Name: "p" + strconv.Itoa(i), Slots: slots}
	}
	return out
}

func plainRequest() Request {
	return Request{Scope: port.Scope{ClientAccount: "a"}, Service: "desk", Route: "look"}
}

// Guards against plain requests that all go to the home target of their account while others are
// idle, and against ones that leave it without need.
func TestPlainRequestsLeaveABusyHome(t *testing.T) {
	is := is.New(t)
	p, targets, now := New(Settings{Seed: 1}), plainTargets(4, 4), time.Unix(1000, 0)
	counts := map[string]int{}
	home := p.Rank(now, plainRequest(), targets)[0].Target
	is.Equal(p.Rank(now, plainRequest(), targets)[0].Target, home)
	for range 32 {
		best := p.Rank(now, plainRequest(), targets)[0].Target
		p.Started(now, plainRequest(), best)
		counts[best]++
	}
	is.Equal(len(counts), 4)
	for _, n := range counts {
		is.True(n >= 6 && n <= 10)
	}
	now = now.Add(50 * time.Millisecond)
	for name, n := range counts {
		for range n {
			p.Finished(now, plainRequest(), name, "", 0)
		}
	}
	is.Equal(p.Rank(now, plainRequest(), targets)[0].Target, home)
	is.Equal(len(p.InFlight()), 0)
}

// Guards against a plain target that stays in use although its answers take longer than those of
// others, and against one that is slow only because its answers failed.
func TestPlainRequestsAvoidASlowTarget(t *testing.T) {
	is := is.New(t)
	p, targets, now := New(Settings{Seed: 1}), plainTargets(2, 4), time.Unix(1000, 0)
	home := p.Rank(now, plainRequest(), targets)[0].Target
	answer := func(took time.Duration, cached int) {
		p.Started(now, plainRequest(), home)
		now = now.Add(took)
		p.Finished(now, plainRequest(), home, "", cached)
	}
	answer(time.Second, -1)
	is.Equal(p.Rank(now, plainRequest(), targets)[0].Target, home)
	answer(time.Second, 0)
	is.True(p.Rank(now, plainRequest(), targets)[0].Target != home)
}

// Guards against engines whose speed is not learned, is learned without their reports or from
// fetched prompts, or outlives their incarnation.
func TestEngineSpeed(t *testing.T) {
	cases := map[string]struct {
		percent float64
		fetched bool
		want    float64
	}{
		"reported":        {170, false, 1.7},
		"learned":         {100, false, 1.7},
		"without reports": {0, false, 1},
		"fetched":         {100, true, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, now := New(Settings{Seed: 1}), time.Unix(1000, 0)
			targets := []Target{{Name: "e", Slots: 8, CacheBlocks: 1000, PrefillTokensPerSecond: 10_000}}
			for i := range 60 {
				q := newRequest("a", "w1", i, i, i)
				q.Fetched = c.fetched
				p.ObserveResponse(now, "e", workload.Report{SlownessPercent: c.percent})
				p.Rank(now, q, targets)
				p.Started(now, q, "e")
				now = now.Add(time.Duration(1.7 * float64(q.PromptTokens) / 10_000 * float64(time.Second)))
				p.FirstToken(now, q, "e", 0)
				p.Finished(now, q, "e", "i1", 0)
				now = now.Add(10 * time.Second)
			}
			q := newRequest("a", "w1", 99, 99, 99)
			s := p.Rank(now, q, targets)[0]
			is.True(math.Abs(s.SpeedFactor/c.want-1) < 0.1)
			is.True(math.Abs(s.PrefillMs/(c.want*float64(q.PromptTokens)/10)-1) < 0.1)
			p.ObserveLoad(now, "e", port.LoadReport{Incarnation: "i2"})
			is.Equal(p.Rank(now, q, targets)[0].SpeedFactor, 1.0)
		})
	}
}

// Guards against a momentary slowness that moves prompts away from the engine that has them
// cached, which costs more prefill than it saves.
func TestSlownessKeepsCachedPrompts(t *testing.T) {
	is := is.New(t)
	p, targets := New(Settings{Seed: 1}), fleet(12)
	now := train(p, targets, 600)
	q := newRequest("a", "w1", 1, 3, 7)
	run(p, now, q, p.Rank(now, q, targets)[0].Target, 0)
	home := p.Rank(now, q, targets)[0]
	is.True(home.CachedTokens > 0)
	for i := range targets {
		p.ObserveResponse(now, targets[i].Name, workload.Report{SlownessPercent: 100})
	}
	p.ObserveResponse(now, home.Target, workload.Report{SlownessPercent: 200})
	is.Equal(p.Rank(now, q, targets)[0].Target, home.Target)
}

// Guards against reports of waiting requests that are ignored, that hold after their useful life,
// or that hide or double what routers announce.
func TestReportedWaitingCounts(t *testing.T) {
	is := is.New(t)
	p, targets, now := New(Settings{Seed: 1}), fleet(1), time.Unix(1000, 0)
	p.uncached = 1000
	queue := func() float64 { return p.Rank(now, newRequest("a", "w1", 5), targets)[0].QueueMs }
	name := targets[0].Name
	p.ObserveResponse(now, name, workload.Report{Waiting: 3})
	is.Equal(queue(), 0.0) // no slowness: as before
	p.ObserveResponse(now, name, workload.Report{Waiting: 3, SlownessPercent: 100})
	waiting := queue()
	is.True(waiting > 0)
	p.ObservePeerRequest(now, name, 500, targets[0].PrefillTokensPerSecond)
	is.Equal(queue(), waiting)
	p.ObserveResponse(now, name, workload.Report{Waiting: 1 << 40, SlownessPercent: 100})
	is.True(queue() <= maxReportedWaiting*waiting/3+1)
	now = now.Add(3 * time.Second)
	is.Equal(queue(), 0.0)
}
