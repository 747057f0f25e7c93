package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

// Guards against sound streams that are cut because they are slow, and against stalled
// ones that never end because a byte arrives now and then.
func TestSlowAndStalledStreams(t *testing.T) {
	event := func(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }
	stream := func(r *http.Request) string {
		return platformtest.Head(r, "200 OK", "Content-Type: text/event-stream", "Connection: close")
	}
	const want = "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"
	cases := map[string]struct {
		path   string
		answer func(c *platformtest.RawConn, r *http.Request)
		whole  bool
	}{
		"events come slowly": {"/check/", func(c *platformtest.RawConn, r *http.Request) {
			c.Send(stream(r))
			for id := 1; id <= 3; id++ {
				pause(faultTimeoutMs / 5)
				c.Send(event(id))
			}
		}, true},
		"events come byte by byte": {"/check/", func(c *platformtest.RawConn, r *http.Request) {
			c.Send(stream(r))
			for _, b := range want {
				pause(5)
				c.Send(string(b))
			}
		}, true},
		"one byte now and then, never an event": {"/brief/", func(c *platformtest.RawConn, r *http.Request) { c.Send(stream(r) + "data: "); c.Trickle("x") }, false},
		"comments, never an event":              {"/brief/", func(c *platformtest.RawConn, r *http.Request) { c.Send(stream(r)); c.Trickle(": alive\n\n") }, false},
		"empty lines, never an event":           {"/brief/", func(c *platformtest.RawConn, r *http.Request) { c.Send(stream(r)); c.Trickle("\n") }, false},
		"one event, then comments": {"/brief/", func(c *platformtest.RawConn, r *http.Request) {
			c.Send(stream(r) + event(1))
			c.Trickle(": alive\n\n")
		}, false},
		"an event line without end": {"/brief/", func(c *platformtest.RawConn, r *http.Request) {
			c.Send(stream(r) + "data: ")
			c.Repeat(strings.Repeat("x", 1<<10))
		}, false},
		"events without end":   {"/brief/", func(c *platformtest.RawConn, r *http.Request) { c.Send(stream(r)); endless(c) }, false},
		"cut within an event":  {"/brief/", func(c *platformtest.RawConn, r *http.Request) { c.Send(stream(r) + event(1) + "id: 2\nda") }, false},
		"reset between events": {"/brief/", func(c *platformtest.RawConn, r *http.Request) { c.Send(stream(r) + event(1)); c.Reset() }, false},
		"last chunk missing": {"/brief/", func(c *platformtest.RawConn, r *http.Request) {
			c.Send(platformtest.Head(r, "200 OK", "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n", len(event(1)), event(1)))
		}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			engine := newRawTarget(t, "e9", "m", func(conn *platformtest.RawConn, r *http.Request, _ int) bool {
				c.answer(conn, r)
				return false
			})
			s := newFaultGateway(t, nil, []*platformtest.RawTarget{engine})
			status, body, complete := s.call("r1", c.path, platformtest.ModelHeader, "m", platformtest.PromptHeader, "p:10", platformtest.TokensHeader, "10,5")
			is.Equal(status == http.StatusOK && complete, c.whole)
			if c.whole {
				is.Equal(body, want)
			}
			is.Equal(engine.Requests(), 1)
			is.Equal(s.node.gateway.OpenRequests(), 0)
		})
	}
}

// endless sends events until the router closes the connection.
func endless(c *platformtest.RawConn) {
	for id := 1; c.Send(fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", 1<<10))); id++ {
	}
}
