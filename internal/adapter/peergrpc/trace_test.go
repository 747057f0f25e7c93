package peergrpc

import (
	"context"
	"testing"

	"github.com/matryer/is"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against calls between routers that create no span, or start a new trace on
// the server.
func TestCallsCarryTheTrace(t *testing.T) {
	is := is.New(t)
	var seen trace.SpanContext
	address, _ := serve(t, &handler{exchange: func(ctx context.Context, e port.PeerExchange) (port.PeerExchange, error) {
		seen = trace.SpanContextFromContext(ctx)
		return full, nil
	}}, nil)
	spans := tracetest.NewInMemoryExporter()
	c := NewClient(nil, WithTracer(sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans)).Tracer("test")))
	defer c.Close()
	_, err := c.Exchange(t.Context(), address, full)
	is.NoErr(err)
	is.Equal(len(spans.GetSpans()), 1)
	span := spans.GetSpans()[0]
	is.Equal(span.Name, "peer Exchange")
	is.Equal(seen.TraceID(), span.SpanContext.TraceID())
	is.Equal(seen.SpanID(), span.SpanContext.SpanID())
}
