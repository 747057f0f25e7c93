package gateway

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/gatewayconfig"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/port"
)

// reply is a fake target's reaction to one attempt.
type reply struct {
	err    error
	status int
	body   string
	// broken ends the body with an error.
	broken bool
	// silent waits until the attempt is cancelled.
	silent bool
	// rate is the number of requests per second that the target names, 0: none.
	rate float64
	// says is what the target says of itself.
	says port.TargetStatement
	// load is the load that the target reports.
	load *port.LoadReport
	// contentType is the type of the body, empty: none.
	contentType string
}

// fakeTargets gives the replies to attempts in the order of their arrival.
type fakeTargets struct {
	mu       sync.Mutex
	replies  []reply
	attempts []port.Forward
	status   error
	// always holds the reply of each target, by address, once replies is used up.
	always map[string]reply
	// react gives the reply to an attempt if it is set.
	react func(address string, a port.Forward) reply
}

func (f *fakeTargets) Forward(ctx context.Context, address string, a port.Forward) (port.ForwardResponse, error) {
	f.mu.Lock()
	f.attempts = append(f.attempts, a)
	r := reply{status: http.StatusOK, body: "ok"}
	if len(f.replies) > 0 {
		r, f.replies = f.replies[0], f.replies[1:]
	} else if own, set := f.always[address]; set {
		r = own
	}
	if f.react != nil {
		r = f.react(address, a)
	}
	f.mu.Unlock()
	if r.silent {
		<-ctx.Done()
		if r.err != nil {
			return port.ForwardResponse{}, r.err
		}
		return port.ForwardResponse{}, &port.UnknownOutcomeError{Peer: address, Cause: ctx.Err()}
	}
	if r.err != nil {
		return port.ForwardResponse{}, r.err
	}
	var body io.Reader = strings.NewReader(r.body)
	if r.broken {
		body = io.MultiReader(body, brokenReader{})
	}
	header := http.Header{}
	if r.contentType != "" {
		header.Set("Content-Type", r.contentType)
	}
	return port.ForwardResponse{Status: r.status, Header: header, Body: io.NopCloser(body), Length: -1, RequestsPerSecond: r.rate, Statement: r.says, Load: r.load}, nil
}

func (f *fakeTargets) Order(context.Context, string, port.WeightsOrder) error { return nil }

// Status fails like a broken pooled connection of a crashed target unless it uses a new one.
func (f *fakeTargets) Status(ctx context.Context, address, _ string) (port.TargetStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.status != nil && !port.FreshConnectionRequested(ctx) {
		return port.TargetStatus{}, &port.UnknownOutcomeError{Peer: address, Cause: io.EOF}
	}
	return port.TargetStatus{}, f.status
}

func (f *fakeTargets) sent() []port.Forward {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]port.Forward(nil), f.attempts...)
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// recorder is a Sink that records the response.
type recorder struct {
	status int
	body   bytes.Buffer
}

func (r *recorder) Head(status int, _ http.Header, _ int64) { r.status = status }

func (r *recorder) Write(p []byte) error {
	_, err := r.body.Write(p)
	return err
}

func (r *recorder) Expire() {}

type noMetrics struct{}

func (noMetrics) Add(string, int64)             {}
func (noMetrics) Observe(string, time.Duration) {}

const testModel = "m"

// testConfiguration returns a configuration with a route of each kind: book is not
// idempotent, look is idempotent, check is a resumable stream, and brief is a stream that
// must not be retried.
func testConfiguration(version int64) *gatewayconfig.Configuration {
	return configurationWith(version, []gatewayconfig.AccountDefinition{{ClientAccount: gatewayconfig.ClientAccount{Name: "a"}, Keys: []string{"key"}}})
}

func configurationWith(version int64, accounts []gatewayconfig.AccountDefinition) *gatewayconfig.Configuration {
	engine := &gatewayconfig.Engine{Slots: 8, CacheTokens: 100_000}
	route := func(name string, kind gatewayconfig.Kind, service string, attempts int, resumable bool) gatewayconfig.Route {
		return gatewayconfig.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Resumable: resumable, MaxAttempts: attempts,
			Services: []gatewayconfig.WeightedService{{Service: service, Weight: 1}}, Timeout: 5 * time.Second, Objective: 200 * time.Millisecond}
	}
	return gatewayconfig.New(gatewayconfig.Definition{Version: version,
		Routes: []gatewayconfig.Route{route("book", gatewayconfig.NonIdempotent, "desk", 1, false), route("look", gatewayconfig.Idempotent, "desk", 2, false),
			route("check", gatewayconfig.Streaming, "llm", 2, true), route("brief", gatewayconfig.Streaming, "llm", 1, false)},
		Services: []gatewayconfig.Service{{Name: "desk"}, {Name: "llm", Engine: engine}},
		Accounts: accounts})
}

type testGateway struct {
	*Gateway
	targets *fakeTargets
}

// newTestGateway returns a gateway with three targets of each service.
func newTestGateway(t *testing.T, replies ...reply) *testGateway {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	clock, placer := port.SystemClock{}, placement.New(placement.Settings{})
	targets := &fakeTargets{replies: replies}
	dir := NewDirectory(log, clock, placer, LeavingGrace(2500*time.Millisecond, 800*time.Millisecond))
	g := New(Deps{Forwarder: targets, Control: targets, Placer: placer, Directory: dir, CacheContents: placement.NewCacheIndex(), Clock: clock, BootClock: clock, Log: log,
		Metrics: noMetrics{}, Routers: func() int { return 1 }, CrashTracker: retry.NewCrashTracker(), SegmentTracker: retry.NewSegmentTracker(),
		Settings: Settings{KeyRevocationBound: 5 * time.Second, ConfigurationBound: 2 * time.Second, RetryRatio: 0.2, RetryAllowance: 50,
			RetryWindow: 10 * time.Second, WeightsBound: 8 * time.Second}})
	for _, id := range []string{"d1", "d2", "d3"} {
		dir.Put(port.TargetEntry{ID: id, Service: "desk", Address: "desk-" + id, Slots: 6})
	}
	for _, id := range []string{"e1", "e2", "e3"} {
		dir.Put(port.TargetEntry{ID: id, Service: "llm", Address: "llm-" + id, Slots: 8, Weights: map[string]int{testModel: 1}})
	}
	g.SetConfiguration(testConfiguration(1))
	g.MarkVerified(clock.Now())
	return &testGateway{Gateway: g, targets: targets}
}

// send runs one request of the route.
func (w *testGateway) send(ctx context.Context, route string) (*recorder, error) {
	r := &Request{ID: "r1", Method: http.MethodPost, URI: "/" + route + "/x", Path: "/" + route + "/x", Host: "h", Header: http.Header{},
		Key: "key", Received: time.Now()}
	if route == "check" || route == "brief" {
		r.Model, r.PromptTokens, r.MaxOutputTokens = testModel, 900, 10
		r.Prompt = []port.Segment{{ID: "a", Tokens: 600}, {ID: "b", Tokens: 300}}
	}
	out := &recorder{}
	return out, w.Serve(ctx, r, out)
}

// sentOnce checks that exactly one attempt was made, on the target and for the weights.
func (w *testGateway) sentOnce(is *is.I, target string, weights int) {
	is.Helper()
	sent := w.targets.sent()
	is.Equal(len(sent), 1)
	is.Equal(sent[0].ExpectTarget, target)
	is.Equal(sent[0].ExpectWeights, weights)
}
