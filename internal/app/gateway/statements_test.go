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

// Guards against a request that was ranked before its target said that it leaves.
func TestQueuedRequestsAvoidTargetsThatBeganToLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(t)
		r := &Request{ID: "r1", Method: http.MethodPost, URI: "/check/x", Path: "/check/x", Host: "h", Header: http.Header{}, Key: "key",
			Received: time.Now(), Model: testModel, PromptTokens: 900, MaxOutputTokens: 10}
		x, err := w.plan(r, &recorder{})
		is.NoErr(err)
		x.ranking = x.rank(time.Now(), false)
		first := x.ranking.targets[x.ranking.order[0]]
		w.Directory.observeStatement(first.ID, first.Incarnation(), "r0", port.TargetStatement{Leaving: true})
		got, ok := x.best(time.Now())
		is.True(ok)
		is.True(got.ID != first.ID)
	})
}
