package httpconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
)

var errWrite = eris.New("write failed")

// brokenConn fails writes while fail is set, after passing some bytes.
type brokenConn struct {
	net.Conn
	fail *atomic.Bool
	pass int
}

func (c *brokenConn) Write(p []byte) (int, error) {
	if !c.fail.Load() {
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:min(c.pass, len(p))])
	return n, errWrite
}

// Guards against a request reported as unsent although a byte was written, a retry
// of a request that was sent, and a missing retry of one that was not.
func TestFailedWrites(t *testing.T) {
	cases := map[string]struct {
		pass     int
		reused   bool
		succeeds bool
		nothing  bool
	}{
		"pooled connection, nothing written": {pass: 0, reused: true, succeeds: true},
		"pooled connection, one byte":        {pass: 1, reused: true},
		"new connection, nothing written":    {pass: 0, nothing: true},
		"new connection, one byte":           {pass: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var served atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
			defer server.Close()
			var fail atomic.Bool
			dialed := 0
			pool := New(Options{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, network, address)
				// Only the first connection breaks.
				if dialed++; dialed > 1 {
					return conn, err
				}
				return &brokenConn{Conn: conn, fail: &fail, pass: c.pass}, err
			}}})
			defer pool.Close()
			build := func(ctx context.Context) (*http.Request, error) {
				return http.NewRequestWithContext(ctx, http.MethodPost, server.URL, strings.NewReader("body"))
			}
			if c.reused {
				is.NoErr(send(t.Context(), pool, build))
			}
			before := served.Load()
			fail.Store(true)
			err := send(t.Context(), pool, build)
			is.Equal(err == nil, c.succeeds)
			if failure := (*Failure)(nil); errors.As(err, &failure) {
				is.Equal(failure.NothingSent, c.nothing)
			}
			is.Equal(served.Load()-before == 1, c.succeeds)
		})
	}
}

func send(ctx context.Context, pool *Pool, build func(context.Context) (*http.Request, error)) error {
	response, err := pool.Send(ctx, build)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
