package apprunner

import "context"

// FaultKind is the kind of an injected fault.
type FaultKind string

// The faults accepted by POST /control/faults.
const (
	// FaultCrashBeforeEffect closes the connection before the effect.
	FaultCrashBeforeEffect FaultKind = "crash_before_effect"
	// FaultCrashAfterEffect closes the connection after the effect,
	// without a response.
	FaultCrashAfterEffect FaultKind = "crash_after_effect"
	// FaultLate responds DelayMs after the effect.
	FaultLate FaultKind = "late"
	// FaultRefuse responds with 503 and X-Not-Run, without an effect.
	FaultRefuse FaultKind = "refuse"
	// FaultCrash drops all connections; the counted effects are retained.
	FaultCrash FaultKind = "crash"
	// FaultSilent stops all output on the currently open connections for good.
	FaultSilent FaultKind = "silent"
	// FaultClear ends all faults.
	FaultClear FaultKind = "clear"
)

// Fault is the body of POST /control/faults.
type Fault struct {
	Kind    FaultKind `json:"kind"`
	DelayMs int       `json:"delay_ms,omitempty"`
	// Times is the number of calls affected: 0 means one, -1 all until "clear".
	Times int `json:"times,omitempty"`
}

// Inject starts a fault and reports whether its kind is known. The connection
// that ctx belongs to, if any, is not affected.
func (s *Runner) Inject(ctx context.Context, fault Fault) bool {
	switch fault.Kind {
	case FaultCrash:
		s.tracker.Drop(ctx)
		return true
	case FaultSilent:
		s.tracker.Silence(ctx)
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch fault.Kind {
	case FaultClear:
		clear(s.faults)
	case FaultCrashBeforeEffect, FaultCrashAfterEffect, FaultLate, FaultRefuse:
		if fault.Times == 0 {
			fault.Times = 1
		}
		s.faults[fault.Kind] = &fault
	default:
		return false
	}
	return true
}

// take uses the fault once and returns it, or nil if it is not active.
func (s *Runner) take(kind FaultKind) *Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults[kind]
	if f == nil || f.Times == 0 {
		return nil
	}
	if f.Times > 0 {
		f.Times--
	}
	return f
}
