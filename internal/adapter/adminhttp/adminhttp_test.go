package adminhttp

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

type fakeBackend struct{ ready bool }

func (f fakeBackend) Readiness() Readiness { return Readiness{Ready: f.ready, Reason: "draining"} }
func (f fakeBackend) Status() Status       { return Status{VM: "entry-1"} }
func (f fakeBackend) Applied(_ context.Context, o port.Offset) Applied {
	return Applied{Offset: o, Lagging: []string{"entry-2"}}
}
func (f fakeBackend) Explain(context.Context, ExplainRequest) (any, error) {
	return nil, &port.NotFoundError{Peer: "configuration", Name: "model"}
}

// Guards against a stopping router that still reports ready, and against invalid
// input rejected without a reason.
func TestHandler(t *testing.T) {
	cases := map[string]struct {
		method, path, body string
		ready              bool
		status             int
		contains           string
	}{
		"live":            {"GET", "/livez", "", false, http.StatusOK, "true"},
		"ready":           {"GET", "/readyz", "", true, http.StatusOK, "true"},
		"not ready":       {"GET", "/readyz", "", false, http.StatusServiceUnavailable, "draining"},
		"metrics":         {"GET", "/debug/vars", "", true, http.StatusOK, "memstats"},
		"status":          {"GET", "/v1/status", "", true, http.StatusOK, "entry-1"},
		"applied":         {"GET", "/v1/config/applied?offset=3", "", true, http.StatusOK, "entry-2"},
		"bad offset":      {"GET", "/v1/config/applied?offset=x", "", true, http.StatusBadRequest, "invalid_offset"},
		"unknown key":     {"POST", "/v1/explain", `{"prmpt":""}`, true, http.StatusBadRequest, "prmpt"},
		"no such model":   {"POST", "/v1/explain", `{"model":"m"}`, true, http.StatusUnprocessableEntity, "cannot_explain"},
		"unknown path":    {"GET", "/v1/nothing", "", true, http.StatusNotFound, ""},
		"method mismatch": {"POST", "/readyz", "", true, http.StatusMethodNotAllowed, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := httptest.NewRecorder()
			Handler(fakeBackend{c.ready}).ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
			is.Equal(w.Code, c.status)
			is.True(strings.Contains(w.Body.String(), c.contains))
		})
	}
}
