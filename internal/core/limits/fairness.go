package limits

import (
	"math"
	"time"
)

const (
	// usageWindow is the time constant with which the work that an account got is
	// forgotten. It is several times as long as a request waits, so that an account cannot
	// use its burst twice, and short against the time for which a user remembers a burst.
	usageWindow = 5 * time.Second
	// servedWindow is the time constant of the counts of requests offered and served.
	servedWindow = 10 * time.Second
	// servedFloor is the share of the requests of an account, or of a kind, that are served,
	// as a fraction of the share over all requests, below which it must not fall.
	servedFloor = 0.25
	// floorMargin is the multiple of servedFloor below which an account or a kind goes
	// first: the counts lag, and a request that goes first still has to be answered.
	floorMargin = 1.4
	// minOffered is the number of recent requests below which the share of those served says
	// nothing.
	minOffered = 4
	// hotFactor is the multiple of the mean work of the accounts from which on an account
	// leaves room to the others while the pool is short of capacity.
	hotFactor = 2
	// minHot is the number of requests recently served below which an account does not count
	// as having got much: a router of a large fleet sees a few of each account, and twice the
	// mean is chance then.
	minHot = 8
	// shortageMemory is how long a pool counts as short of capacity after a request had to
	// wait or was refused: about the time after which refused clients return.
	shortageMemory = time.Second
	// accountRetention is how long an account without requests is remembered in a pool: by
	// then less than 1% of its work counts.
	accountRetention = 6 * usageWindow
	// pruneInterval is the time between two searches for accounts to forget.
	pruneInterval = time.Second
)

// decaying is a sum whose terms are forgotten exponentially.
type decaying struct {
	value float64
	at    time.Time
}

// decayResolution is the part of a window within which decay is not computed: the
// exponential is most of the cost of a count, and the error is below 0.4%.
const decayResolution = 256

func (d *decaying) read(now time.Time, window time.Duration) float64 {
	if elapsed := now.Sub(d.at); elapsed >= window/decayResolution {
		d.value *= math.Exp(-elapsed.Seconds() / window.Seconds())
		d.at = now
	}
	return d.value
}

func (d *decaying) add(now time.Time, window time.Duration, x float64) {
	d.read(now, window)
	d.value += x
}

// tally counts the recent requests of an account, of a kind or of a pool.
type tally struct{ offered, served decaying }

func (t *tally) offer(now time.Time) { t.offered.add(now, servedWindow, 1) }
func (t *tally) serve(now time.Time) { t.served.add(now, servedWindow, 1) }

// starved reports whether the requests are served so much less often than all requests that
// they go first.
func (t *tally) starved(now time.Time, all *tally) bool {
	offered := t.offered.read(now, servedWindow)
	if offered < minOffered {
		return false
	}
	return t.served.read(now, servedWindow)*all.offered.read(now, servedWindow) <
		servedFloor*floorMargin*offered*all.served.read(now, servedWindow)
}

// usage is what an account recently got from a pool, whether its requests waited or not.
type usage struct {
	tally
	work     decaying
	waiting  int
	lastSeen time.Time
	// scanned is scratch space of pool.ahead: the tag up to which the account's waiting
	// requests were looked at.
	scanned float64
}

// offer counts an arriving request. Requests that return before the time they were told are
// counted when they are served only: otherwise a client that returns often would seem to be
// served rarely.
func (p *pool) offer(now time.Time, w *waiter) {
	if now.Sub(p.pruned) >= pruneInterval {
		p.prune(now)
	}
	w.usage.lastSeen = now
	if w.early {
		return
	}
	p.countOffered(now, w)
	work := w.serviceTime()
	if !p.gated {
		work = p.meanHoldTime
	}
	p.demand.add(now, demandClass{w.req.Priority, p.yields(now, w)}, work)
}

func (p *pool) countOffered(now time.Time, w *waiter) {
	w.usage.offer(now)
	w.kind.offer(now)
	p.all.offer(now)
}

// serve counts a request that starts, and its work.
func (p *pool) serve(now time.Time, w *waiter) {
	if w.early {
		p.countOffered(now, w)
	}
	w.usage.serve(now)
	w.kind.serve(now)
	p.all.serve(now)
	w.usage.work.add(now, usageWindow, w.cost()/w.weight())
	p.work.add(now, usageWindow, w.cost()/w.weight())
	if p.gated {
		p.started.add(now, demandRateWindow, w.serviceTime().Seconds())
	}
}

// prune forgets accounts without requests. Those that are left are the active ones.
func (p *pool) prune(now time.Time) {
	p.pruned = now
	for name, u := range p.accounts {
		if u.waiting == 0 && now.Sub(u.lastSeen) > accountRetention {
			delete(p.accounts, name)
		}
	}
}

// short reports whether requests recently had to wait or were refused.
func (p *pool) short(now time.Time) bool { return now.Before(p.shortUntil) }

func (p *pool) markShort(now time.Time) { p.shortUntil = now.Add(shortageMemory) }

// yields reports whether the request leaves room to others: while the pool is short of
// capacity, requests of accounts that recently got much more than the mean, and those that
// return before the time they were told.
func (p *pool) yields(now time.Time, w *waiter) bool {
	return p.short(now) && (w.early || p.hot(now, w.usage))
}

// hot reports whether the account recently got much more than the mean.
func (p *pool) hot(now time.Time, u *usage) bool {
	if u.served.read(now, servedWindow) < minHot {
		return false
	}
	mean := p.work.read(now, usageWindow) / float64(max(len(p.accounts), 1))
	return u.work.read(now, usageWindow) > hotFactor*mean
}
