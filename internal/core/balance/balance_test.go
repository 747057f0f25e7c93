package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/workload"
)

// Guards against requests that queue on a near target while a far one is idle, and
// against requests to a far target while a near one is idle.
func TestRank(t *testing.T) {
	now := time.Unix(1000, 0)
	load := func(change func(t *workload.Target)) workload.Load {
		var t workload.Target
		change(&t)
		return t.Load(now, workload.Cost{}, 6)
	}
	send := func(t *workload.Target, n int) {
		for range n {
			t.Begin(workload.Sent{At: now})
		}
	}
	const near = 0
	far := Candidate{Index: 1, Slots: 6, LinkMs: 24, Load: load(func(*workload.Target) {})}
	nearWith := func(change func(t *workload.Target)) Candidate {
		return Candidate{Index: near, Slots: 6, LinkMs: 0.3, Load: load(change)}
	}
	idle := nearWith(func(*workload.Target) {})
	failing := idle
	failing.FailureCostMs = FailureCostMs(0.4, 150*time.Millisecond, false)
	cases := map[string]struct {
		a    Candidate
		best int
	}{
		"idle":                   {idle, near},
		"full of own requests":   {nearWith(func(t *workload.Target) { send(t, 18) }), 1},
		"full of other requests": {nearWith(func(t *workload.Target) { t.Observe(now, workload.Report{Running: 6, Waiting: 12}, 6) }), 1},
		"slow": {nearWith(func(t *workload.Target) {
			t.Begin(workload.Sent{At: now})
			t.End(now, workload.Sent{At: now}, 200*time.Millisecond)
		}), 1},
		"own requests that have ended": {nearWith(func(t *workload.Target) {
			send(t, 18)
			t.Observe(now, workload.Report{Running: 6, Waiting: 12}, 6)
			for range 18 {
				t.End(now, workload.Sent{At: now}, 0)
			}
		}), near},
		"fails a part of its requests":  {failing, 1},
		"unknown service time and idle": {Candidate{Index: near, Slots: 6, Load: idle.Load}, near},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			candidates := []Candidate{far, c.a}
			Rank(candidates)
			is.New(t).Equal(candidates[0].Index, c.best)
		})
	}
}

// Guards against a target that is avoided after a single failure, a failing target
// that stays in use, and one that is never tried again.
func TestReliability(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var r Reliability
	is.Equal(r.FailureShare(now), 0.0)
	r = r.Observe(now, true)
	is.True(r.FailureShare(now) <= 0.2)
	for range 5 {
		r = r.Observe(now, true).Observe(now, false)
	}
	is.True(r.FailureShare(now) > 0.35)
	is.True(r.FailureShare(now.Add(5*evidenceHalfLife)) < 0.1)
	for range 100 {
		r = r.Observe(now, false)
	}
	is.True(r.FailureShare(now) < 0.1)
}
