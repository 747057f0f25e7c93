package engine

import (
	"sync"
	"time"
)

// ManualClock is a Clock that only moves when it is told to.
type ManualClock struct {
	mu     sync.Mutex
	now    time.Time
	timers []*manualTimer
}

type manualTimer struct {
	at time.Time
	f  func()
}

// NewManualClock returns a clock that shows the given time.
func NewManualClock(now time.Time) *ManualClock { return &ManualClock{now: now} }

// Now returns the time shown.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// AfterFunc makes Advance call f when the clock has moved by d. Without a wait
// f is called at once, on another goroutine.
func (c *ManualClock) AfterFunc(d time.Duration, f func()) func() bool {
	if d <= 0 {
		go f()
		return func() bool { return false }
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	timer := &manualTimer{at: c.now.Add(d), f: f}
	c.timers = append(c.timers, timer)
	return func() bool { return c.remove(timer) }
}

func (c *ManualClock) remove(timer *manualTimer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, t := range c.timers {
		if t == timer {
			c.timers = append(c.timers[:i], c.timers[i+1:]...)
			return true
		}
	}
	return false
}

// Advance moves the clock by d and calls what falls due, in order of time, each
// at its own time. It returns when all calls have returned.
func (c *ManualClock) Advance(d time.Duration) {
	c.mu.Lock()
	end := c.now.Add(d)
	c.mu.Unlock()
	for {
		timer := c.nextDue(end)
		if timer == nil {
			return
		}
		timer.f()
	}
}

// nextDue takes out the first timer due by end and moves the clock to it, or
// moves the clock to end.
func (c *ManualClock) nextDue(end time.Time) *manualTimer {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := -1
	for i, t := range c.timers {
		if !t.at.After(end) && (first < 0 || t.at.Before(c.timers[first].at)) {
			first = i
		}
	}
	if first < 0 {
		c.now = end
		return nil
	}
	timer := c.timers[first]
	c.timers = append(c.timers[:first], c.timers[first+1:]...)
	if timer.at.After(c.now) {
		c.now = timer.at
	}
	return timer
}
