package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

// copyingTarget refuses the first request on each connection and writes that refusal once
// more before its answer to the second.
type copyingTarget struct {
	// refusal is the answer to the first request on a connection, copied what is written
	// before the answer to the second.
	refusal func(r *http.Request) string
	copied  func(c *platformtest.RawConn, refused, r *http.Request) bool

	mu      sync.Mutex
	refused map[*platformtest.RawConn]*http.Request
	runs    map[string]int
	copies  int
}

func (t *copyingTarget) answer(c *platformtest.RawConn, r *http.Request, _ int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Requests == 1 && t.runs[r.Header.Get("X-Request-Id")] == 0 && r.Header.Get("X-Refuse") != "" {
		t.refused[c] = r
		return c.Send(t.refusal(r))
	}
	t.runs[r.Header.Get("X-Request-Id")]++
	if refused := t.refused[c]; refused != nil {
		delete(t.refused, c)
		t.copies++
		if !t.copied(c, refused, r) {
			return false
		}
	}
	return c.Send(platformtest.Whole(r, "own"))
}

func (t *copyingTarget) ran(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// written returns the number of copies.
func (t *copyingTarget) written() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.copies
}

// Guards against a second copy of an earlier refusal that makes the router say that a request
// which runs has not run, or run it at a second target.
func TestCopyOfARefusalIsNotBelieved(t *testing.T) {
	marked := func(status string) func(r *http.Request) string {
		return func(r *http.Request) string {
			return platformtest.Head(r, status, platformtest.NotRunField, "Content-Length: 4") + "full"
		}
	}
	nameless := func(status string) func(r *http.Request) string {
		return func(*http.Request) string {
			return "HTTP/1.1 " + status + "\r\n" + platformtest.NotRunField + "\r\nContent-Length: 4\r\n\r\nfull"
		}
	}
	refusals := map[string]func(r *http.Request) string{
		"503": marked("503 Service Unavailable"), "429": marked("429 Too Many Requests"), "421": marked("421 Misdirected Request"),
		"400": marked("400 Bad Request"), "503 without an id": nameless("503 Full"), "429 without an id": nameless("429 Slow"),
		"421 without an id": nameless("421 Other"), "400 without an id": nameless("400 Bad"),
	}
	times := map[string]func(c *platformtest.RawConn, text string) bool{
		"whole":         func(c *platformtest.RawConn, text string) bool { return c.Send(text) },
		"twice":         func(c *platformtest.RawConn, text string) bool { return c.Send(text + text) },
		"without body":  func(c *platformtest.RawConn, text string) bool { return c.Send(strings.TrimSuffix(text, "full")) },
		"in two pieces": func(c *platformtest.RawConn, text string) bool { c.Send(text[:9]); pause(30); return c.Send(text[9:]) },
		"in many pieces": func(c *platformtest.RawConn, text string) bool {
			for i := range text {
				c.Send(text[i : i+1])
				if i%8 == 0 {
					pause(1)
				}
			}
			return true
		},
		"cut off in its reason": func(c *platformtest.RawConn, text string) bool { return c.Send(text[:len("HTTP/1.1 503 F")]) },
		"cut off in a field": func(c *platformtest.RawConn, text string) bool {
			return c.Send(text[:strings.Index(text, platformtest.NotRunField)+len(platformtest.NotRunField)])
		},
		"cut off after a field": func(c *platformtest.RawConn, text string) bool {
			return c.Send(text[:strings.Index(text, platformtest.NotRunField)+len(platformtest.NotRunField)+2])
		},
		"cut off in its length": func(c *platformtest.RawConn, text string) bool {
			return c.Send(text[:strings.Index(text, "Content-Length: ")+len("Content-Length: ")])
		},
		"cut off after the head": func(c *platformtest.RawConn, text string) bool {
			c.Send(strings.TrimSuffix(text, "full"))
			return false
		},
	}
	for what, refusal := range refusals {
		for when, write := range times {
			t.Run(what+", "+when, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				target := &copyingTarget{refusal: refusal, refused: map[*platformtest.RawConn]*http.Request{}, runs: map[string]int{},
					copied: func(c *platformtest.RawConn, refused, _ *http.Request) bool { return write(c, refusal(refused)) }}
				s := newFaultGateway(t, []*platformtest.RawTarget{newRawTarget(t, "d8", "", target.answer), newRawTarget(t, "d9", "", target.answer)}, nil)
				s.call("refused", "/book/", "X-Refuse", "1")
				for i := range 3 {
					id := fmt.Sprint("r", i)
					status, body, complete := s.callUntilSent(target, id)
					if status == http.StatusOK {
						is.Equal(body, "own")
						is.True(complete)
					} else {
						is.True(status == http.StatusBadGateway || status == http.StatusGatewayTimeout)
					}
					is.Equal(target.ran(id), 1)
				}
				is.True(target.written() > 0)
			})
		}
	}
}

// callUntilSent repeats a request as long as the router has no target that it may use: those
// that refused are left alone for a while.
func (s *testGateway) callUntilSent(target *copyingTarget, id string) (status int, body string, complete bool) {
	s.t.Helper()
	s.await("a target", func() bool {
		status, body, complete = s.call(id, "/book/")
		return target.ran(id) > 0 || status != http.StatusServiceUnavailable
	})
	return status, body, complete
}

// Guards against a copy of the refusal of a request that a client sends once more under the
// same id: the repeat would run, and the client be told that it has not.
func TestCopyOfARefusalOfTheSameIDIsNotBelieved(t *testing.T) {
	is := is.New(t)
	refusal := func(r *http.Request) string {
		return platformtest.Head(r, "503 Full", platformtest.NotRunField, "Content-Length: 0")
	}
	target := &copyingTarget{refusal: refusal, refused: map[*platformtest.RawConn]*http.Request{}, runs: map[string]int{},
		copied: func(c *platformtest.RawConn, refused, _ *http.Request) bool { return c.Send(refusal(refused)) }}
	s := newFaultGateway(t, []*platformtest.RawTarget{newRawTarget(t, "d8", "", target.answer), newRawTarget(t, "d9", "", target.answer)}, nil)
	status, _, _ := s.call("r1", "/book/", "X-Refuse", "1")
	is.Equal(status, http.StatusServiceUnavailable)
	status, body, _ := s.callUntilSent(target, "r1")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "own")
	is.Equal(target.ran("r1"), 1)
}

// Guards against an answer that only looks like a refusal and reaches the client, for whom
// its status means that the request has not run.
func TestStatusOfARefusalWithoutItsFieldIsNotRelayed(t *testing.T) {
	for _, status := range []string{"408 Timeout", "429 Slow", "503 Full"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			target := newRawTarget(t, "d9", "", func(c *platformtest.RawConn, r *http.Request, _ int) bool {
				return c.Send(platformtest.Head(r, status, "Content-Length: 4") + "full")
			})
			s := newFaultGateway(t, []*platformtest.RawTarget{target}, nil)
			got, _, _ := s.call("r1", "/book/")
			is.Equal(got, http.StatusBadGateway)
			is.Equal(target.Requests(), 1)
		})
	}
}
