package retry

import (
	"sync"
	"time"
)

// Thresholds of the circuit breaker.
const (
	// openAfter is the number of consecutive failures that open the circuit. One
	// broken connection is no evidence against a target that serves many.
	openAfter = 3
	openMin   = 500 * time.Millisecond
	openMax   = 15 * time.Second
	// probeLost is the time after which a probe or a trial attempt without a
	// result is given up and another is allowed.
	probeLost = 10 * time.Second
)

// FailureKind is what an attempt showed of its target.
type FailureKind int

// The kinds of evidence.
const (
	// AttemptFailed is a broken attempt on a target that may still be well.
	AttemptFailed FailureKind = iota
	// TargetDown is proof that the target does not answer at all.
	TargetDown
)

type circuit struct {
	failures  int
	opens     int
	openUntil time.Time
	// probing is the start of a probe under way, trial that of an attempt on the
	// half-open circuit.
	probing   time.Time
	trial     time.Time
	halfOpen  bool
	busyUntil time.Time
}

// Reason says why a target is out of use for now.
type Reason string

// The reasons for which targets are out of use.
const (
	ReasonOpen Reason = "open"
	ReasonBusy Reason = "busy"
)

// Unusable returns the targets that are not Available or that are Busy. It is
// nil when there are none, as most of the time.
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
	return !s.open() || s.halfOpen && !underWay(now, s.trial)
}

func (s *circuit) open() bool { return !s.openUntil.IsZero() }

func underWay(now, since time.Time) bool {
	return !since.IsZero() && now.Sub(since) < probeLost
}

// Circuits holds one circuit breaker for each target, fed by direct evidence
// only. It is safe for concurrent use.
type Circuits struct {
	mu  sync.Mutex
	all map[string]*circuit
}

// NewCircuits returns closed circuits.
func NewCircuits() *Circuits { return &Circuits{all: map[string]*circuit{}} }

// Available reports whether the target may get an attempt: its circuit is
// closed, or it is half-open and no other trial attempt is under way.
func (c *Circuits) Available(now time.Time, target string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.all[target]
	return s == nil || s.available(now)
}

// ClaimProbe reports whether the target is due for a probe, and claims it. The
// caller probes the target and reports with Probed.
func (c *Circuits) ClaimProbe(now time.Time, target string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.all[target]
	if s == nil || !s.open() || s.halfOpen || now.Before(s.openUntil) || underWay(now, s.probing) {
		return false
	}
	s.probing = now
	return true
}

// Probed takes the result of a probe. A target that answers becomes half-open:
// one attempt at a time tries it. One that does not stays shut for twice the
// time.
func (c *Circuits) Probed(now time.Time, target string, answers bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.all[target]
	if s == nil || !s.open() {
		return
	}
	s.probing = time.Time{}
	if s.halfOpen = answers; !answers {
		s.shut(now)
	}
}

func (s *circuit) shut(now time.Time) {
	s.openUntil = now.Add(min(openMin<<min(s.opens, 10), openMax))
	s.opens++
	s.halfOpen = false
	s.trial = time.Time{}
}

// Busy reports whether the target lately refused work for lack of capacity.
func (c *Circuits) Busy(now time.Time, target string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.all[target]
	return s != nil && now.Before(s.busyUntil)
}

// SetBusy records a refusal for lack of capacity. It says nothing against the
// health of the target, so the circuit stays as it is.
func (c *Circuits) SetBusy(target string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.get(target)
	s.busyUntil = until
	s.trial = time.Time{}
}

// Started records that an attempt was sent; on a half-open circuit it is the
// trial.
func (c *Circuits) Started(now time.Time, target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.all[target]; s != nil && s.halfOpen {
		s.trial = now
	}
}

// Ended records an attempt that ended without evidence, such as a cancelled
// one.
func (c *Circuits) Ended(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.all[target]; s != nil {
		s.trial = time.Time{}
	}
}

// Success closes the circuit.
func (c *Circuits) Success(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.all, target)
}

// Failure records evidence against the target. It opens the circuit after
// several failures in a row, at once on proof that the target is down, and
// again when a trial attempt fails, for twice the time.
func (c *Circuits) Failure(now time.Time, target string, e FailureKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.get(target)
	s.failures++
	if s.halfOpen || !s.open() && (e == TargetDown || s.failures >= openAfter) {
		s.shut(now)
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
