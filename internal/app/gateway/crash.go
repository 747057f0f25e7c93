package gateway

import (
	"context"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/core/retrypolicy"
	"mimosaseam.example/mimosaseam/internal/port"
)

// probeAfterFailure records the failure of a target whose response was lost. It first
// probes an engine: one that fails the probe counts as crashed while it ran its requests.
func (x *exchange) probeAfterFailure(now time.Time, t Target) {
	g := x.g
	if x.engine != nil {
		// A crash also breaks the pooled connections, which then prove nothing more.
		ctx, cancel := context.WithTimeout(port.WithFreshConnection(context.Background()), probeTimeout)
		defer cancel()
		_, err := g.Control.Status(ctx, t.Address, t.ID)
		if err == nil {
			g.circuits.Failure(now, t.ID, retry.AttemptFailed)
			return
		}
		if g.CrashTracker.Crashed(now, t.Address, string(t.Incarnation())) {
			g.Log.Info("target crashed", "target", t.ID, "request", x.r.ID)
		}
		if port.ProvesRestart(err) {
			g.recordEnd(t, true, "status request failed")
		}
		g.circuits.Failure(now, t.ID, retry.TargetDown)
		return
	}
	g.circuits.Failure(now, t.ID, retry.AttemptFailed)
}

// attemptEnd returns how an attempt with this result ended.
func attemptEnd(outcome retrypolicy.Outcome, err error, rating targetRating) retry.AttemptEnd {
	switch {
	case err == nil && rating == ratingGood:
		return retry.Answered
	case err != nil && outcome == retrypolicy.Unknown && failureOf(err).Kind != KindClientGone:
		return retry.Unanswered
	}
	return retry.Unjudged
}

// recordEnd records that a target has ended unannounced. A planned end is announced first.
func (g *Gateway) recordEnd(t Target, proven bool, why string) {
	if t.statements.Leaving() {
		return
	}
	if n, first := g.SegmentTracker.TargetEnded(g.Clock.Now(), t.Address, string(t.Incarnation()), proven); first {
		g.Log.Info("target ended", "target", t.ID, "incarnation", string(t.Incarnation()), "unanswered", n, "why", why)
	}
}

// recordRestored records that a target whose entry was gone has it again.
func (g *Gateway) recordRestored(t Target) {
	g.SegmentTracker.TargetRestored(t.Address, string(t.Incarnation()))
}
