package allotment

import (
	"slices"
	"time"
)

const (
	// MaxWait is the longest time for which a request waits for tokens of an allocator that
	// has a majority. It waits at most for its longest useful delay divided by waitPart.
	MaxWait  = 200 * time.Millisecond
	waitPart = 2
	// electionTerms is the time, in terms, after the last answer of an allocator with a
	// majority for which requests wait for another one as long as that is of use. A
	// fleet that lost its allocator, or started as a whole, has one again in about a term and a
	// half; a router that is cut off does not, and refuses at once after this time.
	electionTerms = 2
	// jitterPart is the part of RetryAfter that is random, so that clients do not return
	// together.
	jitterPart = 0.25
	// minRetryAfter is the shortest RetryAfter.
	minRetryAfter = 50 * time.Millisecond
)

// Client spends the tokens of one router and asks the allocators for more.
type Client struct {
	settings    Settings
	self        string
	incarnation uint64
	random      func() float64

	// count is N. alive are the routers that can be asked.
	count     routerCount
	alive     []string
	mayAttach bool
	// free is the earliest time from which this router may spend its own part: when it
	// became allowed to attach, and the end of bindings under other numbers of groups.
	free time.Time

	groups   []*Attachment
	accounts map[Key]*account
	lastID   uint64
	cleaned  time.Time
}

// NewClient returns the client of the router with the given name. The incarnation
// identifies the process; a restarted process must use another one. random returns
// values in [0, 1) for the jitter of RetryAfter.
func NewClient(settings Settings, self string, incarnation uint64, random func() float64) *Client {
	return &Client{settings: settings, self: self, incarnation: incarnation, random: random, accounts: map[Key]*account{}}
}

// SetRouters sets the routers that share the limits, including this one: all of them,
// and those that the membership view considers alive, with this one. mayAttach is false
// until the entry of this router has existed for AttachDelay and its process for
// StartDelay; until then the router neither attaches nor spends on its own. Until the
// first call, every request is refused. The first list of a process also has to name
// the routers that were removed within AttachDelay, because they may still spend.
func (c *Client) SetRouters(now time.Time, all, alive []string, mayAttach bool) {
	c.count.set(now, len(all))
	c.alive = alive
	if mayAttach && !c.mayAttach {
		c.free = maxTime(c.free, now)
	}
	c.mayAttach = mayAttach
	c.regroup(now)
}

// regroup adapts the number of groups to the number of routers. Bindings of the former
// groups stay in force until they end.
func (c *Client) regroup(now time.Time) {
	n := c.count.at(now)
	if n == 0 || len(c.groups) == Groups(n) {
		return
	}
	for _, g := range c.groups {
		c.free = maxTime(c.free, g.bound.until)
	}
	c.groups = make([]*Attachment, Groups(n))
	for i := range c.groups {
		c.groups[i] = newAttachment(i, now)
	}
	for key, a := range c.accounts {
		a.own, a.bindings = 0, -1
		g := c.groups[GroupOf(key, len(c.groups))]
		g.active[key] = a
		if len(a.queue) > 0 {
			g.queued[key] = a
			g.urgent = true
		}
	}
}

// Take charges the tokens of a request. MaxDelay is the longest wait that serves the request at
// all: all of it while an allocator is being elected, otherwise a part of it, and MaxWait at
// most; 0: MaxWait. Requests without a limit are admitted.
func (c *Client) Take(now time.Time, key Key, limit Limit, tokens float64, maxDelay time.Duration) Decision {
	if limit.unlimited() || tokens <= 0 {
		return Decision{Outcome: Admitted, Charge: Charge{Key: key}}
	}
	if len(c.groups) == 0 {
		return c.refuse(nil, tokens, ReasonNoAllocator, time.Second)
	}
	if tokens > limit.Burst && !limit.Debt {
		return Decision{Outcome: Refused, Reason: ReasonTooLarge}
	}
	a, g := c.account(now, key, limit)
	a.arrived(now, tokens)
	a.expire(now)
	a.fillOwn(now, g, c.freeSince(g), c.ownShare())
	if len(a.queue) == 0 {
		if charge, ok := c.charge(now, a, limit, tokens); ok {
			return Decision{Outcome: Admitted, Charge: charge}
		}
	}
	electing := c.electing(now, g)
	w := waiting{tokens: tokens, limit: limit, deadline: now.Add(maxWait(maxDelay, electing))}
	if c.tooLate(g, a, w) {
		return c.refuse(a, tokens, ReasonOver, a.waitUntil.Sub(now))
	}
	if !electing && !c.reachable(now, g) {
		return c.refuse(a, tokens, ReasonNoAllocator, c.ownWait(a, limit, tokens))
	}
	c.lastID++
	w.id = c.lastID
	a.queue = append(a.queue, w)
	g.queued[key] = a
	if !a.askAgain.After(now) {
		g.urgent = true
	}
	return Decision{Outcome: Pending, Request: w.id, Deadline: w.deadline}
}

// account returns the state of the key, with the limit applied.
func (c *Client) account(now time.Time, key Key, limit Limit) (*account, *Attachment) {
	g := c.groups[GroupOf(key, len(c.groups))]
	a := c.accounts[key]
	if a == nil {
		a = &account{key: key, limit: limit, bindings: -1}
		c.accounts[key] = a
	}
	g.active[key] = a
	if a.limit != limit {
		a.apply(limit)
	}
	return a, g
}

// charge admits the request if there are enough tokens. What a limit that allows debt
// does not cover becomes debt.
func (c *Client) charge(now time.Time, a *account, limit Limit, tokens float64) (Charge, bool) {
	part := need(limit, tokens)
	charge, ok := a.spend(now, part)
	if ok && part < tokens {
		more := min(tokens-part, a.spendable(now))
		_, _ = a.spend(now, more)
		a.debt += tokens - part - more
	}
	return charge, ok
}

// maxWait returns the time for which a request waits for tokens.
func maxWait(maxDelay time.Duration, electing bool) time.Duration {
	switch {
	case maxDelay <= 0:
		return MaxWait
	case electing:
		return maxDelay
	}
	return min(maxDelay/waitPart, MaxWait)
}

// electing reports whether the allocator of the group has no majority, but is expected to
// have one, or to be replaced, soon.
func (c *Client) electing(now time.Time, g *Attachment) bool {
	return !g.majority && len(c.alive) > 0 && now.Sub(g.majorityAt) <= electionTerms*Term(c.count.count)
}

// tooLate reports whether it is known that there will not be enough tokens in time. What an
// allocator without a majority says holds only until there is one.
func (c *Client) tooLate(g *Attachment, a *account, w waiting) bool {
	return g.majority && need(w.limit, w.tokens) >= a.waitFor && a.askAgain.After(w.deadline)
}

// reachable reports whether an allocator has answered within a term. Otherwise requests
// do not wait for one.
func (c *Client) reachable(now time.Time, g *Attachment) bool {
	return len(c.alive) > 0 && now.Sub(g.answered) <= Term(c.count.count)
}

// refuse returns the refusal of a request, and counts it in RetryAfter of the next ones.
func (c *Client) refuse(a *account, tokens float64, reason Reason, wait time.Duration) Decision {
	if a != nil && reason == ReasonOver {
		wait += a.backlog + time.Duration(min(a.refused/a.limit.Rate, maxWaitTold.Seconds())*float64(time.Second))
		a.refused += tokens
	}
	wait = max(wait, minRetryAfter)
	wait += time.Duration(jitterPart * c.random() * float64(wait))
	return Decision{Outcome: Refused, Reason: reason, RetryAfter: wait}
}

// ownShare returns the part of each limit that this router may spend while it is not
// bound.
func (c *Client) ownShare() float64 {
	if c.count.count == 0 || !c.mayAttach {
		return 0
	}
	return ownPart / float64(c.count.count)
}

// freeSince returns the time from which this router accrues its own part.
func (c *Client) freeSince(g *Attachment) time.Time { return maxTime(c.free, g.bound.until) }

// ownWait returns when the own part covers the tokens, or a term if never.
func (c *Client) ownWait(a *account, limit Limit, tokens float64) time.Duration {
	term := Term(c.count.count)
	part := c.ownShare()
	if part == 0 || tokens > part*limit.Burst {
		return term
	}
	seconds := (tokens + a.debt - a.own) / (part * limit.Rate)
	return time.Duration(min(seconds, maxWaitTold.Seconds()) * float64(time.Second))
}

// Cancel removes a pending request whose client has gone.
func (c *Client) Cancel(now time.Time, key Key, request uint64) {
	a := c.accounts[key]
	if a == nil {
		return
	}
	a.queue = slices.DeleteFunc(a.queue, func(w waiting) bool { return w.id == request })
	if len(a.queue) == 0 {
		delete(c.groups[GroupOf(key, len(c.groups))].queued, key)
	}
}

// Return gives back the tokens of an admitted request that did not run. Tokens whose
// grant has been settled with the allocator, at the latest when it expires, are lost,
// and so are those of the own part.
func (c *Client) Return(now time.Time, charge Charge) {
	if a := c.accounts[charge.Key]; a != nil {
		a.refund(charge)
	}
}

// Charge charges a cost that became known only after the admission. It may go into
// debt, which is paid back before new admissions.
func (c *Client) Charge(now time.Time, key Key, limit Limit, tokens float64) {
	if limit.unlimited() || tokens <= 0 || len(c.groups) == 0 {
		return
	}
	a, g := c.account(now, key, limit)
	a.demand, a.used = a.demandAt(now), now
	a.fillOwn(now, g, c.freeSince(g), c.ownShare())
	part := min(tokens, a.spendable(now)+a.own)
	if _, ok := a.spend(now, part); ok {
		tokens -= part
	}
	a.debt += tokens
}

// resolve admits the pending requests that the tokens cover, in the order in which
// they arrived, and refuses those that are known to come too late.
func (c *Client) resolve(now time.Time, a *account, g *Attachment) []Resolved {
	var resolved []Resolved
	a.expire(now)
	a.fillOwn(now, g, c.freeSince(g), c.ownShare())
	for len(a.queue) > 0 {
		w := a.queue[0]
		d := Decision{Outcome: Admitted}
		var ok bool
		if d.Charge, ok = c.charge(now, a, w.limit, w.tokens); !ok {
			switch {
			case c.tooLate(g, a, w):
				d = c.refuse(a, w.tokens, ReasonOver, a.waitUntil.Sub(now))
			case !now.Before(w.deadline):
				reason, wait := c.reason(now, a, g, w)
				d = c.refuse(a, w.tokens, reason, wait)
			default:
				return resolved
			}
		}
		a.queue = a.queue[1:]
		resolved = append(resolved, Resolved{Request: w.id, Decision: d})
	}
	a.queue = nil
	delete(g.queued, a.key)
	return resolved
}

// reason returns why a request has waited in vain, and how long to wait.
func (c *Client) reason(now time.Time, a *account, g *Attachment, w waiting) (Reason, time.Duration) {
	if a.waitUntil.After(now) {
		return ReasonOver, a.waitUntil.Sub(now)
	}
	if g.failing.IsZero() && g.target != "" && now.Sub(g.answered) < Term(c.count.count) {
		return ReasonOver, time.Duration(need(w.limit, w.tokens) / a.limit.Rate * float64(time.Second))
	}
	return ReasonNoAllocator, c.ownWait(a, w.limit, w.tokens)
}

// Expire admits or refuses the pending requests whose deadline has come.
func (c *Client) Expire(now time.Time) []Resolved {
	var resolved []Resolved
	for _, g := range c.groups {
		for _, key := range sortedKeys(g.queued) {
			if a := g.queued[key]; !now.Before(a.queue[0].deadline) {
				resolved = append(resolved, c.resolve(now, a, g)...)
			}
		}
	}
	return resolved
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
