// Package retry holds what bounds repeated attempts: the budget of a route,
// backoff, a circuit breaker for each target, and the fingerprints of requests
// that crash their targets. It takes the time and randomness as parameters.
package retry

import (
	"sync"
	"time"
)

// reserveRefill is the time in which a route with little traffic earns back
// one extra attempt of its reserve.
const reserveRefill = time.Second

// Budget bounds the extra attempts of one route: retries, hedges and resumes
// share it. Each request earns a fraction of an extra attempt. A reserve, which
// refills slowly, lets a route with little traffic outlive the crash of one
// target. It is safe for concurrent use.
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
	// Twice the reserve is kept at most, so that a quiet hour does not pay for a
	// storm of retries.
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

// Tokens returns the extra attempts that the budget holds now.
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
		b.tokens += min(missing, elapsed.Seconds()/reserveRefill.Seconds())
	}
}

// Bounds of the backoff. The base is about two round trips between regions.
const (
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
)

// Backoff returns the wait before the extra attempt number attempt, which
// counts from 1: exponential, with full jitter taken from random in [0, 1).
func Backoff(attempt int, random float64) time.Duration {
	ceiling := backoffMax
	if attempt < 6 { // 50 ms x 2^5 is the last step below the maximum
		ceiling = min(backoffBase<<max(attempt-1, 0), backoffMax)
	}
	return time.Duration(random * float64(ceiling))
}
