package placement

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	core "mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/workload"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	weightsVersion = "w1"
	bytesPerToken  = 4
	// maxAttempts bounds the targets tried for one request that is refused.
	maxAttempts = 4
	// exclusionTime is how long a router excludes a target that refused a connection.
	exclusionTime = 2 * time.Second
	// crossRegionMsPerMiB is the default of the route's placement weights.
	crossRegionMsPerMiB = 5
	// recomputeWeight is the weight of recomputation for "weigh": "recompute".
	recomputeWeight = 2
)

// event is a callback scheduled at a virtual time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// request is an arrival in progress.
type request struct {
	a        *arrival
	core     core.Request
	router   int
	attempts int
	// crashes counts the runners that crashed while running it.
	crashes       int
	triedTargets  map[string]bool
	gotFirstToken bool
	// tailCounted is set once the tokens after the last whole block are counted as
	// compulsory.
	tailCounted bool
}

// router is one router with its own Placer.
type router struct {
	name   string
	region string
	placer core.Placer
	// excludedUntil and coldUntil hold the ends of a target's exclusion and of its
	// cold start, incarnations the incarnation last seen of each target.
	excludedUntil map[string]time.Duration
	coldUntil     map[string]time.Duration
	incarnations  map[string]port.Incarnation
	bytes         float64
	control       controlState
}

// driver runs one policy over the arrivals.
type driver struct {
	w        Workload
	opt      options
	now      time.Duration
	seq      int
	heap     eventHeap
	engines  []*engine
	byName   map[string]*engine
	routers  []*router
	rng      *rand.Rand
	open     int
	computed map[port.BlockHash]bool
	scopeOf  map[port.BlockHash]string
	metrics  metrics
	// logSummary is the summary appended last, summaries the number appended.
	logSummary []byte
	summaries  int
}

// options configures one run.
type options struct {
	policy    string
	seed      uint64
	newPlacer func(seed uint64, region string) core.Placer
	// single sends all arrivals through one router.
	single bool
	// restartAt restarts all routers at once before the arrival with this id.
	restartAt int
}

func newDriver(w Workload, opt options) *driver {
	if opt.single {
		w.Routers = 1
	}
	d := &driver{w: w, opt: opt, byName: map[string]*engine{}, metrics: metrics{byFactor: map[float64][]time.Duration{}}, computed: map[port.BlockHash]bool{},
		scopeOf: map[port.BlockHash]string{}, rng: rand.New(rand.NewPCG(opt.seed, 2))}
	for i := range w.Runners {
		e := &engine{d: d, name: "runner-" + strconv.Itoa(i+1), region: w.region(i), incarnationNumber: 1,
			cache: newBlockCache(w.CacheBlocksPerRunner), running: map[*job]bool{}, loss: rand.New(rand.NewPCG(opt.seed, uint64(100+i))), usualFactor: 1}
		if len(w.Speeds) > 0 {
			e.usualFactor = w.Speeds[i%len(w.Speeds)]
		}
		d.engines = append(d.engines, e)
		d.byName[e.name] = e
	}
	for i := range w.Routers {
		d.routers = append(d.routers, d.newRouter(i))
	}
	return d
}

func (w Workload) region(i int) string {
	if len(w.Regions) == 0 {
		return ""
	}
	return w.Regions[i%len(w.Regions)]
}

func (d *driver) newRouter(i int) *router {
	region := d.w.region(i)
	return &router{name: "router-" + strconv.Itoa(i+1), region: region, placer: d.opt.newPlacer(d.opt.seed*1000+uint64(i), region),
		excludedUntil: map[string]time.Duration{}, coldUntil: map[string]time.Duration{}, incarnations: map[string]port.Incarnation{},
		control: controlState{lastRead: map[string]uint64{}, eventCost: controlBudget * eventWindow.Seconds()}}
}

// epoch is the wall time at which the virtual clock starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (d *driver) clock(at time.Duration) time.Time { return epoch.Add(at) }

func (d *driver) ms(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (d *driver) after(wait time.Duration, run func()) {
	d.seq++
	heap.Push(&d.heap, event{d.now + wait, d.seq, run})
}

// every repeats run while requests are open.
func (d *driver) every(interval time.Duration, run func()) {
	d.after(interval, func() {
		if d.open > 0 {
			run()
			d.every(interval, run)
		}
	})
}

// run processes the arrivals and returns the result.
func (d *driver) run(all []arrival) Result {
	d.open = len(all)
	for i := range all {
		a := &all[i]
		d.after(a.at, func() {
			if d.opt.restartAt > 0 && a.id == d.opt.restartAt {
				d.restartAllRouters()
			}
			d.arrive(a)
		})
	}
	d.startBackground()
	if d.w.SlownessSpread > 0 {
		random := rand.New(rand.NewPCG(d.opt.seed, 3))
		d.every(slownessInterval, func() {
			for _, e := range d.engines {
				e.changeSlowness(random)
			}
		})
	}
	for len(d.heap) > 0 {
		next := heap.Pop(&d.heap).(event)
		d.now = next.at
		next.run()
	}
	return d.result()
}

func (d *driver) arrive(a *arrival) {
	scope := port.Scope{ClientAccount: "account-" + strconv.Itoa(a.account), WeightsVersion: weightsVersion}
	q := &request{a: a, router: a.router % d.w.Routers, triedTargets: map[string]bool{}}
	q.core = core.Request{Scope: scope, Blocks: d.w.blocks(a), BlockTokens: d.w.BlockTokens, PromptTokens: a.prompt,
		OutputTokens: a.output, PromptBytes: a.prompt * bytesPerToken}
	q.core.Weights.CrossRegionMsPerMiB = crossRegionMsPerMiB
	if d.w.Weigh == "recompute" {
		q.core.Weights.Recompute = recomputeWeight
	}
	d.place(q)
}

// place ranks the targets and sends the request to the best one.
func (d *driver) place(q *request) {
	r := d.routers[q.router]
	targets := d.targets(r, q)
	if len(targets) == 0 || q.attempts >= maxAttempts {
		d.drop(q)
		return
	}
	q.attempts++
	now := d.clock(d.now)
	ranked := r.placer.Rank(now, q.core, targets)
	e := d.byName[ranked[0].Target]
	r.placer.Started(now, q.core, e.name)
	if e.region != r.region {
		d.metrics.crossRegionBytes += int64(q.core.PromptBytes)
	}
	j := &job{req: q, blocks: q.core.Blocks, router: q.router}
	d.after(d.link(r, e), func() {
		if !e.accept(j) {
			d.after(d.link(r, e), func() { d.refused(j, e) })
		}
	})
}

func (d *driver) targets(r *router, q *request) []core.Target {
	targets := make([]core.Target, 0, len(d.engines))
	for _, e := range d.engines {
		if q.triedTargets[e.name] || d.now < r.excludedUntil[e.name] {
			continue
		}
		t := e.target()
		t.Incarnation = r.incarnations[e.name]
		if until := r.coldUntil[e.name]; until > d.now {
			t.ColdUntil = d.clock(until)
		}
		targets = append(targets, t)
	}
	return targets
}

// link is the one-way latency between a router and an engine.
func (d *driver) link(r *router, e *engine) time.Duration {
	if r.region != e.region {
		return d.ms(d.w.InterRegionMs)
	}
	return time.Millisecond
}

// drop counts a request as failed if an engine crashed while running it, else as
// refused.
func (d *driver) drop(q *request) {
	d.open--
	if q.crashes > 0 {
		d.metrics.failed++
		return
	}
	d.metrics.refused++
}

// refused handles a job that an engine did not accept.
func (d *driver) refused(j *job, e *engine) {
	r := d.routers[j.router]
	r.placer.Finished(d.clock(d.now), j.req.core, e.name, r.incarnations[e.name], -1)
	if e.down {
		d.excludeTarget(r, e)
	}
	j.req.triedTargets[e.name] = true
	d.place(j.req)
}

// excludeTarget excludes an unreachable engine from the targets of a router for
// exclusionTime.
func (d *driver) excludeTarget(r *router, e *engine) {
	if d.now < r.excludedUntil[e.name] {
		return
	}
	r.placer.DropCache(e.name)
	r.excludedUntil[e.name] = d.now + exclusionTime
	r.coldUntil[e.name] = d.now + exclusionTime + seconds(d.w.ColdStartS)
}

// crashed handles the loss of a running job: one retry elsewhere.
func (d *driver) crashed(j *job, e *engine) {
	r := d.routers[j.router]
	r.placer.Finished(d.clock(d.now), j.req.core, e.name, "", -1)
	d.excludeTarget(r, e)
	j.req.crashes++
	if j.req.crashes > 1 {
		d.open--
		d.metrics.failed++
		return
	}
	j.req.triedTargets[e.name] = true
	d.place(j.req)
}

// firstToken reports the first token of a job to its router.
func (d *driver) firstToken(j *job) {
	r, e := d.routers[j.router], j.engine
	inc, report := e.incarnation(), workload.Report{Running: len(e.running), Waiting: len(e.waiting), SlownessPercent: e.slownessPercent()}
	d.after(d.link(r, e), func() {
		r.incarnations[e.name] = inc
		r.placer.ObserveResponse(d.clock(d.now), e.name, report)
		ttft := d.now - j.req.a.at
		r.placer.FirstToken(d.clock(d.now), j.req.core, e.name, ttft)
		if !j.req.gotFirstToken {
			j.req.gotFirstToken = true
			d.metrics.ttft = append(d.metrics.ttft, ttft)
			d.metrics.byFactor[e.usualFactor] = append(d.metrics.byFactor[e.usualFactor], ttft)
		}
	})
}

// finished reports the end of a job to its router.
func (d *driver) finished(j *job) {
	r, e := d.routers[j.router], j.engine
	inc := e.incarnation()
	if e.region != r.region {
		d.metrics.crossRegionBytes += int64(j.req.a.output * bytesPerToken)
	}
	d.after(d.link(r, e), func() {
		r.placer.Finished(d.clock(d.now), j.req.core, e.name, inc, j.cached)
		r.control.uncachedTokens += float64(j.req.a.prompt - j.cached)
		d.open--
		d.metrics.completed++
	})
}
