package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against more repeats than the bound in any window, whatever its phase.
func TestWindowHoldsInEveryWindow(t *testing.T) {
	const length, ratio, allowance = 10 * time.Second, 0.2, 5.0
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := NewRetryLimiter(length)
		now := time.Unix(1000, 0)
		var requests, repeats []time.Time
		for range 4000 {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(20*time.Millisecond)))
			if rng.IntN(2) == 0 {
				w.CountRequest(now)
				requests = append(requests, now)
			} else if w.AllowRetry(now, ratio, allowance) {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			from := end.Add(-length)
			in, asked := count(repeats, from, end), count(requests, from, end)
			if float64(in) > ratio*float64(asked)+allowance {
				t.Fatalf("seed %d: %d repeats in a window with %d requests", seed, in, asked)
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

// Guards against a quiet time that pays for a storm of repeats.
func TestWindowForgets(t *testing.T) {
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
