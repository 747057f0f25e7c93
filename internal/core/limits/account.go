package limits

import (
	"math"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/config"
)

const (
	// burst is the period of unused rate that a tokenBucket accumulates.
	burst = time.Second
	// demandWindow is the time constant of the exponential decay of an account's
	// demand.
	demandWindow = 5 * time.Second
)

// tokenBucket may go below zero: the debt delays later requests, so a prompt
// that exceeds one second of the rate is still served.
type tokenBucket struct {
	level   float64
	updated time.Time
}

// fill adds the tokens accrued at the rate since the last call. The capacity is
// one burst, but not less than minCapacity.
func (b *tokenBucket) fill(now time.Time, rate, minCapacity float64) {
	capacity := max(rate*burst.Seconds(), minCapacity)
	if b.updated.IsZero() {
		b.level = capacity
	} else if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.level += rate * elapsed.Seconds()
	}
	b.level = min(b.level, capacity)
	b.updated = now
}

// wait returns the time until the level reaches need.
func (b *tokenBucket) wait(need, rate float64) time.Duration {
	if b.level >= need {
		return 0
	}
	return max(time.Duration((need-b.level)/rate*float64(time.Second)), time.Millisecond)
}

// account tracks the rate limits, running requests and demand of one client
// account on this router.
type account struct {
	requests, prompt, output tokenBucket

	running     int
	demand      float64
	lastRequest time.Time
}

// recordArrival adds a request to the account's demand.
func (a *account) recordArrival(now time.Time) {
	a.demand = a.demandAt(now) + 1/demandWindow.Seconds()
	a.lastRequest = now
}

// demandAt returns the account's demand in requests per second.
func (a *account) demandAt(now time.Time) float64 {
	elapsed := now.Sub(a.lastRequest)
	if a.lastRequest.IsZero() || elapsed < 0 {
		return a.demand
	}
	return a.demand * math.Exp(-elapsed.Seconds()/demandWindow.Seconds())
}

// charge deducts the request from the account's rate limits. If one of them is
// exhausted, it returns a *RefusedError with the reason and the time to wait.
func (a *account) charge(now time.Time, l config.Limits, share float64, promptTokens int) error {
	requestRate, promptRate := l.RequestsPerSecond*share, l.PromptTokensPerSecond*share
	outputRate := l.OutputTokensPerSecond * share
	a.requests.fill(now, requestRate, 1)
	a.prompt.fill(now, promptRate, 1)
	a.output.fill(now, outputRate, 1)
	checks := []struct {
		limit, rate float64
		b           *tokenBucket
		reason      Reason
	}{
		{l.RequestsPerSecond, requestRate, &a.requests, ReasonRequestRate},
		{l.PromptTokensPerSecond, promptRate, &a.prompt, ReasonPromptRate},
		{l.OutputTokensPerSecond, outputRate, &a.output, ReasonOutputRate},
	}
	for _, c := range checks {
		if c.limit <= 0 {
			continue
		}
		if wait := c.b.wait(1, c.rate); wait > 0 {
			return &RefusedError{Reason: c.reason, RetryAfter: wait}
		}
	}
	a.requests.level--
	a.prompt.level -= float64(promptTokens)
	return nil
}
