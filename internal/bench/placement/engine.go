package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	core "mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// crashDowntime is how long a crashed engine refuses connections.
	crashDowntime = 2 * time.Second
	// coldSpeedShare is the share of its full prefill speed that an engine has right
	// after a restart; it grows linearly to 1 over the cold start.
	coldSpeedShare = 0.25
	// queueFactor bounds the queue of an engine, in multiples of its slots.
	queueFactor = 8
	// maxRetainedEvents bounds the cache events that an engine retains for readers.
	maxRetainedEvents = 512
)

// job is one attempt on an engine.
type job struct {
	req    *request
	engine *engine
	blocks []port.BlockHash
	// cached is the number of tokens found cached when the prefill began.
	cached int
	// remaining is the number of tokens left to prefill.
	remaining float64
	started   bool
	// incarnationNumber is that of the engine when it accepted the job.
	incarnationNumber int
	router            int
}

// timedEvent is a cache event with the time at which it becomes visible.
type timedEvent struct {
	event port.CacheEvent
	at    time.Duration
	lost  bool
}

// engine models one runner: slots, prefill shared by the batch, decode at a
// fixed rate and a bounded block cache.
type engine struct {
	d                 *driver
	name              string
	region            string
	incarnationNumber int
	down              bool
	coldFrom          time.Duration
	coldUntil         time.Duration
	cache             *blockCache
	running           map[*job]bool
	prefill           []*job
	waiting           []*job
	updated           time.Duration
	// plan numbers the scheduled prefill ends, so that outdated ones are ignored.
	plan    int
	seq     uint64
	events  []timedEvent
	reports []timedReport
	loss    *rand.Rand
	// usualFactor and momentum are the factor of the prefill time and the logarithm of the
	// momentary one.
	usualFactor, momentum float64
}

type timedReport struct {
	at               time.Duration
	running, waiting int
}

func (e *engine) incarnation() port.Incarnation {
	return port.Incarnation(e.name + "." + strconv.Itoa(e.incarnationNumber))
}

// accept queues a job and reports whether it was accepted.
func (e *engine) accept(j *job) bool {
	if e.down || len(e.waiting) >= queueFactor*e.d.w.SlotsPerRunner {
		return false
	}
	e.advance()
	j.engine, j.incarnationNumber = e, e.incarnationNumber
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

// begin starts the prefill of the oldest job unless it has started. The cache
// lookup happens only now, so that a job hits blocks computed by earlier jobs.
func (e *engine) begin() {
	if len(e.prefill) == 0 || e.prefill[0].started {
		return
	}
	j := e.prefill[0]
	j.started = true
	j.cached = e.cache.match(j.blocks) * e.d.w.BlockTokens
	// The last token is always computed: it yields the first output token.
	j.cached = min(j.cached, j.req.a.prompt-1)
	j.remaining = float64(j.req.a.prompt - j.cached)
}

// speed is the prefill speed in tokens per second.
func (e *engine) speed() float64 {
	full := e.d.w.PrefillTokensPerSecond / (e.usualFactor * math.Exp(e.momentum))
	if e.d.now >= e.coldUntil {
		return full
	}
	done := float64(e.d.now-e.coldFrom) / float64(e.coldUntil-e.coldFrom)
	return full * (coldSpeedShare + (1-coldSpeedShare)*done)
}

// advance updates the prefill to the current time. The batch shares the prefill
// speed, and the oldest job gets all of it, as with chunked prefill.
func (e *engine) advance() {
	elapsed := (e.d.now - e.updated).Seconds()
	e.updated = e.d.now
	if len(e.prefill) == 0 || elapsed <= 0 {
		return
	}
	j := e.prefill[0]
	j.remaining = max(0, j.remaining-elapsed*e.speed())
}

// replan schedules the next end of a prefill. For a cold engine, whose speed
// changes, it is recomputed at least every second.
func (e *engine) replan() {
	e.plan++
	if len(e.prefill) == 0 {
		return
	}
	wait := seconds(e.prefill[0].remaining/e.speed()) + time.Microsecond
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
	if j.remaining > 0.5 {
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
		if e.incarnationNumber != j.incarnationNumber || e.down {
			return
		}
		e.advance()
		delete(e.running, j)
		e.d.finished(j)
		e.admit()
		e.replan()
	})
}

// record appends one cache event per scope. Evicted blocks may belong to other
// scopes, so their events carry the scope of the block's own prompt.
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
	if len(e.events) > maxRetainedEvents {
		e.events = e.events[len(e.events)-maxRetainedEvents:]
	}
}

// eventsAfter returns the events after a sequence number that are visible now.
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

// report returns the load as it was LoadLagMs ago, sampled ten times a second.
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

// crash drops the cache and all jobs, which it returns. The engine comes back as
// a new incarnation.
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
	e.incarnationNumber++
	e.down = true
	e.plan++
	e.d.after(crashDowntime, func() {
		e.down = false
		e.coldFrom, e.updated = e.d.now, e.d.now
		e.coldUntil = e.d.now + seconds(e.d.w.ColdStartS)
	})
	return lost
}

const (
	// slownessInterval is the interval at which the momentary factor changes, slownessMemory
	// the time after which a third of it is left.
	slownessInterval = 50 * time.Millisecond
	slownessMemory   = 250 * time.Millisecond
)

// changeSlowness sets the next momentary factor.
func (e *engine) changeSlowness(random *rand.Rand) {
	e.advance()
	keep := math.Exp(-float64(slownessInterval) / float64(slownessMemory))
	e.momentum = keep*e.momentum + math.Sqrt(1-keep*keep)*e.d.w.SlownessSpread*random.NormFloat64()
	e.replan()
}

// slownessPercent is what the engine reports.
func (e *engine) slownessPercent() float64 {
	if len(e.d.w.Speeds) == 0 && e.d.w.SlownessSpread == 0 {
		return 0
	}
	return 100 * e.usualFactor * math.Exp(e.momentum)
}

// target returns the engine's description for placement.
func (e *engine) target() core.Target {
	w := e.d.w
	return core.Target{Name: e.name, Address: e.name + ":8000", Region: e.region, Slots: w.SlotsPerRunner,
		CacheBlocks: w.CacheBlocksPerRunner, PrefillTokensPerSecond: w.PrefillTokensPerSecond, DecodeMsPerToken: w.DecodeMsPerToken}
}
