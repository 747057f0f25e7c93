package limits

import (
	"sort"
	"time"
)

// flowKey identifies requests that differ in their times only.
type flowKey struct {
	account, kind string
	priority      int
	early         bool
}

// flow holds the waiting requests of one key, by the time until which they can meet their
// objective.
type flow struct {
	key     flowKey
	waiting []*waiter
}

func (f *flow) add(w *waiter) {
	at := sort.Search(len(f.waiting), func(i int) bool { return w.sooner(f.waiting[i]) })
	f.waiting = append(f.waiting, nil)
	copy(f.waiting[at+1:], f.waiting[at:])
	f.waiting[at] = w
}

// sooner orders the requests of one flow.
func (w *waiter) sooner(other *waiter) bool {
	if !w.onTime.Equal(other.onTime) {
		return w.onTime.Before(other.onTime)
	}
	return w.req.Deadline.Before(other.req.Deadline)
}

// head returns the request that goes first: the first that can still meet its objective, or
// the first of all if none can.
func (f *flow) head(now time.Time) *waiter {
	at := sort.Search(len(f.waiting), func(i int) bool { return !f.waiting[i].late(now) })
	if at == len(f.waiting) {
		at = 0
	}
	return f.waiting[at]
}

// standing is the place of a request among those that wait for the same pool.
type standing struct {
	// starved requests belong to an account or a kind that is served far less often than
	// the rest.
	starved  bool
	priority int
	// yields is set for requests of accounts that got much more than others, and for those
	// that return too early: they go after the late requests of others too.
	yields, late bool
	// tag is the work of the account after this request, divided by the account's weight.
	// It puts accounts that got little first, and small requests before large ones.
	tag      float64
	deadline time.Time
	account  string
}

// compareClass orders by everything but the work that the accounts got; it returns a
// negative number if a goes first.
func (a standing) compareClass(b standing) int {
	switch {
	case a.starved != b.starved:
		return orderBool(a.starved)
	case a.priority != b.priority:
		return b.priority - a.priority
	case a.yields != b.yields:
		return orderBool(b.yields)
	case a.late != b.late:
		return orderBool(b.late)
	}
	return 0
}

// orderBool returns -1 if the first of two different values goes first.
func orderBool(first bool) int {
	if first {
		return -1
	}
	return 1
}

func (a standing) before(b standing) bool {
	if class := a.compareClass(b); class != 0 {
		return class < 0
	}
	switch {
	case a.tag != b.tag:
		return a.tag < b.tag
	case !a.deadline.Equal(b.deadline):
		return a.deadline.Before(b.deadline)
	}
	return a.account < b.account
}

// standing returns the place of a request as if it were the next of its account.
func (p *pool) standing(now time.Time, w *waiter) standing {
	return standing{starved: !w.early && (w.usage.starved(now, &p.all) || w.kind.starved(now, &p.all)),
		priority: w.req.Priority, yields: p.yields(now, w), late: w.late(now),
		tag: w.usage.work.read(now, usageWindow) + w.cost()/w.weight(), deadline: w.req.Deadline, account: w.req.Account}
}

// outranked reports whether a request that has not been queued must wait although its target
// has room: requests of a better class wait, or those of an account that got much less.
func (p *pool) outranked(now time.Time, w *waiter) bool {
	if p.queued == 0 {
		return false
	}
	own, hot := p.standing(now, w), p.hot(now, w.usage)
	for _, f := range p.flows {
		s := p.standing(now, f.head(now))
		class := s.compareClass(own)
		if class < 0 || class == 0 && hot && s.tag < own.tag {
			return true
		}
	}
	return false
}

// queueAhead is what is served before a request.
type queueAhead struct {
	requests int
	work     time.Duration
	// own is the part of requests of the same account.
	own int
}

// ahead returns what waits before a request that is not queued itself.
func (p *pool) ahead(now time.Time, w *waiter) (out queueAhead) {
	if p.queued == 0 {
		return out
	}
	own := p.standing(now, w)
	for _, f := range p.flows {
		u := f.waiting[0].usage
		u.scanned = u.work.read(now, usageWindow)
	}
	// The request goes after those of its own account that are as urgent.
	for _, f := range p.flows {
		if f.key.account != w.req.Account {
			continue
		}
		for _, other := range f.waiting {
			s := p.standing(now, other)
			if class := s.compareClass(own); class < 0 || class == 0 && !w.sooner(other) {
				out.add(other)
				out.own++
				own.tag += other.cost() / other.weight()
			}
		}
	}
	for _, f := range p.flows {
		if f.key.account == w.req.Account {
			continue
		}
		first := p.standing(now, f.waiting[0])
		for _, other := range f.waiting {
			first.late = other.late(now)
			class := first.compareClass(own)
			if class > 0 {
				continue
			}
			other.usage.scanned += other.cost() / other.weight()
			if class == 0 && other.usage.scanned > own.tag {
				break
			}
			out.add(other)
		}
	}
	return out
}

func (q *queueAhead) add(w *waiter) {
	q.requests++
	q.work += w.serviceTime()
}
