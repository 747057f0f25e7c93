package httpconn

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/standin/rawhttp"
)

// cutServer sends the first bytes of a text in answer to each request and closes.
func cutServer(t *testing.T, text string, sent *int) string {
	t.Helper()
	s, err := rawhttp.New(func(c *rawhttp.Conn, _ *http.Request) bool {
		c.Send(text[:*sent])
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s.Address()
}

// Guards against a response whose head was cut off, at any byte and in any form, that counts
// as one with an empty body, and against a whole one that does not count.
func TestCutHeadIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"with a length":            "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 0\r\n\r\n",
		"length first":             "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-A: b\r\n\r\n",
		"ends with its connection": "HTTP/1.1 200 OK\r\nX-A: b\r\nConnection: close\r\n\r\n",
		"no fields":                "HTTP/1.1 200 OK\r\n\r\n",
		"no content":               "HTTP/1.1 204 No Content\r\n\r\n",
		"bare line feeds":          "HTTP/1.1 200 OK\nX-A: b\nConnection: close\n\n",
		"folded line":              "HTTP/1.1 200 OK\r\nX-A: b\r\n \r\n c\r\n\r\n",
		"after informational ones": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 102 Processing\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent := 0
			address := cutServer(t, head, &sent)
			pool := New(Options{})
			defer pool.Close()
			ask := func() (string, error) {
				response, err := pool.Send(t.Context(), func(ctx context.Context) (*http.Request, error) {
					return http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, http.NoBody)
				})
				if err != nil {
					return "", err
				}
				defer response.Body.Close()
				text, err := io.ReadAll(response.Body)
				return fmt.Sprint(response.Status, " ", string(text)), err
			}
			for sent = range len(head) {
				if got, err := ask(); err == nil {
					t.Errorf("%q counts as %q", head[:sent], got)
				}
			}
			sent = len(head)
			_, err := ask()
			is.NoErr(err)
		})
	}
}

// Guards against a cut head that counts as a response over TLS, and against connections with
// TLS that are not kept.
func TestCutHeadOverTLS(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r"
	is := is.New(t)
	cut := false
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !cut {
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		is.NoErr(err)
		_, _ = io.WriteString(conn, head)
		_ = conn.Close()
	}))
	defer server.Close()
	config := server.Client().Transport.(*http.Transport).TLSClientConfig
	dialed := 0
	pool := New(Options{TLS: config, Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		dialed++
		return new(net.Dialer).DialContext(ctx, network, address)
	}}})
	defer pool.Close()
	build := func(ctx context.Context) (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodGet, server.URL, http.NoBody)
	}
	is.NoErr(send(t.Context(), pool, build))
	is.NoErr(send(t.Context(), pool, build))
	is.Equal(dialed, 1)
	cut = true
	is.True(send(t.Context(), pool, build) != nil)
	other := New(Options{TLS: &tls.Config{MinVersion: tls.VersionTLS12}})
	defer other.Close()
	is.True(send(t.Context(), other, build) != nil) // an unknown certificate
}
