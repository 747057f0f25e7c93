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

// wakeup says what wait has received.
type wakeup int

const (
	wokenEvent wakeup = iota
	wokenProbe
	wokenStall
	wokenHedge
	wokenQuarantine
	wokenDone
)

// wait blocks until the next thing happens. It has nothing else in its frame.
func (c *completion) wait(ctx context.Context, hedge <-chan time.Time) wakeup {
	select {
	case c.event = <-c.events:
		return wokenEvent
	case c.probe = <-c.probes:
		return wokenProbe
	case <-c.stall.C:
		return wokenStall
	case <-hedge:
		return wokenHedge
	case <-c.quarantines:
		return wokenQuarantine
	case <-ctx.Done():
		return wokenDone
	}
}

func (c *completion) react(ctx context.Context, what wakeup) (done bool, err error) {
	switch what {
	case wokenEvent:
		return c.handle(ctx, &c.event)
	case wokenProbe:
		return false, c.probed(ctx, c.probe)
	case wokenStall:
		c.probeStalled(ctx)
	case wokenHedge:
		c.hedge(ctx)
	case wokenQuarantine:
		c.quarantines = c.r.Fingerprints.NextQuarantine()
		if c.r.Fingerprints.Quarantined(c.r.Clock.Now(), c.fingerprint) {
			return false, ErrQuarantined
		}
	case wokenDone:
		return false, ctx.Err()
	}
	return false, nil
}
