package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against a router that starts after the crashes and does not know them as different ones.
func TestStartingRouterLearnsTheQuarantine(t *testing.T) {
	is := is.New(t)
	f := newSegmentFleet(1)
	type report struct {
		value string
		at    time.Time
	}
	var reports []report
	f.routers[0].SetReport(func(value string) { reports = append(reports, report{value, f.now}) })
	for range 3 {
		f.crashUnder(1, 77)
		f.crash(0, prompt(1, 2))
	}
	f.now = f.now.Add(time.Minute)
	starting := NewSegmentTracker()
	var snapshot []port.Fingerprint
	for _, r := range reports {
		snapshot = append(snapshot, port.Fingerprint{Value: r.value, Age: f.now.Sub(r.at)})
	}
	starting.Receive(f.now, snapshot)
	segments, found := starting.Quarantined(f.now, 77, nil)
	is.True(found)
	is.Equal(len(segments), 0) // the request itself
	_, found = starting.Quarantined(f.now, 0, prompt(1, 2))
	is.True(found)
}

// Guards against a request that is quarantined for the crashes of another one, or of no one.
func TestRequestThatCrashesTargetsIsQuarantined(t *testing.T) {
	const deadly, often, other Fingerprint = 7, 8, 9
	cases := map[string]struct {
		steps func(f *segmentFleet)
		want  []Fingerprint
	}{
		"alone": {func(f *segmentFleet) { f.crashUnder(3, deadly) }, []Fingerprint{deadly}},
		"twice": {func(f *segmentFleet) { f.crashUnder(2, deadly) }, nil},
		"beside others": {func(f *segmentFleet) {
			f.crashUnder(1, deadly, often)
			f.crashUnder(1, deadly, other)
			f.crashUnder(1, deadly, often)
		}, []Fingerprint{deadly}},
		"beside one that was answered": {func(f *segmentFleet) {
			f.answerTo(often)
			f.crashUnder(6, deadly, often)
		}, []Fingerprint{deadly}},
		"cannot be told apart":          {func(f *segmentFleet) { f.crashUnder(3, deadly, other) }, nil},
		"cannot be told apart for long": {func(f *segmentFleet) { f.crashUnder(4, deadly, other) }, []Fingerprint{deadly, other}},
		"two that share crashes": {func(f *segmentFleet) {
			f.crashUnder(3, deadly, other)
			f.crashUnder(1, deadly)
			f.crashUnder(1, other)
		}, []Fingerprint{deadly, other}},
		"answered between": {func(f *segmentFleet) {
			for range 3 {
				f.crashUnder(1, often)
				f.answerTo(often)
			}
		}, nil},
		"answered once": {func(f *segmentFleet) {
			f.crashUnder(2, deadly)
			f.answerTo(deadly)
			f.crashUnder(2, deadly)
		}, []Fingerprint{deadly}},
		"targets lost at once": {func(f *segmentFleet) {
			for range 6 {
				f.crashUnder(1, often)
				f.now = f.now.Add(-settleTime)
			}
			f.now = f.now.Add(settleTime)
		}, nil},
		"expired": {func(f *segmentFleet) {
			f.crashUnder(3, deadly)
			f.now = f.now.Add(suspectTTL)
		}, nil},
	}
	for name, c := range cases {
		for _, routers := range []int{1, 7} {
			t.Run(fmt.Sprint(name, ", ", routers, " routers"), func(t *testing.T) {
				is := is.New(t)
				f := newSegmentFleet(routers)
				c.steps(f)
				for _, r := range f.routers {
					var got []Fingerprint
					for _, request := range []Fingerprint{deadly, often, other} {
						if _, found := r.Quarantined(f.now, request, nil); found {
							got = append(got, request)
						}
					}
					is.Equal(got, c.want)
				}
			})
		}
	}
}

// crashUnder lets targets crash one after the other, each under these requests.
func (f *segmentFleet) crashUnder(targets int, requests ...Fingerprint) {
	for range targets {
		f.crashes++
		target := fmt.Sprint("p", f.crashes)
		for _, request := range requests {
			f.start(target, request)(false)
		}
		for _, r := range f.routers {
			r.TargetEnded(f.now, target, "1", true)
		}
		f.now = f.now.Add(settleTime)
	}
}

func (f *segmentFleet) answerTo(request Fingerprint) {
	f.now = f.now.Add(time.Millisecond)
	f.start("sound", request)(true)
}

// Guards against evidence from the loss of an entry that is kept when the entry comes back, and
// against attempts that end, or whose target's end is known, in another order.
func TestEndsKnownFromEntries(t *testing.T) {
	is := is.New(t)
	r := NewSegmentTracker()
	now := t0
	lose := func(target string, endFirst, restored bool) {
		r.Start(now, target, "1", "a", 7, nil)
		if endFirst {
			r.TargetEnded(now, target, "1", false)
		}
		r.Ended(now, target, "a", Unanswered)
		r.TargetEnded(now, target, "1", false)
		if restored {
			r.TargetRestored(target, "1")
		}
		now = now.Add(settleTime)
	}
	for i := range 4 {
		lose(fmt.Sprint("restored", i), false, true)
	}
	_, found := r.Quarantined(now, 7, nil)
	is.True(!found)
	for i := range 3 {
		lose(fmt.Sprint("gone", i), i%2 == 0, false)
	}
	_, found = r.Quarantined(now, 7, nil)
	is.True(found)
}

// Guards against copies of a request that are sent to many targets before the first ones are
// known to have ended, and against holding back a request that was answered before.
func TestRequestInDoubtRunsOneAttemptAtATime(t *testing.T) {
	is := is.New(t)
	r := NewSegmentTracker()
	now := t0
	for i := range 2 {
		is.True(r.Start(now, fmt.Sprint(i), "1", "a", 7, nil))
		r.Ended(now, fmt.Sprint(i), "a", Unanswered)
	}
	is.True(r.Start(now, "2", "1", "b", 7, nil))
	is.True(!r.Start(now, "3", "1", "c", 7, nil))
	is.True(r.Start(now, "3", "1", "d", 8, nil))
	r.Ended(now, "2", "b", Unjudged)
	for i := range 2 {
		r.TargetEnded(now, fmt.Sprint(i), "1", true)
	}
	is.True(r.Start(now, "2", "1", "e", 7, nil))
	r.Ended(now, "2", "e", Unanswered)
	is.True(!r.Start(now, "3", "1", "f", 7, nil)) // the end of 2 would be the third one
	now = now.Add(time.Second)
	is.True(r.Start(now, "2", "1", "g", 8, nil))
	r.Ended(now, "2", "g", Answered)
	is.True(r.Start(now, "3", "1", "h", 7, nil))
	r.Ended(now, "3", "h", Answered)
	is.True(r.Start(now, "3", "1", "i", 7, nil) && r.Start(now, "2", "1", "j", 7, nil))
}

// Guards against targets that count as ended because they name no incarnation, and against an
// attempt that is not charged because its incarnation became known after its start.
func TestEndsKnownFromIncarnations(t *testing.T) {
	is := is.New(t)
	r := NewSegmentTracker()
	now := t0
	lose := func(target, known, observed string) {
		r.Start(now, target, "", "a", 7, nil)
		r.SetIncarnation(target, "a", "1")
		r.SetIncarnation(target, "a", known)
		r.Ended(now, target, "a", Unanswered)
		now = now.Add(time.Second)
		r.IncarnationObserved(now, target, observed)
		now = now.Add(settleTime)
	}
	for i := range 4 {
		lose(fmt.Sprint("same", i), "", "1")
		lose(fmt.Sprint("none", i), "", "")
	}
	_, found := r.Quarantined(now, 7, nil)
	is.True(!found)
	for i := range 3 {
		now = now.Add(unansweredTTL)
		lose(fmt.Sprint("other", i), "", "2")
	}
	_, found = r.Quarantined(now, 7, nil)
	is.True(found)
}
