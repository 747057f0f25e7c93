// Package crowd is a stand-in of many clients that misbehave at once: they send requests that
// never end or are far too large, or do not read their answers.
package crowd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	dialTimeout = 5 * time.Second
	// sendTimeout bounds the time for which a client tries to send: a server that has stopped
	// reading is not waited for.
	sendTimeout = 4 * time.Second
)

// Act is what one client does on its connection. It returns when it has nothing more to send
// or cannot send any more; the connection stays open.
type Act func(c io.Writer)

// Crowd is a number of clients whose connections stay open until Close.
type Crowd struct {
	acts sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// Open opens the connections and begins the acts of the clients.
func Open(address string, clients int, act Act) *Crowd {
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
			if conn.SetWriteDeadline(time.Now().Add(sendTimeout)) == nil {
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
	return func(c io.Writer) {
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
	return func(c io.Writer) {
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
func Text(text string) Act { return func(c io.Writer) { send(c, text) } }

// Repeat sends a text without end.
func Repeat(text string) Act {
	return func(c io.Writer) {
		for send(c, text) {
		}
	}
}

func send(c io.Writer, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
