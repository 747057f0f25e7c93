package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets into which a window is divided.
const windowBuckets = 20

// RetryLimiter limits the retries sent to one service over a sliding window: at most
// a ratio of the requests in the window plus a fixed allowance. All routers together
// stay within the service's limit if each uses its share of the allowance. It is
// safe for concurrent use.
type RetryLimiter struct {
	mu      sync.Mutex
	length  time.Duration
	buckets [windowBuckets]bucket
	newest  int64
	started bool
}

type bucket struct{ requests, retries int }

// NewRetryLimiter returns a RetryLimiter with an empty window of the given length.
func NewRetryLimiter(length time.Duration) *RetryLimiter { return &RetryLimiter{length: length} }

// CountRequest counts a request when it is first sent.
func (w *RetryLimiter) CountRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now).requests++
}

// AllowRetry reports whether one more retry is within the limit, and if so counts it.
func (w *RetryLimiter) AllowRetry(now time.Time, ratio, allowance float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.advance(now)
	var sum bucket
	oldest := (w.newest + 1) % windowBuckets
	for i, s := range w.buckets {
		sum.retries += s.retries
		// The oldest bucket is only partly inside the window.
		if int64(i) != oldest {
			sum.requests += s.requests
		}
	}
	if float64(sum.retries+1) > ratio*float64(sum.requests)+allowance {
		return false
	}
	current.retries++
	return true
}

// advance clears the buckets that are outside the window and returns the current one.
func (w *RetryLimiter) advance(now time.Time) *bucket {
	// All buckets but one span the window, so that they cover it at any phase.
	at := now.UnixNano() / int64(w.length/(windowBuckets-1))
	if !w.started || at-w.newest >= windowBuckets {
		w.buckets = [windowBuckets]bucket{}
		w.started, w.newest = true, at
	}
	for w.newest < at {
		w.newest++
		w.buckets[w.newest%windowBuckets] = bucket{}
	}
	return &w.buckets[w.newest%windowBuckets]
}
