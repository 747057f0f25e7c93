package completions

import (
	"context"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/panics"
)

const (
	// probeTimeout limits a probe. It allows for many round trips between regions.
	probeTimeout = 500 * time.Millisecond
	// cancelTimeout limits the cancellation of an abandoned attempt.
	cancelTimeout = 2 * time.Second
	// maxExtensions limits how often the timeout of an attempt is extended while it
	// waits for its first token on a healthy but busy engine.
	maxExtensions = 5
	// noTimeout is the duration of a timer while nothing has to time out.
	noTimeout = time.Hour
)

// probeResult is the result of probing the target of a stalled attempt.
type probeResult struct {
	attempt *attempt
	health  health
}

// untilStall returns the time until the next attempt counts as stalled.
func (c *completion) untilStall() time.Duration {
	now := c.r.Clock.Now()
	wait := noTimeout
	for _, a := range c.active {
		if !a.probing {
			wait = min(wait, a.lastProgress.Add(a.progressTimeout).Sub(now))
		}
	}
	return wait
}

// probeStalled probes the targets of stalled attempts over fresh connections. The
// attempts continue and may still make progress meanwhile.
func (c *completion) probeStalled(ctx context.Context) {
	now := c.r.Clock.Now()
	for _, a := range c.active {
		if a.probing || now.Before(a.lastProgress.Add(a.progressTimeout)) {
			continue
		}
		a.probing = true
		c.r.Metrics.Add(MetricStalls, 1)
		go func() {
			defer panics.Catch(c.r.Logger, "probe", "target", a.target.Address)
			h := c.r.probe(ctx, c.plan.pool, a.target, a.incarnation)
			select {
			case c.probes <- &probeResult{attempt: a, health: h}:
			case <-a.ctx.Done():
			}
		}()
	}
}

// handleProbe extends the timeout of a stalled attempt if it waits for its first
// token on an engine that is reachable and busy. Otherwise it abandons the attempt,
// and the request resumes on another target.
func (c *completion) handleProbe(ctx context.Context, p *probeResult) error {
	a := p.attempt
	if !c.isActive(a) || !a.probing {
		return nil
	}
	a.probing = false
	if !a.delivered && p.health.waiting && a.extensions < maxExtensions {
		a.extensions++
		a.lastProgress = c.r.Clock.Now()
		return nil
	}
	c.stalls++
	c.r.recordStall(c.plan.pool, a.target, a.incarnation, p.health)
	c.lastErr = &StalledError{Target: a.target.Name, After: a.progressTimeout}
	c.abandonUnanswered(ctx, a)
	if len(c.active) > 0 {
		return nil
	}
	return c.retryWithinBudget(ctx, c.lastErr)
}

// hedgeTimer returns a timer that fires when a slow first token is to be hedged with
// a second attempt, or nil.
func (c *completion) hedgeTimer() *time.Timer {
	after := time.Duration(c.plan.route.HedgeAfterMs) * time.Millisecond
	if after <= 0 || c.hedged || c.asm.Chunks() > 0 || len(c.active) != 1 {
		return nil
	}
	return time.NewTimer(c.active[0].started.Add(after).Sub(c.r.Clock.Now()))
}

func timerChan(t *time.Timer) <-chan time.Time {
	if t == nil {
		return nil
	}
	return t.C
}

// hedge starts a second attempt if an untried target is usable and the retry budget
// allows it.
func (c *completion) hedge(ctx context.Context) {
	c.hedged = true
	now := c.r.Clock.Now()
	ranked := c.r.rank(now, c.plan, c.filter())
	for _, s := range ranked.scores {
		if c.tried[s.Target] {
			continue
		}
		id := c.r.newID()
		t := ranked.target(s.Target)
		if !c.r.start(now, c.filter(), t, id) {
			return
		}
		if !c.r.budget(c.plan.routeRef).Spend(now, budgetReserve(c.plan.pool)) {
			c.r.CrashTracker.Ended(t.Address, id)
			c.r.SegmentTracker.Ended(now, t.Address, id, retry.Unjudged)
			return
		}
		c.r.Metrics.Add(MetricHedges, 1)
		c.startAttempt(ctx, claim{attemptID: id, target: t, score: s})
		return
	}
}
