// Package rawhttp is a stand-in of an HTTP/1.1 server whose answers a test writes byte by
// byte: broken, late, repeated or endless ones.
package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Answer writes the answer to a request, whose body has been read. The connection is kept
// if it returns true.
type Answer func(c *Conn, r *http.Request) bool

// Server serves on loopback until Close.
type Server struct {
	listener net.Listener
	answer   Answer
	conns    sync.WaitGroup

	mu   sync.Mutex
	open []net.Conn
}

// Conn is a connection to a Server.
type Conn struct {
	net.Conn
	// Requests counts the requests on this connection for which a test asks.
	Requests int
}

// New starts a server.
func New(answer Answer) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, answer: answer}
	s.conns.Go(s.accept)
	return s, nil
}

// Address returns the address as HOST:PORT.
func (s *Server) Address() string { return s.listener.Addr().String() }

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		s.mu.Lock()
		s.open = append(s.open, c)
		s.mu.Unlock()
		s.conns.Go(func() { s.serve(&Conn{Conn: c}) })
	}
}

func (s *Server) serve(c *Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !s.answer(c, r) {
			return
		}
	}
}

// Close closes the listener and all connections, and waits for their answers to end.
func (s *Server) Close() {
	_ = s.listener.Close() // it is not used any more
	s.mu.Lock()
	for _, c := range s.open {
		_ = c.Close() // an error means that it is closed already
	}
	s.mu.Unlock()
	s.conns.Wait()
}

// Send writes text and reports whether the connection is still open.
func (c *Conn) Send(text string) bool {
	_, err := io.WriteString(c.Conn, text)
	return err == nil
}

// Reset closes the connection with a TCP reset.
func (c *Conn) Reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection is closed in any case
	}
	_ = c.Close()
}

// Repeat sends text until the peer closes the connection.
func (c *Conn) Repeat(text string) {
	for c.Send(text) {
	}
}

// trickleInterval is the time between two sends of Trickle.
const trickleInterval = 20 * time.Millisecond

// Trickle sends text now and then until the peer closes the connection.
func (c *Conn) Trickle(text string) {
	closed := make(chan struct{})
	go func() {
		c.WaitClosed()
		close(closed)
	}()
	ticker := time.NewTicker(trickleInterval)
	defer ticker.Stop()
	for c.Send(text) {
		select {
		case <-closed:
			return
		case <-ticker.C:
		}
	}
}

// WaitClosed waits until the peer closes the connection.
func (c *Conn) WaitClosed() { _, _ = io.Copy(io.Discard, c.Conn) }
