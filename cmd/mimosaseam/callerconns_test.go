package main

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lateConn is a connection whose Read returns a byte only after meanwhile was called.
type lateConn struct {
	net.Conn
	meanwhile func()
	closed    bool
}

func (c *lateConn) Read(p []byte) (int, error) {
	c.meanwhile()
	return 1, nil
}

func (c *lateConn) Close() error {
	c.closed = true
	return nil
}

// Guards against a stop that resets connections which wait to be accepted.
func TestWaitingConnectionsAreAccepted(t *testing.T) {
	is := is.New(t)
	const waiting = 40
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := newCallerConns(func() time.Duration { return time.Minute })
	l.Listener = listener
	for range waiting {
		c, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		defer c.Close()
	}
	l.StopAccepting()
	is.Equal(l.CloseIdle(time.Time{}), 1) // the stop goes on
	accepted := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			accepted++
			is.True(l.CloseIdle(time.Time{}) > accepted)
		}
	}()
	for l.CloseIdle(time.Time{}) != waiting {
		pause(5)
	}
	is.NoErr(l.Close())
	<-done
	is.Equal(accepted, waiting)
}

// Guards against a request that is served on a connection which was closed as idle between
// the arrival of its bytes and the moment at which they were noticed.
func TestIdleConnectionIsClosedOrServed(t *testing.T) {
	is := is.New(t)
	raw := &lateConn{}
	c := &callerConn{Conn: raw}
	raw.meanwhile = func() { is.True(c.closeUnlessBegun()) }
	n, err := c.Read(make([]byte, 1))
	is.Equal(n, 0)
	is.True(errors.Is(err, net.ErrClosed))
	is.True(raw.closed)

	raw = &lateConn{meanwhile: func() {}}
	c = &callerConn{Conn: raw, opened: time.Now()}
	n, err = c.Read(make([]byte, 1))
	is.NoErr(err)
	is.Equal(n, 1)
	is.True(!c.closeUnlessBegun())
	is.True(!raw.closed)
	c.endRequest()
	is.True(c.closeUnlessBegun())
}
