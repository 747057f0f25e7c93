package httpconn

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request on a retired connection, and against one that is cut because its
// connection is retired while it runs.
func TestRetiredConnectionIsNotUsedAgain(t *testing.T) {
	for name, busy := range map[string]bool{"idle": false, "in use": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			arrived, release := make(chan struct{}, 1), make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/wait" {
					arrived <- struct{}{}
					<-release
				}
				_, _ = io.WriteString(w, r.RemoteAddr)
			}))
			defer server.Close()
			pool := New(Options{})
			defer pool.Close()
			get := func(path string) (*http.Response, string) {
				response, err := pool.Send(t.Context(), func(ctx context.Context) (*http.Request, error) {
					return http.NewRequestWithContext(ctx, http.MethodGet, server.URL+path, nil)
				})
				is.NoErr(err)
				text, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				return response, string(text)
			}
			first, address := get("/")
			second := make(chan string, 1)
			if busy {
				go func() {
					_, text := get("/wait")
					second <- text
				}()
				<-arrived
			}
			Retire(first)
			close(release)
			if busy {
				is.Equal(<-second, address)
			}
			_, other := get("/")
			is.True(other != address)
		})
	}
}
