package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	event1 = "id: 1\ndata: a\n\n"
	event2 = "id: 2\ndata: b\n\n"
	event3 = "id: 3\ndata: c\n\n"
)

// Guards against a stream that loses, repeats or mixes events when it is resumed on
// another target.
func TestResumedStreamIsComplete(t *testing.T) {
	cases := map[string]struct {
		first, second string
		resumeAfter   string
	}{
		"broken between events": {first: event1 + event2, second: event3, resumeAfter: "2"},
		"broken in an event":    {first: event1 + event2 + "id: 3\nda", second: event3, resumeAfter: "2"},
		"events sent again":     {first: event1 + event2, second: event2 + event3, resumeAfter: "2"},
		"no event received":     {first: "", second: event1 + event2 + event3, resumeAfter: ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(t, reply{status: http.StatusOK, body: c.first, broken: true}, reply{status: http.StatusOK, body: c.second})
				out, err := w.send(t.Context(), "check")
				is.NoErr(err)
				is.Equal(out.body.String(), event1+event2+event3)
				sent := w.targets.sent()
				is.Equal(len(sent), 2)
				is.Equal(sent[1].ResumeAfter, c.resumeAfter)
				is.True(sent[0].ExpectTarget != sent[1].ExpectTarget)
			})
		})
	}
}

// Guards against a gap in a stream that the client cannot detect.
func TestStreamWithGapIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(t, reply{status: http.StatusOK, body: event1, broken: true}, reply{status: http.StatusOK, body: event3})
		_, err := w.send(t.Context(), "check")
		is.Equal(failureOf(err).Kind, KindAborted)
	})
}

// Guards against a second run of a stream that must not be retried.
func TestStreamThatMustNotBeRetriedIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(t, reply{status: http.StatusOK, body: event1, broken: true})
		out, err := w.send(t.Context(), "brief")
		is.Equal(failureOf(err).Kind, KindAborted)
		is.Equal(out.body.String(), event1)
		is.Equal(len(w.targets.sent()), 1)
	})
}

// Guards against a stream that has begun and goes on with another answer than events, or ends
// as complete with it.
func TestStreamIsContinuedByEventsOnly(t *testing.T) {
	for _, status := range []int{200, 201, 202, 204, 206, 299, 300, 301, 304, 308, 400, 401, 403, 404, 409, 410, 413, 418, 422, 499, 500, 501, 502, 503, 504, 599} {
		for _, contentType := range []string{"", "text/event-stream", "text/event-stream; charset=utf-8", "text/plain", "text/html", "application/json", ";"} {
			for _, body := range []string{"", event2, "error\n\n", "event: error\ndata: overloaded\n\n"} {
				isSound := status == http.StatusOK && body == event2 && (contentType == "" || strings.HasPrefix(contentType, "text/event-stream"))
				synctest.Test(t, func(t *testing.T) {
					w := newTestGateway(t, reply{status: http.StatusOK, body: event1, broken: true}, reply{status: status, contentType: contentType, body: body})
					out, err := w.send(t.Context(), "check")
					name := fmt.Sprintf("status %d, type %q, body %q", status, contentType, body)
					switch {
					case isSound && (err != nil || out.body.String() != event1+event2):
						t.Error(name, "not continued", err)
					case !isSound && (failureOf(err).Kind != KindAborted || out.body.String() != event1):
						t.Errorf("%s: relayed %q, %v", name, out.body.String(), err)
					}
				})
			}
		}
	}
}

// Guards against a stream that is started anew behind what cannot be taken up elsewhere, and
// against one that is given up though nothing but comments was relayed.
func TestStreamWithoutIDsIsNotStartedAnew(t *testing.T) {
	for name, c := range map[string]struct {
		first, second, want string
		complete            bool
	}{
		"events without ids":   {"data: a\n\n", "data: a\n\ndata: b\n\n", "data: a\n\n", false},
		"marker after events":  {event1 + "data: [DONE]\n\n", event2, event1 + "data: [DONE]\n\n", false},
		"comments":             {": alive\n\n", event1 + event2, ": alive\n\n" + event1 + event2, true},
		"comments, then none":  {": alive\n\n", "data: a\n\n", ": alive\n\ndata: a\n\n", true},
		"comments and events":  {": alive\n\n" + event1, ": alive\n\n" + event2, ": alive\n\n" + event1 + ": alive\n\n" + event2, true},
		"last events repeated": {event1 + event2, event1 + event2, event1 + event2, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newTestGateway(t, reply{status: http.StatusOK, body: c.first, broken: true}, reply{status: http.StatusOK, body: c.second})
				out, err := w.send(t.Context(), "check")
				is.Equal(out.body.String(), c.want)
				is.Equal(err == nil, c.complete)
				is.True(err == nil || failureOf(err).Kind == KindAborted)
			})
		})
	}
}

// Guards against a liveness check that reads the state of the next attempt while it is
// written.
func TestLivenessCheckOfAnEarlierAttempt(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t)
	first := true
	w.targets.react = func(string, port.Forward) reply {
		if first {
			first = false
			<-time.After(3 * livenessInterval)
			return reply{err: &port.UnknownOutcomeError{Peer: "t"}}
		}
		return reply{status: http.StatusOK, body: event1}
	}
	out, err := w.send(t.Context(), "check")
	is.NoErr(err)
	is.Equal(out.body.String(), event1)
}
