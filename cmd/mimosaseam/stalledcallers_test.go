package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

// Guards against callers that hold a request open for good: one that never finishes its
// body, and one that does not read the answer while the target sends without end.
func TestStalledCallersAreCutOff(t *testing.T) {
	const stream = "POST /brief/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Key: k1\r\nX-Model: m\r\n" + platformtest.PromptHeader + ": p:10\r\n" + platformtest.TokensHeader + ": 10,5\r\nX-Deadline-Ms: 700\r\n"
	for name, request := range map[string]string{
		"unfinished body":   stream + "Content-Length: 100\r\n\r\nhalf",
		"unfinished chunks": stream + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"answer not read":   stream + "Content-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ended := make(chan struct{})
			engine := newRawTarget(t, "e9", "m", func(c *platformtest.RawConn, r *http.Request, _ int) bool {
				c.Send(platformtest.Head(r, "200 OK", "Content-Type: text/event-stream", "Connection: close"))
				endless(c)
				close(ended)
				return false
			})
			s := newFaultGateway(t, nil, []*platformtest.RawTarget{engine})
			conn, err := net.Dial("tcp", strings.TrimPrefix(s.baseURL, "http://"))
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, request)
			is.NoErr(err)
			if name == "answer not read" {
				s.waitFor(ended, "the end of the run")
			}
			s.await("no open request", func() bool { return s.node.gateway.OpenRequests() == 0 })
			is.NoErr(conn.SetReadDeadline(time.Now().Add(stateTimeout)))
			_, err = io.Copy(io.Discard, bufio.NewReader(conn)) // until the router closes the connection
			timeout, ok := err.(net.Error)
			is.True(!ok || !timeout.Timeout())
		})
	}
}

func (s *testGateway) waitFor(done <-chan struct{}, what string) {
	s.t.Helper()
	select {
	case <-done:
	case <-time.After(stateTimeout):
		s.t.Fatal("not reached: " + what)
	}
}
