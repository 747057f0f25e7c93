package retry

import (
	"fmt"
	"slices"
	"time"
)

const (
	// A trial of a quarantined group comes after knownTrialInterval if requests with each of its
	// segments were answered before, after newTrialInterval otherwise, and trialBackoff times as late
	// for each crash since the first trial. After maxFailedTrials of these, and at most, it comes
	// after maxTrialInterval.
	knownTrialInterval = 2 * time.Second
	newTrialInterval   = 5 * time.Minute
	trialBackoff       = 8
	maxFailedTrials    = 3
	maxTrialInterval   = quarantineTTL
	// trialStep is the time after which twice as many routers may try. By then, they have heard
	// of a trial of the others.
	trialStep = settleTime
	// trialTTL is how long a request may use its trial.
	trialTTL = 30 * time.Second
	// maxTrials bounds the groups whose trials are remembered. Beyond it there are no others.
	maxTrials = 256
)

// segmentTrial holds the first and the latest trial of a quarantined group on any router.
type segmentTrial struct {
	first, at time.Time
	// request is that of a trial on this router. It is zero once an attempt was left unanswered.
	request Fingerprint
}

// SetTrialTurn sets the function that reports whether this router is among the first n that may try
// the key. It must be called before the first request.
func (t *SegmentTracker) SetTrialTurn(turn func(key string, n int) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trialTurn = turn
}

// Try reports whether a request that is refused for its segments may run as a trial, and reserves
// the trial for it. The request may ask again until an attempt was left unanswered.
func (t *SegmentTracker) Try(now time.Time, request Fingerprint, segments []SegmentHash) bool {
	defer t.notify()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(now)
	if _, found := t.quarantined.requests[request]; found {
		return false
	}
	groups := t.groupsIn(segments)
	if len(groups) == 0 {
		return true
	}
	doubtful, suspect := t.otherCauses(request, segments, groups)
	if suspect || t.silentTargets(now, request) > 0 {
		return false
	}
	var due []segmentGroup
	for _, g := range groups {
		if trial := t.trials[g.id()]; trial != nil && trial.isOf(now, request) {
			continue
		}
		if !t.mayTry(now, g, doubtful) {
			return false
		}
		due = append(due, g)
	}
	if len(t.trials)+len(due) > maxTrials {
		return false
	}
	for _, g := range due {
		t.recordTrial(g.id(), now).request = request
		t.pendingReports = append(t.pendingReports, encodeTrial(g.id(), now))
		t.pendingChanges = append(t.pendingChanges, SegmentChange{Segments: g.segments, Quarantined: true, Trial: request, SegmentStats: g.SegmentStats})
	}
	return true
}

// mayTry reports whether a trial of the group is due on this router, trialBackoff times as late for a
// request that may crash a target for another reason. The first router may try at once, and twice as many after
// each trialStep.
func (t *SegmentTracker) mayTry(now time.Time, g segmentGroup, doubtful bool) bool {
	last, failed := g.last, 0
	if trial := t.trials[g.id()]; trial != nil {
		failed = t.crashesSince(g, trial.first.Add(-settleTime)) // the times of other routers' reports are not exact
		if trial.at.After(last) {
			last = trial.at
		}
	}
	if doubtful {
		failed++
	}
	wait := now.Sub(last.Add(t.trialInterval(g.segments, failed)))
	if wait < 0 {
		return false
	}
	doublings := min(wait/trialStep, 16)
	return t.trialTurn == nil || t.trialTurn(fmt.Sprintf("%x/%d", g.id(), failed), 1<<doublings)
}

// crashesSince returns the number of crashes by the group later than that time.
func (t *SegmentTracker) crashesSince(g segmentGroup, at time.Time) int {
	n := 0
	for _, c := range t.crashes {
		if c.at.After(at) && len(g.holders(c)) > 0 {
			n++
		}
	}
	return n
}

// trialInterval returns the time between the last crash or trial of the segments and the next trial
// after that many have failed.
func (t *SegmentTracker) trialInterval(segments []SegmentHash, failed int) time.Duration {
	interval := knownTrialInterval
	if slices.ContainsFunc(segments, func(s SegmentHash) bool { return !t.known.has(s) }) {
		interval = newTrialInterval
	}
	if failed >= maxFailedTrials {
		return maxTrialInterval
	}
	for range failed {
		interval *= trialBackoff
	}
	return min(interval, maxTrialInterval)
}

func (s *segmentTrial) isOf(now time.Time, request Fingerprint) bool {
	return s.request == request && now.Sub(s.at) < trialTTL
}

// onTrial reports whether the request runs as a trial.
func (t *SegmentTracker) onTrial(now time.Time, request Fingerprint) bool {
	for _, trial := range t.trials {
		if trial.isOf(now, request) {
			return true
		}
	}
	return false
}

// otherCauses reports whether the request may crash a target for another reason than the groups: it is
// doubtful if it has a segment that was not answered before, or was in a crash without such a one, and
// suspect if such a segment, or the request itself, was in a crash.
func (t *SegmentTracker) otherCauses(request Fingerprint, segments []SegmentHash, groups []segmentGroup) (doubtful, suspect bool) {
	others := slices.DeleteFunc(slices.Clone(segments), func(s SegmentHash) bool {
		return slices.ContainsFunc(groups, func(g segmentGroup) bool { return slices.Contains(g.segments, s) })
	})
	doubtful = slices.ContainsFunc(others, func(s SegmentHash) bool { return !t.known.has(s) })
	for _, c := range t.crashes {
		if _, candidate := c.requests[request]; candidate && !c.answered[request] {
			return doubtful, true
		}
		for _, s := range others {
			switch {
			case !c.candidates[s]:
			case !t.known.has(s):
				return doubtful, true
			case !doubtful:
				doubtful = t.isCrashOfKnown(c, s)
			}
		}
	}
	return doubtful, false
}

// isCrashOfKnown reports whether a request with the segment was in the crash of which all suspects
// are known.
func (t *SegmentTracker) isCrashOfKnown(c *segmentCrash, s SegmentHash) bool {
	for _, segments := range c.requests {
		if slices.Contains(segments, s) && !slices.ContainsFunc(segments, func(other SegmentHash) bool { return c.candidates[other] && !t.known.has(other) }) {
			return true
		}
	}
	return false
}

// reportKnown reports which segments of the requests that the group refuses were answered here.
func (t *SegmentTracker) reportKnown(g segmentGroup) {
	var known []SegmentHash
	for _, c := range t.crashes {
		for _, request := range g.holders(c) {
			for _, s := range c.requests[request] {
				if len(known) < maxRequestSegments && c.candidates[s] && t.known.has(s) && !slices.Contains(known, s) {
					known = append(known, s)
				}
			}
		}
	}
	for _, s := range known {
		t.pendingReports = append(t.pendingReports, encodeKnown(s))
	}
}

func (t *SegmentTracker) recordTrial(id groupID, at time.Time) *segmentTrial {
	trial := t.trials[id]
	if trial == nil {
		trial = &segmentTrial{first: at}
		t.trials[id] = trial
	}
	if at.After(trial.at) {
		trial.at = at
	}
	return trial
}

// failTrials ends the trials of a request that left an attempt unanswered.
func (t *SegmentTracker) failTrials(request Fingerprint) {
	for _, trial := range t.trials {
		if trial.request == request {
			trial.request = 0
		}
	}
}

// updateTrials removes the trials of groups that are released, and those of groups that are not
// quarantined here some time after they were heard of. A group that is a part of an earlier one
// inherits its trials.
func (t *SegmentTracker) updateTrials(now time.Time, before map[groupID]segmentGroup) {
	for id, g := range t.quarantined.groups {
		for was, old := range before {
			if trial := t.trials[was]; trial != nil && t.trials[id] == nil && len(g.segments) < len(old.segments) && g.in(old.segments) {
				t.trials[id] = &segmentTrial{first: trial.first, at: trial.at}
			}
		}
	}
	for id, trial := range t.trials {
		_, was := before[id]
		if _, is := t.quarantined.groups[id]; !is && (was || now.Sub(trial.at) >= trialTTL) {
			delete(t.trials, id)
		}
	}
}

// retained returns the segments that the evidence holds of a request. Of too many, those of which
// nothing is known come before those that were answered.
func (t *SegmentTracker) retained(segments []SegmentHash) []SegmentHash {
	if len(segments) <= maxRequestSegments {
		return segments
	}
	isNew := func(s SegmentHash) bool { return !t.known.has(s) }
	left := maxRequestSegments
	known := max(0, left-countFunc(segments, isNew))
	out := make([]SegmentHash, 0, left)
	for _, s := range segments {
		switch {
		case len(out) == left:
			return out
		case isNew(s):
			out = append(out, s)
		case known > 0:
			out = append(out, s)
			known--
		}
	}
	return out
}

func countFunc[S ~[]E, E any](s S, is func(E) bool) int {
	n := 0
	for _, v := range s {
		if is(v) {
			n++
		}
	}
	return n
}
