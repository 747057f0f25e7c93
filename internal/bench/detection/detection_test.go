package detection

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a detector that counts a probe within its limit as a failure or
// misses one beyond it.
func TestApplyCountsAnswersBeyondTheLimit(t *testing.T) {
	multiples, fixed := detectors()[0], detectors()[2]
	cases := map[string]struct {
		detector                 detector
		trips                    []float64
		link                     float64
		suspicions, failovers    int
		detection, longestTripMs float64
	}{
		"over 25 round trips": {multiples, []float64{1, 1, 27}, 0, 1, 0, 30, 27},
		"over 30 round trips": {multiples, []float64{1, 1, 31}, 0, 1, 1, 30, 31},
		"a longer link":       {multiples, []float64{1, 1, 31}, 24, 0, 0, 750, 55},
		"fixed, under":        {fixed, []float64{1, 1, 99}, 0, 0, 0, 100, 99},
		"fixed, over":         {fixed, []float64{1, 1, 101}, 0, 1, 1, 100, 101},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := apply(c.detector, c.trips, Load{}, c.link)
			is.Equal(r.FalseSuspicions, c.suspicions)
			is.Equal(r.FalseFailovers, c.failovers)
			is.Equal(r.DetectionMs, c.detection)
			is.Equal(r.RoundTripMaxMs, c.longestTripMs)
		})
	}
}
