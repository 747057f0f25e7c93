package gateway

import (
	"context"
	"errors"
	"time"

	"mimosaseam.example/mimosaseam/internal/app/allotments"
	"mimosaseam.example/mimosaseam/internal/core/allotment"
	"mimosaseam.example/mimosaseam/internal/core/gatewayconfig"
	"mimosaseam.example/mimosaseam/internal/core/retrypolicy"
)

// Allotments charges client accounts for their requests. *allotments.Service implements it.
type Allotments interface {
	Acquire(ctx context.Context, key allotment.Key, limit allotment.Limit, tokens float64, maxDelay time.Duration) (allotment.Charge, error)
	Return(charge allotment.Charge)
}

const (
	// overBurstRetryAfter is the advice to a client whose request costs more than the burst
	// of its account, before jitter: only a change of the configuration can help it.
	overBurstRetryAfter = 10 * time.Second
)

// AllotmentLimit returns the limit of a key in the configuration in force.
func (g *Gateway) AllotmentLimit(key allotment.Key) (allotment.Limit, bool) {
	c := g.config.Load()
	if c == nil {
		return allotment.Limit{}, false
	}
	a, known := c.Allotments()[string(key)]
	return g.allotmentLimit(a), known
}

// minBurst is the time in seconds whose rate an allotment holds at least: without a burst, no
// request could ever run. It fits within what core/allotment leaves of the usual tolerance, a
// tenth of 0.8 s.
const minBurst = 0.05

// allotmentLimit returns the limit of an allotment. Prompts above the burst are admitted with a
// full bucket, and delay later ones, if the deployment tolerates the tokens beyond it.
func (g *Gateway) allotmentLimit(a gatewayconfig.Allotment) allotment.Limit {
	l := allotment.Limit{Rate: a.Rate, Burst: max(a.Burst, minBurst*a.Rate)}
	if a.CountsTokens {
		l.Debt = g.settings().AllotmentSlack > 0
	} else {
		l.Burst = max(l.Burst, 1)
	}
	return l
}

// charge charges the request to its account. Requests without a key have no account.
func (x *exchange) charge(ctx context.Context) error {
	if x.account == nil || !x.account.Allotment.Limited() || x.g.Allotments == nil {
		return nil
	}
	a := &x.account.Allotment
	cost := a.Cost(x.r.PromptTokens, x.r.MaxOutputTokens)
	if cost <= 0 {
		return nil
	}
	charge, err := x.g.Allotments.Acquire(ctx, allotment.Key(gatewayconfig.AllotmentKey(x.account.Name)), x.g.allotmentLimit(*a), cost,
		x.route.Objective)
	if err == nil {
		x.allotted = charge
		return nil
	}
	if !errors.As(err, &x.over) {
		return x.giveUp(ctx, retrypolicy.NotRun, err) // the client has gone, or its time is over
	}
	retryAfter := x.over.RetryAfter
	if retryAfter <= 0 {
		retryAfter = jitter(overBurstRetryAfter)
	}
	return &Failure{Kind: KindOverAllotment, RetryAfter: retryAfter, Cause: x.over}
}

// refund gives back the charge of a request that did not run.
func (x *exchange) refund() {
	if x.allotted.Tokens > 0 && x.history.PossibleRuns == 0 {
		x.g.Allotments.Return(x.allotted)
		x.allotted = allotment.Charge{}
	}
}

var _ Allotments = (*allotments.Service)(nil)
