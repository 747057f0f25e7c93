// Package clientconn makes the connections of clients hold their memory within the budget of the
// process: the connections themselves, the heads and bodies of requests, and what is buffered of
// their responses.
package clientconn

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"os"
	"time"

	"mimosaseam.example/mimosaseam/internal/adapter/sockbuf"
	"mimosaseam.example/mimosaseam/internal/core/membudget"
)

const (
	// acceptWait is how long an accepted connection waits for others to give way before it is
	// closed, unless the one before it did so in vain. It is longer than the time after which a
	// stalled one does.
	acceptWait = 1500 * time.Millisecond
	// takeWait is how long a request waits for memory before it is refused.
	takeWait = 2 * time.Second
	// askInterval is the time between two requests for memory of one that waits: holders give
	// way after some time without progress, of which nobody is told.
	askInterval = 50 * time.Millisecond
	// acceptInterval is the same for a new connection: others wait behind it.
	acceptInterval = 5 * time.Millisecond
	// tlsBytes is what TLS adds to a connection: a record of 16 KiB each way, and its state.
	tlsBytes = 40 << 10
)

// Limits bound what a client sends. Zero fields do not.
type Limits struct {
	// HeadBytes bounds the head of a request, HeadTime the time in which it is sent.
	HeadBytes int
	HeadTime  time.Duration
}

// Options configures a Listener. Limits may be nil.
type Options struct {
	Budget *membudget.Budget
	// Limits returns the limits in force.
	Limits  func() Limits
	Logger  *slog.Logger
	Metrics Metrics
}

var (
	// CallerBuffers suit bodies of some MiB, also from far away.
	CallerBuffers = sockbuf.Sizes{Receive: 16 << 10, Send: 24 << 10}
	// ProbeBuffers suit requests without bodies.
	ProbeBuffers = sockbuf.Sizes{Receive: 4 << 10, Send: 16 << 10}
)

// ListenTCP listens on an address for clients, whose connections have such buffers.
func ListenTCP(address string, buffers sockbuf.Sizes) (net.Listener, error) {
	config := net.ListenConfig{Control: buffers.Control}
	return config.Listen(context.Background(), "tcp", address)
}

// Listener accepts connections of clients within the budget. A nil budget accepts all.
type Listener struct {
	net.Listener
	options Options
	log     *decisionLog
	// short is set once a connection has found no room: those behind it do not wait, or the ones
	// that wait to be accepted would grow in number and hold memory of the kernel meanwhile.
	short bool
}

// Listen returns a listener whose connections are counted. It must be the outermost one, but
// for those that only observe connections: it reads the heads of requests.
func Listen(l net.Listener, o Options) *Listener {
	if o.Limits == nil {
		o.Limits = func() Limits { return Limits{} }
	}
	return &Listener{Listener: l, options: o, log: newDecisionLog(o.Logger, o.Metrics)}
}

// Accept implements net.Listener. A connection for which there is no room is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, limits: l.options.Limits, log: l.log, budget: l.options.Budget}
		wait := acceptWait
		if l.short {
			wait = 0
		}
		if l.short = !c.open(wait); !l.short {
			return c, nil
		}
		l.log.decide(MetricNotAccepted, "connection closed, no room for it", "")
		_ = c.closeRaw() // an error means that it is closed already
	}
}

// SetDeadline sets the deadline of Accept.
func (l *Listener) SetDeadline(t time.Time) error {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return d.SetDeadline(t)
}

// open makes the connection a holder, once there is room.
func (c *Conn) open(wait time.Duration) bool {
	if c.budget == nil {
		return true
	}
	extra := int64(0)
	if _, ok := c.Conn.(*tls.Conn); ok {
		extra = tlsBytes
	}
	for end := time.Now().Add(wait); ; {
		if c.holder = c.budget.Open(extra, c.giveWay); c.holder != nil {
			return true
		}
		if !c.await(end, acceptInterval) {
			return false
		}
	}
}

// await waits until memory may be free and reports whether it is worth to ask again.
func (c *Conn) await(end time.Time, interval time.Duration) bool {
	freed, done := c.budget.Freed()
	defer done()
	left := time.Until(end)
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(min(interval, left))
	defer timer.Stop()
	select {
	case <-freed:
	case <-timer.C:
	}
	return true
}

// take takes memory for the connection, and waits for it if need be.
func (c *Conn) take(k membudget.Kind, bytes int64) error {
	for end := time.Now().Add(takeWait); ; {
		switch c.holder.Take(k, bytes) {
		case membudget.Granted:
			return nil
		case membudget.Lost:
			return &GaveWayError{}
		}
		if !c.await(end, askInterval) {
			return &GaveWayError{Short: true}
		}
	}
}

// GaveWayError means that a request was not read to its end because the memory was short. It
// has not run.
type GaveWayError struct {
	// Short is set when the request waited for memory in vain.
	Short bool
}

func (e *GaveWayError) Error() string {
	if e.Short {
		return "no memory for the request"
	}
	return "the request made no progress while memory was short"
}

// IsTimeout reports whether reading a body failed because its client was too slow.
func IsTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// connKey is the key of a request's Conn in its context.
type connKey struct{}

// WithConn is the ConnContext of a server whose connections are counted.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	if c := find(conn); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

func find(conn net.Conn) *Conn {
	for {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
}

// HolderOf returns what holds memory for the request with the context, nil if nothing does.
func HolderOf(ctx context.Context) *membudget.Holder {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		return c.holder
	}
	return nil
}

// Take takes memory for the request with the context, and waits for it if need be.
func Take(ctx context.Context, k membudget.Kind, bytes int64) error {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok || c.holder == nil {
		return nil
	}
	return c.take(k, bytes)
}
