package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

// Guards against a large sound answer that is cut on its way because it takes longer than
// a small one may, while another target is free.
func TestLargeSoundAnswerIsNotCut(t *testing.T) {
	is := is.New(t)
	const part = 200 << 10
	answer := func(c *platformtest.RawConn, r *http.Request, _ int) bool {
		c.Send(platformtest.Head(r, "200 OK", fmt.Sprintf("Content-Length: %d", 3*part)))
		for range 3 {
			c.Send(strings.Repeat("x", part))
			pause(400)
		}
		return true
	}
	targets := []*platformtest.RawTarget{newRawTarget(t, "d8", "", answer), newRawTarget(t, "d9", "", answer)}
	s := newFaultGateway(t, targets, nil)
	status, body, complete := s.call("r1", "/look/")
	is.Equal(status, http.StatusOK)
	is.True(complete)
	is.Equal(len(body), 3*part)
	is.Equal(targets[0].Requests()+targets[1].Requests(), 1)
}

// Guards against the answer of a second target behind the begin of a first one's.
func TestLargeAnswerIsNotContinuedByAnother(t *testing.T) {
	const large = 300 << 10 // more than the router buffers before it relays
	for name, begin := range map[string]func(r *http.Request) string{
		"length": func(r *http.Request) string { return platformtest.Head(r, "200 OK", "Content-Length: 400000") },
		"chunks": func(r *http.Request) string {
			return platformtest.Head(r, "200 OK", "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n", large)
		},
		"no length": func(r *http.Request) string { return platformtest.Head(r, "200 OK", "Connection: close") },
		"failure": func(r *http.Request) string {
			return platformtest.Head(r, "404 None", "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n", large)
		},
	} {
		for _, path := range []string{"/look/", "/book/", "/check/"} {
			t.Run(name+", "+path, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var requests atomic.Int64
				answer := func(conn *platformtest.RawConn, r *http.Request, _ int) bool {
					if requests.Add(1) > 1 {
						return conn.Send(platformtest.Whole(r, secondEvent))
					}
					conn.Send(begin(r) + strings.Repeat("x", large))
					if name == "no length" {
						pause(200) // the router has read what was sent
						conn.Reset()
					}
					return false
				}
				targets := []*platformtest.RawTarget{newRawTarget(t, "d8", "", answer), newRawTarget(t, "d9", "", answer)}
				engines := []*platformtest.RawTarget{newRawTarget(t, "e8", platformtest.Model, answer), newRawTarget(t, "e9", platformtest.Model, answer)}
				s := newFaultGateway(t, targets, engines)
				_, body, complete := s.call("r1", path, engineFields...)
				if strings.HasPrefix(body, "x") {
					is.True(!complete)
					is.Equal(strings.Trim(body, "x"), "")
				} else {
					is.True(body == secondEvent || body == "unknown\n")
				}
			})
		}
	}
}

func pause(ms int) { time.Sleep(time.Duration(ms) * time.Millisecond) }
