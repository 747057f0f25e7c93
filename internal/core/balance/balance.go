// Package balance picks the target of a plain request by load: it answers the
// load of many short requests on few slots.
package balance

import (
	"cmp"
	"slices"
)

// Candidate is a target as the router knows it when it decides.
type Candidate struct {
	Address string
	Slots   int
	// InFlight counts the router's own requests on the target.
	InFlight int
	// Reported is the target's own count of running and waiting requests, of
	// which Explained were the router's own at the time; 0 when it is too old.
	Reported  int
	Explained int
	// LinkMs is the time there and back.
	LinkMs float64
	// RiskMs is the expected loss by failures; see RiskMs.
	RiskMs float64
	// ServiceMs is the usual time of one request on the target, 0: unknown.
	ServiceMs float64
}

// defaultServiceMs stands in until a target's first answer.
const defaultServiceMs = 20

// ExpectedMs is the expected time to the answer: the link, the wait for a slot,
// the request itself, and what failures cost. Slots that are taken slow a target before it is full,
// so that ties go to the emptier one.
func (c Candidate) ExpectedMs() float64 {
	return c.LinkMs + c.RiskMs + c.UsualMs()*(1+c.ahead()/c.slots()/2) + c.QueueMs()
}

// QueueMs is the expected wait for a slot.
func (c Candidate) QueueMs() float64 {
	if ahead := c.ahead(); ahead >= c.slots() {
		return (ahead - c.slots() + 1) / c.slots() * c.UsualMs()
	}
	return 0
}

// UsualMs is the usual time of a request that does not wait.
func (c Candidate) UsualMs() float64 {
	if c.ServiceMs <= 0 {
		return defaultServiceMs
	}
	return c.ServiceMs
}

func (c Candidate) ahead() float64 { return float64(c.InFlight + max(0, c.Reported-c.Explained)) }
func (c Candidate) slots() float64 { return float64(max(c.Slots, 1)) }

// Rank orders the candidates, the best first.
func Rank(candidates []Candidate) {
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		return cmp.Compare(a.ExpectedMs(), b.ExpectedMs())
	})
}
