package enginehttp

import (
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

// generateTimeout is the deadline of each attempt; it bounds the time of every attempt on an
// engine in trouble.
const generateTimeout = 1500 * time.Millisecond

func serveRaw(t *testing.T, answer rawhttp.Answer) (*Client, *rawhttp.Server) {
	t.Helper()
	s, err := rawhttp.New(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c := New(Options{MaxEventBytes: 64 << 10, MaxBodyBytes: 1 << 20})
	t.Cleanup(c.Close)
	return c, s
}

// generate runs an attempt and reads its stream to the end.
func generate(t *testing.T, c *Client, address, attempt string) (text string, err error) {
	t.Helper()
	stream, err := c.Generate(t.Context(), address, port.Generation{RequestID: "r-" + attempt, AttemptID: attempt, Prompt: "p",
		MaxTokens: 8, Deadline: time.Now().Add(generateTimeout)})
	if err != nil {
		return "", err
	}
	defer stream.Close()
	for {
		chunk, err := stream.Next()
		if err == io.EOF {
			return text, nil
		}
		if err != nil {
			return text, err
		}
		text += chunk.Text
	}
}

const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	chunkZero  = "id: 0\ndata: {\"index\":0,\"text\":\"a\",\"finish_reason\":null}\n\n"
	lastChunk  = "id: 1\ndata: {\"index\":1,\"text\":\"b\",\"finish_reason\":\"stop\"}\n\n"
	done       = "data: [DONE]\n\n"
)

// Guards against a stream that counts as complete although it broke off, does not end or is
// none, and against one that is never given up although bytes arrive now and then.
func TestBrokenStreamsNeverComplete(t *testing.T) {
	for name, answer := range map[string]func(c *rawhttp.Conn){
		"no response":                     func(*rawhttp.Conn) {},
		"reset":                           func(c *rawhttp.Conn) { c.Reset() },
		"half a head":                     func(c *rawhttp.Conn) { c.Send(strings.TrimSuffix(streamHead, "\n")) },
		"a head and nothing":              func(c *rawhttp.Conn) { c.Send(streamHead) },
		"garbage":                         func(c *rawhttp.Conn) { c.Send("garbage\r\n\r\n") },
		"cut before the last chunk":       func(c *rawhttp.Conn) { c.Send(streamHead + chunkZero) },
		"reset before the last chunk":     func(c *rawhttp.Conn) { c.Send(streamHead + chunkZero); c.Reset() },
		"cut before the marker":           func(c *rawhttp.Conn) { c.Send(streamHead + chunkZero + lastChunk) },
		"marker without the last chunk":   func(c *rawhttp.Conn) { c.Send(streamHead + chunkZero + done) },
		"malformed chunk":                 func(c *rawhttp.Conn) { c.Send(streamHead + "data: {\"index\":-1}\n\n" + done) },
		"head without end":                func(c *rawhttp.Conn) { c.Send("HTTP/1.1 200 "); c.Repeat("OK OK ") },
		"header lines without end":        func(c *rawhttp.Conn) { c.Send("HTTP/1.1 200 OK\r\n"); c.Repeat("X-More: of this\r\n") },
		"informational heads without end": func(c *rawhttp.Conn) { c.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n") },
		"event line without end":          func(c *rawhttp.Conn) { c.Send(streamHead + "data: "); c.Repeat(strings.Repeat("x", 1<<10)) },
		"event line that trickles":        func(c *rawhttp.Conn) { c.Send(streamHead + "data: "); c.Trickle("x") },
		"comments, never a chunk":         func(c *rawhttp.Conn) { c.Send(streamHead); c.Trickle(": alive\n\n") },
		"one chunk, then comments":        func(c *rawhttp.Conn) { c.Send(streamHead + chunkZero); c.Trickle(": alive\n\n") },
		"comments without end":            func(c *rawhttp.Conn) { c.Send(streamHead); c.Repeat(": alive\n\n") },
		"refusal body without end":        func(c *rawhttp.Conn) { c.Send("HTTP/1.1 500 Failed\r\nConnection: close\r\n\r\n"); c.Repeat("failed") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var runs atomic.Int64
			c, s := serveRaw(t, func(conn *rawhttp.Conn, _ *http.Request) bool {
				runs.Add(1)
				answer(conn)
				return false
			})
			_, err := generate(t, c, s.Address(), "1")
			is.True(err != nil)
			var notRun *port.NotRunError
			is.True(!errors.As(err, &notRun)) // it may have run
			is.Equal(runs.Load(), int64(1))
		})
	}
}

// Guards against a sound stream that is cut because its chunks come slowly.
func TestSlowStreamIsWhole(t *testing.T) {
	is := is.New(t)
	c, s := serveRaw(t, func(conn *rawhttp.Conn, _ *http.Request) bool {
		for _, part := range []string{streamHead, ": alive\n\n", chunkZero, lastChunk, done} {
			conn.Send(part)
			time.Sleep(generateTimeout / 6)
		}
		return false
	})
	text, err := generate(t, c, s.Address(), "1")
	is.NoErr(err)
	is.Equal(text, "ab")
}

// Guards against a stream that is taken for that of the next attempt on the connection: an
// engine sends a second copy late. It is told apart by the attempt, which engines may echo.
func TestLateStreamIsNotTaken(t *testing.T) {
	is := is.New(t)
	stream := func(attempt, text string) string {
		body := fmt.Sprintf("data: {\"index\":0,\"text\":%q,\"finish_reason\":\"stop\"}\n\n%s", text, done)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", attempt, len(body), body)
	}
	first, copied := "", false
	c, s := serveRaw(t, func(conn *rawhttp.Conn, r *http.Request) bool {
		attempt := r.Header.Get("X-Attempt-Id")
		if first == "" {
			first = attempt
			return conn.Send(stream(attempt, "first"))
		}
		if !copied {
			copied = true
			conn.Send(stream(first, "first"))
		}
		return conn.Send(stream(attempt, "own"))
	})
	text, err := generate(t, c, s.Address(), "1")
	is.NoErr(err)
	is.Equal(text, "first")
	_, err = generate(t, c, s.Address(), "2")
	var unknown *port.UnknownOutcomeError
	is.True(errors.As(err, &unknown))
	text, err = generate(t, c, s.Address(), "3")
	is.NoErr(err)
	is.Equal(text, "own")
}

// Guards against status and load reports without end that take memory or time without
// bound.
func TestEndlessReports(t *testing.T) {
	for name, answer := range map[string]func(c *rawhttp.Conn){
		"without end": func(c *rawhttp.Conn) {
			c.Send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"x\":\"")
			c.Repeat(strings.Repeat("x", 1<<10))
		},
		"too large": func(c *rawhttp.Conn) {
			c.Send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n\"" + strings.Repeat("x", 2<<20) + "\"")
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, s := serveRaw(t, func(conn *rawhttp.Conn, _ *http.Request) bool { answer(conn); return false })
			_, err := c.Load(t.Context(), s.Address())
			is.True(errors.Is(err, ErrTooLarge))
			_, err = c.State(t.Context(), s.Address())
			is.True(errors.Is(err, ErrTooLarge))
		})
	}
}
