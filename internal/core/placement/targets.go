package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// pastIncarnations bounds the incarnations of a target that are known to be over.
	pastIncarnations = 4
	// eventsFreshFor is the time after a read of cache events during which their
	// silence about a block means that it is still cached.
	eventsFreshFor = 10 * time.Second
	// reportFreshFor is the age after which a load report says nothing.
	reportFreshFor = 15 * time.Second
)

// targetState is what the policy knows of one target.
type targetState struct {
	id          int32
	name        string
	hash        uint64
	incarnation port.Incarnation
	past        []port.Incarnation
	// touched is when the target was last ranked, used or reported.
	touched time.Time
	weights string
	// epoch numbers the lives of the target's cache; holders of older epochs
	// count for nothing.
	epoch    uint32
	attempts []*attempt
	// peers is the sum of the peers' in-flight counts.
	peers int
	// unexplained is the part of the last load report that neither the own nor
	// the peers' in-flight counts explain.
	unexplained float64
	reportedAt  time.Time
	// emptySince is when the cache was last known to be empty.
	emptySince time.Time
	// excess is by how much first tokens were late lately, in ms.
	excess   float64
	excessAt time.Time
	events   eventState
	// foreign is the work that other routers told of, in tokens, at foreignAt; it
	// shrinks by foreignRate tokens a second.
	foreign     float64
	foreignAt   time.Time
	foreignRate float64
}

// eventState follows the cache events of one target.
type eventState struct {
	// run numbers the spans without a gap; knowledge of earlier runs is void.
	run     uint32
	next    uint64
	since   time.Time
	readAt  time.Time
	started bool
}

// attempt is one request that is running on a target.
type attempt struct {
	fingerprint uint64
	start       time.Time
	epoch       uint32
	// missed is the expected number of tokens to compute until the first token.
	missed float64
	// expected is the expected time to the first token.
	expected time.Duration
	ttft     time.Duration
	running  bool
	home     uint64
	guesses  []guess
}

// guess is a prediction that the blocks before end were cached.
type guess struct {
	end int
	p   float64
}

func (p *Policy) target(name string) *targetState {
	if t, ok := p.targets[name]; ok {
		t.touched = p.latest
		return t
	}
	t := &targetState{id: int32(len(p.byID)), name: name, hash: xxhash.Sum64String(name), epoch: 1, touched: p.latest}
	t.events.run = 1
	if old := p.oldestTarget(); old != nil {
		// Holders name targets by id; the next epoch voids those of the old one.
		t.id, t.epoch, t.events.run = old.id, old.epoch+1, old.events.run+1
		delete(p.targets, old.name)
		p.byID[t.id] = t
	} else {
		p.byID = append(p.byID, t)
	}
	p.targets[name] = t
	return t
}

// oldestTarget returns the idle target to replace when the bound is reached.
func (p *Policy) oldestTarget() *targetState {
	if len(p.byID) < p.cfg.MaxTargets {
		return nil
	}
	var oldest *targetState
	for _, t := range p.byID {
		if len(t.attempts) == 0 && (oldest == nil || t.touched.Before(oldest.touched)) {
			oldest = t
		}
	}
	return oldest
}

// adopt takes note of the incarnation that a target reported and says whether
// it is the current one. An incarnation that was replaced never returns.
func (t *targetState) adopt(now time.Time, inc port.Incarnation) bool {
	if inc == "" || inc == t.incarnation {
		return true
	}
	if slices.Contains(t.past, inc) {
		return false
	}
	if t.incarnation != "" {
		t.past = append(t.past, t.incarnation)
		if len(t.past) > pastIncarnations {
			t.past = t.past[1:]
		}
		t.dropCache(now)
	}
	t.incarnation = inc
	return true
}

// adoptWeights drops what was cached when the target serves other weights.
func (t *targetState) adoptWeights(now time.Time, version string) {
	if version == "" || version == t.weights {
		return
	}
	if t.weights != "" {
		t.dropCache(now)
	}
	t.weights = version
}

func (t *targetState) dropCache(now time.Time) {
	t.epoch++
	t.emptySince = now
	t.dropEvents()
}

// dropEvents voids what cache events told of the target.
func (t *targetState) dropEvents() {
	t.events = eventState{run: t.events.run + 1}
}

// valid says whether h still counts.
func (t *targetState) valid(h *holder) bool {
	return h != nil && h.epoch == t.epoch && (h.eventRun == 0 || h.eventRun == t.events.run)
}

// eventsCover says whether an eviction after the moment would have been seen.
func (t *targetState) eventsCover(now time.Time, moment int64) bool {
	return t.events.started && now.Sub(t.events.readAt) < eventsFreshFor && t.events.since.UnixNano() <= moment
}

// running is the estimated number of requests on the target.
func (t *targetState) running(now time.Time) float64 {
	n := float64(len(t.attempts) + t.peers)
	if now.Sub(t.reportedAt) < reportFreshFor {
		n += max(0, t.unexplained)
	}
	return n
}

const (
	// excessWindow is the time constant with which a late first token is forgotten.
	excessWindow = 3 * time.Second
	// excessStep is the gain of the average lateness.
	excessStep = 0.3
)

// surprise takes note of a first token that came later or earlier than expected.
func (t *targetState) surprise(now time.Time, late time.Duration) {
	t.excess = t.excessAfter(now)
	t.excess += excessStep * (late.Seconds()*1000 - t.excess)
	t.excessAt = now
}

func (t *targetState) excessAfter(now time.Time) float64 {
	return t.excess * decay(now.Sub(t.excessAt), excessWindow)
}

// hiddenMs is the wait that neither counts nor reports explain: late first
// tokens, and attempts that are overdue by now.
func (t *targetState) hiddenMs(now time.Time) float64 {
	hidden := max(0, t.excessAfter(now))
	for _, a := range t.attempts {
		if !a.running && a.expected > 0 {
			hidden = max(hidden, (now.Sub(a.start)-a.expected).Seconds()*1000)
		}
	}
	return hidden
}

// pendingTokens is the prefill work of own attempts that is still to be done.
func (t *targetState) pendingTokens(now time.Time) float64 {
	sum := 0.0
	for _, a := range t.attempts {
		if a.running {
			continue
		}
		// Work that takes longer than expected is not done yet: a tenth stays.
		left := 1.0
		if a.expected > 0 {
			left = max(0.1, 1-now.Sub(a.start).Seconds()/a.expected.Seconds())
		}
		sum += a.missed * left
	}
	return sum
}
