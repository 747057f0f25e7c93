package main

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

// faultTimeoutMs is the timeout of the routes of newFaultGateway. It bounds the time of
// every request to a target in trouble.
const faultTimeoutMs = 1500

// newFaultGateway starts a router whose plain service has the given targets and whose
// model is served by the given engines. Its routes are book (not idempotent), look
// (idempotent), brief (a stream that must not be repeated) and check (a resumable one). more
// are further fields of the router's settings.
func newFaultGateway(t *testing.T, services, engines []*platformtest.RawTarget, more ...string) *testGateway {
	t.Helper()
	s := newTestGateway(t, 60_000, more...)
	s.await("ready", s.ready)
	s.log.RemoveTarget(s.service.ID)
	s.log.RemoveTarget(s.engine.ID)
	s.log.ConfigureKinds(9, faultTimeoutMs, "k1")
	for _, target := range services {
		s.log.PutTarget(target.Target, "desk", false, 1)
	}
	for _, target := range engines {
		s.log.PutTarget(target.Target, "llm", false, 1)
	}
	s.await("the targets in trouble", func() bool {
		known := map[string]bool{}
		for _, target := range s.node.dir.All() {
			known[target.ID] = true
		}
		for _, target := range append(services, engines...) {
			if !known[target.ID] {
				return false
			}
		}
		return s.node.gateway.Configuration().Version == 9 && len(known) == len(services)+len(engines)
	})
	return s
}

func newRawTarget(t *testing.T, id, model string, answer func(c *platformtest.RawConn, r *http.Request, number int) bool) *platformtest.RawTarget {
	t.Helper()
	target, err := platformtest.NewRawTarget(id, model, answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Close)
	return target
}

// call sends a request with an id of its own and returns the status, the body, and whether
// the answer was complete. The status is 0 if there was no head.
func (s *testGateway) call(id, path string, fields ...string) (status int, body string, complete bool) {
	s.t.Helper()
	r, err := http.NewRequest(http.MethodPost, s.baseURL+path, strings.NewReader("order"))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = platformtest.Host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Key", "k1")
	for i := 0; i+1 < len(fields); i += 2 {
		r.Header.Set(fields[i], fields[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", false
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err == nil
}

// Guards against an answer that reaches the caller of another request: a target sends a
// second copy of its answer on a connection that is in use again.
func TestLateCopyReachesNobody(t *testing.T) {
	for name, copied := range map[string]func(r *http.Request) string{
		"success": func(r *http.Request) string { return platformtest.Whole(r, "first") },
		"refusal": func(r *http.Request) string {
			return platformtest.Head(r, "503 Full", platformtest.NotRunField, "Content-Length: 0")
		},
		"refusal without an id": func(*http.Request) string {
			return "HTTP/1.1 503 Full\r\n" + platformtest.NotRunField + "\r\nContent-Length: 0\r\n\r\n"
		},
		"misdirected without an id": func(*http.Request) string { return "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n" },
		"success without an id":     func(*http.Request) string { return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst" },
		"bytes that are no answer":  func(*http.Request) string { return "first\r\n\r\n" },
		"informational head and copy": func(r *http.Request) string {
			return "HTTP/1.1 103 Early Hints\r\n\r\n" + platformtest.Whole(r, "first")
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var first *http.Request
			target := newRawTarget(t, "d9", "", func(c *platformtest.RawConn, r *http.Request, n int) bool {
				if n == 1 {
					first = r
					return c.Send(platformtest.Whole(r, "first"))
				}
				if c.Requests > 1 && n == 2 {
					c.Send(copied(first))
				}
				return c.Send(platformtest.Whole(r, "own"))
			})
			s := newFaultGateway(t, []*platformtest.RawTarget{target}, nil)
			status, body, complete := s.call("r1", "/book/")
			is.Equal(status, http.StatusOK)
			is.Equal(body, "first")
			is.True(complete)
			status, body, _ = s.call("r2", "/book/")
			is.Equal(target.Requests(), 2)            // ran once
			is.Equal(status, http.StatusBadGateway)   // its outcome is unknown
			is.True(!strings.Contains(body, "first")) // another request's answer
			status, body, _ = s.call("r3", "/book/")
			is.Equal(status, http.StatusOK)
			is.Equal(body, "own")
		})
	}
}

// Guards against a repeat of a refused request that takes a late copy of the refusal for
// its answer: it would run, and the caller would be told that it has not.
func TestLateCopyOfARefusalIsNotBelieved(t *testing.T) {
	is := is.New(t)
	target := newRawTarget(t, "d9", "", func(c *platformtest.RawConn, r *http.Request, n int) bool {
		refusal := platformtest.Head(r, "503 Full", platformtest.NotRunField, "Content-Length: 0")
		if n == 1 {
			return c.Send(refusal)
		}
		if c.Requests > 1 {
			c.Send(refusal) // the copy
		}
		return c.Send(platformtest.Whole(r, "ran"))
	})
	s := newFaultGateway(t, []*platformtest.RawTarget{target}, nil)
	status, body, _ := s.call("r1", "/book/")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "ran")
	is.Equal(target.Requests(), 2) // the refusal, and one run
}
