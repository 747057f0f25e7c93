package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// backlogTimeout bounds the acceptance of connections that were waiting when the
	// listener is closed.
	backlogTimeout = 50 * time.Millisecond
	// newConnTimeout is how long a new connection without a first byte is kept open during
	// a shutdown.
	newConnTimeout = time.Second
	// lastRequests is how long after the end of new connections a request may begin to
	// arrive and still be taken: longer than one is on its way on a usable link.
	lastRequests = 300 * time.Millisecond
	// drainPollInterval is the time between two looks at the open connections during a
	// shutdown.
	drainPollInterval = 20 * time.Millisecond
	// finalAnswers is the time before the shutdown deadline at which requests that are
	// still open get their final answer.
	finalAnswers = 300 * time.Millisecond
)

// callerConns is the listener for callers and tracks their connections. It closes idle
// ones, but none on which a request has begun to arrive: net/http counts a connection as
// idle until the head of a request was read as a whole.
type callerConns struct {
	net.Listener
	// idleLimit returns how long a connection may be idle.
	idleLimit func() time.Duration

	stopping atomic.Bool
	closed   chan struct{}
	closing  sync.Once
	// drained is set once no connection waits to be accepted any more.
	drained atomic.Bool

	mu   sync.Mutex
	open map[*callerConn]struct{}
}

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn
	opened time.Time
	// timer closes an idle connection; nil: a request is in progress, or none has come
	// yet. It is guarded by the mutex of callerConns.
	timer *time.Timer

	mu sync.Mutex
	// begunAt is when the first byte of the last request arrived.
	begunAt time.Time
	// begun is set once bytes of a request have arrived, until the request has ended,
	// used with the first byte, and closed by whoever closes the connection because no
	// request has begun.
	begun, used, closed bool
}

// NetConn returns the connection below.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// CloseWrite lets the caller read the last response before the connection is closed. The server
// of net/http calls it.
func (c *callerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Read implements net.Conn. Either a byte that it returns keeps the connection from being
// closed as idle, or the connection is closed and it returns none: a request is never served
// on a connection that has been closed.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if !c.begun {
		c.begunAt = time.Now()
	}
	c.begun, c.used = true, true
	return n, err
}

// closeUnlessBegun closes the connection unless a request has begun to arrive, and reports
// whether it did.
func (c *callerConn) closeUnlessBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun {
		return false
	}
	c.closed = true
	_ = c.Close() // an error means that the caller has already closed it
	return true
}

// endRequest records that the connection waits for the next request.
func (c *callerConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = false
}

// connKey is the key of a request's callerConn in its context.
type connKey struct{}

// withConn is the ConnContext of the callers' server.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// begunAt returns when the first byte of the request with the context arrived.
func begunAt(ctx context.Context) time.Time {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begunAt
}

func (c *callerConn) isUsed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used
}

func newCallerConns(idleLimit func() time.Duration) *callerConns {
	return &callerConns{idleLimit: idleLimit, closed: make(chan struct{}), open: map[*callerConn]struct{}{}}
}

// Accept implements net.Listener. After StopAccepting it waits for Close.
func (l *callerConns) Accept() (net.Conn, error) {
	begun := time.Now()
	c, err := l.Listener.Accept()
	if err != nil && l.stopping.Load() {
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Since(begun) < backlogTimeout/2 && l.extendDeadline() {
			return l.Accept() // it may have ended while connections were waiting
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			_ = l.Listener.Close() // the backlog is empty
		}
		l.drained.Store(true)
		<-l.closed
		return nil, net.ErrClosed
	}
	if err != nil {
		return nil, err
	}
	conn := &callerConn{Conn: c, opened: time.Now()}
	l.mu.Lock()
	l.open[conn] = struct{}{}
	l.mu.Unlock()
	return conn, nil
}

// StopAccepting accepts the connections that are waiting and then closes the listener.
func (l *callerConns) StopAccepting() {
	l.stopping.Store(true)
	if !l.extendDeadline() {
		_ = l.Listener.Close() // without a deadline, the backlog is lost
	}
}

// extendDeadline lets the listener accept for backlogTimeout from now on.
func (l *callerConns) extendDeadline() bool {
	deadline, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && deadline.SetDeadline(time.Now().Add(backlogTimeout)) == nil
}

// Close implements net.Listener.
func (l *callerConns) Close() error {
	l.closing.Do(func() { close(l.closed) })
	err := l.Listener.Close()
	if l.stopping.Load() {
		return nil // it was closed before
	}
	return err
}

// onStateChange follows the states of net/http's connections.
func (l *callerConns) onStateChange(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	switch state {
	case http.StateIdle:
		c.endRequest()
		if l.stopping.Load() {
			// The next request belongs to another router. One that has already been sent
			// crosses the end of the connection and was not read.
			c.closeUnlessBegun()
			return
		}
		c.timer = time.AfterFunc(l.idleLimit(), func() { l.closeIdle(c) })
	case http.StateClosed, http.StateHijacked:
		delete(l.open, c)
	}
}

func (l *callerConns) closeIdle(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.timer != nil {
		c.closeUnlessBegun()
	}
}

// CloseIdle closes the connections that wait for a request, except new ones that were
// opened since the time, and returns the number of the others. Those that may still wait
// to be accepted count as one.
func (l *callerConns) CloseIdle(since time.Time) (left int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		idle := c.timer != nil || !c.isUsed() && c.opened.Before(since)
		if idle && c.closeUnlessBegun() {
			delete(l.open, c)
			continue
		}
		left++
	}
	if l.stopping.Load() && !l.drained.Load() {
		left++
	}
	return left
}
