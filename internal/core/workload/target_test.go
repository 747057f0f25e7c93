package workload

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// learnt returns a cost of so many ms that was measured often.
func learnt(ms float64) Cost {
	var s Services
	for range 50 {
		s.Finished("s", "r", ms)
	}
	s.Reported(epoch, "s", Report{SlownessPercent: 100}, 0)
	return s.Cost(epoch, "s", "r")
}

// answer sends a request to the target and ends it after the time.
func answer(t *Target, now time.Time, cost Cost, took time.Duration, r Report) time.Time {
	l := t.Load(now, cost, 4)
	s := l.Sent(now, 0)
	t.Begin(s)
	now = now.Add(took)
	t.Observe(now, r, 4)
	t.End(now, s, took)
	return now
}

// Guards against reports that do more than they may, whatever they say: of the factor, of a
// target's wait, and after the end of their useful life.
func TestReportsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cost, now, slots := learnt(20), epoch, rapid.IntRange(0, 64).Draw(t, "slots")
		var w Target
		n := rapid.IntRange(0, 8).Draw(t, "in flight")
		for range n {
			l := w.Load(now, cost, slots)
			w.Begin(l.Sent(now, 0))
		}
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			w.Observe(now, Report{Running: rapid.Int().Draw(t, "running") / 4, Waiting: rapid.Int().Draw(t, "waiting") / 4,
				SlownessPercent: rapid.Float64().Draw(t, "percent")}, slots)
			now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Hour)).Draw(t, "wait")))
			l := w.Load(now, cost, slots)
			factor := w.Speed.Factor(now)
			if !(factor >= minSpeed*minSlowness/maxSlowness && factor <= maxSpeed*maxSlowness/minSlowness) {
				t.Fatalf("factor %v", factor)
			}
			bound := float64(maxOthersPerSlot*max(slots, 1) + maxOthers + n)
			if !(l.Requests >= float64(n) && l.Requests <= bound) {
				t.Fatalf("%v requests, %d own, bound %v", l.Requests, n, bound)
			}
			if !(l.WaitMs >= 0 && l.WaitMs <= bound*cost.Mix.Ms()*factor*2) || math.IsNaN(l.LateMs) {
				t.Fatalf("wait %v late %v", l.WaitMs, l.LateMs)
			}
		}
		now = now.Add(time.Hour)
		if l := w.Load(now, cost, slots); math.Abs(l.Slowness-1) > 1e-9 || l.Requests > float64(n)+1e-9 {
			t.Fatalf("a report of an hour ago still counts: %+v", l)
		}
	})
}

// Guards against the report of an idle target that hides the router's own requests in flight.
func TestIdleReportKeepsOwnWork(t *testing.T) {
	is := is.New(t)
	cost := learnt(20)
	var w Target
	for range 12 {
		l := w.Load(epoch, cost, 4)
		w.Begin(l.Sent(epoch, 0))
	}
	before := w.Load(epoch, cost, 4)
	w.Observe(epoch, Report{SlownessPercent: 100}, 4)
	after := w.Load(epoch, cost, 4)
	is.Equal(after.Requests, 12.0)
	is.True(after.WaitMs >= 0.99*before.WaitMs && after.WaitMs > 40)
	is.True(after.RemainingMs >= 12*19)
}

// Guards against a target that counts as fast or idle only because it reports so.
func TestLiesAreFoundOut(t *testing.T) {
	is := is.New(t)
	cost, now := learnt(20), epoch
	var honest, liar Target
	for range 30 {
		answer(&honest, now, cost, 20*time.Millisecond, Report{SlownessPercent: 100})
		now = answer(&liar, now, cost, 200*time.Millisecond, Report{SlownessPercent: 1})
	}
	l := liar.Load(now, cost, 4)
	is.True(l.ServiceMs+l.LateMs > 150)
	l = honest.Load(now, cost, 4)
	is.True(l.ServiceMs+l.LateMs < 25)
}

// Guards against a learned speed that is wrong, that few samples or an outlier move, or that
// depends on whether reports contain it.
func TestSpeedIsLearned(t *testing.T) {
	for name, c := range map[string]struct {
		percent, ratio float64
	}{
		"slow, reported":     {170, 1.7},
		"slow, not reported": {100, 1.7},
		"fast, reported":     {70, 0.7},
		"fast, not reported": {100, 0.7},
		"usual":              {100, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s Speed
			now := epoch
			is.Equal(s.Factor(now), 1.0)
			s = s.Report(now, 100).Finish(now, c.ratio)
			is.True(math.Abs(math.Log(s.Factor(now))) < 0.5*math.Abs(math.Log(c.ratio))+1e-9)
			for range 60 {
				now = now.Add(100 * time.Millisecond)
				s = s.Report(now, c.percent).Finish(now, c.ratio)
			}
			is.True(math.Abs(s.Factor(now)/c.ratio-1) < 0.1)
			s = s.Finish(now, 1e9)
			is.True(math.Abs(s.Factor(now)/c.ratio-1) < 0.2)
			is.Equal(s.Finish(now, math.NaN()), s)
		})
	}
}

// Guards against a momentary slowness that is believed for too long.
func TestSlownessDecays(t *testing.T) {
	is := is.New(t)
	var s Speed
	for range 200 {
		s = s.Report(epoch, 100)
	}
	s = s.Report(epoch, 300)
	is.True(s.Factor(epoch) > 2.5)
	is.True(s.Factor(epoch.Add(slownessHalfLife)) < 1.9)
	is.True(s.Factor(epoch.Add(2*time.Second)) < 1.1)
	is.Equal(Speed{}.Report(epoch, 0).Report(epoch, -5).Report(epoch, math.NaN()), Speed{})
}

// Guards against estimates of the service time that an outlier spoils or whose error is not
// known.
func TestServiceTime(t *testing.T) {
	is := is.New(t)
	var e ServiceTime
	is.Equal(e.Ms(), float64(DefaultServiceMs))
	e = e.Observe(30)
	is.True(e.DeviationMs() >= 30) // one sample tells little
	for i := range 100 {
		e = e.Observe(30 + float64(i%5))
	}
	is.True(e.Ms() > 31 && e.Ms() < 33)
	is.True(e.DeviationMs() < 4)
	e = e.Observe(10_000)
	is.True(e.Ms() < 33)
	is.Equal(e.Observe(math.NaN()), e)
	is.Equal(e.Observe(-1), e)
}

// Guards against a decode time that does not follow the number of requests that run at once.
func TestDecodeRate(t *testing.T) {
	is := is.New(t)
	var d DecodeRate
	is.Equal(d.MsPerToken(1), float64(DefaultDecodeMsPerToken))
	for i := range 300 {
		running := 1 + i%8
		d = d.Observe(100, 100*(4+0.5*float64(running)), running)
	}
	is.True(math.Abs(d.MsPerToken(1)-4.5) < 0.7)
	is.True(math.Abs(d.MsPerToken(8)-8) < 0.7)
	is.Equal(d.Observe(3, 1e6, 1), d) // too short
}

// Guards against routes whose cost is taken from others once it is known, and from nothing
// before.
func TestCostOfRoutes(t *testing.T) {
	is := is.New(t)
	var s Services
	for range 100 {
		s.Finished("s", "short", 10)
		s.Finished("s", "long", 50)
	}
	is.True(s.Cost(epoch, "s", "short").Route.Ms() < 12)
	is.True(s.Cost(epoch, "s", "long").Route.Ms() > 48)
	unknown := s.Cost(epoch, "s", "new").Route
	is.True(unknown.Ms() > 20 && unknown.Ms() < 40)
	is.True(unknown.DeviationMs() > s.Cost(epoch, "s", "long").Route.DeviationMs())
	is.Equal(s.Cost(epoch, "other", "short").Route.Ms(), float64(DefaultServiceMs))
}

// BenchmarkLoad measures the estimate for one target.
func BenchmarkLoad(b *testing.B) {
	cost, now := learnt(20), epoch
	var w Target
	for range 30 {
		now = answer(&w, now, cost, 25*time.Millisecond, Report{Running: 3, SlownessPercent: 120})
	}
	b.ReportAllocs()
	for b.Loop() {
		_ = w.Load(now, cost, 4)
	}
}

// Guards against a request that hangs, for whatever reason, and keeps all others from the target
// for as long.
func TestHangingRequestIsBounded(t *testing.T) {
	is := is.New(t)
	cost := learnt(20)
	var w Target
	w.Observe(epoch, Report{SlownessPercent: 100}, 4)
	l := w.Load(epoch, cost, 4)
	w.Begin(l.Sent(epoch, 0))
	is.Equal(w.Load(epoch.Add(10*time.Millisecond), cost, 4).LateMs, 0.0)
	late := w.Load(epoch.Add(60*time.Millisecond), cost, 4).LateMs
	is.True(late > 60 && late < 100)
	is.True(w.Load(epoch.Add(time.Hour), cost, 4).LateMs < 400)
}
