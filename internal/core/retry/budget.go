// Package retry limits repeated attempts: retry budgets of routes, backoff, a
// circuit breaker for each target, and the detection of requests that crash
// their targets. It takes the time and randomness as parameters.
package retry

import (
	"sync"
	"time"
)

// reserveRefillInterval is the time in which one extra attempt of a used reserve is
// restored.
const reserveRefillInterval = time.Second

// Budget limits the extra attempts of one route: retries, hedges and resumes
// share it. Each request earns a fraction of an extra attempt. A reserve, which
// refills over time, allows a route with little traffic to retry after the crash
// of a target. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	tokens  float64
	updated time.Time
}

// Earn credits one request at percent of an attempt.
func (b *Budget) Earn(now time.Time, percent, reserve int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, reserve)
	// Capped at twice the reserve, so that the credit of an hour without failures
	// cannot fund a retry storm.
	b.tokens = min(b.tokens+float64(percent)/100, 2*float64(reserve))
}

// Spend takes one extra attempt from the budget, if there is one.
func (b *Budget) Spend(now time.Time, reserve int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, reserve)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of extra attempts that are available.
func (b *Budget) Tokens(now time.Time, reserve int) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, reserve)
	return b.tokens
}

func (b *Budget) refill(now time.Time, reserve int) {
	if b.updated.IsZero() {
		b.tokens = float64(reserve)
		b.updated = now
		return
	}
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	if missing := float64(reserve) - b.tokens; missing > 0 {
		b.tokens += min(missing, elapsed.Seconds()/reserveRefillInterval.Seconds())
	}
}

// Limits of the backoff. The base is about two round trips between regions.
const (
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
)

// Backoff returns the delay before an extra attempt; attempt counts from 1. The
// delay grows exponentially, with full jitter derived from random in [0, 1).
func Backoff(attempt int, random float64) time.Duration {
	maxDelay := backoffMax
	if attempt < 6 { // 50 ms x 2^5 is the last step below the maximum
		maxDelay = min(backoffBase<<max(attempt-1, 0), backoffMax)
	}
	return time.Duration(random * float64(maxDelay))
}
