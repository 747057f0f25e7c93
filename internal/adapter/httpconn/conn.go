package httpconn

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

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
	// uses counts the requests to which the connection was assigned.
	uses int
	// retired is set once no further request may be written.
	retired bool
	// writeFailed is set once a write has failed.
	writeFailed bool
}

func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, ErrSealed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	c.writeFailed = c.writeFailed || err != nil
	return n, err
}

// uploadBroken reports whether a write has failed, also one that still waits for the peer.
// Nothing can be written any more: it is for connections that have ended.
func (c *countedConn) uploadBroken() bool {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // a connection that is closed fails its writes anyway
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeFailed
}

// seal blocks further writes and returns the number of bytes written. The
// transport may still be about to write when it reports a failure.
func (c *countedConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// use assigns the connection to a request and returns the number of the use and of the bytes
// written before. A retired connection fails the request's first write, so that nothing of it
// is sent.
func (c *countedConn) use() (number int, before int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses++
	c.sealed = c.sealed || c.retired
	return c.uses, c.written
}

// retire keeps later requests from the connection, and closes it unless one has it already.
func (c *countedConn) retire(number int) {
	c.mu.Lock()
	c.retired = true
	unused := c.uses == number
	c.sealed = c.sealed || unused
	c.mu.Unlock()
	if unused {
		_ = c.Close() // nothing more is sent in any case
	}
}

// connUse is the connection assigned to a request, with its byte count at that time.
type connUse struct {
	conn   *countedConn
	before int64
	number int
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
		u.conn = counted
		u.number, u.before = counted.use()
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
