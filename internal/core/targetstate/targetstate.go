// Package targetstate keeps what targets say of themselves in their responses and entries.
// It takes the time as a parameter.
package targetstate

import "time"

// Statements holds what one incarnation of a target has said of itself. Nothing in it holds
// for another incarnation, which begins with the zero value.
type Statements struct {
	leavingSince time.Time
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
