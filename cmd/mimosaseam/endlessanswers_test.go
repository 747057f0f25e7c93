package main

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

// Guards against a request that fails although another target could answer it, because the
// refusal or failure of the first one does not end.
func TestEndlessAnswersAreRetriedElsewhere(t *testing.T) {
	for name, answer := range map[string]func(c *platformtest.RawConn, r *http.Request){
		"refusal whose body trickles": func(c *platformtest.RawConn, r *http.Request) {
			c.Send(platformtest.Head(r, "503 Full", platformtest.NotRunField, "Transfer-Encoding: chunked"))
			c.Trickle("1\r\nx\r\n")
		},
		"refusal whose body never ends": func(c *platformtest.RawConn, r *http.Request) {
			c.Send(platformtest.Head(r, "503 Full", platformtest.NotRunField, "Connection: close"))
			c.Repeat("full")
		},
		"failure whose body trickles": func(c *platformtest.RawConn, r *http.Request) {
			c.Send(platformtest.Head(r, "500 Failed", "Transfer-Encoding: chunked"))
			c.Trickle("1\r\nx\r\n")
		},
		"failure whose body never ends": func(c *platformtest.RawConn, r *http.Request) {
			c.Send(platformtest.Head(r, "500 Failed", "Connection: close"))
			c.Repeat("failed")
		},
		"success whose body trickles": func(c *platformtest.RawConn, r *http.Request) {
			c.Send(platformtest.Head(r, "200 OK", "Connection: close"))
			c.Trickle("x")
		},
		"head without end": func(c *platformtest.RawConn, _ *http.Request) { c.Send("HTTP/1.1 200 "); c.Repeat("OK OK OK OK ") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			targets := make([]*platformtest.RawTarget, 2)
			first := make(chan string, 1)
			for i, id := range []string{"d8", "d9"} {
				targets[i] = newRawTarget(t, id, "", func(c *platformtest.RawConn, r *http.Request, _ int) bool {
					select {
					case first <- id:
						answer(c, r)
						return false
					default:
						return c.Send(platformtest.Whole(r, "own"))
					}
				})
			}
			s := newFaultGateway(t, targets, nil)
			path := "/look/"
			if strings.HasPrefix(name, "refusal") {
				path = "/book/"
			}
			status, body, complete := s.call("r1", path)
			is.Equal(status, http.StatusOK)
			is.Equal(body, "own")
			is.True(complete)
		})
	}
}
