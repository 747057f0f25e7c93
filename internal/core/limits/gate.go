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
// evaluations per second: under overload the queues of many accounts wait, and time spent
// on looking at them is missing for the requests that run.
func gatePollPause(accounts int) time.Duration {
	return gatePollInterval * time.Duration(max(1, (accounts+evaluationsPerPoll-1)/evaluationsPerPoll))
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
	if pool := c.pool(p.req.Pool); pool.starting == p {
		pool.starting = nil
		c.grant(pool)
	}
}

// enqueueGated queues the request of a gated pool. It refuses requests that are
// expected to start after their deadline.
func (c *Controller) enqueueGated(now time.Time, p *pool, req Request) (*waiter, error) {
	p.gated = true
	w := &waiter{req: req, granted: make(chan struct{})}
	if delay := req.Gate.Delay(); delay <= 0 && p.starting == nil && !p.outranked(req) {
		// The targets of the queued requests had no capacity at the last evaluation.
		c.start(p, w)
		return w, nil
	}
	wait := c.gatedWait(p, req)
	if q := p.backlogged[req.Account]; q != nil && len(q.waiting) >= maxQueued {
		return nil, &RefusedError{Reason: ReasonQueueFull, RetryAfter: max(wait, time.Second)}
	}
	if wait > req.Deadline.Sub(now) {
		return nil, &RefusedError{Reason: ReasonDeadline, RetryAfter: wait}
	}
	p.enqueue(w)
	c.grant(p)
	return w, nil
}

// gatedWait estimates how long a request of a gated pool waits: the delay of its own
// target plus the service time of the requests queued before it. The queues of the
// other routers are assumed to be as long as this one.
func (c *Controller) gatedWait(p *pool, req Request) time.Duration {
	var ahead time.Duration
	for _, q := range p.backlogged {
		for _, w := range q.waiting {
			if w.req.Priority < req.Priority || w.req.Priority == req.Priority && w.req.Deadline.After(req.Deadline) {
				break
			}
			ahead += w.req.Gate.ServiceTime
		}
	}
	count, _, _ := c.shares.routers()
	return req.Gate.Delay() + ahead*time.Duration(count)/time.Duration(max(req.Gate.Servers, 1))
}

// poll grants the queued requests whose targets have capacity again.
func (c *Controller) poll(req Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grant(c.pool(req.Pool))
}
