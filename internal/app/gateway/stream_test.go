package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
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
