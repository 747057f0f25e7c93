// Package sockbuf bounds what the kernel holds of a connection.
package sockbuf

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// Sizes are those of a socket's buffers in bytes: for what was received and not read, and for what
// was written and not acknowledged. The kernel uses up to twice as much, and grows buffers without
// a size to megabytes. 0: no size is set.
type Sizes struct{ Receive, Send int }

// Control sets the sizes. It is a Control of a net.Dialer or net.ListenConfig; accepted connections
// inherit them.
func (s Sizes) Control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) { failed = s.set(int(fd)) })
	return errors.Join(err, failed)
}

func (s Sizes) set(fd int) (err error) {
	if s.Receive > 0 {
		err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, s.Receive)
	}
	if s.Send > 0 {
		err = errors.Join(err, unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, s.Send))
	}
	return err
}
