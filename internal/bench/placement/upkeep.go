package placement

import (
	"encoding/json"
	"slices"
	"time"

	core "mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// loadReadsPerSecond is the number of load reports a router reads per
	// second, about 220 bytes each. Four a second gave no better placement.
	loadReadsPerSecond = 1
	// controlBudget is the number of control bytes per second for each router.
	// Profiles and cache events are sent while it leaves room.
	controlBudget = 1800
	// eventBudget is the budget up to which events are followed. It is lower, as
	// the size of events is only estimated.
	eventBudget = 1400
	// maxCounts bounds the in-flight counts in one exchange.
	maxCounts = 16
	// eventWindow is the time after which the number of targets whose cache
	// events are followed is set anew.
	eventWindow = 10 * time.Second
	// eventCostStep is the gain of the average cost of events. The estimate
	// starts at the whole budget, so events are followed only once they are
	// known to be cheap.
	eventCostStep = 0.1
	// blockEventBytes is the size of a block hash in an event.
	blockEventBytes = 19
	// eventReadInterval is the time between reads of cache events.
	eventReadInterval = 500 * time.Millisecond
	// profileEvery is the number of exchanges after which profiles go along, and
	// profileBytes their size.
	profileEvery, profileBytes = 4, 1024
	// logSummaryInterval and logSummaryBytes are those of the hot-prefix summary
	// that the routers append to the log in turn.
	logSummaryInterval = 30 * time.Second
	logSummaryBytes    = 32 << 10
	// exchangeHeadBytes is what an exchange carries besides counts and profiles:
	// config offset, router name and framing.
	exchangeHeadBytes = 40
	// readHeadBytes is the size of a request line for a load report or events.
	readHeadBytes = 40
)

// exchange is the control state of one router.
type exchange struct {
	turn     int
	loadTurn int
	// read is the last sequence number read from each target followed.
	read map[string]uint64
	// eventTargets is the number of targets whose cache events are followed,
	// events the bytes read of them in this window.
	eventTargets int
	events       float64
	// cost is the estimated size of one target's events in a window, in bytes.
	cost float64
	// missed is the number of tokens that requests missed in this window.
	missed float64
	// total is the sum of all control bytes at the start of the window.
	total float64
}

// observesRouters is implemented by placers that want the number of routers.
type observesRouters interface{ ObserveRouters(n int) }

func (d *driver) startUpkeep() {
	for _, r := range d.routers {
		d.introduce(r)
	}
	d.every(time.Second, d.exchangeAll)
	d.every(time.Second/loadReadsPerSecond, d.readLoads)
	d.every(eventReadInterval, d.readEvents)
	d.every(eventWindow, d.budgetEvents)
	d.every(100*time.Millisecond, func() {
		for _, e := range d.engines {
			e.sample()
		}
	})
	d.every(logSummaryInterval, d.appendSummary)
	if d.w.CrashEveryS > 0 {
		d.every(seconds(d.w.CrashEveryS), d.crashOne)
	}
	if d.w.RouterRestartEveryS > 0 {
		turn := 0
		d.every(seconds(d.w.RouterRestartEveryS), func() {
			d.restartOne(turn % len(d.routers))
			turn++
		})
	}
}

func (d *driver) introduce(r *router) {
	if o, ok := r.placer.(observesRouters); ok {
		o.ObserveRouters(len(d.routers))
	}
}

// exchangeAll makes each router exchange with the next of its neighbours.
func (d *driver) exchangeAll() {
	n := len(d.routers)
	if n < 2 {
		return
	}
	for i, r := range d.routers {
		r.next.turn++
		peer := d.routers[(i+1+r.next.turn%(n-1))%n]
		d.send(r, peer)
		d.send(peer, r)
	}
}

func (d *driver) send(from, to *router) {
	counts := top(from.placer.InFlight(), maxCounts)
	bytes := float64(exchangeHeadBytes)
	for name := range counts {
		bytes += float64(len(name) + 4)
	}
	to.placer.ObservePeerInFlight(d.clock(d.now), from.name, counts)
	if from.next.turn%profileEvery == 0 && d.hasRoom(from) && d.hasRoom(to) {
		summary := from.placer.Summary(d.clock(d.now), profileBytes)
		bytes += float64(len(summary))
		_ = to.placer.Restore(d.clock(d.now), summary)
	}
	from.bytes += bytes
	to.bytes += bytes
}

// top keeps the n largest counts.
func top(counts map[string]int, n int) map[string]int {
	names := sortedKeys(counts)
	if len(names) <= n {
		return counts
	}
	slices.SortStableFunc(names, func(a, b string) int { return counts[b] - counts[a] })
	for _, name := range names[n:] {
		delete(counts, name)
	}
	return counts
}

// hasRoom says whether a router used less than its control budget so far.
func (d *driver) hasRoom(r *router) bool { return r.bytes <= controlBudget*d.now.Seconds() }

// budgetEvents follows the cache events of as many targets as fit the budget
// next to the other control traffic. What events cost is estimated from the
// tokens that the router's own requests missed: each block is stored once and
// evicted once.
func (d *driver) budgetEvents() {
	for _, r := range d.routers {
		x := &r.next
		perTarget := float64(len(d.routers)) / float64(len(d.engines)*d.w.BlockTokens) * 2 * blockEventBytes
		x.cost += eventCostStep * (x.missed*perTarget - x.cost)
		room := eventBudget*eventWindow.Seconds() - (r.bytes - x.total - x.events)
		x.eventTargets = min(len(d.engines), max(0, int(room/(2*x.cost+1))))
		if !d.hasRoom(r) {
			x.eventTargets = 0
		}
		x.total, x.events, x.missed = r.bytes, 0, 0
	}
}

func (d *driver) readLoads() {
	for i, r := range d.routers {
		e := d.engines[(r.next.loadTurn+i)%len(d.engines)]
		r.next.loadTurn++
		if e.down {
			continue
		}
		report := e.report()
		raw, _ := json.Marshal(report)
		r.bytes += float64(len(raw) + readHeadBytes)
		r.placer.ObserveLoad(d.clock(d.now), e.name, report)
	}
}

// readEvents follows the cache events of as many targets as the control budget
// allows.
func (d *driver) readEvents() {
	for i, r := range d.routers {
		for k := range r.next.eventTargets {
			e := d.engines[(i*len(d.engines)/len(d.routers)+k)%len(d.engines)]
			if e.down {
				continue
			}
			after := r.next.read[e.name]
			if after > e.seq {
				after = 0
			}
			events := e.eventsAfter(after)
			r.bytes += eventBytes(events)
			r.next.events += eventBytes(events)
			r.placer.ObserveEvents(d.clock(d.now), e.name, after, events)
			if n := len(events.Events); n > 0 {
				after = events.Events[n-1].Seq
			}
			r.next.read[e.name] = after
		}
	}
}

// eventBytes is the size of the events as JSON: 19 bytes for a block in hex,
// about 60 for the rest of an event.
func eventBytes(events port.CacheEvents) float64 {
	bytes := 2 * readHeadBytes
	for _, e := range events.Events {
		bytes += 60 + len(e.Scope) + blockEventBytes*len(e.Blocks)
	}
	return float64(bytes)
}

func (d *driver) appendSummary() {
	r := d.routers[d.logTurn%len(d.routers)]
	d.logTurn++
	summary := r.placer.Summary(d.clock(d.now), logSummaryBytes)
	if len(summary) > 0 {
		d.log = summary
	}
	r.bytes += float64(len(summary))
}

func (d *driver) crashOne() {
	e := d.engines[d.rng.IntN(len(d.engines))]
	if e.down {
		return
	}
	for _, j := range e.crash() {
		d.after(d.link(d.routers[j.router], e), func() { d.crashed(j, e) })
	}
}

// restart replaces a router's Placer; it learns from the summary only.
func (d *driver) restart(i int, summary []byte) {
	bytes, fresh := d.routers[i].bytes, d.newRouter(i)
	fresh.next.eventTargets = d.routers[i].next.eventTargets
	*d.routers[i] = *fresh
	d.routers[i].bytes = bytes + float64(len(summary))
	d.introduce(d.routers[i])
	_ = d.routers[i].placer.Restore(d.clock(d.now), summary)
}

// restartOne restarts a router that asks a peer for a summary.
func (d *driver) restartOne(i int) {
	peer := d.routers[(i+1)%len(d.routers)]
	d.restart(i, peer.placer.Summary(d.clock(d.now), logSummaryBytes))
}

// restartAll restarts all routers; they find the summary in the log.
func (d *driver) restartAll() {
	for i := range d.routers {
		d.restart(i, d.log)
	}
}

var _ core.Placer = (*core.Policy)(nil)
