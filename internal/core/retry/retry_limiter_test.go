package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against more retries than the limit in any window, whatever its phase.
func TestRetryLimiterHoldsInEveryWindow(t *testing.T) {
	const length, ratio, allowance = 10 * time.Second, 0.2, 5.0
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := NewRetryLimiter(length)
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range 4000 {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(20*time.Millisecond)))
			if rng.IntN(2) == 0 {
				w.CountRequest(now)
				requests = append(requests, now)
			} else if w.AllowRetry(now, ratio, allowance) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			from := end.Add(-length)
			in, sent := count(retries, from, end), count(requests, from, end)
			if float64(in) > ratio*float64(sent)+allowance {
				t.Fatalf("seed %d: %d retries in a window with %d requests", seed, in, sent)
			}
		}
	}
}

func count(times []time.Time, after, until time.Time) (n int) {
	for _, at := range times {
		if at.After(after) && !at.After(until) {
			n++
		}
	}
	return n
}

// Guards against a retry storm funded by requests that have left the window.
func TestRetryLimiterDropsOldRequests(t *testing.T) {
	is := is.New(t)
	w := NewRetryLimiter(10 * time.Second)
	now := time.Unix(1000, 0)
	for range 100 {
		w.CountRequest(now)
	}
	now = now.Add(time.Minute)
	is.True(w.AllowRetry(now, 0.2, 1))
	is.True(!w.AllowRetry(now, 0.2, 1))
	now = now.Add(11 * time.Second)
	is.True(w.AllowRetry(now, 0.2, 1))
}
