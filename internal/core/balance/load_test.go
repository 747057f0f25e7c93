package balance

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/workload"
)

// The load driver sends plain requests from several routers, each of which knows only its own
// requests and the reports in its own answers, to targets of different speed whose momentary
// slowness changes many times a second.

type loadShape struct {
	routers, targets, slots int
	// perSecond is the rate of all requests, seconds the duration.
	perSecond, seconds float64
	// speeds are the factors of the targets in turn. A report contains the factor if
	// reportsSpeed is set, and else the momentary slowness alone.
	speeds       []float64
	reportsSpeed bool
	// silent targets report no slowness, and lying is the number of targets that report to
	// be idle and fast.
	silent bool
	lying  int
	// zones is the number of zones, to which routers and targets are assigned in turn.
	zones     int
	objective time.Duration
	seed      uint64
}

func evenLoad() loadShape {
	return loadShape{routers: 30, targets: 6, slots: 6, perSecond: 800, seconds: 20, speeds: []float64{0.7, 1, 1.7}, reportsSpeed: true,
		zones: 1, objective: 150 * time.Millisecond, seed: 1}
}

const (
	// queuePerSlot bounds the queue of a target; it refuses what comes after.
	queuePerSlot = 4
	// slownessStep is the interval at which the momentary slowness changes, slownessMemory
	// the time after which a third of it is left, slownessSpread the deviation of its logarithm.
	slownessStep   = 50 * time.Millisecond
	slownessMemory = 250 * time.Millisecond
	slownessSpread = 0.4
	sameZone       = 150 * time.Microsecond
	otherZone      = time.Millisecond
)

// routeMs are the mean service times of the routes; each request's is between half and one and a
// half of it.
var routeMs = []float64{15, 40}

type loadResult struct {
	sent, inTime, refused int
	// latencies are those of all answered requests, byTarget by target.
	latencies []float64
	byTarget  [][]float64
	crossed   int
}

func (r *loadResult) p99() float64 { return quantile(r.latencies, 0.99) }

func quantile(ms []float64, q float64) float64 {
	if len(ms) == 0 {
		return 0
	}
	s := slices.Clone(ms)
	slices.Sort(s)
	return s[min(len(s)-1, int(q*float64(len(s))))]
}

// thirdsRatio is the p99 on the slowest third of the targets divided by that on the fastest.
func (r *loadResult) thirdsRatio(speeds []float64) float64 {
	var fast, slow []float64
	for i, ms := range r.byTarget {
		switch speeds[i%len(speeds)] {
		case slices.Min(speeds):
			fast = append(fast, ms...)
		case slices.Max(speeds):
			slow = append(slow, ms...)
		}
	}
	return quantile(slow, 0.99) / quantile(fast, 0.99)
}

type loadEvent struct {
	at  time.Duration
	seq int
	run func()
}

type loadEvents []loadEvent

func (h loadEvents) Len() int { return len(h) }
func (h loadEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].seq, h[j].seq)) < 0
}
func (h loadEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *loadEvents) Push(x any)   { *h = append(*h, x.(loadEvent)) }
func (h *loadEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

type loadTarget struct {
	index           int
	running         int
	waiting         []func()
	speed, momentum float64
}

type loadWorld struct {
	s       loadShape
	rng     *rand.Rand
	now     time.Duration
	seq     int
	events  loadEvents
	targets []*loadTarget
	result  loadResult
}

var loadEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (w *loadWorld) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, loadEvent{w.now + d, w.seq, run})
}

func (w *loadWorld) clock() time.Time { return loadEpoch.Add(w.now) }

func (w *loadWorld) link(router, target int) time.Duration {
	if router%w.s.zones == target%w.s.zones {
		return sameZone
	}
	return otherZone
}

// chooser is a policy of one router.
type chooser interface {
	choose(now time.Time, route int) int
	begin(now time.Time, target, route int) (end func(now time.Time, took time.Duration, report workload.Report))
}

func runLoad(s loadShape, newChooser func(w *loadWorld, router int) chooser) *loadResult {
	w := &loadWorld{s: s, rng: rand.New(rand.NewPCG(s.seed, 7))}
	for i := range s.targets {
		w.targets = append(w.targets, &loadTarget{index: i, speed: s.speeds[i%len(s.speeds)]})
	}
	w.result.byTarget = make([][]float64, s.targets)
	routers := make([]chooser, s.routers)
	for i := range routers {
		routers[i] = newChooser(w, i)
	}
	keep := math.Exp(-float64(slownessStep) / float64(slownessMemory))
	var change func()
	change = func() {
		for _, t := range w.targets {
			t.momentum = keep*t.momentum + math.Sqrt(1-keep*keep)*slownessSpread*w.rng.NormFloat64()
		}
		if w.now.Seconds() < s.seconds {
			w.after(slownessStep, change)
		}
	}
	change()
	var arrive func()
	arrive = func() {
		if w.now.Seconds() >= s.seconds {
			return
		}
		router := w.rng.IntN(s.routers)
		route := w.rng.IntN(len(routeMs))
		w.send(routers[router], router, route, routeMs[route]*(0.5+w.rng.Float64()))
		w.after(time.Duration(w.rng.ExpFloat64()/s.perSecond*float64(time.Second)), arrive)
	}
	arrive()
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(loadEvent)
		w.now = e.at
		e.run()
	}
	return &w.result
}

func (w *loadWorld) send(c chooser, router, route int, workMs float64) {
	w.result.sent++
	start := w.now
	t := w.targets[c.choose(w.clock(), route)]
	end := c.begin(w.clock(), t.index, route)
	link := w.link(router, t.index)
	if link > sameZone {
		w.result.crossed++
	}
	w.after(link, func() {
		if t.running >= w.s.slots && len(t.waiting) >= queuePerSlot*w.s.slots {
			r := w.report(t)
			w.after(link, func() { w.result.refused++; end(w.clock(), 0, r) })
			return
		}
		t.waiting = append(t.waiting, func() {
			ms := workMs * t.speed * math.Exp(t.momentum)
			w.after(time.Duration(ms*float64(time.Millisecond)), func() {
				r := w.report(t)
				t.running--
				w.admit(t)
				w.after(link, func() { w.answered(t, start, end, r) })
			})
		})
		w.admit(t)
	})
}

func (w *loadWorld) admit(t *loadTarget) {
	for len(t.waiting) > 0 && t.running < w.s.slots {
		run := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.running++
		run()
	}
}

func (w *loadWorld) answered(t *loadTarget, start time.Duration, end func(time.Time, time.Duration, workload.Report), r workload.Report) {
	took := w.now - start
	end(w.clock(), took, r)
	ms := float64(took) / float64(time.Millisecond)
	w.result.latencies = append(w.result.latencies, ms)
	w.result.byTarget[t.index] = append(w.result.byTarget[t.index], ms)
	if took <= w.s.objective {
		w.result.inTime++
	}
}

func (w *loadWorld) report(t *loadTarget) workload.Report {
	if t.index < w.s.lying {
		return workload.Report{SlownessPercent: 1}
	}
	r := workload.Report{Running: t.running, Waiting: len(t.waiting), SlownessPercent: 100 * math.Exp(t.momentum)}
	if w.s.reportsSpeed {
		r.SlownessPercent *= t.speed
	}
	if w.s.silent {
		r.SlownessPercent = 0
	}
	return r
}

// leastRequests sends to the target with the fewest known requests; ties go to a random one.
type leastRequests struct {
	w      *loadWorld
	own    []int
	others []int
	seen   []time.Time
}

func newLeastRequests(w *loadWorld, _ int) chooser {
	return &leastRequests{w, make([]int, w.s.targets), make([]int, w.s.targets), make([]time.Time, w.s.targets)}
}

func (l *leastRequests) choose(now time.Time, _ int) int {
	best, fewest, ties := 0, math.MaxInt, 0
	for i := range l.own {
		n := l.own[i]
		if now.Sub(l.seen[i]) < workload.ReportTTL {
			n += l.others[i]
		}
		if n == fewest {
			ties++
		}
		if n < fewest || n == fewest && l.w.rng.IntN(ties) == 0 {
			best = i
			if n < fewest {
				fewest, ties = n, 1
			}
		}
	}
	return best
}

func (l *leastRequests) begin(_ time.Time, t, _ int) func(time.Time, time.Duration, workload.Report) {
	l.own[t]++
	return func(now time.Time, _ time.Duration, r workload.Report) {
		l.others[t], l.seen[t] = max(0, r.Running+r.Waiting-l.own[t]), now
		l.own[t]--
	}
}

// product chooses as the router does. Without slowness, it is the choice by the averages of the
// targets that were in use before slowness was read.
type product struct {
	w        *loadWorld
	router   int
	today    bool
	services workload.Services
	targets  []workload.Target
	chosen   Candidate
	buffer   []Candidate
}

func newProduct(w *loadWorld, router int) chooser {
	return &product{w: w, router: router, targets: make([]workload.Target, w.s.targets)}
}

func newToday(w *loadWorld, router int) chooser {
	p := newProduct(w, router).(*product)
	p.today = true
	return p
}

var routeNames = []string{"short", "long"}

func (p *product) choose(now time.Time, route int) int {
	cost := p.services.Cost(now, "s", routeNames[route])
	p.buffer = p.buffer[:0]
	for i := range p.targets {
		p.buffer = append(p.buffer, Candidate{Index: i, Slots: p.w.s.slots, LinkMs: 2 * float64(p.w.link(p.router, i)) / float64(time.Millisecond),
			Load: p.targets[i].Load(now, cost, p.w.s.slots)})
	}
	rank(p.buffer, p.w.rng.Float64)
	p.chosen = p.buffer[0]
	return p.chosen.Index
}

func (p *product) begin(now time.Time, i, route int) func(time.Time, time.Duration, workload.Report) {
	t := &p.targets[i]
	sent := p.chosen.Load.Sent(now, p.chosen.LinkMs)
	t.Begin(sent)
	return func(now time.Time, took time.Duration, r workload.Report) {
		if p.today {
			r.SlownessPercent = 0
		}
		p.services.Reported(now, "s", r, t.Observe(now, r, p.w.s.slots))
		p.services.Finished("s", routeNames[route], t.End(now, sent, took))
	}
}
