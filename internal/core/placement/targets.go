package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosaseam.example/mimosaseam/internal/core/workload"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// maxPastIncarnations bounds the earlier incarnations recorded for a target.
	maxPastIncarnations = 4
	// eventsMaxAge is how long after a read of cache events a block without an
	// eviction event counts as still cached.
	eventsMaxAge = 10 * time.Second
	// reportMaxAge is the age from which a load report is ignored.
	reportMaxAge = 15 * time.Second
)

// targetState is the policy's state for one target.
type targetState struct {
	id               int32
	name             string
	hash             uint64
	incarnation      port.Incarnation
	pastIncarnations []port.Incarnation
	// lastUsed is when the target was last ranked, used or observed.
	lastUsed       time.Time
	weightsVersion string
	// epoch increases when the target's cache is lost; holders of older epochs
	// are invalid.
	epoch    uint32
	attempts []*attempt
	// peerInFlight is the sum of the peers' in-flight counts.
	peerInFlight int
	// unattributed is the smoothed part of the reported load that neither this
	// router's nor the peers' in-flight counts account for.
	unattributed float64
	reportedAt   time.Time
	// emptySince is when the cache was last known to be empty.
	emptySince time.Time
	// lateness is the decaying average delay of first tokens beyond the expected
	// time, in ms.
	lateness   float64
	latenessAt time.Time
	events     eventState
	// speed is learned from prefills and from reports.
	speed workload.Speed
	// waitingTokens is the prefill work of other routers' requests that waited as of the
	// report of waitingAt.
	waitingTokens float64
	waitingAt     time.Time
	// plain is the state of a plain target's work.
	plain workload.Target
	// peerPrefillTokens is the prefill work announced by other routers as of
	// peerPrefillAt, in tokens; it is done at peerPrefillRate tokens per second.
	peerPrefillTokens float64
	peerPrefillAt     time.Time
	peerPrefillRate   float64
}

// eventState is the read position in the cache events of a target.
type eventState struct {
	// generation increases at every gap in the events; holders of earlier
	// generations are invalid.
	generation uint32
	nextSeq    uint64
	// since is the time from which on the events have been read without a gap.
	since   time.Time
	readAt  time.Time
	started bool
}

// attempt is a request attempt in flight on a target.
type attempt struct {
	fingerprint uint64
	start       time.Time
	epoch       uint32
	// uncached is the expected number of tokens to prefill.
	uncached float64
	// expected is the expected time to the first token.
	expected time.Duration
	ttft     time.Duration
	// fixedMs is the part of expected that is not prefill, and usualPerMs the number of
	// tokens that an engine of usual speed prefills in 1 ms; 0: not known.
	fixedMs, usualPerMs float64
	decoding            bool
	home                uint64
	predictions         []prediction
	// sent is the record of a plain request in its target's work.
	sent workload.Sent
}

// prediction is the probability that all blocks before end are cached.
type prediction struct {
	end         int
	probability float64
}

func (p *Policy) target(name string) *targetState {
	if t, ok := p.targets[name]; ok {
		t.lastUsed = p.latest
		return t
	}
	t := &targetState{id: int32(len(p.byID)), name: name, hash: xxhash.Sum64String(name), epoch: 1, lastUsed: p.latest}
	t.events.generation = 1
	if old := p.oldestTarget(); old != nil {
		// Holders refer to targets by id; the next epoch invalidates those of the
		// replaced target.
		t.id, t.epoch, t.events.generation = old.id, old.epoch+1, old.events.generation+1
		delete(p.targets, old.name)
		p.byID[t.id] = t
	} else {
		p.byID = append(p.byID, t)
	}
	p.targets[name] = t
	return t
}

// oldestTarget returns the least recently used target without attempts once
// MaxTargets is reached, else nil.
func (p *Policy) oldestTarget() *targetState {
	if len(p.byID) < p.cfg.MaxTargets {
		return nil
	}
	var oldest *targetState
	for _, t := range p.byID {
		if len(t.attempts) == 0 && (oldest == nil || t.lastUsed.Before(oldest.lastUsed)) {
			oldest = t
		}
	}
	return oldest
}

// observeIncarnation records the incarnation that a target reported and returns
// whether it is the current one. A replaced incarnation never becomes current
// again.
func (t *targetState) observeIncarnation(now time.Time, inc port.Incarnation) bool {
	if inc == "" || inc == t.incarnation {
		return true
	}
	if slices.Contains(t.pastIncarnations, inc) {
		return false
	}
	if t.incarnation != "" {
		t.pastIncarnations = append(t.pastIncarnations, t.incarnation)
		if len(t.pastIncarnations) > maxPastIncarnations {
			t.pastIncarnations = t.pastIncarnations[1:]
		}
		t.dropCache(now)
		t.speed, t.plain = workload.Speed{}, workload.Target{}
	}
	t.incarnation = inc
	return true
}

// observeWeights invalidates the cache when the target's weights version changes.
func (t *targetState) observeWeights(now time.Time, version string) {
	if version == "" || version == t.weightsVersion {
		return
	}
	if t.weightsVersion != "" {
		t.dropCache(now)
	}
	t.weightsVersion = version
}

func (t *targetState) dropCache(now time.Time) {
	t.epoch++
	t.emptySince = now
	t.invalidateEvents()
}

// invalidateEvents invalidates all holders that came from cache events.
func (t *targetState) invalidateEvents() {
	t.events = eventState{generation: t.events.generation + 1}
}

// valid reports whether h is of the current cache epoch and event generation.
func (t *targetState) valid(h *holder) bool {
	return h != nil && h.epoch == t.epoch && (h.eventGeneration == 0 || h.eventGeneration == t.events.generation)
}

// eventsCover reports whether the events read so far would include an eviction
// after the given moment, a Unix time in ns.
func (t *targetState) eventsCover(now time.Time, moment int64) bool {
	return t.events.started && now.Sub(t.events.readAt) < eventsMaxAge && t.events.since.UnixNano() <= moment
}

// estimatedInFlight is the estimated number of requests on the target.
func (t *targetState) estimatedInFlight(now time.Time) float64 {
	n := float64(len(t.attempts) + t.peerInFlight)
	if now.Sub(t.reportedAt) < reportMaxAge {
		n += max(0, t.unattributed)
	}
	return n
}

const (
	// latenessWindow is the time constant of the decay of the lateness.
	latenessWindow = 3 * time.Second
	// latenessGain is the gain of the lateness average.
	latenessGain = 0.3
)

// observeLateness records by how much a first token was later than expected;
// negative when it was earlier.
func (t *targetState) observeLateness(now time.Time, late time.Duration) {
	t.lateness = t.decayedLateness(now)
	t.lateness += latenessGain * (late.Seconds()*1000 - t.lateness)
	t.latenessAt = now
}

func (t *targetState) decayedLateness(now time.Time) float64 {
	return t.lateness * decay(now.Sub(t.latenessAt), latenessWindow)
}

// unattributedWaitMs is the wait that in-flight counts and load reports don't
// account for: late first tokens and attempts that are already overdue.
func (t *targetState) unattributedWaitMs(now time.Time) float64 {
	wait := max(0, t.decayedLateness(now))
	for _, a := range t.attempts {
		if !a.decoding && a.expected > 0 {
			wait = max(wait, (now.Sub(a.start)-a.expected).Seconds()*1000)
		}
	}
	return wait
}

// pendingPrefillTokens is the remaining prefill work of this router's attempts.
func (t *targetState) pendingPrefillTokens(now time.Time) float64 {
	sum := 0.0
	for _, a := range t.attempts {
		if a.decoding {
			continue
		}
		// A tenth remains for an attempt that takes longer than expected.
		left := 1.0
		if a.expected > 0 {
			left = max(0.1, 1-now.Sub(a.start).Seconds()/a.expected.Seconds())
		}
		sum += a.uncached * left
	}
	return sum
}
