package servicehttp_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/adapter/servicehttp"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/port/enginetest"
	"mimosaseam.example/mimosaseam/internal/standin/apprunner"
)

// Runs the contract tests through HTTP.
func TestServiceContract(t *testing.T) {
	enginetest.RunService(t, func(t *testing.T) enginetest.ServiceHarness {
		runner := apprunner.New(apprunner.Config{})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		server := runner.Server()
		go func() { _ = server.Serve(listener) }()
		client := servicehttp.New(servicehttp.Options{})
		t.Cleanup(func() {
			client.Close()
			_ = server.Close()
		})
		closed, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		is.New(t).NoErr(closed.Close())
		return enginetest.ServiceHarness{
			Service: client, Address: listener.Addr().String(), Unreachable: closed.Addr().String(),
			Inject:  func(f apprunner.Fault) { is.New(t).True(runner.Inject(t.Context(), f)) },
			Effects: runner.Effects,
		}
	})
}

// Guards against hop-by-hop headers that are forwarded, replies taken for refusals
// without X-Not-Run, and truncated or oversized replies that count as complete.
func TestReplies(t *testing.T) {
	cases := map[string]struct {
		serve  http.HandlerFunc
		status int
		body   error
	}{
		"503 without X-Not-Run is a reply": {
			serve:  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
			status: http.StatusServiceUnavailable,
		},
		"redirects are not followed": {
			serve:  func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/other", http.StatusSeeOther) },
			status: http.StatusSeeOther,
		},
		"headers of the connection stay": {
			serve: func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("X-Private") == "" && r.Header.Get("Expect") == "" && r.Header.Get("X-Kept") == "1" && r.Header.Get("Idempotency-Key") == "key" {
					w.WriteHeader(http.StatusNoContent)
				}
			},
			status: http.StatusNoContent,
		},
		"cut short": {
			serve: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "10")
				_, _ = w.Write([]byte("half"))
			},
			status: http.StatusOK, body: &port.UnknownOutcomeError{},
		},
		"too large": {
			serve:  func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(strings.Repeat("x", 101))) },
			status: http.StatusOK, body: &port.UnknownOutcomeError{},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(c.serve)
			defer server.Close()
			client := servicehttp.New(servicehttp.Options{MaxReplyBytes: 100})
			defer client.Close()
			reply, err := client.Call(t.Context(), server.Listener.Addr().String(), port.Call{
				Method: http.MethodPost, Path: "/x", IdempotencyKey: "key",
				Header: http.Header{"Connection": {"X-Private"}, "X-Private": {"1"}, "X-Kept": {"1"}, "Expect": {"100-continue"}},
			})
			is.NoErr(err)
			is.Equal(reply.Status, c.status)
			_, err = io.ReadAll(reply.Body)
			is.NoErr(reply.Body.Close())
			if c.body == nil {
				is.NoErr(err)
				return
			}
			_, unknown := err.(*port.UnknownOutcomeError)
			is.True(unknown)
		})
	}
}
