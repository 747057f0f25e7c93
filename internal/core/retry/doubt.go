package retry

import (
	"slices"
	"time"
)

// inDoubt reports whether the request must wait. After two crashes it runs only once the targets
// of its other attempts have ended or answered; after two that may be crashes, one attempt at a
// time.
func (t *SegmentTracker) inDoubt(now time.Time, request Fingerprint) bool {
	crashes, unsettled := 0, false
	for _, c := range t.crashes {
		if _, candidate := c.requests[request]; candidate && !c.answered[request] {
			crashes++
			unsettled = unsettled || now.Before(c.seen.Add(settleTime))
		}
	}
	silent := t.silentTargets(now, request)
	switch {
	case crashes >= minRequestCrashes && unsettled:
		return true
	case crashes >= minRequestCrashes-1:
		return silent > 0 || t.isRunning(request)
	}
	return crashes+silent >= minRequestCrashes-1 && t.isRunning(request)
}

// silentTargets returns the number of targets that left an attempt of the request unanswered and
// have answered nothing since.
func (t *SegmentTracker) silentTargets(now time.Time, request Fingerprint) int {
	var out []string
	for _, a := range t.unanswered {
		if a.request == request && !a.targetAnswered && now.Sub(a.ended) < unansweredTTL && !slices.Contains(out, endKey(a.target, a.incarnation)) {
			out = append(out, endKey(a.target, a.incarnation))
		}
	}
	return len(out)
}

func (t *SegmentTracker) isRunning(request Fingerprint) bool {
	for _, set := range t.running {
		for _, a := range set {
			if a.request == request {
				return true
			}
		}
	}
	return false
}
