package servicehttp

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/trace"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against a service that receives no trace context, or the caller's span as
// its parent instead of the attempt's.
func TestCallCarriesTheTrace(t *testing.T) {
	is := is.New(t)
	var got []string
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = r.Header.Values("Traceparent") }))
	defer server.Close()
	ctx := trace.ContextWithSpanContext(t.Context(), trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}, TraceFlags: trace.FlagsSampled,
	}))
	reply, err := New(Options{}).Call(ctx, server.Listener.Addr().String(), port.Call{
		Method: http.MethodGet, Path: "/", Deadline: time.Now().Add(time.Minute),
		Header: http.Header{"Traceparent": {"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}},
	})
	is.NoErr(err)
	is.NoErr(reply.Body.Close())
	is.Equal(got, []string{"00-01000000000000000000000000000000-0200000000000000-01"})
}
