package balance

import (
	"math"
	"time"
)

const (
	// evidenceHalfLife is the time in which what a target did loses half of its
	// weight. It lets a target that is passed over be tried again, and is several
	// times the pause between two requests of a router at the usual rates.
	evidenceHalfLife = 8 * time.Second
	// priorRuns is the number of good answers that every target is credited with, so
	// that a single failure is no verdict.
	priorRuns = 4
)

// Reliability is how often requests failed on a target, as their own answers showed.
// It answers targets that fail a part of their requests while their health check is
// good. The zero value knows nothing.
type Reliability struct {
	runs     float64
	failures float64
	at       time.Time
}

// Observe returns the evidence with one more request.
func (r Reliability) Observe(now time.Time, failed bool) Reliability {
	r = r.fade(now)
	r.runs++
	if failed {
		r.failures++
	}
	return r
}

// FailureShare is the expected share of requests that fail now.
func (r Reliability) FailureShare(now time.Time) float64 {
	r = r.fade(now)
	return r.failures / (r.runs + priorRuns)
}

func (r Reliability) fade(now time.Time) Reliability {
	if age := now.Sub(r.at); !r.at.IsZero() && age > 0 {
		keep := math.Exp2(-age.Seconds() / evidenceHalfLife.Seconds())
		r.runs, r.failures = r.runs*keep, r.failures*keep
	}
	r.at = now
	return r
}

// What a failed attempt costs the caller, in objectives of the route: an answer that
// is lost costs the time that it took and that of the caller's own repeat; one that the
// router repeats costs the time of another attempt.
const (
	lostObjectives     = 2.0
	repeatedObjectives = 0.2
)

// RiskMs turns an expected share of failures into the time that they cost.
func RiskMs(failureShare float64, objective time.Duration, repeatable bool) float64 {
	cost := lostObjectives
	if repeatable {
		cost = repeatedObjectives
	}
	return failureShare * cost * float64(objective) / float64(time.Millisecond)
}
