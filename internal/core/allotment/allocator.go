package allotment

import (
	"time"
)

const (
	// maxGroups bounds the number of account groups that a message may name. The design
	// capacity of 540 routers has 2.
	maxGroups = 64
	// evictInterval is the time between two searches for idle buckets.
	evictInterval = 10 * time.Second
)

// groupID identifies an account group. The allocators of different numbers of groups
// are independent; a router is attached under one number of groups at a time.
type groupID struct{ group, groups int }

// Allocators are the allocators of all account groups on one router. Every router can
// be the allocator of any group.
type Allocators struct {
	client *Client
	names  []string
	// count is N for allocators that are created later.
	count  routerCount
	groups map[groupID]*Allocator
}

// NewAllocators returns the allocators of the router of the client.
func NewAllocators(client *Client) *Allocators {
	return &Allocators{client: client, groups: map[groupID]*Allocator{}}
}

// SetRouters sets the names of all routers that share the limits, including those that
// are out of contact. Until the first call, nothing is granted.
func (a *Allocators) SetRouters(now time.Time, names []string) {
	a.names = names
	a.count.set(now, len(names))
	for _, g := range a.groups {
		g.SetRouters(now, names)
	}
}

// Handle answers a Draw. limits returns the limit of a key in the configuration of
// this router, and false if the key is unknown. While this router is attached to
// another allocator that has a majority, the answer only names that.
func (a *Allocators) Handle(now time.Time, d Draw, limits func(Key) (Limit, bool)) Answer {
	if d.Group < 0 || d.Group >= d.Groups || d.Groups > maxGroups {
		return Answer{}
	}
	if to := a.client.allocatorElsewhere(now, d.Group, d.Groups); to != "" && to != d.Router {
		return Answer{Redirect: to}
	}
	id := groupID{d.Group, d.Groups}
	g := a.groups[id]
	if g == nil {
		g = NewAllocator(now, a.client.settings, a.client.incarnation)
		a.count.at(now)
		g.count = a.count
		g.SetRouters(now, a.names)
		a.groups[id] = g
	}
	return g.Handle(now, d, limits)
}

// Attached returns the largest number of routers attached to one of the allocators.
func (a *Allocators) Attached(now time.Time) int {
	most := 0
	for _, g := range a.groups {
		most = max(most, g.Attached(now))
	}
	return most
}

// Allocator hands out the tokens of one account group. Tokens of the limits accrue in
// proportion to its share, which depends on the number of attached routers.
type Allocator struct {
	ledger
	incarnation uint64
	start       time.Time
	buckets     map[Key]*bucket
	evicted     time.Time
}

// NewAllocator returns an allocator whose buckets are empty. The incarnation identifies
// the process.
func NewAllocator(now time.Time, settings Settings, incarnation uint64) *Allocator {
	return &Allocator{
		ledger:      ledger{attachments: newAttachments(now), settings: settings},
		incarnation: incarnation,
		start:       now,
		buckets:     map[Key]*bucket{},
		evicted:     now,
	}
}

// SetRouters sets the names of all routers that share the limits. Routers that are not
// named cannot attach.
func (a *Allocator) SetRouters(now time.Time, names []string) { a.setRouters(now, names) }

// Attached returns the number of attached routers.
func (a *Allocator) Attached(now time.Time) int {
	a.advance(now)
	return a.attached()
}

// Handle attaches the sender if its ticket is valid, and grants tokens.
func (a *Allocator) Handle(now time.Time, d Draw, limits func(Key) (Limit, bool)) Answer {
	a.advance(now)
	now = a.at
	if until, ok := a.attachment(now, d); ok {
		a.attach(d.Router, until, d.Routers)
	}
	answer := Answer{
		Ticket:      uint64(max(now.UnixNano(), 1)),
		Incarnation: a.incarnation,
		Majority:    a.majority(),
	}
	for _, w := range d.Wants {
		own, known := limits(w.Key)
		limit := effectiveLimit(own, known, w.Limit)
		if limit.unlimited() {
			answer.Grants = append(answer.Grants, Grant{Key: w.Key, Tokens: max(w.Tokens, w.Least) + w.Ahead})
			continue
		}
		b := a.buckets[w.Key]
		if b == nil {
			b = newBucket(limit, a.start)
			a.buckets[w.Key] = b
		}
		b.update(a.ledger, limit)
		b.settle(a.ledger, w)
		if g := b.grant(a.ledger, w); g.Tokens > 0 || g.Wait > 0 {
			answer.Grants = append(answer.Grants, g)
		}
	}
	a.evict(now)
	return answer
}

// attachment returns until when the Draw attaches its sender. Only a ticket of this
// process does: the sender is bound to it from before it sent the ticket until after
// the returned time, whatever the delay of the message.
func (a *Allocator) attachment(now time.Time, d Draw) (time.Time, bool) {
	issued := time.Unix(0, int64(d.Ticket))
	if !d.MayAttach || d.Ticket == 0 || d.TicketOf != a.incarnation || issued.After(now) {
		return time.Time{}, false
	}
	return issued.Add(min(d.Term, 2*Term(a.count.count))), true
}

// effectiveLimit returns the lower of the limits of the allocator and of the sender.
func effectiveLimit(own Limit, known bool, sender Limit) Limit {
	switch {
	case !known || own.unlimited():
		return sender
	case sender.unlimited():
		return own
	}
	own.Rate, own.Burst = min(own.Rate, sender.Rate), min(own.Burst, sender.Burst)
	return own
}

// evict removes the buckets that are full and unused. A bucket that is created again
// later is exactly as full.
func (a *Allocator) evict(now time.Time) {
	if now.Sub(a.evicted) < evictInterval {
		return
	}
	a.evicted = now
	for key, b := range a.buckets {
		b.update(a.ledger, b.limit)
		if b.idle(a.ledger) {
			delete(a.buckets, key)
		}
	}
}
