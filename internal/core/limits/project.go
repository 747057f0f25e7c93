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
	perServer := c.perServer(p)
	timely := max(minLeftOver, 1-before*perServer)
	late := max(minLeftOver, 1-(before+same)*perServer)
	left := max(0, w.onTime.Sub(now))
	if done := time.Duration(timely * float64(left)); base > done {
		return left + time.Duration(float64(base-done)/late)
	}
	return time.Duration(float64(base) / timely)
}

// perServer is the factor from work that arrives here to the occupancy of one server.
func (c *Controller) perServer(p *pool) float64 {
	if !p.gated {
		return 1 / float64(max(p.capacity, 1)) // the share of this router
	}
	count, _, _ := c.shares.routers()
	return float64(count) / float64(max(p.servers, 1))
}
