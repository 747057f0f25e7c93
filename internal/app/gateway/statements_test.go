package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// keepOnly removes the entries of all other targets.
func (w *testGateway) keepOnly(id string) {
	for _, other := range w.Directory.All() {
		if other.ID != id {
			w.Directory.Remove(other.ID)
		}
	}
}

// Guards against requests that still go to a target after the grace that began when a
// response of it said that it leaves, whatever its entry says.
func TestTargetsThatSayTheyLeaveGetNoRequests(t *testing.T) {
	refusal := func(target string) reply {
		return reply{err: &port.NotRunError{Target: target, Reason: port.NotRunOverloaded, Statement: port.TargetStatement{Leaving: true}}}
	}
	answer := func(string) reply {
		return reply{status: http.StatusOK, body: event1, says: port.TargetStatement{Leaving: true}}
	}
	failure := func(string) reply {
		return reply{status: http.StatusInternalServerError, says: port.TargetStatement{Leaving: true}}
	}
	for name, says := range map[string]func(string) reply{"refusal": refusal, "answer": answer, "failure": failure} {
		for _, route := range []string{"book", "look", "check", "brief"} {
			t.Run(name+" of "+route, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := newTestGateway(t)
					leaving := "" // the target that gets the first request
					w.targets.react = func(_ string, a port.Forward) reply {
						if leaving == "" {
							leaving = a.ExpectTarget
						}
						if a.ExpectTarget == leaving {
							return says(leaving)
						}
						return reply{status: http.StatusOK, body: event1}
					}
					sent, _ := w.serveEvery(t, route, 100, 10*time.Millisecond)
					is.Equal(sent[leaving], 1)
					entry := w.entry(leaving)
					w.Directory.Put(entry)
					sent, served := w.serveEvery(t, route, 100, 10*time.Millisecond)
					is.Equal(sent[leaving], 0)
					is.Equal(served, 100)
					w.keepOnly("")
					w.Directory.Put(entry)
					sent, _ = w.serveEvery(t, route, 10, 10*time.Millisecond)
					is.Equal(sent[leaving], 0) // its grace is over
					is.Equal(len(w.Directory.All()), 0)
				})
			})
		}
	}
}

// entry returns the entry of a target.
func (w *testGateway) entry(id string) (e port.TargetEntry) {
	w.Directory.update(id, func(t *Target) { e = t.TargetEntry })
	return e
}

// Guards against the statement of one incarnation that holds for the next one, against a
// late response that marks the next one, and against an older copy of an entry that ends the
// statement.
func TestLeavingBelongsToOneIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(t)
		says := port.TargetStatement{Leaving: true}
		usable := func() bool {
			for _, target := range w.Directory.Service("desk") {
				if target.ID == "d1" {
					return true
				}
			}
			return false
		}
		first := w.entry("d1")
		w.Directory.observeStatement("d1", first.Incarnation(), "r1", says)
		is.True(!usable())
		w.Directory.Remove("d1")
		time.Sleep(time.Minute)
		w.Directory.Prune()
		w.Directory.Put(first)
		is.True(!usable())
		w.Directory.Put(first)
		is.True(!usable())
		next := first
		next.StartedAt = time.Now()
		w.Directory.Put(next)
		is.True(usable())
		w.Directory.observeStatement("d1", first.Incarnation(), "r2", says)
		is.True(usable())
		next.Leaving = true
		w.Directory.Put(next)
		is.True(!usable())
		next.Leaving, next.StartedAt = false, next.StartedAt.Add(time.Second)
		w.Directory.Put(next)
		is.True(usable())
	})
}

// Guards against a request that was ranked before its target said that it leaves or waits.
func TestQueuedRequestsAvoidTargetsThatSaidOtherwise(t *testing.T) {
	for name, says := range map[string]port.TargetStatement{"leaves": {Leaving: true}, "waits": {Wait: time.Second}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(t)
				r := &Request{ID: "r1", Method: http.MethodPost, URI: "/check/x", Path: "/check/x", Host: "h", Header: http.Header{}, Key: "key",
					Received: time.Now(), Model: testModel, PromptTokens: 900, MaxOutputTokens: 10}
				x, err := w.plan(r, &recorder{})
				is.NoErr(err)
				x.ranking = x.rank(time.Now(), false)
				first := x.ranking.targets[x.ranking.order[0]]
				w.Directory.observeStatement(first.ID, first.Incarnation(), "r0", says)
				got, ok := x.best(time.Now())
				is.True(ok)
				is.True(got.ID != first.ID)
			})
		})
	}
}

// waitingRefusal refuses a request and names a wait.
func waitingRefusal(wait time.Duration) reply {
	return reply{err: &port.NotRunError{Target: "t", Reason: port.NotRunOverloaded, RetryAfter: wait, Statement: port.TargetStatement{Wait: wait}}}
}

// Guards against requests that go to a target before the wait that it named has passed, and
// against a wait that keeps it from use for longer.
func TestTargetsThatNameAWaitGetNoRequests(t *testing.T) {
	const wait = 2 * time.Second
	failure := reply{status: http.StatusServiceUnavailable, says: port.TargetStatement{Wait: wait}}
	unmarked := reply{err: &port.UnknownOutcomeError{Peer: "t", Cause: &port.UnmarkedRefusalError{Status: http.StatusServiceUnavailable,
		Statement: port.TargetStatement{Wait: wait}}}}
	for name, says := range map[string]reply{"refusal": waitingRefusal(wait), "failure": failure, "unmarked refusal": unmarked} {
		for _, route := range []string{"book", "look", "check", "brief"} {
			t.Run(name+" of "+route, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := newTestGateway(t)
					waiting := "" // the target that gets the first request
					w.targets.react = func(_ string, a port.Forward) reply {
						if waiting == "" {
							waiting = a.ExpectTarget
							return says
						}
						return reply{status: http.StatusOK, body: event1}
					}
					sent, _ := w.serveEvery(t, route, 50, 10*time.Millisecond)
					is.Equal(sent[waiting], 1)
					w.keepOnly(waiting)
					sent, _ = w.serveEvery(t, route, 140, 10*time.Millisecond)
					is.Equal(sent[waiting], 0)
					time.Sleep(time.Second)
					sent, served := w.serveEvery(t, route, 10, 10*time.Millisecond)
					is.Equal(sent[waiting], 10)
					is.Equal(served, 10)
				})
			})
		}
	}
}

// Guards against requests that are held, or refused with a time at which none is taken yet,
// while all targets wait, and against refused clients that come back together.
func TestRequestsAreRefusedAtOnceWhileAllTargetsWait(t *testing.T) {
	for route, waits := range map[string]map[string]time.Duration{
		"book":  {"d1": 20 * time.Second, "d2": 4 * time.Second, "d3": 9 * time.Second},
		"look":  {"d1": 300 * time.Millisecond, "d2": 300 * time.Millisecond, "d3": time.Minute},
		"check": {"e1": 5 * time.Second, "e2": 4 * time.Second, "e3": 9 * time.Second},
		"brief": {"e1": 40 * time.Millisecond, "e2": 45 * time.Millisecond, "e3": 50 * time.Millisecond},
	} {
		t.Run(route, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(t)
				first := time.Duration(0)
				for id, wait := range waits {
					w.Directory.observeStatement(id, w.incarnation(id), "r0", port.TargetStatement{Wait: wait})
					if first == 0 || wait < first {
						first = wait
					}
				}
				w.targets.react = func(string, port.Forward) reply { return fine }
				times := map[time.Duration]bool{}
				start := time.Now()
				for range 20 {
					_, err := w.send(t.Context(), route)
					f := failureOf(err)
					is.Equal(f.Kind, KindRefused)
					is.True(f.RetryAfter >= first)
					is.True(f.RetryAfter <= first+max(first/2, shortRetryAfter))
					times[f.RetryAfter.Truncate(time.Millisecond)] = true
				}
				is.Equal(time.Since(start), time.Duration(0))
				is.True(len(times) > 10)
				is.Equal(len(w.targets.sent()), 0)
				time.Sleep(first)
				_, err := w.send(t.Context(), route)
				is.NoErr(err)
			})
		})
	}
}

// Guards against a last refusal that names the wait of its own target, though another one
// takes requests, and against one that names less than the time until any does.
func TestTheLastRefusalNamesTheFirstTargetsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(t)
		w.targets.react = func(_ string, a port.Forward) reply {
			switch a.ExpectTarget {
			case "d1":
				return waitingRefusal(50 * time.Second)
			case "d2":
				return waitingRefusal(3 * time.Second)
			}
			return waitingRefusal(30 * time.Second)
		}
		_, err := w.send(t.Context(), "book")
		is.Equal(len(w.targets.sent()), 3)
		is.Equal(failureOf(err).Kind, KindRefused)
		is.True(failureOf(err).RetryAfter >= 3*time.Second)
		is.True(failureOf(err).RetryAfter <= 4500*time.Millisecond)
		w.Directory.Put(port.TargetEntry{ID: "d4", Service: "desk", Address: "desk-d4", Slots: 6})
		w.targets.react = func(string, port.Forward) reply { return notRun }
		_, err = w.send(t.Context(), "book")
		is.True(failureOf(err).RetryAfter <= shortRetryAfter*3/2)
	})
}

// Guards against a stream in progress that is aborted although a target that may resume it
// takes requests again in a moment.
func TestBrokenStreamsOutlastShortWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(t)
		w.targets.react = func(_ string, a port.Forward) reply {
			if a.ResumeAfter != "" {
				return reply{status: http.StatusOK, body: event2}
			}
			for _, id := range []string{"e1", "e2", "e3"} {
				w.Directory.observeStatement(id, w.incarnation(id), "r0", port.TargetStatement{Wait: 60 * time.Millisecond})
			}
			return reply{status: http.StatusOK, body: event1, broken: true}
		}
		start := time.Now()
		out, err := w.send(t.Context(), "check")
		is.NoErr(err)
		is.Equal(out.body.String(), event1+event2)
		is.True(time.Since(start) >= 60*time.Millisecond)
	})
}

// Guards against a wait that outlives its incarnation, or that a late response passes on to
// the next one.
func TestWaitsBelongToOneIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(t)
		w.keepOnly("d1")
		time.Sleep(5 * time.Second) // the grace of the others
		w.MarkVerified(w.BootClock.Now())
		before, next := w.incarnation("d1"), w.entry("d1")
		says := port.TargetStatement{Wait: time.Minute}
		w.Directory.observeStatement("d1", before, "r0", says)
		_, err := w.send(t.Context(), "book")
		is.Equal(failureOf(err).Kind, KindRefused)
		next.StartedAt = time.Now()
		w.Directory.Put(next)
		w.Directory.observeStatement("d1", before, "r1", says)
		_, err = w.send(t.Context(), "book")
		is.NoErr(err)
	})
}

func (w *testGateway) incarnation(id string) port.Incarnation {
	e := w.entry(id)
	return e.Incarnation()
}
