package retry

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// targetEnd is the end of one incarnation of a target.
type targetEnd struct {
	at    time.Time
	crash uint64
	// proven is not set if only the target's entry is gone.
	proven bool
}

func endKey(target, incarnation string) string { return target + "@" + incarnation }

func (t *SegmentTracker) addUnanswered(now time.Time, a *segmentAttempt) {
	if end, known := t.ends[endKey(a.target, a.incarnation)]; known && (a.incarnation != "" || now.Sub(end.at) < crashDedupWindow) {
		t.addEvidence(now, end.crash, a)
		return
	}
	t.unanswered = slices.DeleteFunc(t.unanswered, func(old *segmentAttempt) bool { return now.Sub(old.ended) >= unansweredTTL })
	if len(t.unanswered) == maxUnanswered {
		t.unanswered = slices.Delete(t.unanswered, 0, 1)
	}
	t.unanswered = append(t.unanswered, a)
}

// TargetEnded records that an incarnation of a target has ended unannounced. If it is not
// proven, because only the target's entry is gone, TargetRestored takes it back. It returns the
// number of attempts that were left unanswered so far; first is false if the end was known.
func (t *SegmentTracker) TargetEnded(now time.Time, target, incarnation string, proven bool) (unanswered int, first bool) {
	defer t.notify()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.targetEnded(now, target, incarnation, proven)
}

func (t *SegmentTracker) targetEnded(now time.Time, target, incarnation string, proven bool) (unanswered int, first bool) {
	key := endKey(target, incarnation)
	if end, known := t.ends[key]; known && (incarnation != "" || now.Sub(end.at) < crashDedupWindow) {
		end.proven = end.proven || proven
		t.ends[key] = end
		return 0, false
	}
	t.expireEnds(now)
	id := key
	if incarnation == "" {
		id += now.UTC().Format(time.RFC3339)
	}
	end := targetEnd{at: now, crash: xxhash.Sum64String(id), proven: proven}
	t.ends[key] = end
	t.unanswered = slices.DeleteFunc(t.unanswered, func(a *segmentAttempt) bool {
		if a.target != target || a.incarnation != incarnation && a.incarnation != "" || now.Sub(a.ended) >= unansweredTTL {
			return false
		}
		t.addEvidence(now, end.crash, a)
		unanswered++
		return true
	})
	return unanswered, true
}

// expireEnds removes old ends, and the oldest if there is no room for another.
func (t *SegmentTracker) expireEnds(now time.Time) {
	oldest := ""
	for key, end := range t.ends {
		if now.Sub(end.at) >= suspectTTL {
			delete(t.ends, key)
		} else if oldest == "" || end.at.Before(t.ends[oldest].at) {
			oldest = key
		}
	}
	if len(t.ends) >= maxTargetEnds {
		delete(t.ends, oldest)
	}
}

// TargetRestored records that a target whose entry was gone has its entry again.
func (t *SegmentTracker) TargetRestored(target, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := endKey(target, incarnation)
	end, known := t.ends[key]
	if !known || end.proven {
		return
	}
	delete(t.ends, key)
	t.crashes = slices.DeleteFunc(t.crashes, func(c *segmentCrash) bool { return c.id == end.crash })
	t.dirty = true
}

// IncarnationObserved records that the target is of this incarnation now: others on which
// attempts ran have ended. An empty one tells nothing.
func (t *SegmentTracker) IncarnationObserved(now time.Time, target, incarnation string) {
	if incarnation == "" {
		return
	}
	defer t.notify()
	t.mu.Lock()
	defer t.mu.Unlock()
	var prior []string
	for _, a := range t.unanswered {
		if a.target == target {
			prior = append(prior, a.incarnation)
		}
	}
	for _, a := range t.running[target] {
		prior = append(prior, a.incarnation)
	}
	for _, p := range prior {
		if p != "" && p != incarnation {
			t.targetEnded(now, target, p, true)
		}
	}
	t.markAnswering(target, incarnation, now)
}

// markAnswering records that the target has answered a request that was sent at that time.
func (t *SegmentTracker) markAnswering(target, incarnation string, sent time.Time) {
	for _, a := range t.unanswered {
		if a.target == target && a.incarnation == incarnation && a.ended.Before(sent) {
			a.targetAnswered = true
		}
	}
}

func (t *SegmentTracker) addEvidence(now time.Time, crash uint64, a *segmentAttempt) {
	c := t.crash(now, a.ended, crash)
	if t.add(c, a.request, a.segments) {
		t.pendingReports = append(t.pendingReports, encodeCrash(crash, a.request, a.segments, now.Sub(a.ended)))
	}
}
