package servicehttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/standin/rawhttp"
)

// callTimeout is the deadline of each call; it bounds the time of every call to a service
// in trouble.
const callTimeout = 1500 * time.Millisecond

// maxReply bounds the memory that one reply takes.
const maxReply = 1 << 20

func serve(t *testing.T, answer rawhttp.Answer) (*Client, *rawhttp.Server) {
	t.Helper()
	s, err := rawhttp.New(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c := New(Options{MaxReplyBytes: maxReply})
	t.Cleanup(c.Close)
	return c, s
}

func call(attempt string) port.Call {
	return port.Call{RequestID: "r-" + attempt, AttemptID: attempt, Method: http.MethodPost, Path: "/book", Body: []byte("order"),
		IdempotencyKey: "key-" + attempt, Header: http.Header{}, Deadline: time.Now().Add(callTimeout)}
}

// exchange runs a call and reads its reply to the end.
func exchange(t *testing.T, c *Client, address string, in port.Call) (int, string, error) {
	t.Helper()
	reply, err := c.Call(t.Context(), address, in)
	if err != nil {
		return 0, "", err
	}
	defer reply.Body.Close()
	text, err := io.ReadAll(reply.Body)
	return reply.Status, string(text), err
}

// Guards against a success for a reply that broke off, does not end or is none, and against
// one that is reported as not run, since the call may have run.
func TestBrokenRepliesNeverSucceed(t *testing.T) {
	for name, answer := range map[string]func(c *rawhttp.Conn){
		"no reply":                        func(*rawhttp.Conn) {},
		"no reply, reset":                 func(c *rawhttp.Conn) { c.Reset() },
		"a head but for its last byte":    func(c *rawhttp.Conn) { c.Send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r") },
		"a head but for its last line":    func(c *rawhttp.Conn) { c.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n") },
		"half a status":                   func(c *rawhttp.Conn) { c.Send("HTTP/1.1 20") },
		"garbage":                         func(c *rawhttp.Conn) { c.Send("garbage\r\n\r\n") },
		"switched protocols":              func(c *rawhttp.Conn) { c.Send("HTTP/1.1 101 Switching Protocols\r\n\r\nbytes") },
		"status below 100":                func(c *rawhttp.Conn) { c.Send("HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n\r\nok") },
		"status above 599":                func(c *rawhttp.Conn) { c.Send("HTTP/1.1 999 Odd\r\nContent-Length: 2\r\n\r\nok") },
		"length, cut":                     func(c *rawhttp.Conn) { c.Send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf") },
		"length, reset":                   func(c *rawhttp.Conn) { c.Send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"); c.Reset() },
		"chunks, cut":                     func(c *rawhttp.Conn) { c.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n") },
		"no length, reset":                func(c *rawhttp.Conn) { c.Send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf"); c.Reset() },
		"head without end":                func(c *rawhttp.Conn) { c.Send("HTTP/1.1 200 "); c.Repeat("OK OK ") },
		"header lines without end":        func(c *rawhttp.Conn) { c.Send("HTTP/1.1 200 OK\r\n"); c.Repeat("X-More: of this\r\n") },
		"informational heads without end": func(c *rawhttp.Conn) { c.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n") },
		"body without end": func(c *rawhttp.Conn) {
			c.Send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
			c.Repeat(strings.Repeat("x", 1<<10))
		},
		"body that trickles": func(c *rawhttp.Conn) { c.Send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"); c.Trickle("x") },
		"head that trickles": func(c *rawhttp.Conn) { c.Trickle("H") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var runs atomic.Int64
			c, s := serve(t, func(conn *rawhttp.Conn, _ *http.Request) bool {
				runs.Add(1)
				answer(conn)
				return false
			})
			_, body, err := exchange(t, c, s.Address(), call("1"))
			var unknown *port.UnknownOutcomeError
			is.True(errors.As(err, &unknown))
			is.True(len(body) <= maxReply)
			is.Equal(runs.Load(), int64(1))
		})
	}
}

// Guards against a reply that is taken for that of the next call on the connection: a
// service sends a second copy late. It is told apart by the attempt, which services may echo.
func TestLateReplyIsNotTaken(t *testing.T) {
	is := is.New(t)
	reply := func(r *http.Request, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Attempt-Id"), len(body), body)
	}
	var first *http.Request
	copied := false
	c, s := serve(t, func(conn *rawhttp.Conn, r *http.Request) bool {
		if first == nil {
			first = r
			return conn.Send(reply(r, "first"))
		}
		if !copied {
			copied = true
			conn.Send(reply(first, "first"))
		}
		return conn.Send(reply(r, "own"))
	})
	_, body, err := exchange(t, c, s.Address(), call("1"))
	is.NoErr(err)
	is.Equal(body, "first")
	_, _, err = exchange(t, c, s.Address(), call("2"))
	var unknown *port.UnknownOutcomeError
	is.True(errors.As(err, &unknown))
	_, body, err = exchange(t, c, s.Address(), call("3"))
	is.NoErr(err)
	is.Equal(body, "own")
}

// Guards against a refusal that holds up its call because its body does not end.
func TestRefusalIsNotReadToItsEnd(t *testing.T) {
	is := is.New(t)
	c, s := serve(t, func(conn *rawhttp.Conn, _ *http.Request) bool {
		conn.Send("HTTP/1.1 503 Full\r\nX-Not-Run: true\r\nConnection: close\r\n\r\n")
		conn.Trickle("x")
		return false
	})
	in := call("1")
	in.Deadline = time.Time{}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second) // it ends long before
	defer cancel()
	_, err := c.Call(ctx, s.Address(), in)
	var notRun *port.NotRunError
	is.True(errors.As(err, &notRun))
	is.NoErr(ctx.Err())
}
