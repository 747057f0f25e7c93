package balance

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against requests that queue on a near target while a far one is idle,
// and that travel far while a near one is.
func TestRank(t *testing.T) {
	near := Candidate{Address: "near", Slots: 6, ServiceMs: 20, LinkMs: 0.3}
	far := Candidate{Address: "far", Slots: 6, ServiceMs: 20, LinkMs: 24}
	full, reported, slow := near, near, near
	full.InFlight = 18
	reported.Reported = 18
	slow.ServiceMs = 200
	own := reported
	own.Explained = 18
	cases := map[string]struct {
		a    Candidate
		best string
	}{
		"idle":                          {near, "near"},
		"full of own requests":          {full, "far"},
		"full of requests of others":    {reported, "far"},
		"slow":                          {slow, "far"},
		"reported load that has ended":  {own, "near"},
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
