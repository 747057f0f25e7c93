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

// Guards against a rollout that loads weights on too many targets at once, orders a
// target twice or omits one.
func TestNextTargets(t *testing.T) {
	is := is.New(t)
	desired := map[string]int{"m": 2}
	ids := func(targets []Target) (out string) {
		for _, t := range targets {
			out += t.ID
		}
		return out
	}
	is.Equal(ids(NextTargets(engines(1, 1, 1, 1), desired, false)), "dc")
	is.Equal(ids(NextTargets(engines(2, 2, 2, 1), desired, false)), "d")
	is.Equal(ids(NextTargets(engines(2, 3, 2), desired, false)), "")
	ordered := engines(1, 1, 1, 1)
	ordered[3].OrderPending = true
	is.Equal(ids(NextTargets(ordered, desired, false)), "c")
	ordered[2].OrderPending = true
	is.Equal(ids(NextTargets(ordered, desired, false)), "")
	is.Equal(len(NextTargets(engines(make([]int, 20)...), desired, false)), 4)
	is.Equal(ids(NextTargets(engines(1, 1, 1, 1, 1), desired, true)), "edcb")
	failed := engines(1, 1, 1, 1)
	failed[3].Failures = 1
	is.Equal(ids(NextTargets(failed, desired, false)), "cb")
	is.Equal(ids(NextTargets(engines(1), map[string]int{"other": 2}, false)), "")
}

// Guards against a request that starts on weights older than the limit allows, and
// against overload of the first few targets with new weights.
func TestEligibleTargets(t *testing.T) {
	within := 8 * time.Second
	cases := map[string]struct {
		since    time.Duration
		versions []int
		want     []int
	}{
		"just announced":              {time.Second, []int{1, 1, 2}, []int{0, 1, 2}},
		"a minority is new":           {3 * time.Second, []int{1, 1, 2}, []int{0, 1, 2}},
		"half are new":                {3 * time.Second, []int{1, 2, 1, 2}, []int{1, 3}},
		"limit is near":               {7 * time.Second, []int{1, 1, 2}, []int{2}},
		"none is new, limit is near":  {7 * time.Second, []int{1, 1, 1}, nil},
		"newer than the newest known": {7 * time.Second, []int{3, 1}, []int{0}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(EligibleTargets(c.versions, 2, RequirementAt(c.since, within)), c.want)
		})
	}
	is.New(t).Equal(RequirementAt(time.Hour, 0), AnyVersion)
}

// Guards against a lease that is claimed when no target needs an order.
func TestCountOutdated(t *testing.T) {
	is := is.New(t)
	is.Equal(CountOutdated(engines(2, 1), map[string]int{"m": 2}), 1)
	is.Equal(CountOutdated(engines(2, 3), map[string]int{"m": 2}), 0)
	is.Equal(CountOutdated(engines(1), nil), 0)
}

// Guards against outdated weights whose time limit is extended because newer ones are
// announced before all targets serve the previous ones.
func TestMinVersionPerAnnouncement(t *testing.T) {
	is := is.New(t)
	start := time.Unix(100, 0)
	announced := []AnnouncedVersion{{2, start}, {3, start.Add(4 * time.Second)}, {4, start.Add(8 * time.Second)}}
	for after, want := range map[time.Duration]int{0: 0, 5: 0, 6: 2, 9: 2, 10: 3, 13: 3, 14: 4} {
		is.Equal(MinVersion(announced, start.Add(after*time.Second), 8*time.Second), want)
	}
	is.Equal(MinVersion(announced, start.Add(time.Hour), 0), 0)
}
