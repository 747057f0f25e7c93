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
	req     Request
	granted time.Time
	once    sync.Once
}

// Release ends the request. Repeated calls have no effect.
func (p *Permit) Release() {
	p.once.Do(func() {
		c := p.c
		c.mu.Lock()
		defer c.mu.Unlock()
		pool := c.pool(p.req.Pool)
		pool.running--
		c.started(p)
		pool.recordHoldTime(c.clock.Now().Sub(p.granted))
		c.account(p.req.Account).running--
		// Requests of the account in other pools may wait for this slot of its
		// concurrency limit.
		for _, other := range c.pools {
			c.grant(other)
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
	select {
	case <-w.granted:
		return w.permit, nil
	default:
	}
	expired := c.wait(ctx, w)
	if !expired && ctx.Err() == nil {
		return w.permit, nil
	}
	if !c.withdraw(w) {
		w.permit.Release()
	}
	if expired || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, &RefusedError{Reason: ReasonDeadline, RetryAfter: c.expectedWait(req)}
	}
	return nil, ctx.Err()
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
	if q := p.accounts[req.Account]; q != nil && len(q.waiting) >= maxQueued {
		return nil, &RefusedError{Reason: ReasonQueueFull, RetryAfter: max(p.meanHoldTime, time.Second)}
	}
	if wait := max(p.expectedWait(req), c.quotaWait(p, req)); wait > req.Deadline.Sub(now) || !now.Before(req.Deadline) {
		return nil, &RefusedError{Reason: ReasonDeadline, RetryAfter: wait}
	}
	w := &waiter{req: req, granted: make(chan struct{})}
	p.enqueue(w)
	c.grant(p)
	return w, nil
}

// withdraw removes the request from the queue. It returns false if the request has
// been granted in the meantime.
func (c *Controller) withdraw(w *waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool(w.req.Pool).remove(w)
}

func (c *Controller) expectedWait(req Request) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if req.Gate != nil {
		return c.gatedWait(c.pool(req.Pool), req)
	}
	return c.pool(req.Pool).expectedWait(req)
}

// grant starts queued requests while the pool has capacity.
func (c *Controller) grant(p *pool) {
	now := c.clock.Now()
	for p.queued > 0 && p.hasCapacity() && !now.Before(p.blockedUntil) {
		w := p.next(func(w *waiter) bool {
			if w.req.Gate != nil && w.req.Gate.Delay() > 0 {
				return false
			}
			return w.req.Limits.Concurrency <= 0 || c.account(w.req.Account).running < c.quota(w.req)
		})
		if w == nil {
			if p.gated {
				p.blockedUntil = now.Add(gatePollPause(len(p.backlogged)))
			}
			return
		}
		c.start(p, w)
	}
}

func (c *Controller) start(p *pool, w *waiter) {
	p.running++
	c.account(w.req.Account).running++
	w.permit = &Permit{c: c, req: w.req, granted: c.clock.Now()}
	if p.gated {
		p.starting = w.permit
	}
	close(w.granted)
}

// quota is this router's share of the account's concurrency.
func (c *Controller) quota(req Request) int {
	return c.shares.concurrency(req.Account, req.Limits.Concurrency, c.account(req.Account).demandAt(c.clock.Now()))
}

// quotaWait estimates how long the request waits for the account's own earlier
// requests.
func (c *Controller) quotaWait(p *pool, req Request) time.Duration {
	if req.Limits.Concurrency <= 0 {
		return 0
	}
	quota := c.quota(req)
	if c.account(req.Account).running < quota {
		return 0
	}
	ahead := 0
	if q := p.accounts[req.Account]; q != nil {
		ahead = countAhead(q, req.Priority, req.Deadline)
	}
	return time.Duration(float64(ahead+1) / float64(quota) * float64(p.meanHoldTime))
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
		p = &pool{accounts: map[string]*accountQueue{}, backlogged: map[string]*accountQueue{}}
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
