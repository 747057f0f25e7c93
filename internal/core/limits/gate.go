package limits

import "time"

// gatePoll is the time between two looks at a queue that no end of a request moves:
// targets work off what they have read in the meantime. It is short against every
// objective.
const gatePoll = 20 * time.Millisecond

// Gate describes a request of a pool whose room is time instead of places: its targets
// read prompts one after the other. It answers the load of more work than the targets
// do in time: what waits in front of the router can still be ordered and refused, and
// what waits in a target delays everything behind it.
type Gate struct {
	// Delay returns the time until the target that the request would go to has room, 0:
	// now. It is called with the controller locked, and must not call it.
	Delay func() time.Duration
	// ServiceTime is how long the request keeps one of Servers busy.
	ServiceTime time.Duration
	Servers     int
}

const (
	// minRoomShare is the part of the objective for which work may always wait in a
	// target: a prompt that alone takes longer than the objective must start too.
	minRoomShare = 0.1
	// lateRoomShare is the part of the room that requests get which miss the objective
	// anyway, so that those behind them can still meet it.
	lateRoomShare = 0.5
	// rankStep is the part of the room that each lower rank lacks, down to leastShare:
	// what is more urgent still finds room when a target has none for the rest.
	rankStep   = 0.1
	leastShare = 0.5
)

// LatencyBudget is what a request asks of the target that it goes to.
type LatencyBudget struct {
	// Objective is the time to the first token within which the answer is on time.
	Objective time.Duration
	// ServiceTime is what the target takes for the request alone.
	ServiceTime time.Duration
	// Rank is 0 for the most urgent requests.
	Rank int
}

func (a LatencyBudget) share() float64 { return max(leastShare, 1-rankStep*float64(a.Rank)) }

// MaxLateBacklog is the queue on a target behind which a request is sent that misses its
// objective.
func (a LatencyBudget) MaxLateBacklog() time.Duration {
	room := max(a.share()*float64(a.Objective)-float64(a.ServiceTime), minRoomShare*float64(a.Objective))
	return time.Duration(lateRoomShare * room)
}

// Delay returns the time until the request may be sent to a target with the
// queue, 0: now. It may while it is on time there; later it waits until the queue has
// shrunk.
func (a LatencyBudget) Delay(queue, waited time.Duration) time.Duration {
	if float64(queue) <= a.share()*float64(a.Objective)-float64(a.ServiceTime+waited) {
		return 0
	}
	return max(0, queue-a.MaxLateBacklog())
}

// Started tells that the request is counted where the gates of its pool look, so that
// the next one can be considered. Repeated calls have no effect.
func (p *Permit) Started() {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	p.c.started(p)
}

func (c *Controller) started(p *Permit) {
	if pool := c.pool(p.ask.Pool); pool.starting == p {
		pool.starting = nil
		c.grant(pool)
	}
}

// enqueueGated puts the request in the queue of a gated pool, unless it cannot start
// before its deadline.
func (c *Controller) enqueueGated(now time.Time, p *pool, a Request) (*waiter, error) {
	p.gated = true
	w := &waiter{ask: a, granted: make(chan struct{})}
	if room := a.Gate.Delay(); room <= 0 && p.starting == nil && !p.outranked(a) {
		// What waits was found to have no room on its targets.
		c.start(p, w)
		return w, nil
	}
	wait := c.gatedWait(p, a)
	if l := p.busy[a.Account]; l != nil && len(l.waiting) >= maxQueued {
		return nil, &RefusedError{Reason: ReasonQueueFull, RetryAfter: max(wait, time.Second)}
	}
	if wait > a.Deadline.Sub(now) {
		return nil, &RefusedError{Reason: ReasonDeadline, RetryAfter: wait}
	}
	p.enqueue(w)
	c.grant(p)
	return w, nil
}

// gatedWait is the expected wait: until the target has room, and for the work of what
// goes before. The other routers are taken to have queues like this one.
func (c *Controller) gatedWait(p *pool, a Request) time.Duration {
	var ahead time.Duration
	for _, l := range p.busy {
		for _, w := range l.waiting {
			if w.ask.Priority < a.Priority || w.ask.Priority == a.Priority && w.ask.Deadline.After(a.Deadline) {
				break
			}
			ahead += w.ask.Gate.ServiceTime
		}
	}
	count, _, _ := c.divider.routers()
	return a.Gate.Delay() + ahead*time.Duration(count)/time.Duration(max(a.Gate.Servers, 1))
}

// poll grants what has room by now.
func (c *Controller) poll(a Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grant(c.pool(a.Pool))
}
