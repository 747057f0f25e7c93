package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// tries reports whether a request with the prompt runs on the router although it is refused.
func (f *segmentFleet) tries(router int, segments ...SegmentHash) bool {
	f.attempts++
	return f.routers[router].Try(f.now, Fingerprint(1000+f.attempts), segments)
}

// quarantineOf lets three targets crash under the prompt.
func (f *segmentFleet) quarantineOf(segments ...SegmentHash) {
	for range minSegmentCrashes {
		f.crash(0, segments)
	}
	f.evaluate()
}

// beginTrial starts the first attempt of a trial on the target "a".
func (f *segmentFleet) beginTrial(is *is.I, request Fingerprint) *SegmentTracker {
	is.Helper()
	f.answer(1, 2)
	f.quarantineOf(1, 2)
	f.now = f.now.Add(knownTrialInterval)
	r := f.routers[0]
	is.True(r.Try(f.now, request, prompt(1, 2)))
	is.True(r.Start(f.now, "a", "1", "first", request, prompt(1, 2)))
	return r
}

// trialAfter advances the time to the next trial and returns how long after the last crash it is.
func (f *segmentFleet) trialAfter(router int, segments ...SegmentHash) time.Duration {
	const step = 100 * time.Millisecond
	for waited := settleTime; waited <= 2*maxTrialInterval; waited += step {
		if f.tries(router, segments...) {
			return waited
		}
		f.now = f.now.Add(step)
	}
	return 0
}

// Guards against a quarantine that nothing can refute, and against trials that crash more targets
// than a segment at fault may.
func TestTrialsOfAQuarantine(t *testing.T) {
	for name, c := range map[string]struct {
		known bool
		want  []time.Duration
	}{
		"known": {true, []time.Duration{2 * time.Second, 16 * time.Second, 128 * time.Second}},
		"new":   {false, []time.Duration{5 * time.Minute, 40 * time.Minute}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newSegmentFleet(3)
			if c.known {
				f.answer(1, 2)
			}
			f.quarantineOf(1, 2)
			for i, want := range c.want {
				is.Equal(f.trialAfter(i%3, 1, 2), want)
				is.True(!f.tries((i+1)%3, 1, 2)) // announced to the others
				f.crash(0, prompt(1, 2))
				is.True(f.refuses(is, prompt(1, 2)))
			}
			f.now = t0.Add(quarantineTTL - time.Minute)
			is.True(!f.tries(0, 1, 2)) // while the evidence lasts
		})
	}
}

// Guards against a quarantine that goes on after an answer to its trial.
func TestAnswerToATrialEndsTheQuarantine(t *testing.T) {
	is := is.New(t)
	f := newSegmentFleet(3)
	r := f.beginTrial(is, 77)
	is.True(r.Try(f.now, 77, prompt(1, 2)))                        // between attempts
	is.True(!r.Start(f.now, "b", "1", "second", 77, prompt(1, 2))) // one attempt at a time
	r.Ended(f.now, "a", "first", Unjudged)
	is.True(r.Start(f.now, "b", "1", "second", 77, prompt(1, 2)))
	f.now = f.now.Add(time.Millisecond)
	r.Ended(f.now, "b", "second", Answered)
	is.True(!f.refuses(is, prompt(1, 2)))
	f.quarantineOf(1, 2)
	is.Equal(f.trialAfter(1, 1, 2), knownTrialInterval) // the trial before failed nothing
}

// Guards against a trial that goes on after an attempt was left unanswered.
func TestTrialEndsWithAnUnansweredAttempt(t *testing.T) {
	is := is.New(t)
	f := newSegmentFleet(1)
	r := f.beginTrial(is, 77)
	r.Ended(f.now, "a", "first", Unanswered)
	is.True(!r.Try(f.now, 77, prompt(1, 2)))
}

// Guards against trials by requests that crash targets for another reason and prove nothing.
func TestTrialsAvoidOtherSuspects(t *testing.T) {
	is := is.New(t)
	f := newSegmentFleet(1)
	f.answer(1)
	f.answer(4)
	f.answer(5)
	f.crash(77, prompt(1, 2))
	f.crash(0, prompt(1, 3))
	f.crash(0, prompt(1, 4))
	f.now = f.now.Add(knownTrialInterval)
	is.True(f.refuses(is, prompt(1, 5)))
	is.True(!f.routers[0].Try(f.now, 77, prompt(1)))
	f.start("silent", 88, 1, 5)(false)
	is.True(!f.routers[0].Try(f.now, 88, prompt(1, 5))) // its target may have ended
	is.True(!f.tries(0, 1, 2))
	is.True(!f.tries(0, 1, 4)) // only later
	is.True(!f.tries(0, 1, 6)) // never answered
	is.True(f.tries(0, 1, 5))
	f.now = f.now.Add(knownTrialInterval * trialBackoff)
	is.True(f.tries(0, 1, 4))
}

// Guards against a quarantine of fewer segments that begins its trials anew.
func TestTrialsCountForWhatIsLeftOfAGroup(t *testing.T) {
	is := is.New(t)
	f := newSegmentFleet(3)
	f.answer(1, 2)
	f.quarantineOf(1, 2)
	is.Equal(f.trialAfter(0, 1, 2), knownTrialInterval)
	f.crash(0, prompt(1, 2))
	f.answer(1)
	f.evaluate()
	is.True(f.refuses(is, prompt(2)))
	is.Equal(f.trialAfter(1, 2), knownTrialInterval*trialBackoff)
}

// Guards against trials by all routers of a large fleet at once, and by none where requests are rare.
func TestFewRoutersTryAtOnce(t *testing.T) {
	is := is.New(t)
	const routers = 100
	f := newSegmentFleet(routers)
	for i, r := range f.routers {
		r.SetTrialTurn(func(_ string, n int) bool { return i < n })
		r.SetReport(nil) // not yet heard of
	}
	for i := range minSegmentCrashes {
		for _, r := range f.routers {
			r.Start(f.now, "e", fmt.Sprint(i), "a", Fingerprint(i+1), prompt(1))
			r.Ended(f.now, "e", "a", Unanswered)
			r.TargetEnded(f.now, "e", fmt.Sprint(i), true)
		}
		f.now = f.now.Add(settleTime)
	}
	f.now = f.now.Add(newTrialInterval - settleTime)
	tried := 0
	for i := range routers {
		if f.tries(i, 1) {
			tried++
		}
	}
	is.Equal(tried, 1)
	f.now = f.now.Add(7 * trialStep)
	is.True(f.tries(routers-1, 1))
}

// Guards against routers that refuse different requests because one reports a clearance only once
// its segment is answered again.
func TestClearanceBeforeTheSecondCrashIsReported(t *testing.T) {
	is := is.New(t)
	f := newSegmentFleet(3)
	f.crash(0, prompt(1, 2))
	f.answer(1)
	f.crash(0, prompt(1, 2))
	f.crash(0, prompt(1, 2))
	is.True(f.refuses(is, prompt(2)))
	is.True(!f.refuses(is, prompt(1)))
}

// Guards against a segment that is not found because it stands behind too many others, and against
// refusing those.
func TestSegmentBehindManyOthers(t *testing.T) {
	is := is.New(t)
	f := newSegmentFleet(1)
	long := make([]SegmentHash, 3*maxRequestSegments)
	for i := range long {
		long[i] = SegmentHash(100 + i)
	}
	f.answer(long...)
	bad := append(append(prompt(), long[:2*maxRequestSegments]...), 9)
	f.quarantineOf(append(bad, long[2*maxRequestSegments:]...)...)
	is.True(f.refuses(is, append(bad, long[2*maxRequestSegments:]...)))
	is.True(!f.refuses(is, long))
}

// Guards against the evidence of many segments that leaves no room for that of one more.
func TestOneMoreSegmentThanTheEvidenceHolds(t *testing.T) {
	is := is.New(t)
	f := newSegmentFleet(1)
	const segments = maxSegmentCrashes/minSegmentCrashes + 5
	for s := range SegmentHash(segments) {
		f.quarantineOf(100 + s)
		is.True(f.refuses(is, prompt(100+s)))
	}
	// Crashes without a cause take the place of no quarantine.
	for i := range 2 * maxSegmentCrashes {
		f.crash(0, prompt(SegmentHash(1000+i)))
	}
	is.True(f.refuses(is, prompt(100+segments-1)))
}
