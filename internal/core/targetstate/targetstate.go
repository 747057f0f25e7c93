// Package targetstate keeps what targets say of themselves in their responses and entries.
// It takes the time as a parameter.
package targetstate

import "time"

// Statements holds what one incarnation of a target has said of itself. Nothing in it holds
// for another incarnation, which begins with the zero value.
type Statements struct {
	leavingSince time.Time
	waitUntil    time.Time
}

// Leave records that the target is leaving, and reports whether that is news. A target that
// is leaving does so until it ends: a source that says otherwise is older.
func (s *Statements) Leave(now time.Time) bool {
	if s.Leaving() {
		return false
	}
	s.leavingSince = now
	return true
}

// Leaving reports whether the target is leaving.
func (s *Statements) Leaving() bool { return !s.leavingSince.IsZero() }

// LeavingSince is when the target was first known to leave, zero if it is not leaving.
func (s *Statements) LeavingSince() time.Time { return s.leavingSince }

// Wait records that the target wants no requests from this router for the time, and reports
// whether it waits now that it did not before. Of several waits the one that ends last
// counts: responses overtake each other, and none takes back what another one said.
func (s *Statements) Wait(now time.Time, wait time.Duration) bool {
	waiting := s.WaitLeft(now) > 0
	if until := now.Add(wait); wait > 0 && until.After(s.waitUntil) {
		s.waitUntil = until
	}
	return !waiting && s.WaitLeft(now) > 0
}

// WaitLeft returns the time until the target takes requests from this router, 0 if it does.
func (s *Statements) WaitLeft(now time.Time) time.Duration {
	return max(0, s.waitUntil.Sub(now))
}
