package main

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

// Guards against a request that runs twice because the HTTP library repeats it: a target
// reads it on a kept connection and closes the connection without an answer.
func TestLostAnswerIsNotRepeatedByTheTransport(t *testing.T) {
	is := is.New(t)
	target := newRawTarget(t, "d9", "", func(c *platformtest.RawConn, r *http.Request, n int) bool {
		return n == 1 && c.Send(platformtest.Whole(r, "first"))
	})
	s := newFaultGateway(t, []*platformtest.RawTarget{target}, nil)
	send := func(id string) int {
		r, err := http.NewRequest(http.MethodPost, s.baseURL+"/book/", nil)
		is.NoErr(err)
		r.Host = platformtest.Host
		r.Header.Set("X-Request-Id", id)
		r.Header.Set("X-Key", "k1")
		r.Header.Set("Idempotency-Key", "order-"+id)
		r.Header.Set("X-Idempotency-Key", "order-"+id)
		response, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		defer response.Body.Close()
		return response.StatusCode
	}
	is.Equal(send("r1"), http.StatusOK)
	is.Equal(send("r2"), http.StatusBadGateway)
	is.Equal(target.Requests(), 2)
}
