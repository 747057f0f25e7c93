package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// segmentRequest returns a request of the resumable stream that shares all but its last
// prompt segment with others.
func segmentRequest(n int, shared ...string) *Request {
	id := fmt.Sprint("r", n)
	r := &Request{ID: id, Method: http.MethodPost, URI: "/check/x", Path: "/check/x", Host: "h", Header: http.Header{}, Key: "key",
		Body: []byte(id), Received: time.Now(), Model: testModel, PromptTokens: 900, MaxOutputTokens: 10}
	for _, s := range append(shared, "own-"+id) {
		r.Prompt = append(r.Prompt, port.Segment{ID: s, Tokens: 100})
	}
	return r
}

// crashEngines makes each engine crash that begins a request with the segment. It comes
// back as a new incarnation.
func (w *testGateway) crashEngines(segment string, requests map[string]*Request) (sent *int) {
	sent = new(int)
	w.targets.react = func(address string, a port.Forward) reply {
		if !slices.ContainsFunc(requests[a.RequestID].Prompt, func(s port.Segment) bool { return s.ID == segment }) {
			return reply{status: http.StatusOK, body: event1}
		}
		*sent++
		w.targets.status = &port.NotRunError{Target: address, Reason: port.NotRunUnreachable, Cause: syscall.ECONNREFUSED}
		go func() {
			time.Sleep(3 * time.Second)
			w.Directory.Put(port.TargetEntry{ID: a.ExpectTarget, Service: "llm", Address: address, Slots: 8,
				Weights: map[string]int{testModel: 1}, StartedAt: time.Now()})
		}()
		return reply{status: http.StatusOK, broken: true}
	}
	return sent
}

// Guards against different requests with one prompt segment that crash engine after
// engine, and against refusing the requests that share their other segments.
func TestRequestsWithACrashingSegmentAreRefused(t *testing.T) {
	for name, prompt := range map[string][]string{"last shared segment": {"a", "b", "bad"}, "first segment": {"bad", "b"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(t)
				requests := map[string]*Request{}
				sent := w.crashEngines("bad", requests)
				served := 0
				for n := range 40 {
					w.MarkVerified(w.BootClock.Now())
					bad, sound := segmentRequest(2*n, prompt...), segmentRequest(2*n+1, "a", "b", fmt.Sprint("c", n))
					requests[bad.ID], requests[sound.ID] = bad, sound
					if err := w.Serve(t.Context(), bad, &recorder{}); n > 10 {
						is.Equal(failureOf(err).Kind, KindCrashesTargets)
					}
					time.Sleep(2 * time.Second)
					sound.Received = time.Now()
					if w.Serve(t.Context(), sound, &recorder{}) == nil {
						served++
					}
					time.Sleep(2 * time.Second)
				}
				is.True(*sent <= 6) // three requests, each sent to two engines
				is.True(served >= 38)
			})
		})
	}
}
