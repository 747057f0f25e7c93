package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// serveEvery sends count requests of the route, one each interval, and returns the number
// that each engine or plain target got.
func (w *testGateway) serveEvery(t *testing.T, route string, count int, interval time.Duration) (sent map[string]int, served int) {
	t.Helper()
	before := len(w.targets.sent())
	for range count {
		w.MarkVerified(w.BootClock.Now())
		if _, err := w.send(t.Context(), route); err == nil {
			served++
		}
		time.Sleep(interval)
	}
	sent = map[string]int{}
	for _, a := range w.targets.sent()[before:] {
		sent[a.ExpectTarget]++
	}
	return sent, served
}

// Guards against a target that gets more requests than the rate that it names, against
// refusing requests that others can serve, and against a rate that outlives its naming.
func TestTargetsGetNoMoreThanTheRateTheyName(t *testing.T) {
	for route, limited := range map[string]string{"book": "d1", "look": "d1", "check": "e1", "brief": "e1"} {
		t.Run(route, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(t)
				rate := 2.0
				w.targets.react = func(_ string, a port.Forward) reply {
					r := reply{status: http.StatusOK, body: event1}
					if a.ExpectTarget == limited {
						r.rate = rate
					}
					return r
				}
				w.serveEvery(t, route, 50, 10*time.Millisecond)
				sent, served := w.serveEvery(t, route, 1000, 10*time.Millisecond)
				is.True(sent[limited] <= 21)
				is.Equal(served, 1000)
				rate = 0
				for _, other := range w.Directory.All() {
					if other.ID != limited {
						w.Directory.Remove(other.ID)
					}
				}
				_, served = w.serveEvery(t, route, 300, 10*time.Millisecond)
				is.Equal(served, 300)
			})
		})
	}
}

// Guards against requests that wait for a target although its rate leaves no room in time.
func TestRequestsBeyondAllRatesAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(t)
		w.targets.react = func(string, port.Forward) reply { return reply{status: http.StatusOK, body: event1, rate: 0.1} }
		w.serveEvery(t, "check", 6, 10*time.Millisecond)
		start := time.Now()
		_, err := w.send(t.Context(), "check")
		is.Equal(failureOf(err).Kind, KindRefused)
		is.True(failureOf(err).RetryAfter >= longRetryAfter/2)
		is.Equal(time.Since(start), time.Duration(0))
	})
}

// Guards against a router that sends as many requests as one that is alone, or learns a
// rate only by its own requests, and against announcements that go round without end.
func TestRoutersLearnRatesFromEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const routers = 20
		var all []*testGateway
		announced := 0
		for i := range routers {
			w := newTestGateway(t)
			w.Routers = func() int { return routers }
			w.IsChosen = func(_ string, n int) bool { return i < n }
			w.Gateway = New(w.Deps)
			w.SetConfiguration(testConfiguration(1))
			w.AnnounceRate = func(r port.TargetRate) {
				announced++
				for _, other := range []int{i + 1, i + 2} {
					all[other%routers].ObserveRate(r)
				}
			}
			w.targets.react = func(_ string, a port.Forward) reply {
				r := reply{status: http.StatusOK, body: event1}
				if a.ExpectTarget == "d1" {
					r.rate = 1
				}
				return r
			}
			all = append(all, w)
		}
		all[7].serveEvery(t, "book", 50, time.Millisecond)
		is.True(announced <= 2*routers)
		total := 0
		for range 10 {
			for _, w := range all {
				sent, served := w.serveEvery(t, "book", 10, time.Millisecond)
				is.Equal(served, 10)
				total += sent["d1"]
			}
			time.Sleep(time.Second - 10*routers*time.Millisecond)
		}
		is.True(total <= 10+5) // a second each, and the rate's share of each chosen router
		is.True(announced <= 4*routers)
	})
}

// Guards against a refusal that hides the rate that it names.
func TestRefusalsNameRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(t)
		w.targets.react = func(_ string, a port.Forward) reply {
			if a.ExpectTarget == "d1" {
				return reply{err: &port.NotRunError{Target: "d1", Reason: port.NotRunOverloaded, RequestsPerSecond: 0.5}}
			}
			return reply{status: http.StatusOK}
		}
		sent, _ := w.serveEvery(t, "book", 1000, 10*time.Millisecond)
		is.True(sent["d1"] <= 7)
		is.True(sent["d2"] > 100)
	})
}
