package platformhttp_test

import (
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"mimosaseam.example/mimosaseam/internal/adapter/platformhttp"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/port/portfake"
	"mimosaseam.example/mimosaseam/internal/standin/platformlog"
)

// Guards against calls to the platform that record no span, and against a span for
// every idle long poll.
func TestCallsRecordSpans(t *testing.T) {
	server := httptest.NewServer(platformlog.New(portfake.NewLog(portfake.LogOptions{})))
	defer server.Close()
	spans := tracetest.NewInMemoryExporter()
	options := platformhttp.Options{BaseURL: server.URL,
		Tracer: sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans)).Tracer("test")}
	log, list := platformhttp.NewLog(options), platformhttp.NewVMList(options)
	read := func(from port.Offset) { _, _ = log.Read(t.Context(), "s", from, 10, 0) }
	cases := []struct {
		name string
		call func()
		want []string
	}{
		{"append", func() { _, _ = log.Append(t.Context(), "s", []port.Record{{ID: "a", Data: []byte("x")}}) }, []string{"platform append"}},
		{"read", func() { read(1) }, []string{"platform read"}},
		{"idle read", func() { read(2) }, nil},
		{"failed read", func() { server.CloseClientConnections(); server.Close(); read(2) }, []string{"platform read"}},
		{"VM list", func() { _, _ = list.List(t.Context()) }, []string{"platform list VMs"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			spans.Reset()
			c.call()
			var names []string
			for _, s := range spans.GetSpans() {
				names = append(names, s.Name)
			}
			is.New(t).Equal(names, c.want)
		})
	}
}
