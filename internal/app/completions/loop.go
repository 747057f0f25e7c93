package completions

import (
	"context"
	"time"
)

// step waits for the next event or timer and handles it.
func (c *completion) step(ctx context.Context) (done bool, err error) {
	c.stall.Reset(c.untilStall())
	hedge := c.hedgeTimer()
	reason := c.wait(ctx, timerChan(hedge))
	if hedge != nil {
		hedge.Stop()
	}
	return c.handleWakeup(ctx, reason)
}

// wakeReason identifies the channel that woke wait.
type wakeReason int

const (
	wakeEvent wakeReason = iota
	wakeProbe
	wakeStall
	wakeHedge
	wakeQuarantine
	wakeDone
)

// wait blocks until the next event or timer. It has no other variables, to keep the
// stack frame of an open stream small.
func (c *completion) wait(ctx context.Context, hedge <-chan time.Time) wakeReason {
	select {
	case c.event = <-c.events:
		return wakeEvent
	case c.probe = <-c.probes:
		return wakeProbe
	case <-c.stall.C:
		return wakeStall
	case <-hedge:
		return wakeHedge
	case <-c.quarantines:
		return wakeQuarantine
	case <-ctx.Done():
		return wakeDone
	}
}

func (c *completion) handleWakeup(ctx context.Context, reason wakeReason) (done bool, err error) {
	switch reason {
	case wakeEvent:
		return c.handleEvent(ctx, &c.event)
	case wakeProbe:
		return false, c.handleProbe(ctx, c.probe)
	case wakeStall:
		c.probeStalled(ctx)
	case wakeHedge:
		c.hedge(ctx)
	case wakeQuarantine:
		c.quarantines = c.r.CrashTracker.NextQuarantine()
		if c.r.refused(c.r.Clock.Now(), c.filter()) {
			return false, ErrQuarantined
		}
	case wakeDone:
		return false, ctx.Err()
	}
	return false, nil
}
