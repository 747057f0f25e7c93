package peergrpc

import (
	"context"
	"path"
	"strings"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// carrier propagates the trace context in gRPC metadata.
type carrier metadata.MD

// Get implements propagation.TextMapCarrier.
func (c carrier) Get(key string) string {
	if values := metadata.MD(c).Get(key); len(values) > 0 {
		return values[0]
	}
	return ""
}

// Set implements propagation.TextMapCarrier.
func (c carrier) Set(key, value string) { metadata.MD(c).Set(key, value) }

// Keys implements propagation.TextMapCarrier.
func (c carrier) Keys() []string {
	keys := make([]string, 0, len(c))
	for key := range c {
		keys = append(keys, key)
	}
	return keys
}

// traceCalls creates a span for each call and propagates the trace context.
func traceCalls(tracer trace.Tracer) grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn,
		invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
		ctx, span := tracer.Start(ctx, "peer "+path.Base(method), trace.WithSpanKind(trace.SpanKindClient),
			trace.WithAttributes(attribute.String("peer", strings.TrimPrefix(cc.Target(), "passthrough:///"))))
		defer span.End()
		md, _ := metadata.FromOutgoingContext(ctx)
		md = md.Copy()
		propagation.TraceContext{}.Inject(ctx, carrier(md))
		err := invoke(metadata.NewOutgoingContext(ctx, md), method, req, reply, cc, options...)
		if err != nil {
			span.SetStatus(codes.Error, status.Code(err).String())
		}
		return err
	}
}

// continueTrace extracts the caller's trace context.
func continueTrace(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	md, _ := metadata.FromIncomingContext(ctx)
	return next(propagation.TraceContext{}.Extract(ctx, carrier(md)), req)
}
