package retry

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"
)

// crashSet is a set of indices of crashes.
type crashSet uint64

// evidence is an index of crashes by segment and by request.
type evidence struct {
	all      []*segmentCrash
	at       [maxSegmentCrashes]time.Time
	crashes  map[SegmentHash]crashSet
	requests map[SegmentHash]map[Fingerprint][]SegmentHash
	// byRequest holds the crashes of which a request is not cleared, and answered those of
	// which it is.
	byRequest, answered map[Fingerprint]crashSet
	// sound holds the requests that were answered, before these crashes or since.
	sound map[Fingerprint]bool
}

func newEvidence(crashes []*segmentCrash, answered *recentSet[Fingerprint]) evidence {
	e := evidence{all: crashes, crashes: map[SegmentHash]crashSet{}, requests: map[SegmentHash]map[Fingerprint][]SegmentHash{},
		byRequest: map[Fingerprint]crashSet{}, answered: map[Fingerprint]crashSet{}, sound: map[Fingerprint]bool{}}
	for i, c := range crashes {
		e.at[i] = c.at
		for request, segments := range c.requests {
			e.sound[request] = answered.has(request)
			if c.answered[request] {
				e.answered[request] |= 1 << i
			} else {
				e.byRequest[request] |= 1 << i
			}
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
func (e evidence) count(set crashSet) int { return e.countApart(set, minCrashGap) }

func (e evidence) countRequest(set crashSet) int { return e.countApart(set, minRequestCrashGap) }

func (e evidence) countApart(set crashSet, gap time.Duration) int {
	n, last := 0, time.Time{}
	for ; set != 0; set &= set - 1 {
		if at := e.at[bits.TrailingZeros64(uint64(set))]; n == 0 || at.Sub(last) >= gap {
			n, last = n+1, at
		}
	}
	return n
}

// quarantine returns the requests and groups of segments that explain the crashes.
func (e evidence) quarantine(before quarantine) quarantine {
	groups, explained := e.quarantineSegments(before.groups)
	return quarantine{groups: groups, requests: e.quarantineRequests(before.requests, explained)}
}

// quarantineSegments returns the groups of segments that explain crashes, and these crashes. A
// group that was quarantined before stays so while it alone explains a crash: among segments that
// crash targets at the same time, new evidence changes which one explains most.
func (e evidence) quarantineSegments(before map[groupID]segmentGroup) (out map[groupID]segmentGroup, explained crashSet) {
	out = map[groupID]segmentGroup{}
	add := func(g segmentGroup, crashes crashSet) {
		explained |= crashes
		out[g.id()] = g
	}
	for s, found := e.next(explained); found; s, found = e.next(explained) {
		add(e.group(e.inseparable(s, explained)))
	}
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if g, crashes := e.group(before[id].segments); g.Crashes >= minSegmentCrashes && crashes&^explained != 0 {
			add(g, crashes)
		}
	}
	return out, explained
}

// group returns the evidence against the segments as a group, and the crashes that it explains.
func (e evidence) group(segments []SegmentHash) (g segmentGroup, crashes crashSet) {
	g.segments = segments
	requests := map[Fingerprint]bool{}
	for i, c := range e.all {
		for _, request := range g.holders(c) {
			crashes |= 1 << i
			requests[request] = true
			g.last = e.at[i]
		}
	}
	g.Crashes, g.Requests = e.count(crashes), len(requests)
	return g, crashes
}

// inseparable returns the segment with those that are in each of its requests and in each of its
// unexplained crashes.
func (e evidence) inseparable(s SegmentHash, explained crashSet) []SegmentHash {
	unexplained := e.crashes[s] &^ explained
	out := []SegmentHash{s}
	for other, crashes := range e.crashes {
		if other != s && unexplained&^crashes == 0 && e.accompanies(other, s) {
			out = append(out, other)
		}
	}
	slices.Sort(out)
	return out
}

// quarantineRequests returns the requests that explain crashes which no segment explains. A
// quarantined request stays so while its evidence lasts: it is not sent any more, so nothing
// can clear it.
func (e evidence) quarantineRequests(before map[Fingerprint]SegmentStats, explained crashSet) map[Fingerprint]SegmentStats {
	out := map[Fingerprint]SegmentStats{}
	add := func(request Fingerprint) {
		explained |= e.byRequest[request]
		out[request] = SegmentStats{Crashes: e.countRequest(e.byRequest[request]), Requests: 1}
	}
	for request := range before {
		if e.countRequest(e.byRequest[request]|e.answered[request]) >= minRequestCrashes {
			add(request)
		}
	}
	for next := e.nextRequests(explained); len(next) > 0; next = e.nextRequests(explained) {
		for _, request := range next {
			add(request)
		}
	}
	return out
}

// nextRequests returns the request that explains most of the unexplained crashes, with those
// that cannot be told apart from it.
func (e evidence) nextRequests(explained crashSet) []Fingerprint {
	best, most := Fingerprint(0), 0
	for request, crashes := range e.byRequest {
		n := e.countRequest(crashes &^ explained)
		if n < e.neededCrashes(request) || e.isAmbiguous(request, explained) {
			continue
		}
		if n > most || n == most && request < best {
			best, most = request, n
		}
	}
	if most == 0 {
		return nil
	}
	return append(e.rivals(best, explained), best)
}

// neededCrashes returns the number of unexplained crashes that quarantine the request. Of one
// with many crashes, those of which it was cleared and, if it was never answered, those that
// others explain count in part.
func (e evidence) neededCrashes(request Fingerprint) int {
	switch {
	case !e.sound[request] && e.countRequest(e.byRequest[request]) >= ambiguousRequestCrashes:
		return 1
	case e.countRequest(e.byRequest[request]|e.answered[request]) >= ambiguousRequestCrashes:
		return minRequestCrashes - 1
	}
	return minRequestCrashes
}

// isAmbiguous reports whether there are too few crashes to quarantine the request with its
// rivals. One that was answered is never quarantined with one that was not.
func (e evidence) isAmbiguous(request Fingerprint, explained crashSet) bool {
	rivals := e.rivals(request, explained)
	if len(rivals) == 0 {
		return false
	}
	return e.countRequest(e.counted(request, explained)) < ambiguousRequestCrashes ||
		e.sound[request] && slices.ContainsFunc(rivals, func(other Fingerprint) bool { return !e.sound[other] })
}

// counted returns the crashes that count against the request: all, or those that are not
// explained if it was answered.
func (e evidence) counted(request Fingerprint, explained crashSet) crashSet {
	if e.sound[request] {
		return e.byRequest[request] &^ explained
	}
	return e.byRequest[request]
}

// rivals returns the requests that explain the unexplained crashes of this one, and are in as
// many crashes as it is. One that was answered is no rival of one that was not.
func (e evidence) rivals(request Fingerprint, explained crashSet) []Fingerprint {
	unexplained := e.byRequest[request] &^ explained
	if !e.sound[request] {
		explained = 0
	}
	var out []Fingerprint
	own := e.countRequest(e.counted(request, explained))
	for other, crashes := range e.byRequest {
		if other != request && unexplained&^crashes == 0 && e.countRequest(crashes&^explained) >= own && (!e.sound[other] || e.sound[request]) {
			out = append(out, other)
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

// hasBetterExplanation reports whether the segment is in each request of a suspect with fewer, or
// its unexplained crashes may as well be those of a segment of other requests or of one request.
func (e evidence) hasBetterExplanation(s SegmentHash, suspects []SegmentHash, explained crashSet) bool {
	unexplained := e.crashes[s] &^ explained
	for other, crashes := range e.crashes {
		covers := unexplained&^crashes == 0
		if other == s || !covers && !slices.Contains(suspects, other) || e.accompanies(other, s) {
			continue
		}
		if e.accompanies(s, other) || covers && e.count(unexplained) < ambiguousCrashes {
			return true
		}
	}
	for request, crashes := range e.byRequest {
		if unexplained&^crashes != 0 {
			continue
		}
		if _, has := e.requests[s][request]; has || e.count(unexplained) < ambiguousCrashes {
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

// accompanies reports whether s is in each request with other.
func (e evidence) accompanies(s, other SegmentHash) bool {
	for _, segments := range e.requests[other] {
		if !slices.Contains(segments, s) {
			return false
		}
	}
	return true
}
