// Package telemetry sets up structured logs, metrics and traces.
package telemetry

import (
	"context"
	"io"
	"log/slog"
	"os"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"mimosaseam.example/mimosaseam/internal/settings"
)

// Logger returns the process's logger. Every line carries the VM's name.
func Logger(w io.Writer, s settings.Telemetry, vm settings.VM) *slog.Logger {
	var level slog.Level
	// Invalid levels are rejected by the check of the settings.
	_ = level.UnmarshalText([]byte(s.LogLevel))
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewJSONHandler(w, options)
	if s.LogFormat == "text" {
		handler = slog.NewTextHandler(w, options)
	}
	return slog.New(handler).With("vm", vm.Name, "availability_zone", vm.AvailabilityZone)
}

// Traces holds the process's tracer and its shutdown function.
type Traces struct {
	Tracer trace.Tracer
	// Close exports the remaining spans.
	Close func(context.Context) error
}

// StartTraces creates the tracer. Without a destination no spans are recorded.
func StartTraces(ctx context.Context, s settings.Telemetry, vm settings.VM) (Traces, error) {
	if s.TraceFile == "" && s.OTLPAddress == "" {
		return Traces{
			Tracer: noop.NewTracerProvider().Tracer("mimosaseam"),
			Close:  func(context.Context) error { return nil },
		}, nil
	}
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithRawSpanLimits(spanLimits()),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.TraceRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "mimosaseam"),
			attribute.String("service.instance.id", vm.Name),
		)),
	}
	var file *os.File
	if s.TraceFile != "" {
		var err error
		file, err = os.OpenFile(s.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return Traces{}, eris.Wrap(err, "open trace file")
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return Traces{}, eris.Wrap(err, "trace file exporter")
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	if s.OTLPAddress != "" {
		exporter, err := otlptracegrpc.New(ctx,
			otlptracegrpc.WithEndpoint(s.OTLPAddress), otlptracegrpc.WithInsecure())
		if err != nil {
			return Traces{}, eris.Wrap(err, "OTLP exporter")
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	provider := sdktrace.NewTracerProvider(options...)
	return Traces{Tracer: provider.Tracer("mimosaseam"), Close: closeTraces(provider, file)}, nil
}

// maxAttributeBytes bounds the values of a span's attributes: some are what clients have sent, and
// thousands of spans may wait to be exported.
const maxAttributeBytes = 256

func spanLimits() sdktrace.SpanLimits {
	limits := sdktrace.NewSpanLimits()
	limits.AttributeValueLengthLimit = maxAttributeBytes
	return limits
}

func closeTraces(provider *sdktrace.TracerProvider, file *os.File) func(context.Context) error {
	return func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		if file != nil {
			if closeErr := file.Close(); err == nil {
				err = closeErr
			}
		}
		return err
	}
}
