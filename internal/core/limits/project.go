package limits

import "time"

const (
	// demandRateWindow is the time constant of the demand that is expected to arrive while a
	// request waits: long enough for tens of arrivals, and short against a burst.
	demandRateWindow = time.Second
	// minLeftOver is the part of the capacity that is left for requests behind others at the
	// least: no kind and no account is starved, and demand is not known exactly.
	minLeftOver = 0.1
)

// demandClass distinguishes demand by what goes first.
type demandClass struct {
	priority int
	yields   bool
}

// before reports whether requests of the class go before others, however late those are.
func (a demandClass) before(b demandClass) bool {
	return a.priority > b.priority || a.priority == b.priority && !a.yields && b.yields
}

// demand is the work that recently arrived.
type demand struct{ byClass map[demandClass]*decaying }

func (d *demand) add(now time.Time, class demandClass, work time.Duration) {
	level := d.byClass[class]
	if level == nil {
		if d.byClass == nil {
			d.byClass = map[demandClass]*decaying{}
		}
		level = &decaying{at: now}
		d.byClass[class] = level
	}
	level.add(now, demandRateWindow, work.Seconds())
}

// rates returns the seconds of work that arrive in a second of classes that go before this one,
// and of this one.
func (d *demand) rates(now time.Time, class demandClass) (before, same float64) {
	for other, level := range d.byClass {
		rate := level.read(now, demandRateWindow) / demandRateWindow.Seconds()
		switch {
		case other == class:
			same += rate
		case other.before(class):
			before += rate
		}
	}
	return before, same
}

// project returns how long a request waits for which base is the time in which the targets do
// what is before it now. Requests that arrive meanwhile go first if their class does, and also
// those of the same class once the request is late.
func (c *Controller) project(now time.Time, p *pool, w *waiter, base time.Duration) time.Duration {
	if base <= 0 {
		return 0
	}
	before, same := p.demand.rates(now, demandClass{w.req.Priority, p.yields(now, w)})
	rate := c.workRate(now, p)
	timely := max(minLeftOver, 1-before/rate)
	late := max(minLeftOver, 1-(before+same)/rate)
	left := max(0, w.onTime.Sub(now))
	if done := time.Duration(timely * float64(left)); base > done {
		return left + time.Duration(float64(base-done)/late)
	}
	return time.Duration(float64(base) / timely)
}

// workRate returns the seconds of work per second that this router can have done: its part of the
// servers, or what was started here lately if that is more, because demand differs by router.
func (c *Controller) workRate(now time.Time, p *pool) float64 {
	if !p.gated {
		return float64(max(p.capacity, 1)) // the share of this router
	}
	count, _, _ := c.shares.routers()
	return max(float64(max(p.servers, 1))/float64(count), p.started.read(now, demandRateWindow)/demandRateWindow.Seconds())
}

// setServers sets the number of servers of a gated pool. What was started lately counts for as
// many as are left, so that estimates follow at once.
func (p *pool) setServers(n int) {
	n = max(n, 1)
	if p.servers > 0 {
		p.started.value *= float64(n) / float64(p.servers)
	}
	p.servers = n
}

// drainTime is the time in which work that is queued here is done.
func (c *Controller) drainTime(now time.Time, p *pool, work time.Duration) time.Duration {
	if work <= 0 {
		return 0
	}
	return time.Duration(float64(work) / c.workRate(now, p))
}
