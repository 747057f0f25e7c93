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
	// second, about 220 bytes each. Four per second did not improve placement.
	loadReadsPerSecond = 1
	// controlBudget is the limit of control bytes per second and router. Prefix
	// profiles and cache events are transferred only below it.
	controlBudget = 1800
	// eventBudget is the limit of all control bytes per second up to which events
	// are read. It is below controlBudget because the size of events is only an
	// estimate.
	eventBudget = 1400
	// maxCounts bounds the in-flight counts in one exchange.
	maxCounts = 16
	// eventWindow is the interval at which the number of targets whose cache
	// events are read is recomputed.
	eventWindow = 10 * time.Second
	// eventCostStep is the weight of a new sample in the average cost of events.
	// The estimate starts at the whole budget, so events are read only once they
	// are known to be cheap.
	eventCostStep = 0.1
	// blockEventBytes is the size of a block hash in an event.
	blockEventBytes = 19
	// eventReadInterval is the time between reads of cache events.
	eventReadInterval = 500 * time.Millisecond
	// profileEvery is the number of exchanges per prefix profile, profileBytes
	// the maximum size of a profile.
	profileEvery, profileBytes = 4, 1024
	// logSummaryInterval and logSummaryBytes are the interval and maximum size of
	// the hot-prefix summary that the routers append to the log in rotation.
	logSummaryInterval = 30 * time.Second
	logSummaryBytes    = 32 << 10
	// exchangeHeadBytes is the size of an exchange without counts and profiles:
	// config offset, router name and framing.
	exchangeHeadBytes = 40
	// readHeadBytes is the size of the request line for a load report or events.
	readHeadBytes = 40
)

// controlState is the state of one router's control traffic.
type controlState struct {
	// exchanges and loadReads count the exchanges started and the reads of load
	// reports attempted.
	exchanges int
	loadReads int
	// lastRead is the last sequence number read from each target.
	lastRead map[string]uint64
	// eventTargets is the number of targets whose cache events are read,
	// eventBytesRead the size of the events read in this window.
	eventTargets   int
	eventBytesRead float64
	// eventCost is the estimated size of one target's events per window, in bytes.
	eventCost float64
	// uncachedTokens is the number of uncached prompt tokens of this window's requests.
	uncachedTokens float64
	// bytesAtStart is the router's total of control bytes at the start of the window.
	bytesAtStart float64
}

// routerCountObserver is implemented by placers that use the number of routers.
type routerCountObserver interface{ ObserveRouters(n int) }

func (d *driver) startBackground() {
	for _, r := range d.routers {
		d.observeRouters(r)
	}
	d.every(time.Second, d.exchangeAll)
	d.every(time.Second/loadReadsPerSecond, d.readLoads)
	d.every(eventReadInterval, d.readEvents)
	d.every(eventWindow, d.updateEventTargets)
	d.every(100*time.Millisecond, func() {
		for _, e := range d.engines {
			e.sample()
		}
	})
	d.every(logSummaryInterval, d.appendSummary)
	if d.w.CrashEveryS > 0 {
		d.every(seconds(d.w.CrashEveryS), d.crashRandomEngine)
	}
	if d.w.RouterRestartEveryS > 0 {
		next := 0
		d.every(seconds(d.w.RouterRestartEveryS), func() {
			d.restartRouter(next % len(d.routers))
			next++
		})
	}
}

func (d *driver) observeRouters(r *router) {
	if o, ok := r.placer.(routerCountObserver); ok {
		o.ObserveRouters(len(d.routers))
	}
}

// exchangeAll makes each router exchange state with the next peer in rotation.
func (d *driver) exchangeAll() {
	n := len(d.routers)
	if n < 2 {
		return
	}
	for i, r := range d.routers {
		r.control.exchanges++
		peer := d.routers[(i+1+r.control.exchanges%(n-1))%n]
		d.send(r, peer)
		d.send(peer, r)
	}
}

func (d *driver) send(from, to *router) {
	counts := largestCounts(from.placer.InFlight(), maxCounts)
	bytes := float64(exchangeHeadBytes)
	for name := range counts {
		bytes += float64(len(name) + 4)
	}
	to.placer.ObservePeerInFlight(d.clock(d.now), from.name, counts)
	if from.control.exchanges%profileEvery == 0 && d.withinBudget(from) && d.withinBudget(to) {
		summary := from.placer.Summary(d.clock(d.now), profileBytes)
		bytes += float64(len(summary))
		_ = to.placer.Restore(d.clock(d.now), summary)
	}
	from.bytes += bytes
	to.bytes += bytes
}

// largestCounts removes all but the n largest counts.
func largestCounts(counts map[string]int, n int) map[string]int {
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

// withinBudget reports whether a router is within its control budget so far.
func (d *driver) withinBudget(r *router) bool { return r.bytes <= controlBudget*d.now.Seconds() }

// updateEventTargets sets the number of targets whose cache events fit into
// eventBudget beside the other control traffic. The cost of events is estimated
// from the uncached tokens of the router's own requests: each block is stored
// once and evicted once.
func (d *driver) updateEventTargets() {
	for _, r := range d.routers {
		x := &r.control
		perTarget := float64(len(d.routers)) / float64(len(d.engines)*d.w.BlockTokens) * 2 * blockEventBytes
		x.eventCost += eventCostStep * (x.uncachedTokens*perTarget - x.eventCost)
		remaining := eventBudget*eventWindow.Seconds() - (r.bytes - x.bytesAtStart - x.eventBytesRead)
		x.eventTargets = min(len(d.engines), max(0, int(remaining/(2*x.eventCost+1))))
		if !d.withinBudget(r) {
			x.eventTargets = 0
		}
		x.bytesAtStart, x.eventBytesRead, x.uncachedTokens = r.bytes, 0, 0
	}
}

func (d *driver) readLoads() {
	for i, r := range d.routers {
		e := d.engines[(r.control.loadReads+i)%len(d.engines)]
		r.control.loadReads++
		if e.down {
			continue
		}
		report := e.report()
		raw, _ := json.Marshal(report)
		r.bytes += float64(len(raw) + readHeadBytes)
		r.placer.ObserveLoad(d.clock(d.now), e.name, report)
	}
}

// readEvents reads the cache events of the targets within the event budget.
func (d *driver) readEvents() {
	for i, r := range d.routers {
		for k := range r.control.eventTargets {
			e := d.engines[(i*len(d.engines)/len(d.routers)+k)%len(d.engines)]
			if e.down {
				continue
			}
			after := r.control.lastRead[e.name]
			if after > e.seq {
				after = 0
			}
			events := e.eventsAfter(after)
			r.bytes += eventBytes(events)
			r.control.eventBytesRead += eventBytes(events)
			r.placer.ObserveEvents(d.clock(d.now), e.name, after, events)
			if n := len(events.Events); n > 0 {
				after = events.Events[n-1].Seq
			}
			r.control.lastRead[e.name] = after
		}
	}
}

// eventBytes estimates the size of the events as JSON: 19 bytes per block hash in
// hex and about 60 for the rest of an event.
func eventBytes(events port.CacheEvents) float64 {
	bytes := 2 * readHeadBytes
	for _, e := range events.Events {
		bytes += 60 + len(e.Scope) + blockEventBytes*len(e.Blocks)
	}
	return float64(bytes)
}

func (d *driver) appendSummary() {
	r := d.routers[d.summaries%len(d.routers)]
	d.summaries++
	summary := r.placer.Summary(d.clock(d.now), logSummaryBytes)
	if len(summary) > 0 {
		d.logSummary = summary
	}
	r.bytes += float64(len(summary))
}

func (d *driver) crashRandomEngine() {
	e := d.engines[d.rng.IntN(len(d.engines))]
	if e.down {
		return
	}
	for _, j := range e.crash() {
		d.after(d.link(d.routers[j.router], e), func() { d.crashed(j, e) })
	}
}

// replaceRouter replaces a router by a new one that knows only the summary.
func (d *driver) replaceRouter(i int, summary []byte) {
	bytes, fresh := d.routers[i].bytes, d.newRouter(i)
	fresh.control.eventTargets = d.routers[i].control.eventTargets
	*d.routers[i] = *fresh
	d.routers[i].bytes = bytes + float64(len(summary))
	d.observeRouters(d.routers[i])
	_ = d.routers[i].placer.Restore(d.clock(d.now), summary)
}

// restartRouter restarts a router, which gets the summary from a peer.
func (d *driver) restartRouter(i int) {
	peer := d.routers[(i+1)%len(d.routers)]
	d.replaceRouter(i, peer.placer.Summary(d.clock(d.now), logSummaryBytes))
}

// restartAllRouters restarts all routers, which read the summary from the log.
func (d *driver) restartAllRouters() {
	for i := range d.routers {
		d.replaceRouter(i, d.logSummary)
	}
}

var _ core.Placer = (*core.Policy)(nil)
