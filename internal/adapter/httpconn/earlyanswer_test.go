package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 16 << 20

// earlyServer answers each request with the text as soon as its head has arrived, without
// reading its body, and then ends the connection.
func earlyServer(t *testing.T, text string, end func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the listener is closed
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, text)
					end(c.(*net.TCPConn))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a part of a response that counts as whole: the peer answers before the body of
// the request has been written, without a length, and resets the connection. The failed write
// consumes the error of the connection, and the read sees nothing but its end.
func TestEarlyAnswerOfUnfinishedUploadIsNotWhole(t *testing.T) {
	const tries = 100
	is := is.New(t)
	read := make(chan struct{}, 1)
	address := earlyServer(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", func(c *net.TCPConn) {
		<-read
		_ = c.SetLinger(0) // the connection is closed in any case
	})
	pool := New(Options{})
	defer pool.Close()
	whole := 0
	for range tries {
		response, err := pool.Send(context.Background(), func(ctx context.Context) (*http.Request, error) {
			return http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", io.NopCloser(bytes.NewReader(make([]byte, uploadBytes))))
		})
		if err != nil {
			read <- struct{}{}
			continue
		}
		part := make([]byte, 4)
		_, err = io.ReadFull(response.Body, part)
		read <- struct{}{}
		if err == nil {
			if _, err = io.ReadAll(response.Body); err == nil {
				whole++
			}
		}
		_ = response.Body.Close()
	}
	is.Equal(whole, 0)
}

// Guards against an early answer that is whole, and says so, but counts as broken.
func TestEarlyAnswerWithLengthIsWhole(t *testing.T) {
	is := is.New(t)
	address := earlyServer(t, "HTTP/1.1 413 Too Large\r\nConnection: close\r\nContent-Length: 4\r\n\r\nfull", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c) // until the client closes
	})
	pool := New(Options{})
	defer pool.Close()
	response, err := pool.Send(context.Background(), func(ctx context.Context) (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", io.NopCloser(bytes.NewReader(make([]byte, uploadBytes))))
	})
	is.NoErr(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(text), "full")
}
