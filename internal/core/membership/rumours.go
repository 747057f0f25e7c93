package membership

import (
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// MarkTTL is how long a mark is kept after its evidence. Sources that still
	// see the evidence refresh the mark after half of it.
	MarkTTL = 15 * time.Minute
	// FingerprintTTL is how long a fingerprint is kept after it was reported.
	FingerprintTTL = 15 * time.Minute
	// maxFingerprints bounds the memory; the design expects a few a day.
	maxFingerprints = 1024
	// maxMarks bounds the memory; it is over twice the targets of an
	// availability zone at full scale (5,100 targets in 9 zones).
	maxMarks = 2048
)

// mark is a TargetMark with the local time of its evidence in place of Age.
type mark struct {
	port.TargetMark
	seen time.Time
	// evidence is the time of this router's last own evidence, or seen.
	evidence time.Time
	// listed says that this router saw the target leaving in the VM list.
	listed bool
}

func (m *mark) export(now time.Time) port.TargetMark {
	out := m.TargetMark
	out.Age = now.Sub(m.seen)
	return out
}

// marks holds the targets that leave or have returned.
type marks struct {
	byTarget map[string]*mark
	news     queue
	urgent   queue
}

func newMarks() marks {
	return marks{byTarget: map[string]*mark{}, news: newQueue(), urgent: newQueue()}
}

// observe records own evidence from the time at. Marks are refreshed when half
// of their time is over.
func (s *marks) observe(now, at time.Time, target string, inc port.Incarnation, returned bool) {
	old := s.byTarget[target]
	if old == nil && returned {
		return
	}
	in := port.TargetMark{Target: target, Incarnation: inc, Version: uint64(now.UnixMilli()), Returned: returned}
	if old != nil {
		if old.evidence.After(at) {
			at = old.evidence
		}
		old.evidence = at
		if old.covers(in) && now.Sub(old.seen) < MarkTTL/2 {
			return
		}
		in.Version = max(in.Version, old.Version+1)
	}
	if s.apply(now, in); s.byTarget[target] != nil {
		s.byTarget[target].evidence = at
	}
}

// covers reports whether the mark already says what in would say.
func (m *mark) covers(in port.TargetMark) bool {
	if m.Returned != in.Returned {
		return false
	}
	return in.Returned || m.Incarnation == "" || m.Incarnation == in.Incarnation
}

// observeList records what the VM list says as of a time in the past. Evidence
// after that time is stronger, and the list ends a mark only when it had the
// target leaving itself.
func (s *marks) observeList(now, asOf time.Time, target string, leaving bool) {
	m := s.byTarget[target]
	switch {
	case leaving && (m == nil || !m.Returned || asOf.After(m.evidence)):
		s.observe(now, asOf, target, "", false)
		if m := s.byTarget[target]; m != nil {
			m.listed = true
		}
	case !leaving && m != nil && m.listed && asOf.After(m.evidence):
		s.observe(now, asOf, target, "", true)
	}
}

// apply merges a mark and reports whether it was adopted. A mark that changes
// what is in force is urgent.
func (s *marks) apply(now time.Time, in port.TargetMark) bool {
	old := s.byTarget[in.Target]
	if in.Target == "" || in.Age < 0 || in.Age > MarkTTL || old == nil && len(s.byTarget) >= maxMarks {
		return false
	}
	if old != nil && !supersedes(in, old.TargetMark) {
		return false
	}
	changed := old == nil || old.Returned != in.Returned || old.Incarnation != in.Incarnation
	seen := now.Add(-in.Age)
	m := &mark{TargetMark: in, seen: seen, evidence: seen, listed: old != nil && old.listed && !in.Returned}
	m.Age = 0
	s.byTarget[in.Target] = m
	s.news.add(in.Target)
	if changed {
		s.urgent.add(in.Target)
	}
	return true
}

func supersedes(a, b port.TargetMark) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return !a.Returned && b.Returned
}

func (s *marks) expire(now time.Time) {
	for target, m := range s.byTarget {
		if now.Sub(m.seen) > MarkTTL {
			delete(s.byTarget, target)
			s.news.drop(target)
			s.urgent.drop(target)
		}
	}
}

// fingerprints holds the requests that crash targets, with the time of each.
type fingerprints struct {
	seen   map[string]time.Time
	news   queue
	urgent queue
}

func newFingerprints() fingerprints {
	return fingerprints{seen: map[string]time.Time{}, news: newQueue(), urgent: newQueue()}
}

// apply merges a fingerprint.
func (s *fingerprints) apply(now time.Time, in port.Fingerprint) {
	_, known := s.seen[in.Value]
	if known || in.Value == "" || in.Age < 0 || in.Age > FingerprintTTL || len(s.seen) >= maxFingerprints {
		return
	}
	s.seen[in.Value] = now.Add(-in.Age)
	s.news.add(in.Value)
	s.urgent.add(in.Value)
}

func (s *fingerprints) export(now time.Time, value string) port.Fingerprint {
	return port.Fingerprint{Value: value, Age: now.Sub(s.seen[value])}
}

func (s *fingerprints) expire(now time.Time) {
	for value, seen := range s.seen {
		if now.Sub(seen) > FingerprintTTL {
			delete(s.seen, value)
			s.news.drop(value)
			s.urgent.drop(value)
		}
	}
}

// MarkLeaving records own evidence that a target leaves. An empty incarnation
// means any.
func (v *View) MarkLeaving(now time.Time, target string, inc port.Incarnation) {
	v.marks.observe(now, now, target, inc, false)
}

// MarkReturned records own evidence that a marked target runs again, such as
// an answer of a new incarnation.
func (v *View) MarkReturned(now time.Time, target string) {
	v.marks.observe(now, now, target, "", true)
}

// IsLeaving reports whether the target, or this incarnation of it, leaves.
func (v *View) IsLeaving(target string, inc port.Incarnation) bool {
	m := v.marks.byTarget[target]
	if m == nil || m.Returned {
		return false
	}
	return m.Incarnation == "" || inc == "" || m.Incarnation == inc
}

// AddFingerprint records a fingerprint found by this router.
func (v *View) AddFingerprint(now time.Time, value string) {
	v.hints.apply(now, port.Fingerprint{Value: value})
}
