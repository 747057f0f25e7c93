package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	soundInterval  = 6 * time.Second
	soundTogether  = 4
	crashesBegin   = 36500 * time.Millisecond
	burst          = 5 * time.Second
	burstInterval  = 300 * time.Millisecond
	laterInterval  = 2 * time.Second
	sparseDay      = 100 * time.Second
	judgedRequests = 20
)

// sparseTraffic is a client account that pauses between its requests for longer than it takes to
// crash several targets. Each request has a segment of its own behind its prompt.
type sparseTraffic struct {
	sound []string
	// crashing holds prompts with one of the deadly segments, used in turn once the crashes begin.
	crashing [][]string
	// bodies holds requests that crash targets as a whole, in place of crashing.
	bodies []string
	// answered is a prompt that is answered like the sound one until the crashes begin.
	answered []string
	// until is when the requests that crash targets end, at the end of the day if zero.
	until time.Duration
}

type sparseOutcome struct {
	// before and after are the shares of sound requests that were served before the crashes, and
	// later than two stability windows after the fifth crash or the last if there are fewer.
	before, after float64
	// late is the largest number of requests with one deadly segment that reached targets more than
	// a stability window after its fifth crash.
	late, crashes int
}

func (s sparseTraffic) play(t *testing.T, is *is.I) sparseOutcome {
	w := newCrashWorld(t, 3, 3)
	w.last = lastOfSegment
	type sent struct {
		at     time.Time
		served bool
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	var sound []sent
	n := 0
	const soundBody, answeredBody = "", "answered"
	send := func(body string, prompt []string) {
		n++
		r := segmentRequest(n, prompt...)
		r.ClientTimeout = 800 * time.Millisecond
		if isDeadly(body) {
			r.Body = []byte(body)
		}
		router := w.routers[rand.IntN(len(w.routers))]
		wait.Go(func() {
			err := router.Serve(t.Context(), r, &recorder{})
			mu.Lock()
			defer mu.Unlock()
			if body == soundBody {
				sound = append(sound, sent{r.Received, err == nil})
			}
		})
	}
	start := time.Now()
	nextSound, nextCrash, crashes := start, start.Add(crashesBegin), 0
	for ; time.Since(start) < sparseDay; time.Sleep(50 * time.Millisecond) {
		for _, r := range w.routers {
			r.MarkVerified(r.BootClock.Now())
		}
		if !time.Now().Before(nextSound) {
			nextSound = nextSound.Add(soundInterval)
			for range soundTogether {
				send(soundBody, s.sound)
				if s.answered != nil && time.Now().Before(nextCrash) && crashes == 0 {
					send(answeredBody, s.answered)
				}
			}
		}
		if time.Now().Before(nextCrash) || s.until > 0 && time.Since(start) > s.until {
			continue
		}
		if nextCrash = nextCrash.Add(laterInterval); time.Since(start) < crashesBegin+burst {
			nextCrash = nextCrash.Add(burstInterval - laterInterval)
		}
		if len(s.bodies) > 0 {
			send(s.bodies[crashes%len(s.bodies)], s.sound)
		} else {
			prompt := s.crashing[crashes%len(s.crashing)]
			name := prompt[slices.IndexFunc(prompt, isDeadly)]
			send(fmt.Sprint(name, "-", n), prompt)
		}
		crashes++
	}
	wait.Wait()
	from := start.Add(crashesBegin)
	if len(w.ends) > 0 {
		from = w.ends[min(len(w.ends), lastOfSegment)-1].Add(2 * stabilityWindow)
	}
	share := func(in func(at time.Time) bool) float64 {
		all, served := 0, 0
		for _, r := range sound {
			if in(r.at) {
				if all++; r.served {
					served++
				}
			}
		}
		is.True(all >= judgedRequests)
		return float64(served) / float64(all)
	}
	out := sparseOutcome{crashes: len(w.ends)}
	out.before = share(func(at time.Time) bool { return at.Before(start.Add(crashesBegin)) })
	out.after = share(from.Before)
	for _, late := range w.late {
		out.late = max(out.late, late)
	}
	return out
}

func segments(name string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint(name, i)
	}
	return out
}

// Guards against a quarantine of the segments that sound requests share with those that crash
// targets, if no sound request begins between the crashes.
func TestSoundRequestsBesideACrashingSegmentAreServed(t *testing.T) {
	long := segments("p", 60)
	cases := map[string]sparseTraffic{
		"first": {sound: []string{"system", "subject"}, crashing: [][]string{{"deadly", "subject"}}},
		"amid":  {sound: []string{"system", "subject"}, crashing: [][]string{{"system", "deadly", "subject"}}},
		"last":  {sound: []string{"system", "subject"}, crashing: [][]string{{"system", "subject", "deadly"}}},
		"two segments": {sound: []string{"system", "subject"},
			crashing: [][]string{{"deadly1", "subject"}, {"system", "deadly2", "subject"}}},
		"four segments": {sound: []string{"system", "subject"},
			crashing: [][]string{{"deadly1", "subject"}, {"deadly2", "subject"}, {"system", "deadly3"}, {"deadly4", "system", "subject"}}},
		"many segments, first":  {sound: long, crashing: [][]string{slices.Concat([]string{"deadly"}, long[1:])}},
		"many segments, amid":   {sound: long, crashing: [][]string{slices.Concat(long[:20], []string{"deadly"}, long[21:])}},
		"many segments, behind": {sound: long, crashing: [][]string{slices.Concat(long[:50], []string{"deadly"}, long[51:])}},
		"crashes end":           {sound: []string{"system", "subject"}, crashing: [][]string{{"deadly", "subject"}}, until: crashesBegin + 2*time.Second},
		"turned bad": {sound: []string{"system", "subject"}, answered: []string{"deadly", "subject"},
			crashing: [][]string{{"deadly", "subject"}}},
		"turned bad in other prompts": {sound: []string{"system", "subject"}, answered: []string{"deadly", "subject"},
			crashing: [][]string{{"deadly", "new"}}},
		"turned bad beside another one": {sound: []string{"system", "subject"}, answered: []string{"deadly1", "subject"},
			crashing: [][]string{{"deadly1", "subject"}, {"deadly2", "subject"}}},
		"whole requests": {sound: []string{"system", "subject"}, bodies: []string{"deadlyA", "deadlyB", "deadlyC"}},
		"whole requests, then none": {sound: []string{"system", "subject"}, bodies: []string{"deadlyA", "deadlyB", "deadlyC"},
			until: crashesBegin + time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				out := c.play(t, is)
				t.Logf("%+v", out)
				is.True(out.crashes >= 3)
				is.True(out.after >= out.before/2)
				is.True(out.late <= 3) // BUDGET
			})
		})
	}
}
