package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func engines(versions ...int) []Target {
	var out []Target
	for i, v := range versions {
		out = append(out, Target{ID: string(rune('a' + i)), Model: "m", Version: v, InFlight: 10 - i})
	}
	return out
}

// Guards against a roll-out that takes too many targets at once, orders one twice
// or leaves one out.
func TestNext(t *testing.T) {
	is := is.New(t)
	wanted := map[string]int{"m": 2}
	ids := func(targets []Target) (out string) {
		for _, t := range targets {
			out += t.ID
		}
		return out
	}
	is.Equal(ids(Next(engines(1, 1, 1, 1), wanted, false)), "dc")
	is.Equal(ids(Next(engines(2, 2, 2, 1), wanted, false)), "d")
	is.Equal(ids(Next(engines(2, 3, 2), wanted, false)), "")
	ordered := engines(1, 1, 1, 1)
	ordered[3].Ordered = true
	is.Equal(ids(Next(ordered, wanted, false)), "c")
	ordered[2].Ordered = true
	is.Equal(ids(Next(ordered, wanted, false)), "")
	is.Equal(len(Next(engines(make([]int, 20)...), wanted, false)), 4)
	is.Equal(ids(Next(engines(1, 1, 1, 1, 1), wanted, true)), "edcb")
	failed := engines(1, 1, 1, 1)
	failed[3].Failures = 1
	is.Equal(ids(Next(failed, wanted, false)), "cb")
	is.Equal(ids(Next(engines(1), map[string]int{"other": 2}, false)), "")
}

// Guards against a request that begins on weights older than the bound, and
// against a few new targets that get the load of all.
func TestSuitable(t *testing.T) {
	within := 8 * time.Second
	cases := map[string]struct {
		since    time.Duration
		versions []int
		want     []int
	}{
		"just named":             {time.Second, []int{1, 1, 2}, []int{0, 1, 2}},
		"few are new":            {3 * time.Second, []int{1, 1, 2}, []int{0, 1, 2}},
		"half are new":           {3 * time.Second, []int{1, 2, 1, 2}, []int{1, 3}},
		"the bound is near":      {7 * time.Second, []int{1, 1, 2}, []int{2}},
		"none is new, too late":  {7 * time.Second, []int{1, 1, 1}, nil},
		"newer than was learned": {7 * time.Second, []int{3, 1}, []int{0}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(Suitable(c.versions, 2, NeedAt(c.since, within)), c.want)
		})
	}
	is.New(t).Equal(NeedAt(time.Hour, 0), AnyWeights)
}

// Guards against a lease that is claimed without an order to give.
func TestBehind(t *testing.T) {
	is := is.New(t)
	is.True(Behind(engines(2, 1), map[string]int{"m": 2}))
	is.True(!Behind(engines(2, 3), map[string]int{"m": 2}))
	is.True(!Behind(engines(1), nil))
}

// Guards against weights that get more time because newer ones are named before
// all targets serve those named last.
func TestFloorFollowsEachNaming(t *testing.T) {
	is := is.New(t)
	start := time.Unix(100, 0)
	namings := []Naming{{2, start}, {3, start.Add(4 * time.Second)}, {4, start.Add(8 * time.Second)}}
	for after, want := range map[time.Duration]int{0: 0, 5: 0, 6: 2, 9: 2, 10: 3, 13: 3, 14: 4} {
		is.Equal(Floor(namings, start.Add(after*time.Second), 8*time.Second), want)
	}
	is.Equal(Floor(namings, start.Add(time.Hour), 0), 0)
}
