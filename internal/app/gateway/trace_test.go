package gateway

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// Guards against a step of a request without a span.
func TestEachStepHasASpan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		recorder := tracetest.NewSpanRecorder()
		w := newTestGateway(t, reply{status: 200, body: event1, broken: true}, reply{status: 200, body: event2})
		w.Tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)).Tracer("")
		_, err := w.send(t.Context(), "check")
		is.NoErr(err)
		count := map[string]int{}
		for _, s := range recorder.Ended() {
			count[s.Name()]++
		}
		is.Equal(count, map[string]int{"accept": 1, "admit": 1, "place": 2, "attempt": 2})
	})
}
