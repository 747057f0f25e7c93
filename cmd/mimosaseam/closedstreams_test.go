package main

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

// Guards against an answer without a length that is not relayed whole, and against one
// that broke off and reaches the caller as complete.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	const (
		event1 = "id: 1\ndata: a\n\n"
		event2 = "id: 2\ndata: b\n\n"
	)
	for name, c := range map[string]struct {
		path, body string
		reset      bool
		resumed    bool // another engine must complete the answer
		complete   bool
		status     int
		want       string
	}{
		"plain, whole":                    {path: "/book/", body: "ok", complete: true, status: 200, want: "ok"},
		"plain, empty":                    {path: "/book/", complete: true, status: 200},
		"plain, reset":                    {path: "/book/", body: "ok", reset: true, complete: true, status: 502, want: "unknown\n"},
		"stream, whole":                   {path: "/brief/", body: event1 + event2, complete: true, status: 200, want: event1 + event2},
		"stream, closed in an event":      {path: "/brief/", body: event1 + "id: 2\nda", status: 200, want: event1},
		"stream, closed after a line":     {path: "/brief/", body: event1 + "id: 2\n", status: 200, want: event1},
		"stream, reset":                   {path: "/brief/", body: event1, reset: true, status: 200, want: event1},
		"stream, no event":                {path: "/brief/", complete: true, status: 502, want: "unknown\n"},
		"resumable, closed in an event":   {path: "/check/", body: event1 + "id: 2\nda", resumed: true, complete: true, status: 200, want: event1 + event2},
		"resumable, closed without event": {path: "/check/", resumed: true, complete: true, status: 200, want: event1 + event2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var requests atomic.Int64
			answer := func(conn *platformtest.RawConn, r *http.Request, _ int) bool {
				if requests.Add(1) > 1 && r.Header.Get("Last-Event-Id") == "1" {
					return conn.Send(platformtest.Whole(r, event2))
				}
				if requests.Load() > 1 {
					return conn.Send(platformtest.Whole(r, event1+event2))
				}
				conn.Send(platformtest.Head(r, "200 OK", "Content-Type: text/event-stream") + c.body)
				if c.reset {
					conn.Reset()
				}
				return false
			}
			target := newRawTarget(t, "d9", "", answer)
			engines := []*platformtest.RawTarget{newRawTarget(t, "e8", platformtest.Model, answer), newRawTarget(t, "e9", platformtest.Model, answer)}
			s := newFaultGateway(t, []*platformtest.RawTarget{target}, engines)
			fields := []string{platformtest.ModelHeader, platformtest.Model, platformtest.PromptHeader, "a:10,b:5", platformtest.TokensHeader, "15,2"}
			status, body, complete := s.call("r1", c.path, fields...)
			is.Equal(status, c.status)
			is.Equal(body, c.want)
			is.Equal(complete, c.complete)
			is.Equal(requests.Load() > 1, c.resumed)
		})
	}
}
