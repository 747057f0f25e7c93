package main

import (
	"fmt"
	"net/http"
	"strings"
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

func pause(ms int) { time.Sleep(time.Duration(ms) * time.Millisecond) }
