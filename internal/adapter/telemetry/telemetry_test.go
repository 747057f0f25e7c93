package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	collectortrace "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/grpc"

	"mimosaseam.example/mimosaseam/internal/settings"
)

var testVM = settings.VM{Name: "entry-1", AvailabilityZone: "nordhafen-a"}

// Guards against log lines without the VM's name, and against a log level setting
// that has no effect.
func TestLoggerNamesTheVM(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger := Logger(&out, settings.Telemetry{LogLevel: "warn", LogFormat: "json"}, testVM)
	logger.Info("hidden")
	logger.Warn("shown", "target", "e1")
	var line struct {
		Msg, VM, Target string
	}
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	is.Equal(line.Msg, "shown")
	is.Equal(line.VM, "entry-1")
}

// Guards against spans that are not written to the trace file.
func TestSpansAreWrittenToTraceFile(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "trace.jsonl")
	traces, err := StartTraces(context.Background(), settings.Telemetry{TraceFile: path, TraceRatio: 1}, testVM)
	is.NoErr(err)
	_, span := traces.Tracer.Start(context.Background(), "accept")
	span.End()
	is.NoErr(traces.Close(context.Background()))
	text, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(strings.Contains(string(text), `"Name":"accept"`))
}

// Guards against spans that hold long values of clients while they wait to be exported.
func TestAttributesOfSpansAreBounded(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "trace.jsonl")
	traces, err := StartTraces(context.Background(), settings.Telemetry{TraceFile: path, TraceRatio: 1}, testVM)
	is.NoErr(err)
	_, span := traces.Tracer.Start(context.Background(), "accept", trace.WithAttributes(attribute.String("request_id", strings.Repeat("x", 1<<20))))
	span.End()
	is.NoErr(traces.Close(context.Background()))
	text, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(strings.Contains(string(text), "request_id"))
	is.True(len(text) < 8*maxAttributeBytes+4<<10)
}

// collector is an OTLP collector that records the names of received spans.
type collector struct {
	collectortrace.UnimplementedTraceServiceServer
	names chan string
}

func (c *collector) Export(_ context.Context, r *collectortrace.ExportTraceServiceRequest) (*collectortrace.ExportTraceServiceResponse, error) {
	for _, resource := range r.GetResourceSpans() {
		for _, scope := range resource.GetScopeSpans() {
			for _, span := range scope.GetSpans() {
				c.names <- span.GetName()
			}
		}
	}
	return &collectortrace.ExportTraceServiceResponse{}, nil
}

// Guards against spans that are not exported to the OTLP collector.
func TestSpansAreExportedOverOTLP(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	c := &collector{names: make(chan string, 1)}
	server := grpc.NewServer()
	collectortrace.RegisterTraceServiceServer(server, c)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	traces, err := StartTraces(context.Background(),
		settings.Telemetry{OTLPAddress: listener.Addr().String(), TraceRatio: 1}, testVM)
	is.NoErr(err)
	_, span := traces.Tracer.Start(context.Background(), "place")
	span.End()
	is.NoErr(traces.Close(context.Background()))
	is.Equal(<-c.names, "place")
}

// Guards against durations counted in the wrong bucket.
func TestMetricsPublishBuckets(t *testing.T) {
	is := is.New(t)
	m := NewMetrics("test_counters", "test_durations")
	m.Add("requests", 2)
	m.Observe("ttft", 15*time.Millisecond)
	is.Equal(expvar.Get("test_counters").String(), `{"requests": 2}`)
	durations := expvar.Get("test_durations").String()
	is.True(strings.Contains(durations, `"le_ms_10": 0`))
	is.True(strings.Contains(durations, `"le_ms_20": 1`))
	is.True(strings.Contains(durations, `"count": 1`))
}
