package clientconn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/core/membudget"
)

const (
	// headFactor and headLineBytes are what the server holds of a head: its bytes as read and
	// as text, and for each line an entry of a map with a list of values. The second is
	// measured with lines of four bytes.
	headFactor    = 2
	headLineBytes = 160
	// headSlack is what net/http adds to the limit of a head for its read buffer.
	headSlack = 4096
	// headTimeSlack is added to the time in which a head must arrive, for the links on its way.
	headTimeSlack = time.Second
	// resetDelay is the time that a client has to read the refusal of its head.
	resetDelay = 500 * time.Millisecond
	// writeBytes is the size of one write to a client. Its end is progress. Larger ones would wait
	// for delayed acknowledgements while the send buffer is full.
	writeBytes = 16 << 10
)

// ErrHeadTooLarge means that the head of a request exceeds the limit.
var ErrHeadTooLarge = eris.New("the head of the request is too large")

// headRefusal is the response to a head that is too large. The server of net/http sends the
// same at its own limit.
const headRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\nthe head of the request is too large\n"

// Conn is the connection of a client.
type Conn struct {
	net.Conn
	budget *membudget.Budget
	holder *membudget.Holder
	limits func() Limits
	log    *decisionLog

	mu sync.Mutex
	// The budget calls giveWay, which locks mu: under mu, nothing may be called that locks the
	// budget.

	// closed is set once the connection has given way without a request, or with half a head:
	// no request is served on it any more.
	closed bool
	// refused is set once the head was refused: nothing else is sent.
	refused bool
	// stopped is set once a body is not read any further.
	stopped bool
	head    headReader
	// headEnd is when the head must have arrived; zero: no such limit, or no head.
	headEnd time.Time
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. A request is never served on a connection that has given way.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	cost, refusal := c.observe(p[:n])
	if refusal == nil && cost > 0 {
		refusal = c.take(membudget.KindHead, cost)
	}
	if refusal != nil {
		return 0, c.refuse(refusal)
	}
	return n, err
}

// observe follows the head of a request and returns what it costs in addition.
func (c *Conn) observe(p []byte) (cost int64, err error) {
	if c.holder == nil {
		return 0, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	switch c.holder.Phase() {
	case membudget.PhaseIdle, membudget.PhaseNew:
		c.holder.Enter(membudget.PhaseHead)
		c.head = headReader{}
		if limit := c.limits().HeadTime; limit > 0 {
			c.headEnd = time.Now().Add(limit + headTimeSlack)
			_ = c.Conn.SetReadDeadline(c.headEnd) // the next read reports a connection that is closed
		}
	case membudget.PhaseHead:
	default:
		return 0, nil
	}
	read, lines := c.head.read(p)
	if limit := c.limits().HeadBytes; limit > 0 && c.head.bytes > limit+headSlack {
		return 0, ErrHeadTooLarge
	}
	if c.head.ended {
		c.headEnd = time.Time{}
		c.holder.Enter(membudget.PhaseRunning)
	}
	return int64(headFactor*read + headLineBytes*lines), nil
}

// refuse ends the connection because of a head, and returns the error of the read.
func (c *Conn) refuse(cause error) error {
	if errors.Is(cause, net.ErrClosed) {
		return cause
	}
	if errors.Is(cause, ErrHeadTooLarge) {
		c.log.decide(MetricHeadsRefused, "head refused, too large", c.client())
		_, _ = io.WriteString(c.Conn, headRefusal) // the connection is closed in any case
		_ = c.CloseWrite()
		// A connection that is closed with bytes unread is reset, which may take the response
		// from the client. The server of net/http waits likewise.
		time.Sleep(resetDelay)
	} else {
		c.log.decide(MetricClosed, "connection closed, no memory for the head", c.client())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = true
	return cause
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.holder == nil {
		return c.Conn.Write(p)
	}
	c.mu.Lock()
	refused := c.refused
	c.mu.Unlock()
	if refused {
		return len(p), nil // the response to the head was sent
	}
	phase := c.holder.Phase()
	c.holder.Enter(membudget.PhaseWriting)
	defer c.holder.Enter(phase)
	written := 0
	for {
		n, err := c.Conn.Write(p[written:min(len(p), written+writeBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
		c.holder.Progress()
	}
}

// CloseWrite ends the connection to the client, so that it can read the last response. The
// server of net/http calls it.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. What the connection takes is returned once it is closed: TLS waits
// for seconds for a client that does not read.
func (c *Conn) Close() error {
	c.holder.Enter(membudget.PhaseWriting)
	defer c.holder.Close()
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn. While a head is read, its own deadline holds.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return nil
	}
	if !c.headEnd.IsZero() && (t.IsZero() || t.After(c.headEnd)) {
		t = c.headEnd
	}
	return c.Conn.SetReadDeadline(t)
}

// giveWay ends what the connection waits for.
func (c *Conn) giveWay(p membudget.Phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.holder.Phase() != p {
		return false
	}
	if p == membudget.PhaseBody {
		c.stopLocked() // the request is answered
		return true
	}
	c.closed = true
	_ = c.closeRaw() // an error means that it is closed already
	// The budget is locked.
	go c.log.decide(MetricClosed, "connection closed, memory is short and it made no progress for longest", c.client())
	return true
}

// closeRaw closes the connection at once: that of TLS would first wait for the client.
func (c *Conn) closeRaw() error {
	raw := c.Conn
	if w, ok := raw.(interface{ NetConn() net.Conn }); ok {
		raw = w.NetConn()
	}
	return raw.Close()
}

// stop makes reads fail from now on: the server does not read the rest of a refused body.
func (c *Conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopLocked()
}

func (c *Conn) isStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped
}

func (c *Conn) stopLocked() {
	c.stopped = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // the next read reports a connection that is closed
}

func (c *Conn) client() string { return c.Conn.RemoteAddr().String() }

// enter begins a phase of a request unless the connection has given way.
func (c *Conn) enter(p membudget.Phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.headEnd = time.Time{}
	c.holder.Enter(p)
	return true
}

// completeBody ends the reading of a body and reports whether the connection has not given way
// meanwhile.
func (c *Conn) completeBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	c.holder.Enter(membudget.PhaseRunning)
	return true
}

// OnStateChange is the ConnState of a server whose connections are counted.
func OnStateChange(conn net.Conn, state http.ConnState) {
	c := find(conn)
	if c != nil && state == http.StateIdle {
		c.holder.EndRequest()
	}
}

// headReader counts the bytes and lines of a head and finds its end.
type headReader struct {
	bytes, lines int
	// line is the length of the current line so far, without a carriage return.
	line int
	// begun is set with the first line that is not empty: the server skips empty ones before it.
	begun, ended bool
}

// read follows the next bytes and returns how many bytes and lines of them belong to the head.
func (h *headReader) read(p []byte) (read, lines int) {
	for len(p) > 0 && !h.ended {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.line += len(bytes.TrimRight(p, "\r"))
			h.bytes += len(p)
			return read + len(p), lines
		}
		h.line += len(bytes.TrimRight(p[:end], "\r"))
		h.bytes += end + 1
		read += end + 1
		p = p[end+1:]
		h.ended = h.line == 0 && h.begun
		h.begun = h.begun || h.line > 0
		h.lines++
		lines++
		h.line = 0
	}
	return read, lines
}
