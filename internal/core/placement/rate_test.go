package placement

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against wrong queue estimates for engines that are slower or faster than the
// default, and against a rate that follows single responses.
func TestPrefillRate(t *testing.T) {
	for name, real := range map[string]float64{"slow engines": 5_000, "default engines": 30_000, "fast engines": 120_000} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r PrefillRate
			is.True(r.TokensPerSecond() == DefaultPrefillTokensPerSecond)
			for range 60 {
				r = r.Observe(4000, 4000/real*1000)
			}
			got := r.TokensPerSecond()
			is.True(got > real/1.5 && got < real*1.5)
			r = r.Observe(4000, 60_000).Observe(100, 1).Observe(4000, 0).Observe(4000, 1e-9)
			is.True(r.TokensPerSecond() > got/1.2)
		})
	}
}
