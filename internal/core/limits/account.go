package limits

import (
	"math"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/config"
)

const (
	// burst is the time of unused rate that a bucket keeps.
	burst = time.Second
	// demandWindow is the time over which an account's demand decays.
	demandWindow = 5 * time.Second
)

// bucket is a token bucket. A charge may exceed what is left: the debt delays
// later requests, so a prompt larger than a second's rate is still served.
type bucket struct {
	level   float64
	updated time.Time
}

// fill adds what the rate earned since the last call. The capacity is one burst
// and at least least.
func (b *bucket) fill(now time.Time, rate, least float64) {
	capacity := max(rate*burst.Seconds(), least)
	if b.updated.IsZero() {
		b.level = capacity
	} else if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.level += rate * elapsed.Seconds()
	}
	b.level = min(b.level, capacity)
	b.updated = now
}

// wait returns the time until the level reaches need.
func (b *bucket) wait(need, rate float64) time.Duration {
	if b.level >= need {
		return 0
	}
	return max(time.Duration((need-b.level)/rate*float64(time.Second)), time.Millisecond)
}

// account is what the router knows of one client account.
type account struct {
	requests, prompt, output bucket

	running int
	demand  float64
	seen    time.Time
}

// arrived counts a request into the account's demand.
func (a *account) arrived(now time.Time) {
	a.demand = a.demandAt(now) + 1/demandWindow.Seconds()
	a.seen = now
}

// demandAt returns the account's demand in requests per second.
func (a *account) demandAt(now time.Time) float64 {
	elapsed := now.Sub(a.seen)
	if a.seen.IsZero() || elapsed < 0 {
		return a.demand
	}
	return a.demand * math.Exp(-elapsed.Seconds()/demandWindow.Seconds())
}

// charge takes the request from the account's rates, or tells which rate is
// exceeded and for how long.
func (a *account) charge(now time.Time, l config.Limits, share float64, promptTokens int) error {
	requestRate, promptRate := l.RequestsPerSecond*share, l.PromptTokensPerSecond*share
	outputRate := l.OutputTokensPerSecond * share
	a.requests.fill(now, requestRate, 1)
	a.prompt.fill(now, promptRate, 1)
	a.output.fill(now, outputRate, 1)
	checks := []struct {
		limit, rate float64
		b           *bucket
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
