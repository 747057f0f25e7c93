package targetstate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a later statement that postpones the time at which a target began to leave.
func TestTheFirstStatementOfLeavingCounts(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	var s Statements
	is.True(!s.Leaving())
	is.True(s.Leave(start))
	is.True(!s.Leave(start.Add(time.Second)))
	is.True(s.Leaving())
	is.Equal(s.LeavingSince(), start)
}

// Guards against a wait that a later, shorter or empty one ends, and against one that lasts
// longer than named.
func TestTheWaitThatEndsLastCounts(t *testing.T) {
	type said struct{ at, wait time.Duration }
	cases := map[string]struct {
		said []said
		end  time.Duration
	}{
		"one":                {[]said{{0, 3 * time.Second}}, 3 * time.Second},
		"a longer one":       {[]said{{0, time.Second}, {500 * time.Millisecond, 3 * time.Second}}, 3500 * time.Millisecond},
		"a shorter one":      {[]said{{0, 3 * time.Second}, {time.Second, time.Second}}, 3 * time.Second},
		"an empty one":       {[]said{{0, 3 * time.Second}, {time.Second, 0}}, 3 * time.Second},
		"a negative one":     {[]said{{0, 3 * time.Second}, {time.Second, -time.Hour}}, 3 * time.Second},
		"one after the last": {[]said{{0, time.Second}, {2 * time.Second, 200 * time.Millisecond}}, 2200 * time.Millisecond},
		"none":               {[]said{{0, 0}, {0, -1}}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(0, 0)
			var s Statements
			end := time.Duration(0)
			for _, w := range c.said {
				news := s.Wait(start.Add(w.at), w.wait)
				is.Equal(news, w.wait > 0 && w.at >= end)
				end = max(end, w.at+max(0, w.wait))
			}
			is.Equal(end, c.end)
			is.Equal(s.WaitLeft(start.Add(c.end)), time.Duration(0))
			if c.end > 0 {
				is.Equal(s.WaitLeft(start.Add(c.end-time.Millisecond)), time.Millisecond)
			}
		})
	}
}
