package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that queue on a near target while a far one is idle, and
// against requests to a far target while a near one is idle.
func TestRank(t *testing.T) {
	near := Candidate{Address: "near", Slots: 6, ServiceMs: 20, LinkMs: 0.3}
	far := Candidate{Address: "far", Slots: 6, ServiceMs: 20, LinkMs: 24}
	full, reported, slow := near, near, near
	full.InFlight = 18
	reported.ReportedInFlight = 18
	slow.ServiceMs = 200
	own := reported
	failing := near
	failing.FailureCostMs = FailureCostMs(0.4, 150*time.Millisecond, false)
	own.ReportedOwn = 18
	cases := map[string]struct {
		a    Candidate
		best string
	}{
		"idle":                          {near, "near"},
		"full of own requests":          {full, "far"},
		"full of other requests":        {reported, "far"},
		"slow":                          {slow, "far"},
		"own requests that have ended":  {own, "near"},
		"fails a part of its requests":  {failing, "far"},
		"unknown service time and idle": {Candidate{Address: "near", Slots: 6}, "near"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			candidates := []Candidate{far, c.a}
			Rank(candidates)
			is.New(t).Equal(candidates[0].Address, c.best)
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
