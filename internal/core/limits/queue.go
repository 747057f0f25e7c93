package limits

import (
	"math"
	"slices"
	"time"
)

const (
	// maxQueued bounds the waiting requests of one account in one pool.
	maxQueued = 1024
	// keptAccounts is the number of idle accounts whose position in the fair
	// order is kept before they are looked through.
	keptAccounts = 1024
	// holdWeight is the weight of a new sample in the mean holding time.
	holdWeight = 0.1
)

// waiter is a request in the queue of a pool.
type waiter struct {
	ask     Request
	granted chan struct{}
	permit  *Permit
}

// cost is what a request counts in the fair order.
func (w *waiter) cost() float64 { return float64(1 + w.ask.PromptTokens + w.ask.OutputTokens) }

// accountQueue holds the waiting requests of one account, by priority and then by
// deadline.
type accountQueue struct {
	waiting []*waiter
	// pass is the account's position in the fair order: the cost of what it was
	// granted, divided by its share.
	pass float64
}

func (l *accountQueue) add(w *waiter) {
	at, _ := slices.BinarySearchFunc(l.waiting, w, func(have, want *waiter) int {
		if have.ask.Priority != want.ask.Priority {
			return want.ask.Priority - have.ask.Priority
		}
		if order := have.ask.Deadline.Compare(want.ask.Deadline); order != 0 {
			return order
		}
		return -1 // behind equals
	})
	l.waiting = slices.Insert(l.waiting, at, w)
}

func (l *accountQueue) remove(w *waiter) bool {
	at := slices.Index(l.waiting, w)
	if at < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, at, at+1)
	return true
}

// pool is the queue in front of one pool of targets.
type pool struct {
	capacity int
	running  int
	accounts map[string]*accountQueue
	// busy holds the accounts with waiting requests, which are few among many.
	busy   map[string]*accountQueue
	queued int
	// gated pools start one request at a time, because a gate sees only what has
	// started; starting is the one that was granted last and has not.
	gated    bool
	starting *Permit
	// blockedUntil is the time until which no gate is looked at again: each look ranks
	// the targets once for every account that waits.
	blockedUntil time.Time
	// pass is the position of the account that was served last.
	pass float64
	// hold is the mean time for which a request holds its place.
	hold time.Duration
}

// free reports whether another request may be granted at all.
func (p *pool) free() bool {
	if p.gated {
		return p.starting == nil
	}
	return p.running < p.capacity
}

func (p *pool) account(account string) *accountQueue {
	l := p.accounts[account]
	if l == nil {
		if len(p.accounts) >= keptAccounts {
			p.forgetIdle()
		}
		l = &accountQueue{}
		p.accounts[account] = l
	}
	return l
}

// forgetIdle drops accounts that would rejoin at the current position anyway.
func (p *pool) forgetIdle() {
	for name, l := range p.accounts {
		if len(l.waiting) == 0 && l.pass <= p.pass {
			delete(p.accounts, name)
		}
	}
}

// outranked reports whether a request of a higher priority waits.
func (p *pool) outranked(a Request) bool {
	for _, l := range p.busy {
		if l.waiting[0].ask.Priority > a.Priority {
			return true
		}
	}
	return false
}

func (p *pool) enqueue(w *waiter) {
	l := p.account(w.ask.Account)
	if len(l.waiting) == 0 {
		l.pass = max(l.pass, p.pass)
	}
	l.add(w)
	p.busy[w.ask.Account] = l
	p.queued++
}

func (p *pool) remove(w *waiter) bool {
	l := p.accounts[w.ask.Account]
	if l == nil || !l.remove(w) {
		return false
	}
	if len(l.waiting) == 0 {
		delete(p.busy, w.ask.Account)
	}
	p.queued--
	return true
}

// next takes the request that is to run next: by priority, then from the
// account that is furthest behind its share, then by deadline. Accounts that
// may not run now are passed over.
func (p *pool) next(mayRun func(*waiter) bool) *waiter {
	var best *waiter
	var from *accountQueue
	for _, l := range p.busy {
		head := l.waiting[0]
		if (best == nil || before(head, l, best, from)) && mayRun(head) {
			best, from = head, l
		}
	}
	if best == nil {
		return nil
	}
	p.remove(best)
	p.pass = max(p.pass, from.pass)
	from.pass += best.cost() / float64(max(best.ask.Weight, 1))
	return best
}

func before(a *waiter, la *accountQueue, b *waiter, lb *accountQueue) bool {
	switch {
	case a.ask.Priority != b.ask.Priority:
		return a.ask.Priority > b.ask.Priority
	case la.pass != lb.pass:
		return la.pass < lb.pass
	case !a.ask.Deadline.Equal(b.ask.Deadline):
		return a.ask.Deadline.Before(b.ask.Deadline)
	default:
		return a.ask.Account < b.ask.Account
	}
}

// expectedWait estimates how long a request would wait: the requests that are
// served before it, at the rate at which places become free.
func (p *pool) expectedWait(a Request) time.Duration {
	if p.running < p.capacity || p.hold == 0 {
		return 0
	}
	own := 0
	if l := p.accounts[a.Account]; l != nil {
		own = aheadIn(l, a.Priority, a.Deadline)
	}
	ahead := own
	for name, l := range p.busy {
		if name != a.Account {
			ahead += p.aheadOf(l, a, own+1)
		}
	}
	return time.Duration(float64(ahead+1) / float64(p.capacity) * float64(p.hold))
}

// aheadOf estimates how many requests of another account run before the
// request that is the given number in its own line.
func (p *pool) aheadOf(l *accountQueue, a Request, number int) int {
	higher := 0
	for higher < len(l.waiting) && l.waiting[higher].ask.Priority > a.Priority {
		higher++
	}
	equal := higher
	for equal < len(l.waiting) && l.waiting[equal].ask.Priority == a.Priority {
		equal++
	}
	share := float64(max(l.waiting[0].ask.Weight, 1)) / float64(max(a.Weight, 1))
	return higher + min(equal-higher, int(math.Ceil(float64(number)*share)))
}

func aheadIn(l *accountQueue, priority int, deadline time.Time) int {
	n := 0
	for _, w := range l.waiting {
		if w.ask.Priority < priority || w.ask.Priority == priority && w.ask.Deadline.After(deadline) {
			break
		}
		n++
	}
	return n
}

// held takes a sample of the time for which a request held its place.
func (p *pool) held(d time.Duration) {
	if p.hold == 0 {
		p.hold = d
		return
	}
	p.hold += time.Duration(holdWeight * float64(d-p.hold))
}
