package retry

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SegmentHash identifies a prompt segment across requests and routers.
type SegmentHash uint64

// SegmentHashOf hashes the id of a segment.
func SegmentHashOf(id string) SegmentHash { return SegmentHash(xxhash.Sum64String(id)) }

// String returns the hash in hexadecimal.
func (s SegmentHash) String() string { return hex(uint64(s)) }

const (
	// minRequestCrashes is the number of crashes that quarantine a request.
	minRequestCrashes = 3
	// ambiguousRequestCrashes is the number of crashes after which requests that cannot be
	// told apart are all quarantined, and after which one that was cleared before, or whose
	// crashes others explain in part, needs less.
	ambiguousRequestCrashes = 4
	// minSegmentCrashes and minSegmentRequests are the numbers of crashes and of
	// different requests that quarantine a segment. One request that crashes targets
	// says nothing about the segments that it shares with others.
	minSegmentCrashes  = 3
	minSegmentRequests = 3
	// ambiguousCrashes is the number of crashes after which one of several segments that no
	// request has in common is quarantined, and after which one request less is enough, and one
	// unexplained crash less for a segment that others explained in part.
	ambiguousCrashes = 5
	// minCrashGap is the time between crashes that count as different ones: several targets
	// that end at once have another cause, such as a lost rack, and a segment that many
	// requests share is on each of them.
	minCrashGap = 200 * time.Millisecond
	// minRequestCrashGap is the same for requests: one that is sent to the next target once
	// the first has ended crashes it after less than minCrashGap.
	minRequestCrashGap = 50 * time.Millisecond
	// unansweredTTL is how long an unanswered attempt is retained for the news that its target
	// has ended. A target that falls silent is known to have ended once its entry expires.
	unansweredTTL = 30 * time.Second
	// settleTime is the time after which a crash counts. By then, the reports of the
	// other routers about it have arrived.
	settleTime = 500 * time.Millisecond
	// startTime is how long after its first event an attempt still counts as one that
	// begins its answer.
	startTime = 250 * time.Millisecond
	// maxSegmentCrashes is the number of bits of a crashSet.
	maxSegmentCrashes = 64
	// unexplainedCrashes is how many of these are kept for crashes that no quarantine explains, so
	// that the next request or segment at fault is found.
	unexplainedCrashes = 16
	maxCrashRequests   = 64
	// maxRequestSegments is the number of segments that the evidence holds of a request.
	maxRequestSegments = 32
	maxUnanswered      = 1024
	maxAnswered        = 8192
	maxTargetEnds      = 4096
)

// AttemptEnd is how an attempt ended.
type AttemptEnd int

const (
	// Unjudged attempts have not run, were answered with a failure, or were given up for
	// another attempt.
	Unjudged AttemptEnd = iota
	// Answered attempts have a complete answer.
	Answered
	// Unanswered attempts may have run and have no complete answer.
	Unanswered
)

// segmentAttempt is an attempt of a request that is running or was unanswered.
type segmentAttempt struct {
	target, incarnation string
	request             Fingerprint
	segments            []SegmentHash
	started             time.Time
	// answering is the time of the first event, zero before it.
	answering time.Time
	ended     time.Time
	// targetAnswered is set once the target has answered a request that was sent later.
	targetAnswered bool
}

// segmentCrash is the end of one incarnation of a target with requests that it left
// unanswered.
type segmentCrash struct {
	id uint64
	// at is when the first of the requests failed, and seen when the crash became known.
	at, seen time.Time
	// requests holds the segments of the requests that had not begun their answers, and
	// candidates those of these segments that are not cleared.
	requests   map[Fingerprint][]SegmentHash
	candidates map[SegmentHash]bool
	// cleared holds segments on which an answer began after the crash, and unreported
	// those that no router has reported yet.
	cleared, unreported map[SegmentHash]bool
	// answered holds requests that were answered after the crash, and unreportedAnswers
	// those of them that no router has reported yet.
	answered, unreportedAnswers map[Fingerprint]bool
}

// SegmentStats is the evidence against a request or a prompt segment.
type SegmentStats struct {
	Crashes  int
	Requests int
}

// SegmentChange reports that a request, or segments that cannot be told apart, are quarantined or no
// longer are, or that a request runs although they are.
type SegmentChange struct {
	// Request is set if it is the request that changed, Segments otherwise.
	Request     Fingerprint
	Segments    []SegmentHash
	Quarantined bool
	// Trial is the request that runs, zero if there is none.
	Trial Fingerprint
	SegmentStats
}

// SegmentTracker finds requests, and prompt segments that different requests share, that
// crash each target that begins to answer them. A target that ends unannounced has crashed
// under the attempts that it left without an answer, however its end became known and
// whichever came first: a reset, an address that refuses connections, another incarnation
// there, or the loss of its entry. An answer that begins later clears the request and its
// segments of the crash.
//
// A request is quarantined after several crashes, unless another request explains them as
// well. Of the segments that several crashes have in common, those that fewest requests share are
// quarantined together: requests that hold all of them are refused, and the answers or crashes of
// the others show which one is at fault. Now and then a request is tried although it is refused,
// so that no quarantine is beyond refutation. The routers exchange crashes, clearances and trials,
// and each one derives the quarantine from them. It is safe for concurrent use.
type SegmentTracker struct {
	mu      sync.Mutex
	running map[string]map[string]*segmentAttempt // target -> attempt
	// unanswered holds attempts on targets that are not known to have ended, oldest first.
	unanswered []*segmentAttempt
	ends       map[string]targetEnd // by target and incarnation
	crashes    []*segmentCrash      // oldest first
	answered   recentSet[Fingerprint]
	// known holds segments of requests that were answered, and those in a quarantine whose requests
	// other routers have answered.
	known       recentSet[SegmentHash]
	quarantined quarantine
	trials      map[groupID]*segmentTrial
	// trialTurn reports whether this router is among the first n that may try the key.
	trialTurn func(key string, n int) bool
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
	return &SegmentTracker{running: map[string]map[string]*segmentAttempt{}, ends: map[string]targetEnd{}, trials: map[groupID]*segmentTrial{}}
}

// Start records that an attempt of the request is about to run on the target. An empty
// incarnation is not known. It returns false if the request must wait, so that it is not in more
// crashes before those that it may have caused are known.
func (t *SegmentTracker) Start(now time.Time, target, incarnation, attempt string, request Fingerprint, segments []SegmentHash) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.answered.has(request) && t.inDoubt(now, request) || t.onTrial(now, request) && t.isRunning(request) {
		return false
	}
	set := t.running[target]
	if set == nil {
		set = map[string]*segmentAttempt{}
		t.running[target] = set
	}
	set[attempt] = &segmentAttempt{target: target, incarnation: incarnation, request: request,
		segments: segments, started: now}
	return true
}

// SetIncarnation records the incarnation that an attempt runs on, if it is known.
func (t *SegmentTracker) SetIncarnation(target, attempt, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.running[target][attempt]; a != nil && incarnation != "" {
		a.incarnation = incarnation
	}
}

// Answering records the first event of an attempt.
func (t *SegmentTracker) Answering(now time.Time, target, attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.running[target][attempt]; a != nil && a.answering.IsZero() {
		a.answering = now
	}
}

// Ended records that the attempt no longer runs. A complete answer clears the request and its
// segments of the crashes before it began.
func (t *SegmentTracker) Ended(now time.Time, target, attempt string, end AttemptEnd) {
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
	a.ended = now
	switch {
	case end == Answered:
		t.answered.add(a.request)
		t.clear(a)
		t.markAnswering(a.target, a.incarnation, a.started)
	case end == Unanswered && !a.begun(now):
		t.failTrials(a.request)
		a.segments = t.retained(a.segments)
		t.addUnanswered(now, a)
	}
}

// begun reports whether the attempt is past the beginning of its answer.
func (a *segmentAttempt) begun(now time.Time) bool {
	return !a.answering.IsZero() && now.Sub(a.answering) >= startTime
}

// crash returns the record of a crash at that time or before, and creates it if necessary.
func (t *SegmentTracker) crash(now, at time.Time, id uint64) *segmentCrash {
	for _, c := range t.crashes {
		if c.id == id {
			if at.Before(c.at) {
				c.at, t.dirty = at, true
			}
			return c
		}
	}
	t.expire(now)
	if len(t.crashes) == maxSegmentCrashes {
		i := t.leastUseful()
		t.crashes = slices.Delete(t.crashes, i, i+1)
	}
	c := &segmentCrash{id: id, at: at, seen: now, requests: map[Fingerprint][]SegmentHash{}, candidates: map[SegmentHash]bool{}, cleared: map[SegmentHash]bool{}, unreported: map[SegmentHash]bool{},
		answered: map[Fingerprint]bool{}, unreportedAnswers: map[Fingerprint]bool{}}
	t.crashes = append(t.crashes, c)
	t.dirty = true
	return c
}

// leastUseful returns the index of the crash that is removed first: the oldest that no quarantine
// explains if there are many of these, else the oldest.
func (t *SegmentTracker) leastUseful() int {
	oldest, unexplained := 0, 0
	for i, c := range slices.Backward(t.crashes) {
		if !t.explained(c) {
			oldest, unexplained = i, unexplained+1
		}
	}
	if unexplained < unexplainedCrashes {
		return 0
	}
	return oldest
}

func (t *SegmentTracker) add(c *segmentCrash, request Fingerprint, segments []SegmentHash) bool {
	if _, known := c.requests[request]; known || len(c.requests) == maxCrashRequests {
		return false
	}
	c.requests[request] = segments
	if t.answered.has(request) {
		t.pendingReports = append(t.pendingReports, encodeAnswer(request, nil))
	}
	for _, s := range segments {
		if !c.cleared[s] {
			c.candidates[s] = true
		}
		t.reportClearances(s)
	}
	t.dirty = true
	return true
}

// clear clears the request and the segments of the attempt of the crashes before it began its
// answer.
func (t *SegmentTracker) clear(a *segmentAttempt) {
	began := a.answering
	if began.IsZero() {
		began = a.started
	}
	for _, c := range t.crashes {
		if _, candidate := c.requests[a.request]; candidate && c.at.Before(began) && !c.answered[a.request] {
			c.answered[a.request], c.unreportedAnswers[a.request] = true, true
			t.dirty = true
		}
	}
	t.reportAnswers(a.request)
	for _, s := range a.segments {
		t.known.add(s)
		cleared := false
		for _, c := range t.crashes {
			if c.at.Before(began) && c.candidates[s] {
				c.clear(s)
				c.unreported[s], cleared = true, true
			}
		}
		if cleared {
			t.dirty = true
			t.reportClearances(s)
		}
	}
}

// reportAnswers reports of which crashes the request is cleared once it was in several.
func (t *SegmentTracker) reportAnswers(request Fingerprint) {
	var ids []uint64
	known := 0
	for _, c := range t.crashes {
		if _, candidate := c.requests[request]; candidate {
			known++
		}
		if c.unreportedAnswers[request] {
			ids = append(ids, c.id)
		}
	}
	if known < minRequestCrashes-1 || len(ids) == 0 {
		return
	}
	for _, c := range t.crashes {
		delete(c.unreportedAnswers, request)
	}
	t.pendingReports = append(t.pendingReports, encodeAnswer(request, ids))
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
