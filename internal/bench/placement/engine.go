package placement

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	core "mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// downFor is how long a crashed engine refuses connections.
	downFor = 2 * time.Second
	// coldSpeed is the share of its prefill speed that an engine has right after
	// a restart; it grows linearly to 1 over the cold start.
	coldSpeed = 0.25
	// queueFactor bounds the queue of an engine, in multiples of its slots.
	queueFactor = 8
	// keptEvents bounds the cache events that an engine keeps for readers.
	keptEvents = 512
)

// job is one attempt on an engine.
type job struct {
	req    *request
	engine *engine
	blocks []port.BlockHash
	// cached is the number of tokens found cached when the prefill began.
	cached  int
	left    float64
	started bool
	// life is the life of the engine that took the job.
	life   int
	router int
}

// timedEvent is a cache event with the time from which it can be read.
type timedEvent struct {
	event port.CacheEvent
	at    time.Duration
	lost  bool
}

// engine models one runner: slots, prefill shared by the batch, decode at a
// fixed pace, a bounded block cache.
type engine struct {
	d         *driver
	name      string
	region    string
	life      int
	down      bool
	coldFrom  time.Duration
	coldUntil time.Duration
	cache     *blockCache
	running   map[*job]bool
	prefill   []*job
	waiting   []*job
	updated   time.Duration
	// plan numbers the planned ends of prefills; older ones are void.
	plan    int
	seq     uint64
	events  []timedEvent
	reports []timedReport
	loss    *rand.Rand
}

type timedReport struct {
	at               time.Duration
	running, waiting int
}

func (e *engine) incarnation() port.Incarnation {
	return port.Incarnation(e.name + "." + strconv.Itoa(e.life))
}

// accept takes a job or says why not.
func (e *engine) accept(j *job) bool {
	if e.down || len(e.waiting) >= queueFactor*e.d.w.SlotsPerRunner {
		return false
	}
	e.advance()
	j.engine, j.life = e, e.life
	e.waiting = append(e.waiting, j)
	e.admit()
	e.replan()
	return true
}

// admit moves waiting jobs into free slots.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.d.w.SlotsPerRunner {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running[j] = true
		e.prefill = append(e.prefill, j)
	}
	e.begin()
}

// begin starts the prefill of the oldest job that waits for it. The cache is
// looked up only now, so a job finds what the jobs before it computed.
func (e *engine) begin() {
	if len(e.prefill) == 0 || e.prefill[0].started {
		return
	}
	j := e.prefill[0]
	j.started = true
	j.cached = e.cache.match(j.blocks) * e.d.w.BlockTokens
	// The last token is always computed: it yields the first output token.
	j.cached = min(j.cached, j.req.a.prompt-1)
	j.left = float64(j.req.a.prompt - j.cached)
}

// speed is the prefill speed in tokens per second.
func (e *engine) speed() float64 {
	full := e.d.w.PrefillTokensPerSecond
	if e.d.now >= e.coldUntil {
		return full
	}
	done := float64(e.d.now-e.coldFrom) / float64(e.coldUntil-e.coldFrom)
	return full * (coldSpeed + (1-coldSpeed)*done)
}

// advance brings the prefill up to the current time. The batch shares the
// prefill speed: the oldest job gets all of it, as with chunked prefill.
func (e *engine) advance() {
	elapsed := (e.d.now - e.updated).Seconds()
	e.updated = e.d.now
	if len(e.prefill) == 0 || elapsed <= 0 {
		return
	}
	j := e.prefill[0]
	j.left = max(0, j.left-elapsed*e.speed())
}

// replan schedules the next end of a prefill. A cold engine is looked at again
// at least every second, as its speed changes.
func (e *engine) replan() {
	e.plan++
	if len(e.prefill) == 0 {
		return
	}
	wait := seconds(e.prefill[0].left/e.speed()) + time.Microsecond
	if e.d.now < e.coldUntil {
		wait = min(wait, time.Second)
	}
	plan := e.plan
	e.d.after(wait, func() {
		if plan == e.plan {
			e.advance()
			e.endPrefill()
			e.replan()
		}
	})
}

func (e *engine) endPrefill() {
	j := e.prefill[0]
	if j.left > 0.5 {
		return
	}
	e.prefill = e.prefill[1:]
	e.firstToken(j)
	e.begin()
}

func (e *engine) firstToken(j *job) {
	stored, evicted := e.cache.store(j.blocks)
	scope := j.req.core.Scope.String()
	e.record(port.CacheStore, scope, stored)
	e.record(port.CacheEvict, scope, evicted)
	e.d.countPrefill(j)
	e.d.firstToken(j)
	decode := time.Duration(float64(j.req.a.output-1) * e.d.w.DecodeMsPerToken * float64(time.Millisecond))
	e.d.after(decode, func() {
		if e.life != j.life || e.down {
			return
		}
		e.advance()
		delete(e.running, j)
		e.d.finished(j)
		e.admit()
		e.replan()
	})
}

// record appends a cache event. Evicted blocks may belong to other scopes; the
// model names the scope of the block's own prompt.
func (e *engine) record(op port.CacheOp, scope string, blocks []port.BlockHash) {
	byScope := map[string][]port.BlockHash{}
	for _, b := range blocks {
		s := scope
		if op == port.CacheEvict {
			s = e.d.scopeOf[b]
		} else {
			e.d.scopeOf[b] = scope
		}
		byScope[s] = append(byScope[s], b)
	}
	for _, s := range sortedKeys(byScope) {
		e.seq++
		event := port.CacheEvent{Seq: e.seq, Op: op, Scope: s, Blocks: byScope[s]}
		e.events = append(e.events, timedEvent{event, e.d.now + e.d.ms(e.d.w.EventLagMs), e.loss.Float64() < e.d.w.EventLoss})
	}
	if len(e.events) > keptEvents {
		e.events = e.events[len(e.events)-keptEvents:]
	}
}

// eventsAfter reads the events that can be seen now.
func (e *engine) eventsAfter(after uint64) port.CacheEvents {
	out := port.CacheEvents{Incarnation: e.incarnation(), FirstSeq: e.seq + 1}
	if len(e.events) > 0 {
		out.FirstSeq = e.events[0].event.Seq
	}
	for i := range e.events {
		t := &e.events[i]
		if t.event.Seq > after && t.at <= e.d.now && !t.lost {
			out.Events = append(out.Events, t.event)
		}
	}
	return out
}

// report is the load as it was LoadLagMs ago, sampled ten times a second.
func (e *engine) report() port.LoadReport {
	at := e.d.now - e.d.ms(e.d.w.LoadLagMs)
	r := port.LoadReport{Incarnation: e.incarnation(), WeightsVersion: weightsVersion, Slots: e.d.w.SlotsPerRunner,
		CachedBlocks: e.cache.order.Len(), CapacityBlocks: e.cache.limit, MeasuredAt: e.d.clock(max(0, at))}
	for _, s := range e.reports {
		if s.at <= at {
			r.Running, r.Waiting = s.running, s.waiting
		}
	}
	return r
}

func (e *engine) sample() {
	e.reports = append(e.reports, timedReport{e.d.now, len(e.running), len(e.waiting)})
	oldest := e.d.now - e.d.ms(e.d.w.LoadLagMs) - time.Second
	for len(e.reports) > 1 && e.reports[1].at < oldest {
		e.reports = e.reports[1:]
	}
}

// crash loses all jobs and the cache; the engine returns as a new incarnation.
func (e *engine) crash() []*job {
	e.advance()
	lost := append([]*job(nil), e.waiting...)
	if len(e.prefill) > 0 {
		e.d.countLost(e.prefill[0])
	}
	for j := range e.running {
		lost = append(lost, j)
	}
	slices.SortFunc(lost, func(a, b *job) int { return a.req.a.id - b.req.a.id })
	e.running, e.prefill, e.waiting = map[*job]bool{}, nil, nil
	e.cache, e.events, e.seq = newBlockCache(e.d.w.CacheBlocksPerRunner), nil, 0
	e.life++
	e.down = true
	e.plan++
	e.d.after(downFor, func() {
		e.down = false
		e.coldFrom, e.updated = e.d.now, e.d.now
		e.coldUntil = e.d.now + seconds(e.d.w.ColdStartS)
	})
	return lost
}

// target is the engine as placement sees it.
func (e *engine) target() core.Target {
	w := e.d.w
	return core.Target{Name: e.name, Address: e.name + ":8000", Region: e.region, Slots: w.SlotsPerRunner,
		CacheBlocks: w.CacheBlocksPerRunner, PrefillTokensPerSecond: w.PrefillTokensPerSecond, DecodeMsPerToken: w.DecodeMsPerToken}
}
