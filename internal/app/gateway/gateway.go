// Package gateway is the use case of a request that is passed on unchanged: find
// its route, place it, forward it, relay the answer, and repeat or resume it
// elsewhere when a target fails.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"mimosaseam.example/mimosaseam/internal/core/gatewayconfig"
	"mimosaseam.example/mimosaseam/internal/core/limits"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Metrics counts events and observes durations under stable names.
type Metrics interface {
	Add(name string, delta int64)
	Observe(name string, d time.Duration)
}

// Names of metrics.
const (
	MetricRequests   = "requests"
	MetricAnswered   = "answered"
	MetricRefused    = "refused"
	MetricFailed     = "failed"
	MetricAborted    = "aborted"
	MetricGone       = "client_gone"
	MetricRepeats    = "repeats"
	MetricNoBudget   = "repeats_over_budget"
	MetricFirstEvent = "first_event"
	MetricAnswer     = "answer"
	MetricPlacement  = "placement"
	// MetricQueueWait is how long requests waited for room, MetricNotAdmitted counts
	// those that could not be served in time.
	MetricQueueWait   = "queue_wait"
	MetricNotAdmitted = "not_admitted"
)

// Request is one attempt of a client, read whole.
type Request struct {
	ID     string
	Method string
	// URI is the path and query, Path the path alone.
	URI    string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	Key    string
	// Patience is how long the client waits; 0: it does not tell.
	Patience        time.Duration
	Model           string
	Prompt          []port.Segment
	PromptTokens    int
	MaxOutputTokens int
	Received        time.Time
}

// Sink takes the answer to one request.
type Sink interface {
	// Head begins the answer. Length is the size of the body, -1: unknown.
	Head(status int, h http.Header, length int64)
	// Write sends a part of the body at once. An error means that the client is gone.
	Write(p []byte) error
}

// Settings are the bounds that the deployment sets.
type Settings struct {
	AvailabilityZone string
	// Regions maps availability zones to their regions.
	Regions map[string]string
	// KeyBound is the age of the last verification of the configuration from
	// which on no key is served. 0: keys are served at any age.
	KeyBound time.Duration
	// StaleBound is the age from which on a route or key that is not known may be
	// new.
	StaleBound time.Duration
	// WeightsBound is the time after which no request may begin on weights older
	// than those named last; 0: none.
	WeightsBound time.Duration
	// RepeatRatio and RepeatAllowance bound repeated sends to a service in
	// RepeatWindow, over all routers.
	RepeatRatio     float64
	RepeatAllowance float64
	RepeatWindow    time.Duration
}

// Deps are the dependencies of a Gateway.
type Deps struct {
	Settings  Settings
	Forwarder port.Forwarder
	Control   port.WeightsControl
	Placer    placement.Placer
	Directory *Directory
	// Holdings knows what targets and stores hold.
	Holdings *placement.Holdings
	// Clock is steady while the process runs; BootClock also counts the time for
	// which the VM was suspended.
	Clock     port.Clock
	BootClock port.Clock
	Log       *slog.Logger
	Metrics   Metrics
	// Tracer gives each hop of a request a span; nil: none.
	Tracer trace.Tracer
	// Routers returns the number of routers that share the bounds.
	Routers func() int
	// Wanted returns the version named last for a model and when this router
	// learned of it by BootClock. Nil: none is ever named.
	Wanted func(model string) (version int, named time.Time)
	// Floor returns the oldest version of a model on which a request may still begin;
	// nil: any.
	Floor func(model string, within time.Duration) int
	// TellStarted tells other routers of a request with much to read; nil: nobody.
	TellStarted func(target string, tokens int)
	// Fingerprints is exchanged with the other routers by the caller.
	Fingerprints *retry.CrashTracker
	// WatchedField is the field of events that tells a change of weights.
	WatchedField string
}

// Gateway passes requests on. It is safe for concurrent use.
type Gateway struct {
	Deps
	bounds   atomic.Pointer[Settings]
	config   atomic.Pointer[gatewayconfig.Configuration]
	circuits *retry.Circuits
	limits   *limits.Controller

	mu        sync.Mutex
	freshness gatewayconfig.Freshness
	windows   map[string]*retry.RetryLimiter
	// work is the usual time in ms for which a request keeps a target of a service busy,
	// rates how fast the engines of a service read prompts.
	work  map[string]float64
	rates map[string]placement.PrefillRate

	open     atomic.Int64
	draining atomic.Bool
}

// New returns a gateway without a configuration.
func New(d Deps) *Gateway {
	if d.Tracer == nil {
		d.Tracer = noop.NewTracerProvider().Tracer("")
	}
	g := &Gateway{Deps: d, circuits: retry.NewCircuits(), limits: limits.NewController(d.Clock, shares{d.Routers}), windows: map[string]*retry.RetryLimiter{}, work: map[string]float64{},
		rates: map[string]placement.PrefillRate{}}
	g.SetSettings(d.Settings)
	return g
}

// SetSettings puts other bounds in force.
func (g *Gateway) SetSettings(s Settings) { g.bounds.Store(&s) }

func (g *Gateway) settings() *Settings { return g.bounds.Load() }

// SetConfiguration puts a configuration in force as a whole. Versions never go back.
func (g *Gateway) SetConfiguration(c *gatewayconfig.Configuration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if old := g.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	g.config.Store(c)
	g.Log.Info("configuration in force", "version", c.Version)
}

// Configuration returns the configuration in force, nil before the first.
func (g *Gateway) Configuration() *gatewayconfig.Configuration { return g.config.Load() }

// Verify records that the configuration in force was the newest at a moment of
// the boot clock.
func (g *Gateway) Verify(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.freshness.MarkVerified(at)
}

// ConfigurationAge is the time since the configuration was last verified.
func (g *Gateway) ConfigurationAge() time.Duration {
	now := g.BootClock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.freshness.Age(now)
}

// Ready reports whether requests can be served, and the reason when they cannot.
func (g *Gateway) Ready() (bool, string) {
	c := g.config.Load()
	switch {
	case g.draining.Load():
		return false, "stopping"
	case c == nil:
		return false, "no configuration"
	case len(g.Directory.All()) == 0:
		return false, "no targets"
	case g.settings().KeyBound > 0 && g.ConfigurationAge() > g.settings().KeyBound:
		return false, "the configuration is not verified"
	}
	return true, ""
}

// BeginDrain makes the router report that it is not ready. Requests that still
// come are served.
func (g *Gateway) BeginDrain() { g.draining.Store(true) }

// Draining reports whether a stop has begun.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// Open returns the number of requests under way.
func (g *Gateway) Open() int { return int(g.open.Load()) }

func (g *Gateway) prefillRate(service string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rates[service].TokensPerSecond()
}

// PrefillRate is the rate at which the target reads prompts, in tokens per second.
func (g *Gateway) PrefillRate(address string) float64 {
	return g.prefillRate(g.Directory.serviceAt(address))
}

// noteFirstToken learns the rate from a request that waited for nothing else.
func (g *Gateway) noteFirstToken(service string, s placement.Score, tokens int, took time.Duration) {
	if s.QueueMs > 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rates[service] = g.rates[service].Observe(tokens, float64(took)/float64(time.Millisecond)-s.LinkMs)
}

func (g *Gateway) window(service string) *retry.RetryLimiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.windows[service]
	if w == nil {
		w = retry.NewRetryLimiter(g.settings().RepeatWindow)
		g.windows[service] = w
	}
	return w
}

// repeatShare is the part of the bounds that is used; the rest covers sends
// that are counted in another window than here.
const repeatShare = 0.8

// mayRepeat reports whether one more send to the service is within the bound of
// all routers, and counts it.
func (g *Gateway) mayRepeat(service string) bool {
	allowance := repeatShare * g.settings().RepeatAllowance / float64(max(1, g.Routers()))
	return g.window(service).AllowRetry(g.Clock.Now(), repeatShare*g.settings().RepeatRatio, allowance)
}

// Serve passes a request on and relays the answer to the sink. It fails with a
// *Failure.
func (g *Gateway) Serve(ctx context.Context, r *Request, sink Sink) error {
	g.open.Add(1)
	defer g.open.Add(-1)
	g.Metrics.Add(MetricRequests, 1)
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(r.Header))
	ctx, span := g.Tracer.Start(ctx, "accept", trace.WithAttributes(attribute.String("request_id", r.ID)))
	defer span.End()
	x, err := g.plan(r, sink)
	if err == nil {
		err = x.serve(ctx)
	}
	if err != nil && x != nil {
		// The client may repeat a request that crashed its target on another router.
		g.Fingerprints.Publish(g.Clock.Now(), x.fingerprint)
	}
	if err != nil {
		span.SetStatus(codes.Error, failureOf(err).Kind.String())
	}
	g.finish(ctx, x, r, err)
	return err
}

// finish logs the outcome with what decided it.
func (g *Gateway) finish(ctx context.Context, x *exchange, r *Request, err error) {
	took := g.Clock.Now().Sub(r.Received)
	attrs := []slog.Attr{slog.String("request", r.ID), slog.Float64("ms", ms(took)),
		slog.Float64("config_age_ms", ms(g.ConfigurationAge()))}
	if c := g.config.Load(); c != nil {
		attrs = append(attrs, slog.Int64("config", c.Version))
	}
	if x != nil {
		attrs = append(attrs, x.attrs()...)
	}
	switch {
	case err == nil:
		g.Metrics.Add(MetricAnswered, 1)
		g.Metrics.Observe(MetricAnswer, took)
		g.Log.LogAttrs(ctx, slog.LevelInfo, "answered", attrs...)
	default:
		f := failureOf(err)
		g.Metrics.Add(f.Kind.metric(), 1)
		attrs = append(attrs, slog.String("outcome", f.Kind.String()), slog.String("why", f.Error()))
		g.Log.LogAttrs(ctx, slog.LevelInfo, "not answered", attrs...)
	}
}

func ms(d time.Duration) float64 {
	if d > 1000*time.Hour {
		return -1 // never verified
	}
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}

// spread returns a random number for the choice between services.
func spread() uint64 { return rand.Uint64() }
