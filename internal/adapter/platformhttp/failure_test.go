package platformhttp_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/adapter/platformhttp"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against error types by which a caller takes an append that may have been
// written for one that was not, or the reverse.
func TestAppendErrorTypes(t *testing.T) {
	var (
		unavailable = &port.UnavailableError{}
		limited     = &port.RateLimitedError{}
		unknown     = &port.UnknownOutcomeError{}
		bad         = &port.BadRequestError{}
	)
	cases := map[string]struct {
		status int
		body   string
		want   error
	}{
		"valid":                 {200, `{"first_offset":1}`, nil},
		"no offset":             {200, `{}`, unknown},
		"broken JSON":           {200, `{"first_off`, unknown},
		"too large":             {200, `{"first_offset":1,"pad":"` + strings.Repeat("x", 2000) + `"}`, unknown},
		"redirect":              {307, ``, unknown},
		"request timeout":       {408, ``, unknown},
		"internal error":        {500, ``, unknown},
		"bad gateway":           {502, `<html>`, unknown},
		"gateway timeout":       {504, ``, unknown},
		"unavailable":           {503, `{"error":{"type":"unavailable"}}`, unavailable},
		"unavailable, no body":  {503, ``, unavailable},
		"rate limited":          {429, `{"error":{"type":"rate_limited"}}`, limited},
		"bad request":           {400, `{"error":{"type":"bad_request","message":"m"}}`, bad},
		"too large for the log": {413, ``, bad},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Location", r.URL.String())
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			wantErrorType(t, appendTo(t.Context(), server.URL), c.want)
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		server := httptest.NewServer(http.NotFoundHandler())
		server.Close()
		wantErrorType(t, appendTo(t.Context(), server.URL), unavailable)
	})
	t.Run("TLS handshake fails", func(t *testing.T) {
		server := httptest.NewTLSServer(http.NotFoundHandler())
		defer server.Close()
		wantErrorType(t, appendTo(t.Context(), server.URL), unavailable)
	})
	t.Run("caller gives up after sending", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			cancel()
			<-ctx.Done()
		}))
		defer server.Close()
		wantErrorType(t, appendTo(ctx, server.URL), unknown)
	})
	t.Run("connection closed without a response", func(t *testing.T) {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}))
		defer server.Close()
		wantErrorType(t, appendTo(t.Context(), server.URL), unknown)
	})
}

// Guards against readers that skip records or loop on an invalid response of the
// log.
func TestReadRejectsInvalidResponses(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		want   error
	}{
		"valid":              {200, `{"records":[{"offset":3,"id":"a"}],"next":4,"oldest":1}`, nil},
		"hole":               {200, `{"records":[{"offset":4,"id":"a"}],"next":5,"oldest":1}`, &port.UnknownOutcomeError{}},
		"next jumps":         {200, `{"records":[],"next":5,"oldest":1}`, &port.UnknownOutcomeError{}},
		"next goes back":     {200, `{"records":[],"next":1,"oldest":1}`, &port.UnknownOutcomeError{}},
		"expired":            {410, `{"error":{"type":"expired"},"oldest":7}`, &port.ExpiredError{}},
		"expired, no oldest": {410, `{}`, &port.UnknownOutcomeError{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			_, err := platformhttp.NewLog(platformhttp.Options{BaseURL: server.URL}).Read(t.Context(), "s", 3, 10, 0)
			wantErrorType(t, err, c.want)
		})
	}
}

func appendTo(ctx context.Context, url string) error {
	l := platformhttp.NewLog(platformhttp.Options{BaseURL: url, MaxResponseBytes: 1000})
	_, err := l.Append(ctx, "s", []port.Record{{ID: "a"}})
	return err
}

// wantErrorType checks that err or one of its causes has the type of want.
func wantErrorType(t *testing.T, err, want error) {
	t.Helper()
	if want == nil {
		is.New(t).NoErr(err)
		return
	}
	for e := err; e != nil; e = errors.Unwrap(e) {
		if reflect.TypeOf(e) == reflect.TypeOf(want) {
			return
		}
	}
	t.Fatalf("got %T (%v), want %T", err, err, want)
}
