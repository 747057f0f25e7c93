package allotment

import (
	"slices"
	"time"
)

const (
	// cleanInterval is the time between two searches for idle accounts.
	cleanInterval = 10 * time.Second
	// earlyPart is the part of the validity of a grant at the end of which a regular
	// message already returns what is unspent, because the next one would be too late.
	earlyPart = 0.25
	// messageGap is the shortest time between two messages of a router, for each router
	// that shares the limits, and maxMessageGap the longest such time. Requests that
	// arrive meanwhile share a message.
	messageGap    = 500 * time.Microsecond
	maxMessageGap = 50 * time.Millisecond
	// electionGaps is the factor of both while the allocator has no majority: requests wait
	// on all routers then, and an allocator with an eighth of a core that has just started
	// falls behind at some hundred messages a second.
	electionGaps = 4
)

// Draws returns the messages that are due. The caller sends them at once; at most one
// message per account group is in flight.
func (c *Client) Draws(now time.Time) []OutgoingDraw {
	c.regroup(now)
	var due []OutgoingDraw
	for _, g := range c.groups {
		if g.flight != nil && now.Sub(g.flight.SentAt) > MessageTimeout {
			c.fail(now, g)
		}
		if g.flight != nil || len(c.alive) == 0 {
			continue
		}
		regular := !now.Before(g.next)
		if !regular && (now.Before(c.gapEnd(g)) || !c.urgent(now, g)) {
			continue
		}
		due = append(due, c.draw(now, g, regular))
	}
	c.clean(now)
	return due
}

// gapEnd returns the earliest time of a message that is not regular.
func (c *Client) gapEnd(g *Attachment) time.Time {
	gap := min(time.Duration(c.count.count)*messageGap, maxMessageGap)
	if !g.majority {
		gap *= electionGaps
	}
	return g.sent.Add(gap)
}

// urgent reports whether requests wait for tokens that are expected now, or many
// unspent tokens have expired.
func (c *Client) urgent(now time.Time, g *Attachment) bool {
	if !g.urgent && !g.wake.IsZero() && !now.Before(g.wake) {
		g.wake = time.Time{}
		for _, a := range g.queued {
			if !a.askAgain.After(now) {
				g.urgent = true
				return true
			}
			g.wakeAt(a.askAgain)
		}
		for _, a := range g.active {
			if at, ok := a.unsettled(now, g); ok {
				g.wakeAt(at)
			}
		}
		g.urgent = !g.wake.IsZero() && !now.Before(g.wake)
	}
	return g.urgent
}

// draw returns the next message of the group. Regular messages carry all accounts,
// the others only those that cannot wait.
func (c *Client) draw(now time.Time, g *Attachment, regular bool) OutgoingDraw {
	n := c.count.at(now)
	interval := Interval(n)
	g.retarget(g.choose(now, c.alive))
	g.urgent = false
	to := g.target
	early := time.Duration(0)
	if regular {
		g.next = now.Add(interval)
		early = time.Duration(earlyPart * float64(c.settings.Validity()))
		if probe := g.probe(now, c.alive); probe != "" {
			to = probe
		}
		g.messages++
	}
	d := Draw{Router: c.self, Incarnation: c.incarnation, Group: g.group, Groups: len(c.groups), Routers: n, MayAttach: c.mayAttach}
	if c.mayAttach && !now.Before(c.free) {
		g.bind(now, &d, to, Term(n))
	}
	if to == g.target {
		of := uint64(0)
		if g.ticket.from == to {
			of = g.ticket.of
		}
		for _, key := range sortedKeys(g.active) {
			a := g.active[key]
			a.expire(now)
			if !regular && !a.pressing(now, g) {
				continue
			}
			a.asked = a.size
			if len(a.queue) > 0 {
				a.asked = need(a.queue[0].limit, a.queue[0].tokens)
			}
			wants := a.wants(now, min(interval, c.settings.Validity()), early, to, of)
			if len(wants) == 0 && a.idle(now) {
				delete(g.active, key)
			}
			if a.debt > 0 {
				a.charging, a.debt = a.debt, 0
			}
			a.refused = 0
			d.Wants = append(d.Wants, wants...)
		}
	}
	c.lastID++
	g.sent = now
	g.flight = &OutgoingDraw{To: to, Draw: d, SentAt: now, ID: c.lastID}
	return *g.flight
}

// sortedKeys makes the messages independent of the order of maps.
func sortedKeys(active map[Key]*account) []Key {
	keys := make([]Key, 0, len(active))
	for key := range active {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// NextDraw returns when Draws has to be called next if nothing else happens. After
// Take returned Pending, and after Answered and Failed, Draws has to be called at once.
func (c *Client) NextDraw(now time.Time) time.Time {
	next := now.Add(minInterval)
	for _, g := range c.groups {
		if len(c.alive) == 0 {
			break
		}
		if g.flight != nil {
			next = minTime(next, g.flight.SentAt.Add(MessageTimeout+time.Millisecond))
			continue
		}
		next = minTime(next, g.next)
		if g.urgent {
			next = minTime(next, c.gapEnd(g))
		} else if !g.wake.IsZero() {
			next = minTime(next, maxTime(g.wake, c.gapEnd(g)))
		}
	}
	return maxTime(now, next)
}

// flightOf returns the group whose message in flight is the given one.
func (c *Client) flightOf(sent OutgoingDraw) *Attachment {
	if sent.Draw.Groups != len(c.groups) || sent.Draw.Group >= len(c.groups) {
		return nil
	}
	g := c.groups[sent.Draw.Group]
	if g.flight == nil || g.flight.ID != sent.ID {
		return nil
	}
	return g
}

// Answered records the answer to a message and returns the pending requests that it
// decides, in the order in which they arrived.
func (c *Client) Answered(now time.Time, sent OutgoingDraw, answer Answer) []Resolved {
	g := c.flightOf(sent)
	if g == nil {
		return nil
	}
	g.flight = nil
	for _, w := range sent.Draw.Wants {
		a := c.accounts[w.Key]
		if a == nil {
			continue
		}
		if answer.Ticket == 0 {
			a.debt += a.charging
		}
		a.charging = 0
	}
	g.received(now, sent.To, answer)
	if c.mayAttach && !now.Before(c.free) && !g.isBound(now) && g.ticket.from == g.target && g.ticket.received.Equal(now) {
		g.next = now // the first ticket attaches this router at once
	}
	for _, grant := range answer.Grants {
		if a := c.accounts[grant.Key]; a != nil {
			c.granted(now, g, a, sent, answer, grant)
		}
	}
	return c.resolveQueued(now, g)
}

// resolveQueued decides the pending requests of the group that can be decided, and
// asks for a message for the others unless they are told to wait.
func (c *Client) resolveQueued(now time.Time, g *Attachment) []Resolved {
	var resolved []Resolved
	for _, key := range sortedKeys(g.queued) {
		a := g.queued[key]
		resolved = append(resolved, c.resolve(now, a, g)...)
		if len(a.queue) > 0 && !a.askAgain.After(now) {
			g.urgent = true
		}
	}
	return resolved
}

// granted adds a grant to the account. It is void if the answer arrived too late.
func (c *Client) granted(now time.Time, g *Attachment, a *account, sent OutgoingDraw, answer Answer, grant Grant) {
	a.waitFor, a.waitUntil, a.askAgain, a.backlog = 0, time.Time{}, time.Time{}, grant.Backlog
	if grant.Wait > 0 {
		a.waitUntil = now.Add(grant.Wait)
		a.askAgain = now.Add(min(grant.Wait, Interval(c.count.count)))
		g.wakeAt(a.askAgain)
		a.waitFor = a.asked
	}
	expires := sent.SentAt.Add(c.settings.Validity())
	if grant.Tokens <= 0 || !now.Before(expires) {
		return
	}
	a.grants = append(a.grants, held{
		tokens: grant.Tokens, expires: expires, returnable: sent.SentAt.Add(c.settings.returnable()),
		from: sent.To, of: answer.Incarnation, ticket: answer.Ticket,
	})
	g.wakeAt(expires)
}

// Failed records that a message has no answer.
func (c *Client) Failed(now time.Time, sent OutgoingDraw) []Resolved {
	g := c.flightOf(sent)
	if g == nil {
		return nil
	}
	c.fail(now, g)
	urgent := g.urgent
	resolved := c.resolveQueued(now, g)
	g.urgent = urgent
	return resolved
}

// fail gives up the message in flight. Debts that it reported are reported again.
func (c *Client) fail(now time.Time, g *Attachment) {
	n := c.count.at(now)
	to := g.flight.To
	for _, w := range g.flight.Draw.Wants {
		if a := c.accounts[w.Key]; a != nil {
			a.debt += a.charging
			a.charging = 0
		}
	}
	g.flight = nil
	g.failed(now, to, Term(n), Interval(n))
}

// clean forgets idle accounts.
func (c *Client) clean(now time.Time) {
	if now.Sub(c.cleaned) < cleanInterval {
		return
	}
	c.cleaned = now
	for key, a := range c.accounts {
		a.expire(now)
		if a.forgettable(now) {
			delete(c.accounts, key)
			if len(c.groups) > 0 {
				delete(c.groups[GroupOf(key, len(c.groups))].active, key)
			}
		}
	}
}

// allocatorElsewhere returns the router to which this one is attached in the group, if
// that has a majority and has answered lately, and "" if it is this router.
func (c *Client) allocatorElsewhere(now time.Time, group, groups int) string {
	if groups != len(c.groups) {
		return ""
	}
	g := c.groups[group]
	if g.target == c.self || !g.majority || !g.failing.IsZero() || now.Sub(g.answered) > Term(c.count.count) {
		return ""
	}
	return g.target
}

// State is the state of this router in one account group, for metrics and logs.
type State struct {
	Group int
	// Allocator is the router to which the messages go, and Bound reports whether this
	// router is attached to an allocator.
	Allocator string
	Bound     bool
	// Majority reports whether the allocator had a majority in its last answer.
	Majority bool
}

// States returns the state in each account group.
func (c *Client) States(now time.Time) []State {
	states := make([]State, len(c.groups))
	for i, g := range c.groups {
		states[i] = State{Group: i, Allocator: g.target, Bound: g.isBound(now), Majority: g.majority}
	}
	return states
}

// Available returns the tokens of the key that can be spent now, for explain.
func (c *Client) Available(now time.Time, key Key) float64 {
	a := c.accounts[key]
	if a == nil || len(c.groups) == 0 {
		return 0
	}
	a.fillOwn(now, c.groups[GroupOf(key, len(c.groups))], c.freeSince(c.groups[GroupOf(key, len(c.groups))]), c.ownShare())
	return max(0, a.spendable(now)+a.own-a.debt)
}
