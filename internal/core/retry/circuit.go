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
	// probeLost is the time after which a half-open probe without a result is
	// given up and another is allowed.
	probeLost = 10 * time.Second
)

// Evidence is what an attempt showed of its target.
type Evidence int

// The kinds of evidence.
const (
	// Failed is a broken attempt on a target that may still be well.
	Failed Evidence = iota
	// Down is proof that the target does not answer at all.
	Down
)

type circuit struct {
	failures  int
	opens     int
	openUntil time.Time
	probing   time.Time
	busyUntil time.Time
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
// closed, or it is half-open and no probe is under way.
func (c *Circuits) Available(now time.Time, target string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.all[target]
	if s == nil || s.openUntil.IsZero() {
		return true
	}
	return !now.Before(s.openUntil) && (s.probing.IsZero() || now.Sub(s.probing) > probeLost)
}

// HalfOpen reports whether the next attempt on the target is a probe.
func (c *Circuits) HalfOpen(target string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.all[target]
	return s != nil && !s.openUntil.IsZero()
}

// Busy reports whether the target lately refused work for lack of capacity.
func (c *Circuits) Busy(now time.Time, target string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.all[target]
	return s != nil && now.Before(s.busyUntil)
}

// SetBusy records a refusal for lack of capacity. It says nothing against the
// health of the target, so the circuit stays as it is, but a probe has ended.
func (c *Circuits) SetBusy(target string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.get(target)
	s.busyUntil = until
	s.probing = time.Time{}
}

// Started records that an attempt was sent; on a half-open circuit it is the
// probe.
func (c *Circuits) Started(now time.Time, target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.all[target]; s != nil && !s.openUntil.IsZero() {
		s.probing = now
	}
}

// Ended records an attempt that ended without evidence, such as a cancelled
// one.
func (c *Circuits) Ended(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.all[target]; s != nil {
		s.probing = time.Time{}
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
// again when a probe fails, for twice the time.
func (c *Circuits) Failure(now time.Time, target string, e Evidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.get(target)
	s.failures++
	halfOpen := !s.openUntil.IsZero() && !now.Before(s.openUntil)
	closed := s.openUntil.IsZero()
	if halfOpen || closed && (e == Down || s.failures >= openAfter) {
		s.openUntil = now.Add(min(openMin<<min(s.opens, 10), openMax))
		s.opens++
	}
	s.probing = time.Time{}
}

func (c *Circuits) get(target string) *circuit {
	s := c.all[target]
	if s == nil {
		s = &circuit{}
		c.all[target] = s
	}
	return s
}
