package retry

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SegmentHash identifies a prompt segment across requests and routers.
type SegmentHash uint64

// SegmentHashOf hashes the id of a segment.
func SegmentHashOf(id string) SegmentHash { return SegmentHash(xxhash.Sum64String(id)) }

// String returns the hash in hexadecimal.
func (s SegmentHash) String() string { return strconv.FormatUint(uint64(s), 16) }

const (
	// minSegmentCrashes and minSegmentRequests are the numbers of crashes and of
	// different requests that quarantine a segment. One request that crashes targets
	// says nothing about the segments that it shares with others.
	minSegmentCrashes  = 3
	minSegmentRequests = 3
	// ambiguousCrashes is the number of crashes after which segments that cannot be
	// told apart are all quarantined, and after which one request less is enough, and
	// one unexplained crash less for a segment that others explained in part.
	ambiguousCrashes = 5
	// minCrashGap is the time between crashes that count as different ones: several targets
	// that end at once have another cause, such as a lost rack, and a segment that many
	// requests share is on each of them.
	minCrashGap = 200 * time.Millisecond
	// settleTime is the time after which a crash counts. By then, the reports of the
	// other routers about it have arrived.
	settleTime = 500 * time.Millisecond
	// startTime is how long after its first event an attempt still counts as one that
	// begins its answer.
	startTime = 250 * time.Millisecond
	// maxSegmentCrashes is the number of bits of a crashSet.
	maxSegmentCrashes  = 64
	maxCrashRequests   = 64
	maxRequestSegments = 32
)

// segmentAttempt is a running attempt of a request.
type segmentAttempt struct {
	request  Fingerprint
	segments []SegmentHash
	started  time.Time
	// answering is the time of the first event, zero before it.
	answering time.Time
}

// segmentCrash is the crash of one incarnation of a target.
type segmentCrash struct {
	id uint64
	at time.Time
	// requests holds the segments of the requests that had not begun their answers, and
	// candidates those of these segments that are not cleared.
	requests   map[Fingerprint][]SegmentHash
	candidates map[SegmentHash]bool
	// cleared holds segments on which an answer began after the crash, and unreported
	// those that no router has reported yet.
	cleared, unreported map[SegmentHash]bool
	// observed is set once this router's own requests have been added.
	observed bool
}

// SegmentStats is the evidence against a prompt segment.
type SegmentStats struct {
	Crashes  int
	Requests int
}

// SegmentChange reports that a segment is quarantined or no longer is.
type SegmentChange struct {
	Segment     SegmentHash
	Quarantined bool
	SegmentStats
}

// SegmentTracker finds prompt segments that crash each target that begins an answer on
// them, although the requests with such a segment are all different. Every segment of a
// request that had not begun its answer when its target crashed is a candidate; an answer
// that begins later on a segment clears it of the crash. Of the segments that several
// crashes have in common, the one that fewest requests share is quarantined: the segments
// before it are in the same crashes because it is never without them. The routers
// exchange crashes and clearances, and each one derives the quarantine from them. It is
// safe for concurrent use.
type SegmentTracker struct {
	mu          sync.Mutex
	running     map[string]map[string]*segmentAttempt // target -> attempt
	crashes     []*segmentCrash                       // oldest first
	quarantined map[SegmentHash]SegmentStats
	// dirty is set when the evidence has changed. At nextChange, zero: never, a crash settles
	// or expires.
	dirty      bool
	nextChange time.Time

	report         func(value string)
	onChange       func(SegmentChange)
	pendingReports []string
	pendingChanges []SegmentChange
}

// NewSegmentTracker returns a SegmentTracker without evidence.
func NewSegmentTracker() *SegmentTracker {
	return &SegmentTracker{running: map[string]map[string]*segmentAttempt{}, quarantined: map[SegmentHash]SegmentStats{}}
}

// Started records that an attempt of the request runs on the target.
func (t *SegmentTracker) Started(now time.Time, target, attempt string, request Fingerprint, segments []SegmentHash) {
	if len(segments) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	set := t.running[target]
	if set == nil {
		set = map[string]*segmentAttempt{}
		t.running[target] = set
	}
	set[attempt] = &segmentAttempt{request: request, segments: segments[:min(len(segments), maxRequestSegments)], started: now}
}

// Answering records the first event of an attempt.
func (t *SegmentTracker) Answering(now time.Time, target, attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.running[target][attempt]; a != nil && a.answering.IsZero() {
		a.answering = now
	}
}

// Ended records that the attempt no longer runs. A complete answer clears its segments of
// the crashes before it began.
func (t *SegmentTracker) Ended(target, attempt string, complete bool) {
	defer t.notify()
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.running[target][attempt]
	if a == nil {
		return
	}
	delete(t.running[target], attempt)
	if len(t.running[target]) == 0 {
		delete(t.running, target)
	}
	if complete {
		t.clear(a)
	}
}

// Crashed records a crash of the target's incarnation with the requests of this router
// that had not begun their answers. It returns their number; ok is false if the crash was
// recorded before.
func (t *SegmentTracker) Crashed(now time.Time, target, incarnation string) (requests int, ok bool) {
	defer t.notify()
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.crash(now, xxhash.Sum64String(target+"@"+incarnation))
	if c.observed {
		return 0, false
	}
	c.observed = true
	for _, a := range t.running[target] {
		if !a.answering.IsZero() && now.Sub(a.answering) >= startTime {
			continue
		}
		if t.add(c, a.request, a.segments) {
			t.pendingReports = append(t.pendingReports, encodeCrash(c.id, a.request, a.segments))
			requests++
		}
	}
	return requests, true
}

// Quarantined returns the first of the segments that is quarantined.
func (t *SegmentTracker) Quarantined(now time.Time, segments []SegmentHash) (index int, found bool) {
	defer t.notify()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dirty || !t.nextChange.IsZero() && !now.Before(t.nextChange) {
		t.evaluate(now)
	}
	if len(t.quarantined) == 0 {
		return 0, false
	}
	for i, s := range segments {
		if _, found := t.quarantined[s]; found {
			return i, true
		}
	}
	return 0, false
}

// crash returns the record of a crash and creates it if necessary.
func (t *SegmentTracker) crash(now time.Time, id uint64) *segmentCrash {
	for _, c := range t.crashes {
		if c.id == id {
			return c
		}
	}
	t.expire(now)
	if len(t.crashes) == maxSegmentCrashes {
		// The evidence of a quarantine is removed last.
		i := max(0, slices.IndexFunc(t.crashes, func(c *segmentCrash) bool { return !t.explained(c) }))
		t.crashes = slices.Delete(t.crashes, i, i+1)
	}
	c := &segmentCrash{id: id, at: now, requests: map[Fingerprint][]SegmentHash{}, candidates: map[SegmentHash]bool{}, cleared: map[SegmentHash]bool{}, unreported: map[SegmentHash]bool{}}
	t.crashes = append(t.crashes, c)
	t.dirty = true
	return c
}

func (t *SegmentTracker) add(c *segmentCrash, request Fingerprint, segments []SegmentHash) bool {
	if _, known := c.requests[request]; known || len(c.requests) == maxCrashRequests {
		return false
	}
	c.requests[request] = segments
	for _, s := range segments {
		if !c.cleared[s] {
			c.candidates[s] = true
		}
	}
	t.dirty = true
	return true
}

// clear clears the segments of the attempt of the crashes before it began its answer.
func (t *SegmentTracker) clear(a *segmentAttempt) {
	began := a.answering
	if began.IsZero() {
		began = a.started
	}
	for _, s := range a.segments {
		for _, c := range t.crashes {
			if c.at.Before(began) && c.candidates[s] {
				c.clear(s)
				c.unreported[s] = true
				t.dirty = true
			}
		}
		t.reportClearances(s)
	}
}

// reportClearances reports the segment's clearances once it was in several crashes: one
// crash quarantines nothing.
func (t *SegmentTracker) reportClearances(s SegmentHash) {
	var ids []uint64
	known := 0
	for _, c := range t.crashes {
		if c.candidates[s] || c.cleared[s] {
			known++
		}
		if c.unreported[s] {
			ids = append(ids, c.id)
		}
	}
	if known < minSegmentCrashes-1 || len(ids) == 0 {
		return
	}
	for _, c := range t.crashes {
		delete(c.unreported, s)
	}
	t.pendingReports = append(t.pendingReports, encodeClearance(s, ids))
}

func (c *segmentCrash) clear(s SegmentHash) {
	c.cleared[s] = true
	delete(c.candidates, s)
}

// explained reports whether a quarantined segment may have caused the crash.
func (t *SegmentTracker) explained(c *segmentCrash) bool {
	for s := range t.quarantined {
		if c.candidates[s] {
			return true
		}
	}
	return false
}

// expire removes old crashes. Those of a quarantined segment are kept for longer.
func (t *SegmentTracker) expire(now time.Time) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *segmentCrash) bool {
		age := now.Sub(c.at)
		return age >= quarantineTTL || age >= suspectTTL && !t.explained(c)
	})
}

// nextChange returns when the crash settles or may expire.
func (c *segmentCrash) nextChange(now time.Time) time.Time {
	for _, after := range []time.Duration{settleTime, suspectTTL} {
		if at := c.at.Add(after); now.Before(at) {
			return at
		}
	}
	return c.at.Add(quarantineTTL)
}

// evaluate derives the quarantined segments from the evidence.
func (t *SegmentTracker) evaluate(now time.Time) {
	t.expire(now)
	for _, set := range t.running {
		for _, a := range set {
			if !a.answering.IsZero() && now.Sub(a.answering) >= startTime {
				t.clear(a)
			}
		}
	}
	t.dirty, t.nextChange = false, time.Time{}
	var settled []*segmentCrash
	for _, c := range t.crashes {
		if !now.Before(c.at.Add(settleTime)) {
			settled = append(settled, c)
		}
		if at := c.nextChange(now); t.nextChange.IsZero() || at.Before(t.nextChange) {
			t.nextChange = at
		}
	}
	t.setQuarantined(newEvidence(settled).quarantine(t.quarantined))
}

func (t *SegmentTracker) setQuarantined(next map[SegmentHash]SegmentStats) {
	for s, stats := range next {
		if _, already := t.quarantined[s]; !already {
			t.pendingChanges = append(t.pendingChanges, SegmentChange{Segment: s, Quarantined: true, SegmentStats: stats})
		}
	}
	for s, stats := range t.quarantined {
		if _, still := next[s]; !still {
			t.pendingChanges = append(t.pendingChanges, SegmentChange{Segment: s, SegmentStats: stats})
		}
	}
	t.quarantined = next
}
