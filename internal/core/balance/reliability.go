package balance

import (
	"math"
	"time"
)

const (
	// evidenceHalfLife is the half-life of the weight of past requests. Decay lets an
	// avoided target be tried again. The half-life is several times the usual interval
	// between two requests of a router.
	evidenceHalfLife = 8 * time.Second
	// priorSuccesses is the number of successful requests assumed for every target, so
	// that a single failure doesn't exclude it.
	priorSuccesses = 4
)

// Reliability estimates the failure rate of a target from its responses. It detects
// targets that fail part of their requests while their health check succeeds. The
// zero value has no observations.
type Reliability struct {
	requests float64
	failures float64
	at       time.Time
}

// Observe returns the estimate after one more request.
func (r Reliability) Observe(now time.Time, failed bool) Reliability {
	r = r.decay(now)
	r.requests++
	if failed {
		r.failures++
	}
	return r
}

// FailureShare is the expected fraction of requests that fail.
func (r Reliability) FailureShare(now time.Time) float64 {
	r = r.decay(now)
	return r.failures / (r.requests + priorSuccesses)
}

func (r Reliability) decay(now time.Time) Reliability {
	if age := now.Sub(r.at); !r.at.IsZero() && age > 0 {
		factor := math.Exp2(-age.Seconds() / evidenceHalfLife.Seconds())
		r.requests, r.failures = r.requests*factor, r.failures*factor
	}
	r.at = now
	return r
}

// Costs of a failed attempt to the caller, as multiples of the route's latency
// objective. A lost request costs its own time and that of the caller's retry; one
// that the router retries costs the time of another attempt.
const (
	lostRequestCost    = 2.0
	retriedRequestCost = 0.2
)

// FailureCostMs converts an expected fraction of failures to their expected cost in ms.
// retryable is set if the router may retry a failed attempt.
func FailureCostMs(failureShare float64, objective time.Duration, retryable bool) float64 {
	cost := lostRequestCost
	if retryable {
		cost = retriedRequestCost
	}
	return failureShare * cost * float64(objective) / float64(time.Millisecond)
}
