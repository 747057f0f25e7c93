package limits

import (
	"slices"
	"time"
)

const (
	// maxQueued limits the waiting requests of one account in one pool. It bounds memory;
	// the length of a queue is bounded by the time that its requests may wait.
	maxQueued = 1024
	// holdTimeWeight is the weight of a new sample in the moving average of the hold
	// time.
	holdTimeWeight = 0.1
	// minCost is the least work in seconds that a request of a gated pool counts as.
	minCost = 0.001
)

// waiter is a request in the queue of a pool.
type waiter struct {
	req   Request
	usage *usage
	kind  *tally
	// early is set for requests that return before the time they were told.
	early bool
	// onTime is the latest start with which the request meets its objective.
	onTime time.Time
	// queuedAt is when the request began to wait.
	queuedAt time.Time
	// granted is closed when the request may run or is refused; nil: it need not wait.
	granted chan struct{}
	// permit is own once the request may run. They are one allocation with the rest.
	permit  *Permit
	own     Permit
	refusal *RefusedError
}

// newWaiter returns a request that is not queued yet.
func (p *pool) newWaiter(now time.Time, req Request) *waiter {
	w := &waiter{req: req, usage: p.account(req.Account), kind: p.kinds[req.Kind], early: p.returns.early(now, req.Fingerprint),
		onTime: req.OnTime}
	if w.kind == nil {
		w.kind = &tally{}
		p.kinds[req.Kind] = w.kind
	}
	if w.onTime.IsZero() {
		w.onTime = req.Deadline
	}
	return w
}

func (w *waiter) key() flowKey {
	return flowKey{account: w.req.Account, kind: w.req.Kind, priority: w.req.Priority, early: w.early}
}

func (w *waiter) late(now time.Time) bool { return now.After(w.onTime) }

func (w *waiter) weight() float64 { return float64(max(w.req.Weight, 1)) }

// cost is the work of the request in fair queuing: the time for which it occupies a server
// of a gated pool, in seconds, and its tokens plus one elsewhere.
func (w *waiter) cost() float64 {
	if w.req.Gate != nil {
		return max(w.req.Gate.ServiceTime.Seconds(), minCost)
	}
	return float64(1 + w.req.PromptTokens + w.req.OutputTokens)
}

func (w *waiter) serviceTime() time.Duration {
	if w.req.Gate == nil {
		return 0
	}
	return w.req.Gate.ServiceTime
}

// pool is the queue in front of one pool of targets.
type pool struct {
	capacity int
	running  int
	// accounts holds the accounts with recent requests, kinds the kinds of requests, and
	// flows the flows with waiting requests.
	accounts map[string]*usage
	kinds    map[string]*tally
	flows    map[flowKey]*flow
	queued   int
	// all and work count the requests and the work of all accounts.
	all    tally
	work   decaying
	demand demand
	// started is the work that recently started, in seconds.
	started decaying
	returns returns
	// pruned is when accounts were last forgotten, and shed when waiting requests were last
	// looked at for refusal.
	pruned, shed time.Time
	shortUntil   time.Time
	// gated pools start one request at a time, because a gate takes only started
	// requests into account. starting is the request that was granted last, until it
	// has started.
	gated    bool
	starting *Permit
	// servers is the number of servers of a gated pool, as of the last request.
	servers int
	// blockedUntil is the time until which the gates are not evaluated again, because
	// each evaluation ranks the targets once for every flow. clearAt is when the first of
	// the gates that were evaluated last expects room.
	blockedUntil, clearAt time.Time
	// meanHoldTime is the moving average of the time for which a request holds its
	// slot.
	meanHoldTime time.Duration
}

func newPool() *pool {
	return &pool{accounts: map[string]*usage{}, kinds: map[string]*tally{}, flows: map[flowKey]*flow{}}
}

// hasCapacity reports whether another request may be granted.
func (p *pool) hasCapacity() bool {
	if p.gated {
		return p.starting == nil
	}
	return p.running < p.capacity
}

func (p *pool) account(name string) *usage {
	u := p.accounts[name]
	if u == nil {
		u = &usage{}
		p.accounts[name] = u
	}
	return u
}

func (p *pool) enqueue(now time.Time, w *waiter) {
	w.queuedAt, w.granted = now, make(chan struct{})
	f := p.flows[w.key()]
	if f == nil {
		f = &flow{key: w.key()}
		p.flows[f.key] = f
	}
	f.add(w)
	w.usage.waiting++
	p.queued++
}

func (p *pool) remove(w *waiter) bool {
	f := p.flows[w.key()]
	if f == nil {
		return false
	}
	at := slices.Index(f.waiting, w)
	if at < 0 {
		return false
	}
	if f.waiting = slices.Delete(f.waiting, at, at+1); len(f.waiting) == 0 {
		delete(p.flows, f.key)
	}
	w.usage.waiting--
	p.queued--
	return true
}

// next removes and returns the request that runs next. It skips flows whose first request
// must not run now.
func (p *pool) next(now time.Time, mayRun func(*waiter) bool) *waiter {
	var best *waiter
	var place standing
	for _, f := range p.flows {
		head := f.head(now)
		if s := p.standing(now, head); (best == nil || s.before(place)) && mayRun(head) {
			best, place = head, s
		}
	}
	if best != nil {
		p.remove(best)
	}
	return best
}

// expectedWait estimates how long a request would wait for a slot, from the number of
// requests served before it and the rate at which slots become free.
func (p *pool) expectedWait(now time.Time, w *waiter) (time.Duration, queueAhead) {
	if p.running < p.capacity || p.meanHoldTime == 0 {
		return 0, queueAhead{}
	}
	ahead := p.ahead(now, w)
	return time.Duration(float64(ahead.requests+1) / float64(max(p.capacity, 1)) * float64(p.meanHoldTime)), ahead
}

// recordHoldTime adds a sample of the time for which a request held its slot.
func (p *pool) recordHoldTime(d time.Duration) {
	if p.meanHoldTime == 0 {
		p.meanHoldTime = d
		return
	}
	p.meanHoldTime += time.Duration(holdTimeWeight * float64(d-p.meanHoldTime))
}
