package retry

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// crashSet is a set of indices of crashes.
type crashSet uint64

// evidence is an index of crashes by segment.
type evidence struct {
	at       [maxSegmentCrashes]time.Time
	crashes  map[SegmentHash]crashSet
	requests map[SegmentHash]map[Fingerprint][]SegmentHash
}

func newEvidence(crashes []*segmentCrash) evidence {
	e := evidence{crashes: map[SegmentHash]crashSet{}, requests: map[SegmentHash]map[Fingerprint][]SegmentHash{}}
	for i, c := range crashes {
		e.at[i] = c.at
		for request, segments := range c.requests {
			for _, s := range segments {
				if !c.candidates[s] {
					continue
				}
				e.crashes[s] |= 1 << i
				if e.requests[s] == nil {
					e.requests[s] = map[Fingerprint][]SegmentHash{}
				}
				e.requests[s][request] = segments
			}
		}
	}
	return e
}

// count returns the number of crashes in the set that are not of one moment.
func (e evidence) count(set crashSet) int {
	n, last := 0, time.Time{}
	for ; set != 0; set &= set - 1 {
		if at := e.at[bits.TrailingZeros64(uint64(set))]; n == 0 || at.Sub(last) >= minCrashGap {
			n, last = n+1, at
		}
	}
	return n
}

// quarantine returns the segments that explain the crashes. A segment that was quarantined
// before stays so while it alone explains a crash: among segments that crash targets at the
// same time, new evidence changes which one explains most.
func (e evidence) quarantine(before map[SegmentHash]SegmentStats) map[SegmentHash]SegmentStats {
	out := map[SegmentHash]SegmentStats{}
	explained := crashSet(0)
	add := func(s SegmentHash) {
		explained |= e.crashes[s]
		out[s] = SegmentStats{Crashes: e.count(e.crashes[s]), Requests: len(e.requests[s])}
	}
	for s, found := e.next(explained); found; s, found = e.next(explained) {
		add(s)
	}
	for s := range before {
		if e.count(e.crashes[s]) >= minSegmentCrashes && e.crashes[s]&^explained != 0 {
			add(s)
		}
	}
	return out
}

// next returns the segment that explains most of the unexplained crashes and has no better
// explanation.
func (e evidence) next(explained crashSet) (SegmentHash, bool) {
	suspects := e.suspects(explained)
	for _, s := range suspects {
		if !e.hasBetterExplanation(s, suspects, explained) {
			return s, true
		}
	}
	return 0, false
}

// hasBetterExplanation reports whether the segment is only in front of a suspect, or its
// unexplained crashes may as well be those of another segment.
func (e evidence) hasBetterExplanation(s SegmentHash, suspects []SegmentHash, explained crashSet) bool {
	unexplained := e.crashes[s] &^ explained
	for other, crashes := range e.crashes {
		covers := unexplained&^crashes == 0
		if other == s || !covers && !slices.Contains(suspects, other) || e.follows(s, other) {
			continue
		}
		if e.follows(other, s) || covers && e.count(unexplained) < ambiguousCrashes {
			return true
		}
	}
	return false
}

// suspects returns the segments with enough unexplained crashes, most crashes first.
func (e evidence) suspects(explained crashSet) []SegmentHash {
	var out []SegmentHash
	count := func(s SegmentHash) int { return e.count(e.crashes[s] &^ explained) }
	for s, crashes := range e.crashes {
		spare := 0
		if e.count(crashes) >= ambiguousCrashes {
			spare = 1
		}
		if count(s) >= minSegmentCrashes-spare && len(e.requests[s]) >= minSegmentRequests-spare {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b SegmentHash) int {
		return cmp.Or(count(b)-count(a), cmp.Compare(a, b))
	})
	return out
}

// follows reports whether s comes after other in each request with s.
func (e evidence) follows(s, other SegmentHash) bool {
	for _, segments := range e.requests[s] {
		if at := slices.Index(segments, other); at < 0 || at >= slices.Index(segments, s) {
			return false
		}
	}
	return true
}
