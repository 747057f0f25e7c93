package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// segmentFleet is a set of routers that exchange their evidence at once.
type segmentFleet struct {
	routers  []*SegmentTracker
	now      time.Time
	attempts int
	crashes  int
}

func newSegmentFleet(n int) *segmentFleet {
	f := &segmentFleet{now: t0}
	for i := range n {
		r := NewSegmentTracker()
		r.SetReport(func(value string) {
			for j, peer := range f.routers {
				if j != i {
					peer.Receive(f.now, []port.Fingerprint{{Value: value}})
				}
			}
		})
		f.routers = append(f.routers, r)
	}
	return f
}

// start runs a request on a target by the next router in turn.
func (f *segmentFleet) start(target string, request Fingerprint, segments ...SegmentHash) (end func(complete bool)) {
	f.attempts++
	r, id := f.routers[f.attempts%len(f.routers)], fmt.Sprint(f.attempts)
	r.Start(f.now, target, "1", id, request, segments)
	return func(complete bool) {
		if complete {
			f.now = f.now.Add(time.Millisecond)
			r.Answering(f.now, target, id)
			r.Ended(f.now, target, id, Answered)
			return
		}
		r.Ended(f.now, target, id, Unanswered)
	}
}

// crash lets a target crash with these prompts on it, each of another request but the
// first if request is set. The next crash comes when this one has settled.
func (f *segmentFleet) crash(request Fingerprint, prompts ...[]SegmentHash) {
	f.crashes++
	target := fmt.Sprint("e", f.crashes)
	var ends []func(bool)
	for i, p := range prompts {
		fp := request
		if i > 0 || fp == 0 {
			fp = Fingerprint(1000 + f.attempts)
		}
		ends = append(ends, f.start(target, fp, p...))
	}
	for _, r := range f.routers {
		r.TargetEnded(f.now, target, "1", true)
		r.TargetEnded(f.now, target, "1", true) // each broken response reports the end
	}
	for _, end := range ends {
		end(false)
	}
	f.now = f.now.Add(settleTime)
}

func (f *segmentFleet) answer(segments ...SegmentHash) {
	f.attempts++
	f.start("sound", Fingerprint(1000+f.attempts), segments...)(true)
}

// refuses reports whether a request with the prompt is refused, the same on all routers.
func (f *segmentFleet) refuses(is *is.I, segments []SegmentHash) bool {
	is.Helper()
	_, first := f.routers[0].Quarantined(f.now, 0, segments)
	for _, r := range f.routers {
		_, found := r.Quarantined(f.now, 0, segments)
		is.Equal(found, first)
	}
	return first
}

func (f *segmentFleet) evaluate() {
	for _, r := range f.routers {
		r.Quarantined(f.now, 0, nil)
	}
}

func prompt(segments ...SegmentHash) []SegmentHash { return segments }

func prompts(list ...[]SegmentHash) [][]SegmentHash { return list }

// Guards against different requests that crash one target after the other because they
// share a prompt segment, and against a quarantine of the segments around it.
func TestSegmentThatCrashesTargetsIsQuarantined(t *testing.T) {
	cases := map[string]struct {
		steps         func(f *segmentFleet)
		refused, sent [][]SegmentHash
	}{
		"last shared segment": {func(f *segmentFleet) {
			for i := range SegmentHash(3) {
				f.crash(0, prompt(1, 2, 3), prompt(1, 10+i), prompt(20+i))
			}
		}, prompts(prompt(1, 2, 3), prompt(1, 2, 3, 30)), prompts(prompt(1, 2), prompt(1, 3), prompt(2, 3), prompt(1, 30))},
		"the others are answered": {func(f *segmentFleet) {
			for range 3 {
				f.crash(0, prompt(1, 2, 3))
			}
			f.answer(1, 2, 30)
		}, prompts(prompt(1, 2, 3), prompt(3), prompt(3, 30)), prompts(prompt(1, 2), prompt(1, 30))},
		"the others are answered, in another order": {func(f *segmentFleet) {
			for range 3 {
				f.crash(0, prompt(3, 1, 2))
			}
			f.answer(30, 2, 1)
		}, prompts(prompt(1, 2, 3), prompt(3), prompt(30, 3)), prompts(prompt(1, 2), prompt(1, 30))},
		"some of the others crash": {func(f *segmentFleet) {
			for range 3 {
				f.crash(0, prompt(1, 2, 3))
			}
			f.evaluate()
			f.crash(0, prompt(30, 2))
			f.crash(0, prompt(2, 31))
		}, prompts(prompt(1, 2, 3), prompt(2), prompt(2, 30)), prompts(prompt(1, 3), prompt(1, 30), prompt(3, 30))},
		"beside one that shares a segment": {func(f *segmentFleet) {
			for range ambiguousCrashes - 1 {
				f.crash(0, prompt(1, 2), prompt(3, 2))
			}
		}, nil, prompts(prompt(1, 2), prompt(3, 2))},
		"beside one that shares a segment, answered": {func(f *segmentFleet) {
			for range 3 {
				f.crash(0, prompt(1, 2), prompt(3, 2))
			}
			f.answer(3, 2)
		}, prompts(prompt(1), prompt(1, 2)), prompts(prompt(3, 2), prompt(2, 30))},
		"first segment": {func(f *segmentFleet) {
			for i := range SegmentHash(3) {
				f.crash(0, prompt(1, 10+i, 20+i))
			}
		}, prompts(prompt(1), prompt(1, 30)), prompts(prompt(10), prompt(10, 20))},
		"first segment, mostly with the same second one": {func(f *segmentFleet) {
			for range 3 {
				f.crash(0, prompt(1, 2))
			}
			f.crash(0, prompt(1, 12))
			f.crash(0, prompt(1, 13))
		}, prompts(prompt(1, 2), prompt(1, 30)), prompts(prompt(2, 30))},
		"two at once": {func(f *segmentFleet) {
			for i := range SegmentHash(3) {
				f.crash(0, prompt(1, 2), prompt(1, 10+i))
				f.answer(1, 20)
				f.crash(0, prompt(1, 5, 6), prompt(1, 13+i))
				f.answer(1, 5)
			}
		}, prompts(prompt(2), prompt(6), prompt(1, 5, 6)), prompts(prompt(1, 5))},
		"two at once behind one that is not answered": {func(f *segmentFleet) {
			for range 3 {
				f.crash(0, prompt(1, 2))
			}
			f.evaluate()
			f.crash(0, prompt(1, 6))
		}, prompts(prompt(1, 2)), prompts(prompt(1, 30), prompt(1, 6), prompt(2, 30))},
		"two that share crashes": {func(f *segmentFleet) {
			f.crash(0, prompt(1))
			f.crash(0, prompt(1), prompt(2))
			f.crash(0, prompt(1), prompt(2))
			f.evaluate()
			f.crash(0, prompt(2), prompt(3))
			f.crash(0, prompt(2))
			f.crash(0, prompt(2))
		}, prompts(prompt(1), prompt(2)), prompts(prompt(3))},
		"both on each crashed target": {func(f *segmentFleet) {
			for range 3 {
				f.crash(0, prompt(1, 2), prompt(4, 5))
			}
			f.crash(0, prompt(4, 5))
		}, prompts(prompt(4, 5)), prompts(prompt(1, 2), prompt(4, 30), prompt(5, 30))},
		"in different requests": {func(f *segmentFleet) {
			for range ambiguousCrashes - 1 {
				f.crash(0, prompt(1, 2), prompt(4, 5))
			}
		}, nil, prompts(prompt(1, 2), prompt(4, 5))},
		"answers begin on it": {func(f *segmentFleet) {
			for range 4 {
				f.crash(0, prompt(1, 2))
				f.answer(1, 2)
			}
		}, nil, prompts(prompt(1, 2))},
		"one request repeated": {func(f *segmentFleet) {
			for range 8 {
				f.crash(77, prompt(1, 2))
			}
		}, nil, prompts(prompt(1, 2))},
		"one request repeated, then others": {func(f *segmentFleet) {
			for range 3 {
				f.crash(77, prompt(1, 2), prompt(1, 2))
			}
			f.crash(0, prompt(1, 2))
		}, prompts(prompt(1, 2)), prompts(prompt(1, 30))},
		"two requests repeated": {func(f *segmentFleet) {
			for i := range ambiguousCrashes {
				f.crash(Fingerprint(77+i%2), prompt(1, 2))
			}
		}, prompts(prompt(1, 2)), prompts(prompt(1, 30))},
		"one request repeated beside others": {func(f *segmentFleet) {
			for range 3 {
				f.crash(77, prompt(4, 5), prompt(1))
			}
		}, nil, prompts(prompt(4, 5), prompt(1))},
		"three targets lost at once": {func(f *segmentFleet) {
			for range 3 {
				f.crash(0, prompt(1, 2), prompt(1, 2))
				f.now = f.now.Add(-settleTime)
			}
			f.now = f.now.Add(settleTime)
		}, nil, prompts(prompt(1, 2))},
		"two crashes": {func(f *segmentFleet) {
			f.crash(0, prompt(1, 2))
			f.crash(0, prompt(1, 2), prompt(1, 2))
		}, nil, prompts(prompt(1, 2))},
		"answer after the quarantine": {func(f *segmentFleet) {
			end := func(bool) {}
			for range 3 {
				f.crash(0, prompt(1, 2))
				f.now = f.now.Add(time.Millisecond)
				end = f.start("sound", 5, 1, 2)
			}
			f.evaluate()
			end(true)
		}, nil, prompts(prompt(1, 2))},
		"expired after the quarantine": {func(f *segmentFleet) {
			for range 3 {
				f.crash(0, prompt(1, 2))
			}
			f.evaluate()
			f.now = f.now.Add(quarantineTTL)
		}, nil, prompts(prompt(1, 2))},
		"expired": {func(f *segmentFleet) {
			for range 3 {
				f.crash(0, prompt(1, 2))
			}
			f.now = f.now.Add(quarantineTTL)
		}, nil, prompts(prompt(1, 2))},
	}
	for name, c := range cases {
		for _, routers := range []int{1, 7} {
			t.Run(fmt.Sprint(name, ", ", routers, " routers"), func(t *testing.T) {
				is := is.New(t)
				f := newSegmentFleet(routers)
				c.steps(f)
				for _, p := range c.refused {
					is.True(f.refuses(is, p)) // refused
				}
				for _, p := range c.sent {
					is.True(!f.refuses(is, p)) // sent
				}
			})
		}
	}
}

// Guards against a segment that counts as the cause of a crash although its answer had begun.
func TestSegmentsOfBegunAnswersAreNoSuspects(t *testing.T) {
	is := is.New(t)
	r := NewSegmentTracker()
	now := t0
	for i := range 5 {
		target := fmt.Sprint(i)
		r.Start(now, target, "1", "begun", Fingerprint(i), prompt(1))
		r.Answering(now, target, "begun")
		now = now.Add(startTime)
		r.Start(now, target, "1", "waiting", Fingerprint(10+i), prompt(2))
		r.Ended(now, target, "begun", Unanswered)
		r.Ended(now, target, "waiting", Unanswered)
		n, first := r.TargetEnded(now, target, "1", true)
		is.True(first)
		is.Equal(n, 1)
	}
	now = now.Add(settleTime)
	_, found := r.Quarantined(now, 0, prompt(1))
	is.True(!found)
	segments, found := r.Quarantined(now, 0, prompt(9, 2))
	is.True(found)
	is.Equal(segments, []int{1})
}

// Guards against a quarantine before all routers have reported their evidence.
func TestCrashesCountOnceSettled(t *testing.T) {
	is := is.New(t)
	f := newSegmentFleet(1)
	for range 3 {
		f.crash(0, prompt(1, 2))
	}
	f.now = f.now.Add(-time.Millisecond)
	is.True(!f.refuses(is, prompt(1, 2)))
	f.now = f.now.Add(time.Millisecond)
	is.True(f.refuses(is, prompt(1, 2)))
}

// Guards against evidence of peers that is decoded wrongly, grows without bound or causes
// a panic.
func TestReceiveSegmentEvidence(t *testing.T) {
	is := is.New(t)
	r := NewSegmentTracker()
	for _, value := range []string{"", ".", "c", "c.1", "c.1.2", "c.x.2.3", "c.1.x.3", "c.1.2.x", "c.1.2.3.x", "c.1.2.3.", "c.1.2.3.ffffffffffffffff", "c.1.2.3.4.5",
		"e.1", "e.x.1", "e.1.x", "f.1", "f.x.1", "f.1.x", "s.1.a", "t", "t.1", "t.x.1"} {
		r.Receive(t0, []port.Fingerprint{{Value: value}})
	}
	is.Equal(len(r.crashes)+len(r.trials), 0)
	for i := range 10 * maxSegmentCrashes {
		for _, value := range []string{fmt.Sprintf("c.%x.%x.5,6", i, i), fmt.Sprintf("e.%x.7", i), fmt.Sprintf("f.%x.7", i), fmt.Sprintf("c.1.%x.%x", i, i), fmt.Sprintf("f.%x.1", i), fmt.Sprintf("t.%x.1", i)} {
			r.Receive(t0, []port.Fingerprint{{Value: value}})
		}
	}
	is.True(len(r.crashes) <= maxSegmentCrashes)
	is.Equal(len(r.trials), maxTrials)
	for _, c := range r.crashes {
		is.True(len(c.requests) <= maxCrashRequests)
		is.True(len(c.answered) <= maxCrashRequests)
	}
}
