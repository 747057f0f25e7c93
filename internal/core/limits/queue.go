package limits

import (
	"math"
	"slices"
	"time"
)

const (
	// maxQueued limits the waiting requests of one account in one pool.
	maxQueued = 1024
	// maxAccountQueues is the number of account queues of a pool from which on idle
	// ones are evicted.
	maxAccountQueues = 1024
	// holdTimeWeight is the weight of a new sample in the moving average of the hold
	// time.
	holdTimeWeight = 0.1
)

// waiter is a request in the queue of a pool.
type waiter struct {
	req     Request
	granted chan struct{}
	permit  *Permit
}

// cost is the cost of the request in fair queuing: its tokens, plus one.
func (w *waiter) cost() float64 { return float64(1 + w.req.PromptTokens + w.req.OutputTokens) }

// accountQueue holds the waiting requests of one account, ordered by priority and then
// by deadline.
type accountQueue struct {
	waiting []*waiter
	// pass is the account's virtual time in stride scheduling: the cost of its granted
	// requests divided by its weight.
	pass float64
}

func (q *accountQueue) add(w *waiter) {
	at, _ := slices.BinarySearchFunc(q.waiting, w, func(queued, added *waiter) int {
		if queued.req.Priority != added.req.Priority {
			return added.req.Priority - queued.req.Priority
		}
		if order := queued.req.Deadline.Compare(added.req.Deadline); order != 0 {
			return order
		}
		return -1 // insert after equal elements
	})
	q.waiting = slices.Insert(q.waiting, at, w)
}

func (q *accountQueue) remove(w *waiter) bool {
	at := slices.Index(q.waiting, w)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// pool is the queue in front of one pool of targets.
type pool struct {
	capacity int
	running  int
	accounts map[string]*accountQueue
	// backlogged holds the accounts with waiting requests, usually a small part of
	// all accounts.
	backlogged map[string]*accountQueue
	queued     int
	// gated pools start one request at a time, because a gate takes only started
	// requests into account. starting is the request that was granted last, until it
	// has started.
	gated    bool
	starting *Permit
	// blockedUntil is the time until which the gates are not evaluated again, because
	// each evaluation ranks the targets once for every backlogged account.
	blockedUntil time.Time
	// pass is the virtual time of the pool: the pass of the account served last.
	pass float64
	// meanHoldTime is the moving average of the time for which a request holds its
	// slot.
	meanHoldTime time.Duration
}

// hasCapacity reports whether another request may be granted.
func (p *pool) hasCapacity() bool {
	if p.gated {
		return p.starting == nil
	}
	return p.running < p.capacity
}

func (p *pool) account(account string) *accountQueue {
	q := p.accounts[account]
	if q == nil {
		if len(p.accounts) >= maxAccountQueues {
			p.evictIdle()
		}
		q = &accountQueue{}
		p.accounts[account] = q
	}
	return q
}

// evictIdle removes the queues of idle accounts that would rejoin with the pool's pass
// anyway.
func (p *pool) evictIdle() {
	for name, q := range p.accounts {
		if len(q.waiting) == 0 && q.pass <= p.pass {
			delete(p.accounts, name)
		}
	}
}

// outranked reports whether a request with a higher priority is waiting.
func (p *pool) outranked(req Request) bool {
	for _, q := range p.backlogged {
		if q.waiting[0].req.Priority > req.Priority {
			return true
		}
	}
	return false
}

func (p *pool) enqueue(w *waiter) {
	q := p.account(w.req.Account)
	if len(q.waiting) == 0 {
		q.pass = max(q.pass, p.pass)
	}
	q.add(w)
	p.backlogged[w.req.Account] = q
	p.queued++
}

func (p *pool) remove(w *waiter) bool {
	q := p.accounts[w.req.Account]
	if q == nil || !q.remove(w) {
		return false
	}
	if len(q.waiting) == 0 {
		delete(p.backlogged, w.req.Account)
	}
	p.queued--
	return true
}

// next removes and returns the request that runs next: by priority, then from the
// account with the lowest pass, then by deadline. It skips accounts whose first
// request must not run now.
func (p *pool) next(mayRun func(*waiter) bool) *waiter {
	var best *waiter
	var from *accountQueue
	for _, q := range p.backlogged {
		head := q.waiting[0]
		if (best == nil || runsBefore(head, q, best, from)) && mayRun(head) {
			best, from = head, q
		}
	}
	if best == nil {
		return nil
	}
	p.remove(best)
	p.pass = max(p.pass, from.pass)
	from.pass += best.cost() / float64(max(best.req.Weight, 1))
	return best
}

func runsBefore(a *waiter, qa *accountQueue, b *waiter, qb *accountQueue) bool {
	switch {
	case a.req.Priority != b.req.Priority:
		return a.req.Priority > b.req.Priority
	case qa.pass != qb.pass:
		return qa.pass < qb.pass
	case !a.req.Deadline.Equal(b.req.Deadline):
		return a.req.Deadline.Before(b.req.Deadline)
	default:
		return a.req.Account < b.req.Account
	}
}

// expectedWait estimates how long a request would wait, from the number of requests
// served before it and the rate at which slots become free.
func (p *pool) expectedWait(req Request) time.Duration {
	if p.running < p.capacity || p.meanHoldTime == 0 {
		return 0
	}
	own := 0
	if q := p.accounts[req.Account]; q != nil {
		own = countAhead(q, req.Priority, req.Deadline)
	}
	ahead := own
	for name, q := range p.backlogged {
		if name != req.Account {
			ahead += p.countAheadOf(q, req, own+1)
		}
	}
	return time.Duration(float64(ahead+1) / float64(p.capacity) * float64(p.meanHoldTime))
}

// countAheadOf estimates how many requests of another account run before the
// request at position number in its own account's queue.
func (p *pool) countAheadOf(q *accountQueue, req Request, number int) int {
	higher := 0
	for higher < len(q.waiting) && q.waiting[higher].req.Priority > req.Priority {
		higher++
	}
	equal := higher
	for equal < len(q.waiting) && q.waiting[equal].req.Priority == req.Priority {
		equal++
	}
	weightRatio := float64(max(q.waiting[0].req.Weight, 1)) / float64(max(req.Weight, 1))
	return higher + min(equal-higher, int(math.Ceil(float64(number)*weightRatio)))
}

func countAhead(q *accountQueue, priority int, deadline time.Time) int {
	n := 0
	for _, w := range q.waiting {
		if w.req.Priority < priority || w.req.Priority == priority && w.req.Deadline.After(deadline) {
			break
		}
		n++
	}
	return n
}

// recordHoldTime adds a sample of the time for which a request held its slot.
func (p *pool) recordHoldTime(d time.Duration) {
	if p.meanHoldTime == 0 {
		p.meanHoldTime = d
		return
	}
	p.meanHoldTime += time.Duration(holdTimeWeight * float64(d-p.meanHoldTime))
}
