// Package crowd is a stand-in of many clients that misbehave at once: they send requests that
// never end or are far too large, or do not read their answers.
package crowd

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	dialTimeout = 5 * time.Second
	// sendTimeout bounds the time for which a client tries to send, and waits for answers: a
	// server that has stopped reading is not waited for.
	sendTimeout = 4 * time.Second
)

// Act is what one client does on its connection. It returns when it has nothing more to send
// or cannot send any more; the connection stays open.
type Act func(c io.ReadWriter)

// Crowd is a number of clients whose connections stay open until Close.
type Crowd struct {
	acts sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// Open opens the connections and begins the acts of the clients.
func Open(address string, clients int, act Act) *Crowd { return open(address, clients, act) }

// OpenTLS is Open with TLS, which begins with the first bytes that an act sends. Certificates
// are not verified.
func OpenTLS(address string, clients int, act Act) *Crowd {
	return open(address, clients, func(c io.ReadWriter) {
		if raw, ok := c.(net.Conn); ok {
			act(tls.Client(raw, &tls.Config{InsecureSkipVerify: true}))
		}
	})
}

func open(address string, clients int, act Act) *Crowd {
	c := &Crowd{}
	for range clients {
		c.acts.Go(func() {
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			if err != nil {
				return // the server refuses connections, as it may
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			if conn.SetDeadline(time.Now().Add(sendTimeout)) == nil {
				act(conn)
			}
		})
	}
	return c
}

// Wait waits until each client has sent all, or was cut off, or could not send for long. The
// connections that the server has not closed are still open then.
func (c *Crowd) Wait() { c.acts.Wait() }

// Close closes the connections.
func (c *Crowd) Close() {
	c.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close() // an error means that it is closed already
	}
}

// Chunked sends a head and a chunked body of total bytes without its end, in chunks of the size.
func Chunked(head string, total, size int) Act {
	one := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	// Small chunks are sent together, so that the server's work is not limited by system calls.
	together := max(1, (64<<10)/len(one))
	text := strings.Repeat(one, together)
	return func(c io.ReadWriter) {
		if !send(c, head+"Transfer-Encoding: chunked\r\n\r\n") {
			return
		}
		for sent := 0; sent+size*together <= total; sent += size * together {
			if !send(c, text) {
				return
			}
		}
	}
}

// Announced sends a head that announces a body of length bytes and the first of them.
func Announced(head string, length int64, sent int) Act {
	body := strings.Repeat("x", sent)
	return func(c io.ReadWriter) {
		if send(c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, length)) {
			send(c, body)
		}
	}
}

// ShortFields returns different header lines of about the total length, as short as possible:
// what a server holds of a line is mostly more than its bytes.
func ShortFields(total int) string {
	var b strings.Builder
	for i := 0; b.Len() < total; i++ {
		fmt.Fprintf(&b, "x%x:\r\n", i)
	}
	return b.String()
}

// Text sends a text once.
func Text(text string) Act { return func(c io.ReadWriter) { send(c, text) } }

// Ask sends a request, waits for the first bytes of its answer, and goes on with the next act.
func Ask(request string, next Act) Act {
	return func(c io.ReadWriter) {
		if !send(c, request) {
			return
		}
		if _, err := c.Read(make([]byte, 4<<10)); err == nil {
			next(c)
		}
	}
}

// Times sends a text a number of times and reads what comes back in between.
func Times(n int, request string) Act {
	if n == 0 {
		return func(io.ReadWriter) {}
	}
	return Ask(request, func(c io.ReadWriter) { Times(n-1, request)(c) })
}

// Parts sends texts in writes of their own, so that each begins a read of the server.
func Parts(texts ...string) Act {
	return func(c io.ReadWriter) {
		for _, text := range texts {
			if !send(c, text) {
				return
			}
		}
	}
}

// Repeat sends a text without end.
func Repeat(text string) Act {
	return func(c io.ReadWriter) {
		for send(c, text) {
		}
	}
}

func send(c io.Writer, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
