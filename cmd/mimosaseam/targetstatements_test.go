package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

// Guards against requests to a target after it said in a response that it leaves or wants
// none for a time, while the log cannot say so.
func TestTargetsAreBelievedWithoutTheLog(t *testing.T) {
	for name, answer := range map[string]func(r *http.Request) string{
		"leaving": func(r *http.Request) string {
			return platformtest.Head(r, "200 OK", "Server-Leaving: 1", "Content-Length: 2") + "ok"
		},
		"refusing and leaving": func(r *http.Request) string {
			return platformtest.Head(r, "503 Full", platformtest.NotRunField, "Server-Leaving: 1", "Content-Length: 0")
		},
		"waiting": func(r *http.Request) string {
			return platformtest.Head(r, "503 Full", platformtest.NotRunField, "Retry-After: 30", "Content-Length: 0")
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			says := newRawTarget(t, "d8", "", func(c *platformtest.RawConn, r *http.Request, _ int) bool { return c.Send(answer(r)) })
			other := newRawTarget(t, "d9", "", func(c *platformtest.RawConn, r *http.Request, _ int) bool {
				return c.Send(platformtest.Whole(r, "ok"))
			})
			s := newFaultGateway(t, []*platformtest.RawTarget{says, other}, nil)
			s.log.SetFaults(platformtest.LogFaults{Busy: true})
			calls := 0
			serve := func() {
				calls++
				status, _, complete := s.call(fmt.Sprintf("r%d", calls), "/book/")
				is.Equal(status, http.StatusOK)
				is.True(complete)
			}
			s.await("the statement", func() bool { serve(); return says.Requests() > 0 })
			before := other.Requests()
			for range 50 {
				serve()
			}
			is.Equal(says.Requests(), 1)
			is.Equal(other.Requests(), before+50)
		})
	}
}

// Guards against clients that are held, or told too short a time, while all targets wait.
func TestClientsAreToldWhenTheFirstTargetTakesRequests(t *testing.T) {
	is := is.New(t)
	waiting := func(id string, seconds int) *platformtest.RawTarget {
		return newRawTarget(t, id, "", func(c *platformtest.RawConn, r *http.Request, _ int) bool {
			return c.Send(platformtest.Head(r, "503 Full", platformtest.NotRunField, "Retry-After: "+strconv.Itoa(seconds), "Content-Length: 0"))
		})
	}
	long, short := waiting("d8", 400), waiting("d9", 100)
	s := newFaultGateway(t, []*platformtest.RawTarget{long, short}, nil)
	for i := range 20 {
		r, err := http.NewRequest(http.MethodPost, s.baseURL+"/book/", strings.NewReader("order"))
		is.NoErr(err)
		r.Host = platformtest.Host
		r.Header.Set("X-Request-Id", fmt.Sprintf("r%d", i))
		r.Header.Set("X-Key", "k1")
		response, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(seconds > 90 && seconds <= 150)
	}
	is.Equal(long.Requests(), 1)
	is.Equal(short.Requests(), 1)
}
