package router

import (
	"context"
	"time"
)

const (
	// probeTimeout bounds a probe; it is many round trips between regions.
	probeTimeout = 500 * time.Millisecond
	// cancelTimeout bounds the cancelling of an abandoned attempt.
	cancelTimeout = 2 * time.Second
	// maxExtensions bounds how often an attempt that waits for its first token on
	// a healthy but busy engine is given more time.
	maxExtensions = 5
	// idleWait stands in for a timer that nothing needs.
	idleWait = time.Hour
)

// probeResult is what a probe of a stalled attempt's target showed.
type probeResult struct {
	a      *attempt
	health health
}

// untilStall returns the time until the next attempt must be probed.
func (c *completion) untilStall() time.Duration {
	now := c.r.Clock.Now()
	wait := idleWait
	for _, a := range c.active {
		if !a.probing {
			wait = min(wait, a.progress.Add(a.progressTimeout).Sub(now))
		}
	}
	return wait
}

// probeStalled probes the targets of stalled attempts over fresh connections
// while the attempts may still make progress.
func (c *completion) probeStalled(ctx context.Context) {
	now := c.r.Clock.Now()
	for _, a := range c.active {
		if a.probing || now.Before(a.progress.Add(a.progressTimeout)) {
			continue
		}
		a.probing = true
		c.r.Metrics.Add(MetricStalls, 1)
		go func() {
			h := c.r.ask(ctx, c.p.pool, a.target, a.incarnation)
			select {
			case c.probes <- &probeResult{a: a, health: h}:
			case <-a.ctx.Done():
			}
		}()
	}
}

// probed decides on a stalled attempt: it is given more time if its engine is
// well and still has work waiting, otherwise it is cancelled and resumed.
func (c *completion) probed(ctx context.Context, p *probeResult) error {
	a := p.a
	if !c.isActive(a) || !a.probing {
		return nil
	}
	a.probing = false
	if !a.delivered && p.health.waiting && a.extended < maxExtensions {
		a.extended++
		a.progress = c.r.Clock.Now()
		return nil
	}
	c.stalls++
	c.r.stalled(c.p.pool, a.target, a.incarnation, p.health)
	c.lastOf = &StalledError{Target: a.target.Name, After: a.progressTimeout}
	c.abandon(ctx, a)
	if len(c.active) > 0 {
		return nil
	}
	return c.pay(ctx, c.lastOf)
}

// hedgeTimer fires when a second attempt is due for a slow first token.
func (c *completion) hedgeTimer() *time.Timer {
	after := time.Duration(c.p.route.HedgeAfterMs) * time.Millisecond
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

// hedge starts a second attempt on another target, if there is one and the
// budget allows it.
func (c *completion) hedge(ctx context.Context) {
	c.hedged = true
	now := c.r.Clock.Now()
	ranked := c.r.rank(now, c.p, c.filter())
	for _, s := range ranked.scores {
		if c.tried[s.Target] {
			continue
		}
		id := c.r.newID()
		if !c.r.Fingerprints.Start(now, c.fingerprint, s.Target, id) {
			return
		}
		if !c.r.budget(c.p.routeRef).Spend(now, reserve(c.p.pool)) {
			c.r.Fingerprints.Ended(s.Target, id)
			return
		}
		c.r.Metrics.Add(MetricHedges, 1)
		c.startAttempt(ctx, claim{attempt: id, target: ranked.target(s.Target), score: s})
		return
	}
}
