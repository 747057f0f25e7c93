package completions_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"mimosaseam.example/mimosaseam/internal/adapter/callerhttp"
	"mimosaseam.example/mimosaseam/internal/app/completions"
	"mimosaseam.example/mimosaseam/internal/standin/engine"
)

// Guards against traces that are not continuous from caller to router to engine, and
// against prompts, keys and responses in spans.
func TestOneTraceFollowsARequest(t *testing.T) {
	is := is.New(t)
	const traceID, prompt = "4bf92f3577b34da6a3ce929d0e0e4736", "confidential dossier"
	spans := tracetest.NewInMemoryExporter()
	tracer := sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans)).Tracer("test")
	s := newSystem(t, 1, 0, nil)
	callers := callerhttp.New(callerhttp.Deps{Router: s.newRouter(completions.Deps{Tracer: tracer}), Source: s, Tracer: tracer})
	send := func(key string) int {
		body := strings.NewReader(`{"model":"m","prompt":"` + prompt + `","max_tokens":3,"stream":true}`)
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", body)
		r.Header.Set("Authorization", "Bearer "+key)
		r.Header.Set("Traceparent", "00-"+traceID+"-00f067aa0ba902b7-01")
		w := httptest.NewRecorder()
		callers.ServeHTTP(w, r)
		return w.Code
	}
	is.Equal(send(apiKey), http.StatusOK)

	var names []string
	secrets := append(strings.Fields(engine.ResponseText(prompt, "v1", 0, 3)), strings.Fields(prompt)...)
	for _, span := range spans.GetSpans() {
		names = append(names, span.Name)
		is.Equal(span.SpanContext.TraceID().String(), traceID)
		for _, secret := range append(secrets, apiKey) {
			is.True(!strings.Contains(fmt.Sprint(span.Attributes, span.Status, span.Events), secret))
		}
	}
	is.Equal(names, []string{"admit", "place", "attempt", "relay", "accept"}) // in the order in which they end
	is.Equal(len(s.headers), 1)
	attempt := spans.GetSpans()[2].SpanContext
	is.Equal(s.headers[0].Get("Traceparent"), "00-"+traceID+"-"+attempt.SpanID().String()+"-01")

	spans.Reset()
	is.Equal(send("wrong"), http.StatusUnauthorized)
	is.True(spans.GetSpans()[0].SpanContext.TraceID().String() != traceID) // traces of unauthenticated callers are not continued
}
