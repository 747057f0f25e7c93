package engine

import (
	"sync"
	"time"
)

// ManualClock is a Clock that moves only on Advance.
type ManualClock struct {
	mu     sync.Mutex
	now    time.Time
	timers []*manualTimer
}

type manualTimer struct {
	at time.Time
	f  func()
}

// NewManualClock returns a clock set to the given time.
func NewManualClock(now time.Time) *ManualClock { return &ManualClock{now: now} }

// Now returns the clock's time.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// AfterFunc makes Advance call f once the clock has moved by d. If d is not
// positive, f is called immediately on another goroutine.
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

// Advance moves the clock by d and runs the callbacks that fall due, in order,
// each with the clock at its due time. It returns when all callbacks have
// returned.
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

// nextDue removes the first timer due by end and moves the clock to its due
// time. Without such a timer it moves the clock to end and returns nil.
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
