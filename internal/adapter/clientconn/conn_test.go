package clientconn

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/membudget"
)

const (
	testBudget = 4 << 20
	testLimit  = 1 << 20
	testHead   = 2 << 10
	// waitTimeout bounds the wait for a state; it checks no time.
	waitTimeout = 20 * time.Second
)

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// testServer is a server that answers with the length of the body, or with why it was not read.
type testServer struct {
	t       *testing.T
	budget  *membudget.Budget
	address string
	server  *httptest.Server
	// running receives a value for each request to /hold that was read completely; it ends
	// with release.
	running, release chan struct{}
	releaseAll       func()
}

func newTestServer(t *testing.T, connections int, secure bool) *testServer {
	t.Helper()
	s := &testServer{t: t, budget: membudget.New(membudget.Options{Bytes: testBudget, Connections: connections, Clock: systemClock{}}),
		running: make(chan struct{}, 100), release: make(chan struct{})}
	s.server = httptest.NewUnstartedServer(http.HandlerFunc(s.serve))
	s.server.Config.ConnState, s.server.Config.ConnContext = OnStateChange, WithConn
	s.releaseAll = sync.OnceFunc(func() { close(s.release) })
	inner := s.server.Listener
	s.address = inner.Addr().String()
	if secure {
		certified := httptest.NewTLSServer(nil) // for its certificate
		defer certified.Close()
		inner = tls.NewListener(inner, &tls.Config{Certificates: certified.TLS.Certificates})
	}
	s.server.Listener = Listen(inner, Options{Budget: s.budget, Limits: func() Limits { return Limits{HeadBytes: testHead, HeadTime: time.Minute} }})
	s.server.Start()
	t.Cleanup(func() {
		s.releaseAll()
		s.server.Close()
	})
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(w, r, testLimit, waitTimeout)
	var large *http.MaxBytesError
	var gaveWay *GaveWayError
	switch {
	case errors.As(err, &large):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.As(err, &gaveWay):
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil:
		panic(http.ErrAbortHandler)
	default:
		if r.URL.Path == "/hold" {
			s.running <- struct{}{}
			<-s.release
		}
		fmt.Fprint(w, len(body))
	}
}

type client struct {
	net.Conn
	in *bufio.Reader
}

func (s *testServer) dial() *client {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() }) // it may be closed
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	return &client{Conn: c, in: bufio.NewReader(c)}
}

func (c *client) send(text string) { _, _ = io.WriteString(c.Conn, text) } // answer reports what follows

// answer returns the status and body of the next response, 0 if there is none.
func (c *client) answer() (int, string) {
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, ""
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(r.Body)
	return r.StatusCode, string(text)
}

func post(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, length)
}

// fill opens requests whose bodies stop short of their end until there is no room for more.
func (s *testServer) fill() []*client {
	s.t.Helper()
	var all []*client
	for range testBudget/testLimit + 2 {
		c := s.dial()
		c.send(post("/", testLimit) + strings.Repeat("x", testLimit-1))
		all = append(all, c)
	}
	return all
}

// Guards against the end of a head that is not found, so that a complete request counts as half
// a head, or found too early, so that the rest of the head is not counted.
func TestHeadReaderFindsTheEnd(t *testing.T) {
	is := is.New(t)
	const text = "\r\nGET / HTTP/1.1\r\nHost: h\r\nX-Empty:\r\n\r\n"
	for split := range len(text) {
		var h headReader
		bytes, lines := h.read([]byte(text[:split]))
		is.True(!h.ended)
		more, moreLines := h.read([]byte(text[split:] + "body\n\nGET"))
		is.True(h.ended)
		is.Equal(bytes+more, len(text))
		is.Equal(lines+moreLines, 5)
		is.Equal(h.bytes, len(text))
	}
}

// Guards against requests within the limits that are not served, on kept and pipelined
// connections, and against memory that is still held after them.
func TestOrdinaryRequestsAreServed(t *testing.T) {
	for _, secure := range []bool{false, true} {
		t.Run(fmt.Sprint("TLS ", secure), func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t, 0, secure)
			c := s.dial()
			if secure {
				c.Conn = tls.Client(c.Conn, &tls.Config{InsecureSkipVerify: true})
				c.in = bufio.NewReader(c.Conn)
			}
			for range 3 {
				c.send(post("/", 5) + "hello" + post("/", testLimit) + strings.Repeat("x", testLimit) + "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				for _, want := range []string{"5", fmt.Sprint(testLimit), "0"} {
					status, body := c.answer()
					is.Equal(status, http.StatusOK)
					is.Equal(body, want)
				}
				c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
				_, body := c.answer()
				is.Equal(body, "3")
			}
			_ = c.Close() // the server sees the end
			s.await("nothing is held", func() bool { return s.budget.Stats().Connections == 0 })
			is.Equal(s.budget.Stats().Held, map[string]int64{"connections": 0, "heads": 0, "bodies": 0, "replies": 0})
		})
	}
}

func (s *testServer) await(what string, is func() bool) {
	s.t.Helper()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for end := time.Now().Add(waitTimeout); !is(); <-ticker.C {
		if time.Now().After(end) {
			s.t.Fatal("not reached: " + what)
		}
	}
}

// Guards against a body over the limit of which the server reads anything but what it must, and
// against a refusal that the client does not get.
func TestBodiesOverTheLimitAreRefused(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 0, false)
	c := s.dial()
	c.send(post("/", testLimit+1)) // and nothing of the body
	status, _ := c.answer()
	is.Equal(status, http.StatusRequestEntityTooLarge)
	_, err := c.in.ReadByte()
	is.True(errors.Is(err, io.EOF)) // the connection is closed
	c = s.dial()
	c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	for range testLimit/1024 + 1 {
		c.send("400\r\n" + strings.Repeat("x", 1024) + "\r\n")
	}
	status, _ = c.answer()
	is.Equal(status, http.StatusRequestEntityTooLarge)
}

// Guards against a head over the limit that is served, and one without end that is kept.
func TestHeadsOverTheLimitAreRefused(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 0, false)
	for _, end := range []string{"", "\r\n\r\n"} {
		c := s.dial()
		c.send("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", testHead+headSlack) + end)
		status, _ := c.answer()
		is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
		_, err := c.in.ReadByte()
		is.True(err != nil)
	}
	c := s.dial()
	c.send("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", testHead-100) + "\r\n\r\n")
	status, _ := c.answer()
	is.Equal(status, http.StatusOK)
}

// Guards against stalled bodies that keep their memory from others, and against ones that are
// closed without an answer.
func TestStalledBodiesGiveWay(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 0, false)
	stalled := s.fill()
	c := s.dial()
	s.await("a large body is served", func() bool {
		c := s.dial()
		c.send(post("/", testLimit) + strings.Repeat("x", testLimit))
		status, body := c.answer()
		return status == http.StatusOK && body == fmt.Sprint(testLimit)
	})
	c.send(post("/", 5) + "hello")
	status, _ := c.answer()
	is.Equal(status, http.StatusOK)
	is.True(s.budget.Stats().GaveWay > 0)
	refused := 0
	for _, c := range stalled {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if status, _ := c.answer(); status != 0 {
			is.Equal(status, http.StatusServiceUnavailable)
			refused++
		}
	}
	is.True(refused > 0)
}

// Guards against a complete request whose connection is closed for the memory of others.
func TestCompleteRequestsAreKept(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 8, false)
	var held []*client
	for range 2 {
		c := s.dial()
		c.send(post("/hold", testLimit) + strings.Repeat("x", testLimit))
		held = append(held, c)
		select {
		case <-s.running:
		case <-time.After(waitTimeout):
			t.Fatal("the request was not read")
		}
	}
	s.fill()
	s.await("others are refused", func() bool { return s.budget.Stats().GaveWay > 0 })
	s.releaseAll()
	for _, c := range held {
		status, body := c.answer()
		is.Equal(status, http.StatusOK)
		is.Equal(body, fmt.Sprint(testLimit))
	}
}

// Guards against a crowd of connections that leaves no place for a new client.
func TestIdleConnectionsGiveWay(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 4, false)
	var idle []*client
	for range 4 {
		c := s.dial()
		c.send(post("/", 0))
		status, _ := c.answer()
		is.Equal(status, http.StatusOK)
		idle = append(idle, c)
	}
	c := s.dial()
	c.send(post("/", 0))
	status, _ := c.answer()
	is.Equal(status, http.StatusOK)
	served := 0
	for _, c := range idle {
		c.send(post("/", 0))
		if status, _ := c.answer(); status == http.StatusOK {
			served++
		}
	}
	is.Equal(served, 3)
}

// Guards against heads whose end is seen where it is not, so that the rest is not counted.
func TestEndOfHeads(t *testing.T) {
	for _, c := range []struct {
		parts []string
		ended bool
		lines int
	}{
		{[]string{"GET / HTTP/1.1\r\n\r\n"}, true, 2},
		{[]string{"\r\n\r\nGET / HTTP/1.1\r\na: b\r\n"}, false, 4},
		{[]string{"\r\n", "\r\n", "GET / HTTP/1.1\r", "\n", "\r\n"}, true, 4},
		{[]string{"\n\n\n"}, false, 3},
		{[]string{"a", "\n", "\n"}, true, 2},
	} {
		is := is.New(t)
		var h headReader
		for _, part := range c.parts {
			h.read([]byte(part))
		}
		is.Equal(h.ended, c.ended)
		is.Equal(h.lines, c.lines)
	}
}

// slowConn is a connection whose Close waits, as that of TLS does for a client that does not read.
type slowConn struct {
	net.Conn
	closing, release chan struct{}
}

func (c *slowConn) Close() error {
	close(c.closing)
	<-c.release
	return nil
}

// oneConn is a listener of one connection.
type oneConn struct {
	net.Listener
	conn net.Conn
}

func (l oneConn) Accept() (net.Conn, error) { return l.conn, nil }

// Guards against connections that are still open and not counted any more.
func TestConnectionIsCountedUntilItIsClosed(t *testing.T) {
	is := is.New(t)
	raw := &slowConn{closing: make(chan struct{}), release: make(chan struct{})}
	budget := membudget.New(membudget.Options{Bytes: testBudget, Clock: systemClock{}})
	c, err := Listen(oneConn{conn: raw}, Options{Budget: budget}).Accept()
	is.NoErr(err)
	closed := make(chan error, 1)
	go func() { closed <- c.Close() }()
	<-raw.closing
	is.Equal(budget.Stats().Connections, 1)
	close(raw.release)
	is.NoErr(<-closed)
	is.Equal(budget.Stats().Connections, 0)
}

// manyConns is a listener that always has a connection.
type manyConns struct {
	net.Listener
	left int
}

func (l *manyConns) Accept() (net.Conn, error) {
	if l.left--; l.left < 0 {
		return nil, net.ErrClosed
	}
	server, client := net.Pipe()
	_ = client.Close()
	return server, nil
}

// Guards against connections that wait one after the other for room that there is not, while the
// kernel holds what those behind them have sent.
func TestConnectionsDoNotWaitOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		budget := membudget.New(membudget.Options{Bytes: testBudget, Connections: 1, Clock: systemClock{}})
		l := Listen(&manyConns{left: 100}, Options{Budget: budget})
		first, err := l.Accept()
		is.NoErr(err)
		counted(requestOf(first)).holder.Enter(membudget.PhaseRunning)
		begun := time.Now()
		_, err = l.Accept() // all others are closed
		is.True(errors.Is(err, net.ErrClosed))
		is.True(time.Since(begun) < 2*acceptWait)
		is.NoErr(first.Close())
	})
}

func requestOf(c net.Conn) *http.Request {
	r, _ := http.NewRequestWithContext(WithConn(context.Background(), c), http.MethodGet, "/", nil) // a valid one
	return r
}
