package limits

import (
	"context"
	"errors"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Controller admits requests. It is safe for concurrent use.
type Controller struct {
	clock port.Clock

	mu       sync.Mutex
	divider  *divider
	accounts map[string]*account
	pools    map[string]*pool
	targets  map[string]int
}

// NewController returns a Controller that enforces this router's share.
func NewController(clock port.Clock, shares PeerState) *Controller {
	return &Controller{clock: clock, divider: newDivider(shares), accounts: map[string]*account{},
		pools: map[string]*pool{}, targets: map[string]int{}}
}

// Permit is the right of one request to run. Release gives it back.
type Permit struct {
	c       *Controller
	ask     Request
	granted time.Time
	once    sync.Once
}

// ChargeOutput charges generated tokens to the account.
func (p *Permit) ChargeOutput(tokens int) {
	if p.ask.Limits.OutputTokensPerSecond <= 0 {
		return
	}
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	p.c.account(p.ask.Account).output.level -= float64(tokens)
}

// Release ends the request. Repeated calls have no effect.
func (p *Permit) Release() {
	p.once.Do(func() {
		c := p.c
		c.mu.Lock()
		defer c.mu.Unlock()
		pool := c.pool(p.ask.Pool)
		pool.running--
		c.started(p)
		pool.held(c.clock.Now().Sub(p.granted))
		c.account(p.ask.Account).running--
		// Other pools may hold requests of the account that wait for this place.
		for _, other := range c.pools {
			c.grant(other)
		}
	})
}

// Acquire waits until the request may run. It fails with a *RefusedError, or
// with context.Canceled when the caller left.
func (c *Controller) Acquire(ctx context.Context, a Request) (*Permit, error) {
	w, err := c.enqueue(a)
	if err != nil {
		return nil, err
	}
	select {
	case <-w.granted:
		return w.permit, nil
	default:
	}
	late := c.wait(ctx, w)
	if !late && ctx.Err() == nil {
		return w.permit, nil
	}
	if !c.withdraw(w) {
		w.permit.Release()
	}
	if late || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, &RefusedError{Reason: ReasonDeadline, RetryAfter: c.expectedWait(a)}
	}
	return nil, ctx.Err()
}

// wait returns when the request is granted, the context ends, or the deadline of a
// gated request has passed, which it reports.
func (c *Controller) wait(ctx context.Context, w *waiter) (late bool) {
	if w.ask.Gate == nil {
		select {
		case <-w.granted:
		case <-ctx.Done():
		}
		return false
	}
	deadline := time.NewTimer(w.ask.Deadline.Sub(c.clock.Now()))
	defer deadline.Stop()
	poll := time.NewTicker(gatePoll)
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
			c.poll(w.ask)
		}
	}
}

// enqueue charges the request to the account's rates and puts it in the queue,
// unless it cannot run before its deadline.
func (c *Controller) enqueue(a Request) (*waiter, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	acc, p := c.account(a.Account), c.pool(a.Pool)
	acc.arrived(now)
	if a.Gate != nil {
		return c.enqueueGated(now, p, a)
	}
	p.capacity = c.capacity(a)
	if p.capacity == 0 {
		return nil, &RefusedError{Reason: ReasonNoTargets, RetryAfter: time.Second}
	}
	if a.Limits.Concurrency > 0 && c.quota(a) == 0 {
		return nil, &RefusedError{Reason: ReasonConcurrency, RetryAfter: time.Second}
	}
	if l := p.accounts[a.Account]; l != nil && len(l.waiting) >= maxQueued {
		return nil, &RefusedError{Reason: ReasonQueueFull, RetryAfter: max(p.hold, time.Second)}
	}
	if wait := max(p.expectedWait(a), c.quotaWait(p, a)); wait > a.Deadline.Sub(now) || !now.Before(a.Deadline) {
		return nil, &RefusedError{Reason: ReasonDeadline, RetryAfter: wait}
	}
	share := c.divider.fraction(a.Account, acc.demandAt(now))
	if err := acc.charge(now, a.Limits, share, a.PromptTokens); err != nil {
		return nil, err
	}
	w := &waiter{ask: a, granted: make(chan struct{})}
	p.enqueue(w)
	c.grant(p)
	return w, nil
}

// withdraw takes the request out of the queue; false when it was granted
// meanwhile.
func (c *Controller) withdraw(w *waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool(w.ask.Pool).remove(w)
}

func (c *Controller) expectedWait(a Request) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Gate != nil {
		return c.gatedWait(c.pool(a.Pool), a)
	}
	return c.pool(a.Pool).expectedWait(a)
}

// grant lets queued requests run while the pool has room.
func (c *Controller) grant(p *pool) {
	now := c.clock.Now()
	for p.queued > 0 && p.free() && !now.Before(p.blockedUntil) {
		w := p.next(func(w *waiter) bool {
			if w.ask.Gate != nil && w.ask.Gate.Delay() > 0 {
				return false
			}
			return w.ask.Limits.Concurrency <= 0 || c.account(w.ask.Account).running < c.quota(w.ask)
		})
		if w == nil {
			if p.gated {
				p.blockedUntil = now.Add(gatePoll)
			}
			return
		}
		c.start(p, w)
	}
}

func (c *Controller) start(p *pool, w *waiter) {
	p.running++
	c.account(w.ask.Account).running++
	w.permit = &Permit{c: c, ask: w.ask, granted: c.clock.Now()}
	if p.gated {
		p.starting = w.permit
	}
	close(w.granted)
}

// quota is this router's share of the account's concurrency.
func (c *Controller) quota(a Request) int {
	return c.divider.concurrency(a.Account, a.Limits.Concurrency, c.account(a.Account).demandAt(c.clock.Now()))
}

// quotaWait estimates how long the request waits for the account's own earlier
// requests.
func (c *Controller) quotaWait(p *pool, a Request) time.Duration {
	if a.Limits.Concurrency <= 0 {
		return 0
	}
	quota := c.quota(a)
	if c.account(a.Account).running < quota {
		return 0
	}
	ahead := 0
	if l := p.accounts[a.Account]; l != nil {
		ahead = aheadIn(l, a.Priority, a.Deadline)
	}
	return time.Duration(float64(ahead+1) / float64(quota) * float64(p.hold))
}

// capacity is the number of requests that this router may run in the pool.
func (c *Controller) capacity(a Request) int { return c.divider.capacity(a) }

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
		p = &pool{accounts: map[string]*accountQueue{}, busy: map[string]*accountQueue{}}
		c.pools[name] = p
	}
	return p
}

// overcommitFactor is how far a target may be filled beyond its slots while the pool
// as a whole is not: placement may prefer a short wait on a target that holds
// the prefix to a free target that does not.
const overcommitFactor = 1.5

// FullTargets lists the targets that reached this router's share of their
// concurrency. It looks only at those with requests of this router, because
// every other target has room.
func (c *Controller) FullTargets(slots int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var full []string
	for target, n := range c.targets {
		if float64(n) >= overcommitFactor*float64(c.divider.target(target, slots)) {
			full = append(full, target)
		}
	}
	return full
}

// StartTarget counts a request that is sent to the target.
func (c *Controller) StartTarget(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets[target]++
}

// EndTarget ends a request counted by StartTarget.
func (c *Controller) EndTarget(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.targets[target]--; c.targets[target] <= 0 {
		delete(c.targets, target)
	}
}

// Demand returns each account's recent demand in requests per second, for
// peers. Accounts without demand are left out and forgotten when idle.
func (c *Controller) Demand() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	out := map[string]float64{}
	for name, a := range c.accounts {
		d := a.demandAt(now)
		if d >= leastDemand {
			out[name] = d
		} else if a.running == 0 && now.Sub(a.seen) > forgetAfter {
			delete(c.accounts, name)
		}
	}
	return out
}

const (
	// leastDemand is the demand below which an account is not reported.
	leastDemand = 0.001
	// forgetAfter is the idle time after which an account's buckets are dropped.
	// A debt that would take longer to pay back is forgiven.
	forgetAfter = 10 * time.Minute
)
