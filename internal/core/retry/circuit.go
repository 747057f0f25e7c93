package retry

import (
	"sync"
	"time"
)

// Parameters of the circuit breaker.
const (
	// failureThreshold is the number of consecutive failures that open the circuit.
	// One broken connection does not show that a target with many connections has
	// failed.
	failureThreshold = 3
	minOpenTime      = 500 * time.Millisecond
	maxOpenTime      = 15 * time.Second
	// probeTimeout is the time after which a probe or a trial attempt without a
	// result is abandoned and another one is allowed.
	probeTimeout = 10 * time.Second
)

// FailureKind is what a failed attempt shows about its target.
type FailureKind int

// The kinds of failures.
const (
	// AttemptFailed means that the attempt failed; the target may still be healthy.
	AttemptFailed FailureKind = iota
	// TargetDown means that the target does not respond at all.
	TargetDown
)

type circuit struct {
	failures  int
	opens     int
	openUntil time.Time
	// probeStart is the start of the probe in progress, trialStart that of the
	// attempt in progress on the half-open circuit.
	probeStart time.Time
	trialStart time.Time
	halfOpen   bool
	busyUntil  time.Time
}

// Reason is the reason for which a target is temporarily unusable.
type Reason string

// The reasons for which targets are unusable.
const (
	ReasonOpen Reason = "open"
	ReasonBusy Reason = "busy"
)

// Unusable returns the targets that are not Available or that are Busy. It is nil
// when there are none, which is the common case.
func (c *Circuits) Unusable(now time.Time) map[string]Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out map[string]Reason
	for target, s := range c.all {
		reason := ReasonBusy
		if !s.available(now) {
			reason = ReasonOpen
		} else if !now.Before(s.busyUntil) {
			continue
		}
		if out == nil {
			out = map[string]Reason{}
		}
		out[target] = reason
	}
	return out
}

func (s *circuit) available(now time.Time) bool {
	return !s.open() || s.halfOpen && !inProgress(now, s.trialStart)
}

func (s *circuit) open() bool { return !s.openUntil.IsZero() }

func inProgress(now, since time.Time) bool {
	return !since.IsZero() && now.Sub(since) < probeTimeout
}

// Circuits holds one circuit breaker for each target. Only the results of this router's
// own attempts and probes change its state. It is safe for concurrent use.
type Circuits struct {
	mu  sync.Mutex
	all map[string]*circuit
}

// NewCircuits returns Circuits in which every circuit is closed.
func NewCircuits() *Circuits { return &Circuits{all: map[string]*circuit{}} }

// Available reports whether an attempt may be sent to the target: its circuit is
// closed, or it is half-open and no other trial attempt is in progress.
func (c *Circuits) Available(now time.Time, target string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.all[target]
	return s == nil || s.available(now)
}

// ClaimProbe reports whether the target is due for a probe, and claims the probe. The
// caller then probes the target and reports the result to RecordProbe.
func (c *Circuits) ClaimProbe(now time.Time, target string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.all[target]
	if s == nil || !s.open() || s.halfOpen || now.Before(s.openUntil) || inProgress(now, s.probeStart) {
		return false
	}
	s.probeStart = now
	return true
}

// RecordProbe records the result of a probe. If the target responded, its circuit
// becomes half-open and allows one attempt at a time. Otherwise it stays open for twice
// the time.
func (c *Circuits) RecordProbe(now time.Time, target string, responded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.all[target]
	if s == nil || !s.open() {
		return
	}
	s.probeStart = time.Time{}
	if s.halfOpen = responded; !responded {
		s.trip(now)
	}
}

// trip opens the circuit, each time for twice as long as before, up to maxOpenTime.
func (s *circuit) trip(now time.Time) {
	s.openUntil = now.Add(min(minOpenTime<<min(s.opens, 10), maxOpenTime))
	s.opens++
	s.halfOpen = false
	s.trialStart = time.Time{}
}

// Busy reports whether the target recently refused a request for lack of capacity.
func (c *Circuits) Busy(now time.Time, target string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.all[target]
	return s != nil && now.Before(s.busyUntil)
}

// BusyLeft returns how long the target is still skipped after a refusal for lack of capacity.
func (c *Circuits) BusyLeft(now time.Time, target string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.all[target]
	if s == nil {
		return 0
	}
	return max(0, s.busyUntil.Sub(now))
}

// SetBusy records a refusal for lack of capacity. The target is not unhealthy, so the
// state of its circuit does not change.
func (c *Circuits) SetBusy(target string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.get(target)
	s.busyUntil = until
	s.trialStart = time.Time{}
}

// Started records that an attempt was sent. On a half-open circuit it is the trial
// attempt.
func (c *Circuits) Started(now time.Time, target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.all[target]; s != nil && s.halfOpen {
		s.trialStart = now
	}
}

// Ended records an attempt that ended without a result for the circuit, such as a
// cancelled one.
func (c *Circuits) Ended(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.all[target]; s != nil {
		s.trialStart = time.Time{}
	}
}

// Success closes the circuit.
func (c *Circuits) Success(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.all, target)
}

// Failure records a failed attempt. It opens the circuit after several consecutive
// failures, or at once if the target is down. If a trial attempt fails, the circuit
// opens again for twice the time.
func (c *Circuits) Failure(now time.Time, target string, kind FailureKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.get(target)
	s.failures++
	if s.halfOpen || !s.open() && (kind == TargetDown || s.failures >= failureThreshold) {
		s.trip(now)
	}
}

// State is the state of a circuit.
type State string

// The states of circuits.
const (
	StateClosed   State = "closed"
	StateOpen     State = "open"
	StateHalfOpen State = "half_open"
)

// State returns the state of the target's circuit.
func (c *Circuits) State(target string) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.all[target]
	switch {
	case s == nil || !s.open():
		return StateClosed
	case s.halfOpen:
		return StateHalfOpen
	}
	return StateOpen
}

func (c *Circuits) get(target string) *circuit {
	s := c.all[target]
	if s == nil {
		s = &circuit{}
		c.all[target] = s
	}
	return s
}
