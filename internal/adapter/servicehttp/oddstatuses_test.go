package servicehttp_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/adapter/servicehttp"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/standin/rawhttp"
)

// Guards against a status that HTTP does not have, or that is none of a final response, and that
// counts as the reply of a service.
func TestOddStatusIsNoReply(t *testing.T) {
	for _, status := range []string{"000", "099", "100", "101", "103", "199", "600", "999", "0200", "20", "2", "-20", "abc", "2x0"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			server, err := rawhttp.New(func(c *rawhttp.Conn, _ *http.Request) bool {
				c.Send("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
				return false
			})
			is.NoErr(err)
			defer server.Close()
			client := servicehttp.New(servicehttp.Options{})
			defer client.Close()
			_, err = client.Call(context.Background(), server.Address(), port.Call{Method: http.MethodPost, Path: "/x", Body: []byte("order"), Deadline: time.Now().Add(10 * time.Second)})
			var unknown *port.UnknownOutcomeError
			is.True(errors.As(err, &unknown))
		})
	}
}

// Guards against a part of a reply that counts as whole: the service replies without a length
// while the call is still being written, and resets the connection.
func TestEarlyReplyOfUnfinishedCallIsNotWhole(t *testing.T) {
	const tries = 20
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	read := make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the listener is closed
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
				<-read
				_ = c.(*net.TCPConn).SetLinger(0) // the connection is closed in any case
			}
			_ = c.Close()
		}
	}()
	client := servicehttp.New(servicehttp.Options{})
	defer client.Close()
	for range tries {
		reply, err := client.Call(context.Background(), l.Addr().String(), port.Call{Method: http.MethodPost, Path: "/x", Body: make([]byte, 16<<20), Deadline: time.Now().Add(10 * time.Second)})
		if err == nil {
			_, err = io.ReadFull(reply.Body, make([]byte, 4))
		}
		read <- struct{}{}
		if err == nil {
			_, err = io.ReadAll(reply.Body)
			is.True(err != nil)
			_ = reply.Body.Close()
		}
	}
}
