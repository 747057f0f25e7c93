package portfake

import (
	"sync"
	"time"
)

// Clock is a port.Clock that advances only when Advance is called.
type Clock struct {
	mu  sync.Mutex
	now time.Time
}

// NewClock returns a clock set to the given time.
func NewClock(now time.Time) *Clock { return &Clock{now: now} }

// Now implements port.Clock.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock forward by d.
func (c *Clock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}
