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
