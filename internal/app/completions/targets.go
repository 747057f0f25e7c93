package completions

import (
	"sync"
	"sync/atomic"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/port"
)

// TargetState is the observed state of a target.
type TargetState struct {
	// Incarnation and WeightsVersion are the last observed values; empty if
	// unknown.
	Incarnation    port.Incarnation
	WeightsVersion string
	// ColdUntil is the end of the slow start after a restart.
	ColdUntil time.Time
	// Leaving is set for targets that get no new requests.
	Leaving bool
}

// TargetView provides the observed states of targets by address.
type TargetView interface {
	State(target string) TargetState
	// Revision changes with every change of any state.
	Revision() uint64
	// Observe records the incarnation and the weights version that a target
	// reported, and the slow start that applies after a restart.
	Observe(target string, inc port.Incarnation, weights string, coldStart time.Duration)
	// Forget drops the observed state of a target that is known to have changed.
	Forget(target string)
}

// Targets is a TargetView that holds what this router observed itself. It is safe
// for concurrent use.
type Targets struct {
	clock  port.Clock
	placer placement.Placer

	mu       sync.RWMutex
	states   map[string]TargetState
	revision atomic.Uint64
}

// NewTargets returns an empty view that drops a target's cached blocks from
// the placer when it observes another incarnation or other weights.
func NewTargets(clock port.Clock, placer placement.Placer) *Targets {
	return &Targets{clock: clock, placer: placer, states: map[string]TargetState{}}
}

// State returns the observed state of the target.
func (t *Targets) State(target string) TargetState {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.states[target]
}

// Revision returns a number that changes with every change of any state.
func (t *Targets) Revision() uint64 { return t.revision.Load() }

// set stores the state and increments the revision if the state changed.
func (t *Targets) set(target string, s TargetState) {
	if old, known := t.states[target]; !known || old != s {
		t.states[target] = s
		t.revision.Add(1)
	}
}

// Observe records the incarnation and weights version that a target reported.
func (t *Targets) Observe(target string, inc port.Incarnation, weights string, coldStart time.Duration) {
	t.mu.Lock()
	s := t.states[target]
	restarted := inc != "" && s.Incarnation != "" && s.Incarnation != inc
	reloaded := weights != "" && s.WeightsVersion != "" && s.WeightsVersion != weights
	if inc != "" {
		s.Incarnation = inc
	}
	if weights != "" {
		s.WeightsVersion = weights
	}
	if restarted {
		s.ColdUntil = t.clock.Now().Add(coldStart)
	}
	t.set(target, s)
	t.mu.Unlock()
	if restarted || reloaded {
		t.placer.DropCache(target)
	}
}

// Forget drops the incarnation and weights of the target and its cached blocks.
func (t *Targets) Forget(target string) {
	t.mu.Lock()
	s := t.states[target]
	s.Incarnation, s.WeightsVersion = "", ""
	t.set(target, s)
	t.mu.Unlock()
	t.placer.DropCache(target)
}

// SetLeaving marks the targets with the given addresses as leaving and clears the
// mark of all others.
func (t *Targets) SetLeaving(leaving map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address := range leaving {
		if _, known := t.states[address]; !known {
			t.set(address, TargetState{})
		}
	}
	for address, s := range t.states {
		s.Leaving = leaving[address]
		t.set(address, s)
	}
}
