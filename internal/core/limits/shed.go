package limits

import (
	"slices"
	"time"
)

const (
	// shedInterval is the time between two searches of a queue for requests that are no longer
	// expected to be served in time: targets may be lost, and more urgent requests may arrive.
	shedInterval = 100 * time.Millisecond
	// minRetryAfter is the shortest time after which a refused client is told to return: sooner,
	// returning clients cost a router more than it takes to serve them.
	minRetryAfter = 300 * time.Millisecond
	// shedFactor is the multiple of the time left that a waiting request must be expected to
	// wait before it is refused. The estimate is uncertain, and a late answer still has some
	// worth; a request that really cannot be served reaches the factor well before its time
	// is over.
	shedFactor = 1.5
)

// refuse records and returns a refusal.
func (p *pool) refuse(now time.Time, w *waiter, reason Reason, e Estimate) *RefusedError {
	p.markShort(now)
	wait := p.returns.refuse(now, w.req.Fingerprint, max(e.Drain, minRetryAfter))
	refusal := &RefusedError{Reason: reason, RetryAfter: wait, Estimate: e, Early: w.early}
	if !w.queuedAt.IsZero() {
		refusal.Waited = now.Sub(w.queuedAt)
	}
	return refusal
}

// Refused records that a request which had been admitted was refused after all, because no target
// took it, and when its client was told to return.
func (c *Controller) Refused(poolName string, fingerprint uint64, retryAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, p := c.clock.Now(), c.pool(poolName)
	p.markShort(now)
	p.returns.refuse(now, fingerprint, retryAfter)
}

// shed refuses the waiting requests that are expected to miss their deadline by far, so that
// their clients need not wait for it.
func (c *Controller) shed(now time.Time, p *pool) {
	if now.Sub(p.shed) < shedInterval {
		return
	}
	p.shed = now
	var kept queueAhead
	for _, w := range p.inOrder(now) {
		e := Estimate{Left: w.req.Deadline.Sub(now), Ahead: kept.requests, Work: kept.work, Servers: p.capacity}
		if p.gated {
			e.Drain, e.Servers = max(0, p.clearAt.Sub(now))+c.drainTime(now, p, kept.work), p.servers
		} else {
			e.Drain = time.Duration(float64(kept.requests+1) / float64(max(p.capacity, 1)) * float64(p.meanHoldTime))
		}
		e.Wait = c.project(now, p, w, e.Drain)
		if float64(e.Wait) <= shedFactor*float64(e.Left) {
			kept.add(w)
			continue
		}
		p.remove(w)
		w.refusal = p.refuse(now, w, ReasonDeadline, e)
		close(w.granted)
	}
}

// inOrder returns the waiting requests in the order in which they are expected to be served.
func (p *pool) inOrder(now time.Time) []*waiter {
	type place struct {
		w *waiter
		s standing
	}
	all := make([]place, 0, p.queued)
	for _, f := range p.flows {
		u := f.waiting[0].usage
		u.scanned = u.work.read(now, usageWindow)
	}
	for _, f := range p.flows {
		s := p.standing(now, f.waiting[0])
		for _, w := range f.waiting {
			w.usage.scanned += w.cost() / w.weight()
			s.late, s.tag, s.deadline = w.late(now), w.usage.scanned, w.req.Deadline
			all = append(all, place{w, s})
		}
	}
	slices.SortFunc(all, func(a, b place) int {
		switch {
		case a.s.before(b.s):
			return -1
		case b.s.before(a.s):
			return 1
		}
		return 0
	})
	out := make([]*waiter, len(all))
	for i := range all {
		out[i] = all[i].w
	}
	return out
}
