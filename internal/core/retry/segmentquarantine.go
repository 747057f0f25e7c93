package retry

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// quarantine holds the requests, and the groups of segments, that are refused.
type quarantine struct {
	requests map[Fingerprint]SegmentStats
	groups   map[groupID]segmentGroup
}

// groupID is a hash of the segments of a group.
type groupID uint64

// segmentGroup holds segments that cannot be told apart by the crashes. Requests that hold all of
// them are refused: the others show which one is at fault.
type segmentGroup struct {
	segments []SegmentHash // sorted
	SegmentStats
	// last is the time of the latest crash.
	last time.Time
}

func (g segmentGroup) id() groupID {
	d := xxhash.New()
	var b [8]byte
	for _, s := range g.segments {
		binary.BigEndian.PutUint64(b[:], uint64(s))
		_, _ = d.Write(b[:]) // it never fails
	}
	return groupID(d.Sum64())
}

// in reports whether a request with these segments holds the group.
func (g segmentGroup) in(segments []SegmentHash) bool {
	for _, s := range g.segments {
		if !slices.Contains(segments, s) {
			return false
		}
	}
	return true
}

// holders returns the requests that may have caused the crash by the group.
func (g segmentGroup) holders(c *segmentCrash) []Fingerprint {
	for _, s := range g.segments {
		if !c.candidates[s] {
			return nil
		}
	}
	var out []Fingerprint
	for request, segments := range c.requests {
		if g.in(segments) {
			out = append(out, request)
		}
	}
	return out
}

// Quarantined reports whether the request is refused, and returns the indices of its segments that
// are quarantined together, none if the request itself is.
func (t *SegmentTracker) Quarantined(now time.Time, request Fingerprint, segments []SegmentHash) (quarantined []int, found bool) {
	defer t.notify()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(now)
	if _, found := t.quarantined.requests[request]; found {
		return nil, true
	}
	groups := t.groupsIn(segments)
	if len(groups) == 0 {
		return nil, false
	}
	for i, s := range segments {
		if slices.Contains(groups[0].segments, s) {
			quarantined = append(quarantined, i)
		}
	}
	return quarantined, true
}

// groupsIn returns the quarantined groups that a request with these segments holds.
func (t *SegmentTracker) groupsIn(segments []SegmentHash) []segmentGroup {
	var out []segmentGroup
	for _, g := range t.quarantined.groups {
		if g.in(segments) {
			out = append(out, g)
		}
	}
	slices.SortFunc(out, func(a, b segmentGroup) int {
		return cmp.Or(len(b.segments)-len(a.segments), cmp.Compare(a.id(), b.id()))
	})
	return out
}

// update evaluates the evidence if it has changed.
func (t *SegmentTracker) update(now time.Time) {
	if t.dirty || !t.nextChange.IsZero() && !now.Before(t.nextChange) {
		t.evaluate(now)
	}
}

// explained reports whether a quarantined request or segment may have caused the crash.
func (t *SegmentTracker) explained(c *segmentCrash) bool {
	for request := range t.quarantined.requests {
		if _, candidate := c.requests[request]; candidate {
			return true
		}
	}
	for _, g := range t.quarantined.groups {
		if len(g.holders(c)) > 0 {
			return true
		}
	}
	return false
}

// expire removes old crashes. Those that led to a quarantine are kept for longer.
func (t *SegmentTracker) expire(now time.Time) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *segmentCrash) bool {
		age := now.Sub(c.at)
		return age >= quarantineTTL || age >= suspectTTL && !t.explained(c)
	})
}

// nextChange returns when the crash settles or may expire.
func (c *segmentCrash) nextChange(now time.Time) time.Time {
	for _, at := range []time.Time{c.seen.Add(settleTime), c.at.Add(suspectTTL)} {
		if now.Before(at) {
			return at
		}
	}
	return c.at.Add(quarantineTTL)
}

// evaluate derives the quarantine from the evidence.
func (t *SegmentTracker) evaluate(now time.Time) {
	t.expire(now)
	for _, set := range t.running {
		for _, a := range set {
			if a.begun(now) {
				t.clear(a)
			}
		}
	}
	t.dirty, t.nextChange = false, time.Time{}
	var settled []*segmentCrash
	for _, c := range t.crashes {
		if !now.Before(c.seen.Add(settleTime)) {
			settled = append(settled, c)
		}
		if at := c.nextChange(now); t.nextChange.IsZero() || at.Before(t.nextChange) {
			t.nextChange = at
		}
	}
	slices.SortStableFunc(settled, func(a, b *segmentCrash) int { return a.at.Compare(b.at) })
	next := newEvidence(settled, &t.answered).quarantine(t.quarantined)
	t.pendingChanges = append(t.pendingChanges, changes(t.quarantined.groups, next.groups, func(_ groupID, g segmentGroup) SegmentChange {
		return SegmentChange{Segments: g.segments, SegmentStats: g.SegmentStats}
	})...)
	t.pendingChanges = append(t.pendingChanges, changes(t.quarantined.requests, next.requests, func(f Fingerprint, stats SegmentStats) SegmentChange {
		return SegmentChange{Request: f, SegmentStats: stats}
	})...)
	before := t.quarantined.groups
	t.quarantined = next
	for id, g := range next.groups {
		if _, already := before[id]; !already {
			t.reportKnown(g)
		}
	}
	t.updateTrials(now, before)
}

func changes[K comparable, V any](before, after map[K]V, change func(K, V) SegmentChange) []SegmentChange {
	var out []SegmentChange
	for key, v := range after {
		if _, already := before[key]; !already {
			c := change(key, v)
			c.Quarantined = true
			out = append(out, c)
		}
	}
	for key, v := range before {
		if _, still := after[key]; !still {
			out = append(out, change(key, v))
		}
	}
	return out
}
