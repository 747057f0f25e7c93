package limits

import (
	"context"
	"errors"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Controller decides when requests may run. It is safe for concurrent use.
type Controller struct {
	clock port.Clock

	mu       sync.Mutex
	shares   *shareCalculator
	accounts map[string]*account
	pools    map[string]*pool
	targets  map[string]int
}

// NewController returns a Controller that enforces this router's share.
func NewController(clock port.Clock, peers PeerState) *Controller {
	return &Controller{clock: clock, shares: newShareCalculator(peers), accounts: map[string]*account{},
		pools: map[string]*pool{}, targets: map[string]int{}}
}

// Permit allows one request to run until Release is called.
type Permit struct {
	c       *Controller
	req     *Request
	pool    *pool
	granted time.Time
	once    sync.Once
}

// Release ends the request. Repeated calls have no effect.
func (p *Permit) Release() {
	p.once.Do(func() {
		c := p.c
		c.mu.Lock()
		defer c.mu.Unlock()
		now, pool := c.clock.Now(), p.pool
		pool.running--
		c.started(p)
		pool.recordHoldTime(now.Sub(p.granted))
		c.account(p.req.Account).running--
		// Requests of the account in other pools may wait for this slot of its
		// concurrency limit.
		for _, other := range c.pools {
			c.grant(now, other)
		}
	})
}

// Acquire waits until the request may run. It fails with a *RefusedError, or
// with context.Canceled when the caller disconnected.
func (c *Controller) Acquire(ctx context.Context, req Request) (*Permit, error) {
	w, err := c.enqueue(req)
	if err != nil {
		return nil, err
	}
	if w.granted == nil {
		return w.permit, nil
	}
	select {
	case <-w.granted:
		return w.result()
	default:
	}
	expired := c.wait(ctx, w)
	if !expired && ctx.Err() == nil {
		return w.result()
	}
	if !c.withdraw(w) {
		if w.refusal != nil {
			return nil, w.refusal
		}
		w.permit.Release()
	}
	if expired || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, c.refuseExpired(w)
	}
	return nil, ctx.Err()
}

func (w *waiter) result() (*Permit, error) {
	if w.refusal != nil {
		return nil, w.refusal
	}
	return w.permit, nil
}

// wait returns when the request is granted or the context ends. For a gated request
// it also returns, with expired set, when the deadline has passed.
func (c *Controller) wait(ctx context.Context, w *waiter) (expired bool) {
	if w.req.Gate == nil {
		select {
		case <-w.granted:
		case <-ctx.Done():
		}
		return false
	}
	deadline := time.NewTimer(w.req.Deadline.Sub(c.clock.Now()))
	defer deadline.Stop()
	poll := time.NewTicker(gatePollInterval)
	defer poll.Stop()
	for {
		select {
		case <-w.granted:
			return false
		case <-ctx.Done():
			return false
		case <-deadline.C:
			return true
		case <-poll.C:
			c.poll(w.req)
		}
	}
}

// enqueue queues the request. It refuses requests that are expected to miss their deadline.
func (c *Controller) enqueue(req Request) (*waiter, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	p := c.pool(req.Pool)
	c.account(req.Account).recordArrival(now)
	if req.Gate != nil {
		return c.enqueueGated(now, p, req)
	}
	p.capacity = c.capacity(req)
	if p.capacity == 0 {
		return nil, &RefusedError{Reason: ReasonNoTargets, RetryAfter: time.Second}
	}
	if req.Limits.Concurrency > 0 && c.quota(req) == 0 {
		return nil, &RefusedError{Reason: ReasonConcurrency, RetryAfter: time.Second}
	}
	w := p.newWaiter(now, req)
	p.offer(now, w)
	e := c.slotWait(now, p, w)
	if w.usage.waiting >= maxQueued {
		return nil, p.refuse(now, w, ReasonQueueFull, e)
	}
	if e.Wait > e.Left || !now.Before(req.Deadline) {
		return nil, p.refuse(now, w, ReasonDeadline, e)
	}
	p.enqueue(now, w)
	if c.grant(now, p); !w.done() {
		p.markShort(now)
	}
	return w, nil
}

// done reports whether the request was granted or refused.
func (w *waiter) done() bool { return w.permit != nil || w.refusal != nil }

// withdraw removes the request from the queue. It returns false if the request has
// been granted in the meantime.
func (c *Controller) withdraw(w *waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool(w.req.Pool).remove(w)
}

// refuseExpired refuses a request whose deadline has passed while it waited.
func (c *Controller) refuseExpired(w *waiter) *RefusedError {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, p := c.clock.Now(), c.pool(w.req.Pool)
	var e Estimate
	if w.req.Gate != nil {
		e = c.gatedWait(now, p, w, w.req.Gate.Delay())
	} else {
		e = c.slotWait(now, p, w)
	}
	return p.refuse(now, w, ReasonDeadline, e)
}

// grant starts queued requests while the pool has capacity.
func (c *Controller) grant(now time.Time, p *pool) {
	if p.queued == 0 {
		return
	}
	c.shed(now, p)
	for p.queued > 0 && p.hasCapacity() && !now.Before(p.blockedUntil) {
		p.clearAt = time.Time{}
		w := p.next(now, func(w *waiter) bool {
			if w.req.Gate != nil {
				if delay := p.delay(now, w); delay > 0 {
					p.observeDelay(now, delay)
					return false
				}
			}
			return w.req.Limits.Concurrency <= 0 || c.account(w.req.Account).running < c.quota(w.req)
		})
		if w == nil {
			if p.gated {
				p.blockedUntil = now.Add(gatePollPause(len(p.flows)))
			}
			return
		}
		c.start(now, p, w)
		if p.gated {
			p.starting = w.permit
		}
	}
}

func (c *Controller) start(now time.Time, p *pool, w *waiter) {
	p.running++
	p.serve(now, w)
	c.account(w.req.Account).running++
	w.own = Permit{c: c, req: &w.req, pool: p, granted: now}
	w.permit = &w.own
	if w.granted != nil {
		close(w.granted)
	}
}

// quota is this router's share of the account's concurrency.
func (c *Controller) quota(req Request) int {
	return c.shares.concurrency(req.Account, req.Limits.Concurrency, c.account(req.Account).demandAt(c.clock.Now()))
}

// slotWait estimates how long a request of a pool with slots waits for one: for those of
// other accounts too, and for the account's own earlier requests if its concurrency is limited.
func (c *Controller) slotWait(now time.Time, p *pool, w *waiter) Estimate {
	wait, ahead := p.expectedWait(now, w)
	if limit := w.req.Limits.Concurrency; limit > 0 {
		if quota := c.quota(w.req); c.account(w.req.Account).running >= quota {
			if ahead.requests == 0 {
				ahead = p.ahead(now, w)
			}
			wait = max(wait, time.Duration(float64(ahead.own+1)/float64(max(quota, 1))*float64(p.meanHoldTime)))
		}
	}
	return Estimate{Wait: c.project(now, p, w, wait), Drain: wait, Left: w.req.Deadline.Sub(now), Ahead: ahead.requests, Work: ahead.work, Servers: p.capacity}
}

// capacity is the number of requests that this router may run in the pool.
func (c *Controller) capacity(req Request) int { return c.shares.capacity(req) }

func (c *Controller) account(name string) *account {
	a := c.accounts[name]
	if a == nil {
		a = &account{}
		c.accounts[name] = a
	}
	return a
}

func (c *Controller) pool(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = newPool()
		c.pools[name] = p
	}
	return p
}

// overcommitFactor is the load, as a multiple of this router's share of a target's
// slots, up to which the target may be filled while the pool as a whole has capacity:
// placement may prefer a short wait on a target that caches the prefix to an idle
// target that does not.
const overcommitFactor = 1.5

// FullTargets lists the targets on which this router has used up its share of the
// slots, including the overcommitment. It checks only targets with requests of this
// router, because all others have free slots.
func (c *Controller) FullTargets(slots int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var full []string
	for target, n := range c.targets {
		if float64(n) >= overcommitFactor*float64(c.shares.target(target, slots)) {
			full = append(full, target)
		}
	}
	return full
}

// StartTarget counts a request that this router sends to the target.
func (c *Controller) StartTarget(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets[target]++
}

// EndTarget removes a request counted by StartTarget.
func (c *Controller) EndTarget(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.targets[target]--; c.targets[target] <= 0 {
		delete(c.targets, target)
	}
}

// Demand returns each account's recent demand in requests per second, to be reported
// to peers. It omits accounts without demand and evicts idle ones.
func (c *Controller) Demand() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	out := map[string]float64{}
	for name, a := range c.accounts {
		d := a.demandAt(now)
		if d >= minReportedDemand {
			out[name] = d
		} else if a.running == 0 && now.Sub(a.lastRequest) > accountIdleTTL {
			delete(c.accounts, name)
		}
	}
	return out
}

const (
	// minReportedDemand is the demand in requests per second below which an account
	// is not reported.
	minReportedDemand = 0.001
	// accountIdleTTL is the idle time after which an account is evicted.
	accountIdleTTL = 10 * time.Minute
)
