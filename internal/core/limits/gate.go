package limits

import "time"

// gatePollInterval is the interval at which the queue of a gated pool is re-evaluated:
// the backlogs of targets shrink while they process prompts, without a request ending.
// It is short compared with every latency objective.
const gatePollInterval = 20 * time.Millisecond

// evaluationsPerPoll is the number of gates that one poll may evaluate at the interval
// above. Each evaluation ranks the targets.
const evaluationsPerPoll = 4

// gatePollPause returns the time until the queue is evaluated again. It bounds the
// evaluations per second: under overload the requests of many accounts and kinds wait, and time spent
// on looking at them is missing for the requests that run.
func gatePollPause(flows int) time.Duration {
	return gatePollInterval * time.Duration(max(1, (flows+evaluationsPerPoll-1)/evaluationsPerPoll))
}

// Gate describes a request of a pool whose capacity is limited by time instead of
// slots, because its targets prefill prompts one after the other. Under overload it
// holds requests back in the router, where they can still be reordered or refused;
// a request queued in a target delays everything behind it.
type Gate struct {
	// Delay returns the time until the request may be sent to the target chosen for
	// it; 0 means now. It is called with the Controller's lock held and must not call
	// the Controller.
	Delay func() time.Duration
	// Yield is Delay for a request that leaves room to those of other accounts; nil: Delay.
	Yield func() time.Duration
	// Concurrent requests may start before the one granted last has started: they are short,
	// and a target that gets one too many refuses it without running it.
	Concurrent bool
	// ServiceTime is how long the request occupies one of the pool's Servers.
	ServiceTime time.Duration
	Servers     int
}

const (
	// minBacklogRatio is the fraction of the objective that is always allowed as
	// backlog: a prompt that takes longer than the objective even on an idle target
	// must start too.
	minBacklogRatio = 0.1
	// lateBacklogRatio is the fraction of the allowed backlog up to which requests
	// are sent that miss their objective anyway, so that those behind them can still
	// meet theirs.
	lateBacklogRatio = 0.5
	// rankPenalty is the fraction of the objective by which each lower rank reduces
	// the allowed backlog, down to minRankFactor: urgent requests can still be sent
	// when a target has no capacity for the rest.
	rankPenalty   = 0.1
	minRankFactor = 0.5
)

// LatencyBudget determines the backlog that a request tolerates on its target.
type LatencyBudget struct {
	// Objective is the latency objective for the time to the first token.
	Objective time.Duration
	// UnloadedLatency is the time to the first token on an idle target.
	UnloadedLatency time.Duration
	// Rank is 0 for the most urgent requests.
	Rank int
}

func (b LatencyBudget) rankFactor() float64 { return max(minRankFactor, 1-rankPenalty*float64(b.Rank)) }

// MaxLateBacklog returns the largest backlog of a target to which the request is still
// sent when it misses its objective.
func (b LatencyBudget) MaxLateBacklog() time.Duration {
	allowed := max(b.rankFactor()*float64(b.Objective)-float64(b.UnloadedLatency), minBacklogRatio*float64(b.Objective))
	return time.Duration(lateBacklogRatio * allowed)
}

// Delay returns the time until the request may be sent to a target with the backlog;
// 0 means now. A request that can still meet its objective is sent at once; a late
// one waits until the backlog has shrunk to MaxLateBacklog.
func (b LatencyBudget) Delay(backlog, waited time.Duration) time.Duration {
	if float64(backlog) <= b.rankFactor()*float64(b.Objective)-float64(b.UnloadedLatency+waited) {
		return 0
	}
	return max(0, backlog-b.MaxLateBacklog())
}

// MarkStarted records that the request is now part of the backlogs that the gates of its
// pool use, so that the next request can be granted. Repeated calls have no effect.
func (p *Permit) MarkStarted() {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	p.c.started(p)
}

func (c *Controller) started(p *Permit) {
	if p.pool.starting != p {
		return
	}
	if p.pool.starting = nil; p.pool.queued > 0 {
		c.grant(c.clock.Now(), p.pool)
	}
}

// delay returns the time until the request may be sent to a target.
func (p *pool) delay(now time.Time, w *waiter) time.Duration {
	if w.req.Gate.Yield != nil && p.yields(now, w) {
		return w.req.Gate.Yield()
	}
	return w.req.Gate.Delay()
}

// observeDelay records the delay of a gate that is closed.
func (p *pool) observeDelay(now time.Time, delay time.Duration) {
	if at := now.Add(delay); p.clearAt.IsZero() || at.Before(p.clearAt) {
		p.clearAt = at
	}
}

// enqueueGated queues the request of a gated pool. It refuses requests that are
// expected to start after their deadline.
func (c *Controller) enqueueGated(now time.Time, p *pool, req Request) (*waiter, error) {
	p.gated = true
	p.setServers(req.Gate.Servers)
	w := p.newWaiter(now, req)
	p.offer(now, w)
	delay := p.delay(now, w)
	if delay <= 0 && (p.starting == nil || req.Gate.Concurrent) && !p.outranked(now, w) {
		// The targets of the queued requests had no capacity at the last evaluation.
		c.start(now, p, w)
		if !req.Gate.Concurrent {
			p.starting = w.permit
		}
		return w, nil
	}
	e := c.gatedWait(now, p, w, delay)
	if w.usage.waiting >= maxQueued {
		return nil, p.refuse(now, w, ReasonQueueFull, e)
	}
	if e.Wait > e.Left {
		return nil, p.refuse(now, w, ReasonDeadline, e)
	}
	p.enqueue(now, w)
	if c.grant(now, p); !w.done() && delay > 0 {
		p.markShort(now)
	}
	return w, nil
}

// gatedWait estimates how long a request of a gated pool waits: the delay of its own
// target plus the service time of the requests queued before it, and of those that arrive
// meanwhile and go first. The queues of the other routers are assumed to be as long as this one.
func (c *Controller) gatedWait(now time.Time, p *pool, w *waiter, delay time.Duration) Estimate {
	ahead := p.ahead(now, w)
	base := delay + c.drainTime(now, p, ahead.work)
	return Estimate{Wait: c.project(now, p, w, base), Drain: base, Left: w.req.Deadline.Sub(now), Ahead: ahead.requests, Work: ahead.work, Servers: p.servers}
}

// poll grants the queued requests whose targets have capacity again.
func (c *Controller) poll(req Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grant(c.clock.Now(), c.pool(req.Pool))
}
