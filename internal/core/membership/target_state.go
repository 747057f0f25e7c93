package membership

import (
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// MarkTTL is how long a mark is retained after it was observed. Sources that
	// still observe the same state refresh the mark after half of the TTL.
	MarkTTL = 15 * time.Minute
	// FingerprintTTL is how long a fingerprint is retained after it was reported.
	FingerprintTTL = 15 * time.Minute
	// maxFingerprints bounds the memory. A few requests a day are expected, and some ten
	// values for each crash of an engine.
	maxFingerprints = 1024
	// maxMarks bounds the memory; it is over twice the targets of an
	// availability zone at full scale (5,100 targets in 9 zones).
	maxMarks = 2048
)

// mark is a TargetMark with the local time of its observation in place of Age.
type mark struct {
	port.TargetMark
	observedAt time.Time
	// lastObservedAt is the time of this router's last own observation; it is
	// observedAt if there is none.
	lastObservedAt time.Time
	// listedLeaving is true if the VM list showed the target as leaving to this
	// router.
	listedLeaving bool
}

func (m *mark) export(now time.Time) port.TargetMark {
	out := m.TargetMark
	out.Age = now.Sub(m.observedAt)
	return out
}

// marks holds the marks of leaving and returned targets.
type marks struct {
	byTarget map[string]*mark
	updates  updateQueue
	urgent   updateQueue
}

func newMarks() marks {
	return marks{byTarget: map[string]*mark{}, updates: newUpdateQueue(), urgent: newUpdateQueue()}
}

// observe records an observation of this router made at the given time. An
// unchanged mark is refreshed only after half of its TTL.
func (s *marks) observe(now, at time.Time, target string, inc port.Incarnation, returned bool) {
	old := s.byTarget[target]
	if old == nil && returned {
		return
	}
	in := port.TargetMark{Target: target, Incarnation: inc, Version: uint64(now.UnixMilli()), Returned: returned}
	if old != nil {
		if old.lastObservedAt.After(at) {
			at = old.lastObservedAt
		}
		old.lastObservedAt = at
		if old.covers(in) && now.Sub(old.observedAt) < MarkTTL/2 {
			return
		}
		in.Version = max(in.Version, old.Version+1)
	}
	if s.apply(now, in); s.byTarget[target] != nil {
		s.byTarget[target].lastObservedAt = at
	}
}

// covers reports whether in would add nothing to the mark.
func (m *mark) covers(in port.TargetMark) bool {
	if m.Returned != in.Returned {
		return false
	}
	return in.Returned || m.Incarnation == "" || m.Incarnation == in.Incarnation
}

// observeList applies a target's state in the VM list as of a past time. Later
// observations take precedence, and the list ends a mark only if the list itself
// showed the target as leaving before.
func (s *marks) observeList(now, asOf time.Time, target string, leaving bool) {
	m := s.byTarget[target]
	switch {
	case leaving && (m == nil || !m.Returned || asOf.After(m.lastObservedAt)):
		s.observe(now, asOf, target, "", false)
		if m := s.byTarget[target]; m != nil {
			m.listedLeaving = true
		}
	case !leaving && m != nil && m.listedLeaving && asOf.After(m.lastObservedAt):
		s.observe(now, asOf, target, "", true)
	}
}

// apply merges a mark and reports whether it was applied. A mark that changes the
// state of the target is also queued as urgent.
func (s *marks) apply(now time.Time, in port.TargetMark) bool {
	old := s.byTarget[in.Target]
	if in.Target == "" || in.Age < 0 || in.Age > MarkTTL || old == nil && len(s.byTarget) >= maxMarks {
		return false
	}
	if old != nil && !supersedes(in, old.TargetMark) {
		return false
	}
	changed := old == nil || old.Returned != in.Returned || old.Incarnation != in.Incarnation
	observedAt := now.Add(-in.Age)
	m := &mark{TargetMark: in, observedAt: observedAt, lastObservedAt: observedAt, listedLeaving: old != nil && old.listedLeaving && !in.Returned}
	m.Age = 0
	s.byTarget[in.Target] = m
	s.updates.add(in.Target)
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
		if now.Sub(m.observedAt) > MarkTTL {
			delete(s.byTarget, target)
			s.updates.drop(target)
			s.urgent.drop(target)
		}
	}
}

// fingerprints holds the fingerprints of requests that crash targets, with the
// time when each was reported.
type fingerprints struct {
	reportedAt map[string]time.Time
	updates    updateQueue
	urgent     updateQueue
}

func newFingerprints() fingerprints {
	return fingerprints{reportedAt: map[string]time.Time{}, updates: newUpdateQueue(), urgent: newUpdateQueue()}
}

// apply merges a fingerprint.
func (s *fingerprints) apply(now time.Time, in port.Fingerprint) {
	_, known := s.reportedAt[in.Value]
	if known || in.Value == "" || in.Age < 0 || in.Age > FingerprintTTL || !s.makeRoom(now.Add(-in.Age)) {
		return
	}
	s.reportedAt[in.Value] = now.Add(-in.Age)
	s.updates.add(in.Value)
	s.urgent.add(in.Value)
}

// makeRoom removes the oldest value if there is no room. It returns false if a value
// reported at that time would be the oldest: it would be sent to and fro without end
// between routers that remove it again.
func (s *fingerprints) makeRoom(reportedAt time.Time) bool {
	if len(s.reportedAt) < maxFingerprints {
		return true
	}
	oldest, first := "", reportedAt
	for value, at := range s.reportedAt {
		if at.Before(first) {
			oldest, first = value, at
		}
	}
	if oldest == "" {
		return false
	}
	s.remove(oldest)
	return true
}

func (s *fingerprints) remove(value string) {
	delete(s.reportedAt, value)
	s.updates.drop(value)
	s.urgent.drop(value)
}

func (s *fingerprints) export(now time.Time, value string) port.Fingerprint {
	return port.Fingerprint{Value: value, Age: now.Sub(s.reportedAt[value])}
}

func (s *fingerprints) expire(now time.Time) {
	for value, reportedAt := range s.reportedAt {
		if now.Sub(reportedAt) > FingerprintTTL {
			s.remove(value)
		}
	}
}

// MarkLeaving records an observation of this router that a target is leaving. An
// empty incarnation means any.
func (v *View) MarkLeaving(now time.Time, target string, inc port.Incarnation) {
	v.marks.observe(now, now, target, inc, false)
}

// MarkReturned records an observation of this router that a marked target runs
// again, such as a response from a new incarnation.
func (v *View) MarkReturned(now time.Time, target string) {
	v.marks.observe(now, now, target, "", true)
}

// IsLeaving reports whether the target, or this incarnation of it, is leaving.
func (v *View) IsLeaving(target string, inc port.Incarnation) bool {
	m := v.marks.byTarget[target]
	if m == nil || m.Returned {
		return false
	}
	return m.Incarnation == "" || inc == "" || m.Incarnation == inc
}

// AddFingerprint records a fingerprint found by this router.
func (v *View) AddFingerprint(now time.Time, value string) {
	v.fingerprints.apply(now, port.Fingerprint{Value: value})
}
