package httpconn

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// ErrSealed is returned by writes to a connection whose request has failed.
var ErrSealed = eris.New("connection is sealed after a failed request")

// countedConn counts the bytes written, to distinguish a failed request that may
// have arrived from one that never left this process.
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

// seal blocks further writes and returns the number of bytes written. The
// transport may still be about to write when it reports a failure.
func (c *countedConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// connUse is the connection assigned to a request, with its byte count at that time.
type connUse struct {
	conn   *countedConn
	before int64
	reused bool
}

// connTracker records which connection a request uses. The transport may try several
// when nothing was written to the first; the last one counts.
type connTracker struct {
	last atomic.Pointer[connUse]
}

func (t *connTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn}
}

func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	raw := info.Conn
	for {
		wrapper, ok := raw.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		raw = wrapper.NetConn()
	}
	u := &connUse{reused: info.Reused}
	if counted, ok := raw.(*countedConn); ok {
		u.conn, u.before = counted, counted.count()
	}
	t.last.Store(u)
}

// nothingSent reports whether no byte of the request was or will be written,
// and whether its connection came from the pool.
func (t *connTracker) nothingSent() (nothing, reused bool) {
	u := t.last.Load()
	if u == nil {
		return true, false
	}
	if u.conn == nil {
		return false, u.reused
	}
	return u.conn.seal() == u.before, u.reused
}
