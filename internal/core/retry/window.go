package retry

import (
	"sync"
	"time"
)

// windowSlots is the number of parts into which a window is divided.
const windowSlots = 20

// RetryLimiter bounds repeated sends to one service over a sliding window: at most a
// ratio of the requests in it and a fixed allowance. All routers together stay
// within the service's bound when each takes its part of the allowance. It is
// safe for concurrent use.
type RetryLimiter struct {
	mu      sync.Mutex
	length  time.Duration
	slots   [windowSlots]slot
	newest  int64
	started bool
}

type slot struct{ requests, repeats int }

// NewRetryLimiter returns an empty window of the given length.
func NewRetryLimiter(length time.Duration) *RetryLimiter { return &RetryLimiter{length: length} }

// CountRequest counts a request at its first send.
func (w *RetryLimiter) CountRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now).requests++
}

// AllowRetry reports whether one more send is within the bound, and counts it.
func (w *RetryLimiter) AllowRetry(now time.Time, ratio, allowance float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.advance(now)
	var sum slot
	oldest := (w.newest + 1) % windowSlots
	for i, s := range w.slots {
		sum.repeats += s.repeats
		// A part of the oldest slot has left the window.
		if int64(i) != oldest {
			sum.requests += s.requests
		}
	}
	if float64(sum.repeats+1) > ratio*float64(sum.requests)+allowance {
		return false
	}
	current.repeats++
	return true
}

// advance clears the slots that have left the window and returns the current one.
func (w *RetryLimiter) advance(now time.Time) *slot {
	// One slot less than all covers the window at any phase.
	at := now.UnixNano() / int64(w.length/(windowSlots-1))
	if !w.started || at-w.newest >= windowSlots {
		w.slots = [windowSlots]slot{}
		w.started, w.newest = true, at
	}
	for w.newest < at {
		w.newest++
		w.slots[w.newest%windowSlots] = slot{}
	}
	return &w.slots[w.newest%windowSlots]
}
