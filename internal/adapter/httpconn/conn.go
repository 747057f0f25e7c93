package httpconn

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// ErrSealed is the error of writes to a connection whose request was given up.
var ErrSealed = eris.New("connection is sealed after a failed request")

// countedConn counts the bytes written, so that a failed request can be told
// from one that never left this process.
type countedConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, ErrSealed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

func (c *countedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal forbids further writes and returns the bytes written before. The
// transport may still be about to write when it reports a failure.
func (c *countedConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// use is the connection that a request was given, with its count at that time.
type use struct {
	conn   *countedConn
	before int64
	reused bool
}

// watch records which connection a request uses. The transport may try several
// when nothing was written to the first; the last one counts.
type watch struct {
	last atomic.Pointer[use]
}

func (w *watch) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: w.gotConn}
}

func (w *watch) gotConn(info httptrace.GotConnInfo) {
	raw := info.Conn
	for {
		wrapper, ok := raw.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		raw = wrapper.NetConn()
	}
	u := &use{reused: info.Reused}
	if counted, ok := raw.(*countedConn); ok {
		u.conn, u.before = counted, counted.count()
	}
	w.last.Store(u)
}

// nothingSent reports whether no byte of the request was or will be written,
// and whether its connection came from the pool.
func (w *watch) nothingSent() (nothing, reused bool) {
	u := w.last.Load()
	if u == nil {
		return true, false
	}
	if u.conn == nil {
		return false, u.reused
	}
	return u.conn.seal() == u.before, u.reused
}
