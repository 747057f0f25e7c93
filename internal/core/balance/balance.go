// Package balance ranks the targets of a plain request, one without a prompt, by
// load. It is made for many short requests on few slots.
package balance

import (
	"cmp"
	"slices"
)

// Candidate describes a candidate target at the time of a decision.
type Candidate struct {
	Address string
	Slots   int
	// InFlight counts the router's own requests on the target.
	InFlight int
	// ReportedInFlight is the target's last reported count of running and waiting
	// requests; 0 if the report is too old. ReportedOwn of them were this router's.
	ReportedInFlight int
	ReportedOwn      int
	// LinkMs is the network round-trip time.
	LinkMs float64
	// FailureCostMs is the expected cost of failures, computed by the function
	// FailureCostMs.
	FailureCostMs float64
	// ServiceMs is the average service time of a request on the target; 0: unknown.
	ServiceMs float64
}

// defaultServiceMs applies until the first response of a target.
const defaultServiceMs = 20

// ExpectedLatencyMs is the expected latency of a request: network, wait for a slot,
// service time and cost of failures. The service time grows with the number of
// occupied slots, so that ties go to the less loaded target.
func (c Candidate) ExpectedLatencyMs() float64 {
	return c.LinkMs + c.FailureCostMs + c.ExpectedServiceMs()*(1+c.totalInFlight()/c.slots()/2) + c.QueueMs()
}

// QueueMs is the expected wait for a slot.
func (c Candidate) QueueMs() float64 {
	if inFlight := c.totalInFlight(); inFlight >= c.slots() {
		return (inFlight - c.slots() + 1) / c.slots() * c.ExpectedServiceMs()
	}
	return 0
}

// ExpectedServiceMs is the expected service time of a request that doesn't wait.
func (c Candidate) ExpectedServiceMs() float64 {
	if c.ServiceMs <= 0 {
		return defaultServiceMs
	}
	return c.ServiceMs
}

func (c Candidate) totalInFlight() float64 {
	return float64(c.InFlight + max(0, c.ReportedInFlight-c.ReportedOwn))
}
func (c Candidate) slots() float64 { return float64(max(c.Slots, 1)) }

// Rank sorts the candidates, best first.
func Rank(candidates []Candidate) {
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		return cmp.Compare(a.ExpectedLatencyMs(), b.ExpectedLatencyMs())
	})
}
