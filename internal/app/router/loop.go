package router

import (
	"context"
	"time"
)

// step waits for the next thing to happen and handles it.
func (c *completion) step(ctx context.Context) (done bool, err error) {
	c.stall.Reset(c.untilStall())
	hedge := c.hedgeTimer()
	what := c.wait(ctx, timerChan(hedge))
	if hedge != nil {
		hedge.Stop()
	}
	return c.react(ctx, what)
}

// happening says what wait has received.
type happening int

const (
	happenedEvent happening = iota
	happenedProbe
	happenedStall
	happenedHedge
	happenedQuarantine
	happenedDone
)

// wait blocks until the next thing happens. It has nothing else in its frame.
func (c *completion) wait(ctx context.Context, hedge <-chan time.Time) happening {
	select {
	case c.event = <-c.events:
		return happenedEvent
	case c.probe = <-c.probes:
		return happenedProbe
	case <-c.stall.C:
		return happenedStall
	case <-hedge:
		return happenedHedge
	case <-c.quarantines:
		return happenedQuarantine
	case <-ctx.Done():
		return happenedDone
	}
}

func (c *completion) react(ctx context.Context, what happening) (done bool, err error) {
	switch what {
	case happenedEvent:
		return c.handle(ctx, &c.event)
	case happenedProbe:
		return false, c.probed(ctx, c.probe)
	case happenedStall:
		c.probeStalled(ctx)
	case happenedHedge:
		c.hedge(ctx)
	case happenedQuarantine:
		c.quarantines = c.r.Fingerprints.Quarantines()
		if c.r.Fingerprints.Quarantined(c.r.Clock.Now(), c.fingerprint) {
			return false, ErrQuarantined
		}
	case happenedDone:
		return false, ctx.Err()
	}
	return false, nil
}
