// Package balance ranks the targets of a plain request, one without a prompt, by
// load. It is made for many short requests on few slots.
package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"mimosaseam.example/mimosaseam/internal/core/workload"
)

// Candidate describes a candidate target at the time of a decision.
type Candidate struct {
	// Index is the caller's.
	Index int
	Slots int
	// Load is what the request would meet on the target.
	Load workload.Load
	// LinkMs is the network round-trip time.
	LinkMs float64
	// FailureCostMs is the expected cost of failures, computed by the function
	// FailureCostMs.
	FailureCostMs float64

	latencyMs float64
}

const (
	// nearShare and nearMs are the relative and the absolute difference from the best
	// latency up to which latencies count as equal: less than the deviation of one request.
	nearShare = 0.05
	nearMs    = 0.5
)

// ExpectedLatencyMs is the expected latency of a request: network, wait for a slot,
// service time and cost of failures. The service time grows with the number of
// occupied slots, so that ties go to the less loaded target.
func (c *Candidate) ExpectedLatencyMs() float64 {
	return c.LinkMs + c.FailureCostMs + c.Load.ExpectedMs(c.Slots)
}

// Rank sorts the candidates, best first. Among targets that report their slowness, the order
// of those that are nearly as good as the best is random, without crossing a longer link for
// it: routers know much the same of a target that just became free.
func Rank(candidates []Candidate) { rank(candidates, rand.Float64) }

func rank(candidates []Candidate, random func() float64) {
	for i := range candidates {
		candidates[i].latencyMs = candidates[i].ExpectedLatencyMs()
	}
	slices.SortStableFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.latencyMs, b.latencyMs) })
	if len(candidates) == 0 || !candidates[0].Load.Reports {
		return
	}
	limit := candidates[0].latencyMs*(1+nearShare) + nearMs
	near := 1
	for near < len(candidates) && candidates[near].latencyMs <= limit && candidates[near].LinkMs <= candidates[0].LinkMs {
		near++
	}
	if pick := int(random() * float64(near)); pick > 0 && pick < near {
		best := candidates[pick]
		copy(candidates[1:pick+1], candidates[:pick])
		candidates[0] = best
	}
}
