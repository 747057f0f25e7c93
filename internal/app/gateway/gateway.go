// Package gateway serves the HTTP requests of a user's own platform: it passes each one on
// unchanged to a target of its route, relays the response, and retries or resumes the
// request on another target after a failure. The command "gateway" runs it. The project's
// own completions interface, whose requests to engines the router builds itself, and its
// calls to plain services are served by package completions.
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
	"mimosaseam.example/mimosaseam/internal/core/shutdown"
	"mimosaseam.example/mimosaseam/internal/core/workload"
	"mimosaseam.example/mimosaseam/internal/panics"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Metrics counts events and observes durations under stable names.
type Metrics interface {
	Add(name string, delta int64)
	Observe(name string, d time.Duration)
}

// Names of metrics.
const (
	MetricRequests          = "requests"
	MetricAnswered          = "answered"
	MetricRefused           = "refused"
	MetricFailed            = "failed"
	MetricAborted           = "aborted"
	MetricClientGone        = "client_gone"
	MetricRepeats           = "repeats"
	MetricRepeatsOverBudget = "repeats_over_budget"
	MetricFirstEvent        = "first_event"
	MetricAnswer            = "answer"
	MetricPlacement         = "placement"
	// MetricQueueWait is the time that requests waited for capacity. MetricNotAdmitted
	// counts those that could not be served in time; followed by an underscore and the
	// reason, those with that reason.
	MetricQueueWait   = "queue_wait"
	MetricNotAdmitted = "not_admitted"
	// MetricQueued counts the requests that were served after a wait for capacity.
	MetricQueued = "queued"
	// MetricEstimateError is the difference between the expected and the actual time to the
	// first byte of an engine's answer, or to the whole answer of a plain target.
	MetricEstimateError = "estimate_error"
)

// Request is one request of a client, read completely but for CheckHead.
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
	// ClientTimeout is how long the client waits; 0: unknown.
	ClientTimeout   time.Duration
	Model           string
	Prompt          []port.Segment
	PromptTokens    int
	MaxOutputTokens int
	// Begun is when the first byte of the request arrived, Received when it was complete
	// but for its body. Begun may be zero.
	Begun, Received time.Time
	// Memory is what the buffered responses to the request may take; nil: what the requests
	// without one share.
	Memory limits.Allowance
}

// Sink receives the response to one request.
type Sink interface {
	// Head begins the response. Length is the size of the body, -1: unknown.
	Head(status int, h http.Header, length int64)
	// Write sends a part of the body immediately. An error means that the client has
	// disconnected.
	Write(p []byte) error
	// Expire makes a Write that waits for the client fail soon: the request's deadline has
	// passed. It may be called while Write runs.
	Expire()
}

// Settings are set by the deployment.
type Settings struct {
	AvailabilityZone string
	// Regions maps availability zones to their regions.
	Regions map[string]string
	// KeyRevocationBound is the age of the last verification of the configuration after
	// which requests with a key are refused. 0: they are served at any age.
	KeyRevocationBound time.Duration
	// ConfigurationBound is the age of the last verification after which an unknown route
	// or key may be a new one.
	ConfigurationBound time.Duration
	// WeightsBound is the time after the announcement of a weights version from which on
	// no request may begin on an older one; 0: none.
	WeightsBound time.Duration
	// RetryRatio and RetryAllowance are the retry budget of a service in RetryWindow,
	// over all routers.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// AllotmentSlack is the number of tokens by which an account may exceed its allotment in a
	// window.
	AllotmentSlack float64
}

// Deps are the dependencies of a Gateway.
type Deps struct {
	Settings  Settings
	Forwarder port.Forwarder
	Control   port.WeightsControl
	Placer    placement.Placer
	Directory *Directory
	// CacheContents tracks the prompt segments that targets and stores hold.
	CacheContents *placement.CacheIndex
	// Clock is monotonic; BootClock also counts the time for which the VM was
	// suspended.
	Clock     port.Clock
	BootClock port.Clock
	Log       *slog.Logger
	Metrics   Metrics
	// Tracer starts a span for each step of a request; nil: no tracing.
	Tracer trace.Tracer
	// Routers returns the number of routers that share the retry budget and the limits.
	Routers func() int
	// DesiredVersion returns the weights version announced last for a model and the time
	// by BootClock at which this router received it. Nil: none is ever announced.
	DesiredVersion func(model string) (version int, announced time.Time)
	// MinVersion returns the oldest weights version of a model on which a request may
	// still begin; nil: any.
	MinVersion func(model string, within time.Duration) int
	// AnnouncePrefill announces a request with a long prefill to the other routers; nil:
	// it is not announced.
	AnnouncePrefill func(target string, tokens int)
	// AnnounceRate announces the rate that a target named to the other routers; nil: it is
	// not announced.
	AnnounceRate func(r port.TargetRate)
	// IsChosen reports whether this router is one of the n that serve a key; nil: always.
	IsChosen func(key string, n int) bool
	// Allotments charges client accounts that have one; nil: none is charged.
	Allotments Allotments
	// CrashTracker tracks requests that crash targets. The owner of the Gateway exchanges
	// its state with the other routers.
	CrashTracker *retry.CrashTracker
	// SegmentTracker tracks prompt segments that crash targets, likewise.
	SegmentTracker *retry.SegmentTracker
	// WeightsField is the field of events that reports a change of weights.
	WeightsField string
}

// Gateway forwards requests to targets. It is safe for concurrent use.
type Gateway struct {
	Deps
	currentSettings atomic.Pointer[Settings]
	config          atomic.Pointer[gatewayconfig.Configuration]
	circuits        *retry.Circuits
	limits          *limits.Controller
	rates           *limits.TargetRates
	buffers         *limits.Memory
	// work is what the targets of each service have in common.
	work workload.Services

	mu            sync.Mutex
	freshness     gatewayconfig.Freshness
	retryLimiters map[string]*retry.RetryLimiter
	// meanOccupancyMs is the mean time for which a request occupies a target, and
	// prefillRates the prefill rate of the engines, both by service.
	meanOccupancyMs map[string]float64
	prefillRates    map[string]placement.PrefillRate

	// running ends with EndRequests.
	running     context.Context
	endRequests context.CancelCauseFunc
	open        atomic.Int64
	// stop is the schedule of the planned stop, nil before it.
	stop      atomic.Pointer[shutdown.Schedule]
	durations *shutdown.Durations
}

// New returns a gateway without a configuration.
func New(d Deps) *Gateway {
	if d.Tracer == nil {
		d.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if d.IsChosen == nil {
		d.IsChosen = func(string, int) bool { return true }
	}
	g := &Gateway{Deps: d, rates: limits.NewTargetRates(limits.Fleet{Count: d.Routers, Chosen: d.IsChosen}), circuits: retry.NewCircuits(), limits: limits.NewController(d.Clock, routerCount{d.Routers}), retryLimiters: map[string]*retry.RetryLimiter{}, meanOccupancyMs: map[string]float64{},
		prefillRates: map[string]placement.PrefillRate{}, durations: shutdown.NewDurations()}
	g.buffers = limits.NewMemory(bufferMemory)
	g.running, g.endRequests = context.WithCancelCause(context.Background())
	g.SetSettings(d.Settings)
	d.Directory.observeEnds(g)
	return g
}

// SetSettings replaces the settings.
func (g *Gateway) SetSettings(s Settings) { g.currentSettings.Store(&s) }

func (g *Gateway) settings() *Settings { return g.currentSettings.Load() }

// SetConfiguration replaces the configuration as a whole. Configurations that are not
// newer than the current one are ignored.
func (g *Gateway) SetConfiguration(c *gatewayconfig.Configuration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if old := g.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	g.config.Store(c)
	g.Log.Info("configuration in force", "version", c.Version, "keys_required", c.HasAccounts(), "accounts", c.Accounts(), "isolated", c.IsolatedAccounts(), "shared_scope", c.CacheScope(nil))
}

// Configuration returns the configuration in force, nil before the first.
func (g *Gateway) Configuration() *gatewayconfig.Configuration { return g.config.Load() }

// MarkVerified records that the configuration in force was the newest at a time of the
// boot clock.
func (g *Gateway) MarkVerified(at time.Time) {
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
	case g.Draining():
		return false, "stopping"
	case c == nil:
		return false, "no configuration"
	case len(g.Directory.All()) == 0:
		return false, "no targets"
	case g.settings().KeyRevocationBound > 0 && g.ConfigurationAge() > g.settings().KeyRevocationBound:
		return false, "the configuration is not verified"
	}
	return true, ""
}

// BeginStop begins a planned stop: the router reports that it is not ready. Requests that
// still arrive are served unless the schedule leaves too little time.
func (g *Gateway) BeginStop(s shutdown.Schedule) { g.stop.Store(&s) }

// EndRequests ends the requests in progress and those that still arrive: at the end of a
// shutdown, an answer that is true serves a client better than a closed connection.
func (g *Gateway) EndRequests() { g.endRequests(ErrStopping) }

// Draining reports whether a shutdown has begun.
func (g *Gateway) Draining() bool { return g.stop.Load() != nil }

// OpenRequests returns the number of requests in progress.
func (g *Gateway) OpenRequests() int { return int(g.open.Load()) }

func (g *Gateway) prefillRate(service string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.prefillRates[service].TokensPerSecond()
}

// PrefillRate returns the prefill rate of the target's service in tokens per second.
func (g *Gateway) PrefillRate(address string) float64 {
	return g.prefillRate(g.Directory.serviceAt(address))
}

// minSpeedFactor is below the factor of any target. A score without a factor is one of a target
// that was not ranked, and counts as usual.
const minSpeedFactor = 0.1

// observePrefill updates the prefill rate of a service from a request that was not queued
// on its target.
func (g *Gateway) observePrefill(service string, s placement.Score, tokens int, took time.Duration) {
	if s.QueueMs > 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prefillRates[service] = g.prefillRates[service].Observe(tokens, (float64(took)/float64(time.Millisecond)-s.LinkMs)/max(s.SpeedFactor, minSpeedFactor))
}

// maxLoadingPause bounds the pause of a target that a peer announces.
const maxLoadingPause = 2 * time.Second

// ObserveLoading records a peer's announcement that a target loads new weights or has
// loaded them. Versions that this router does not know yet are ignored.
func (g *Gateway) ObserveLoading(l port.TargetLoading) {
	if g.DesiredVersion == nil {
		return
	}
	if desired, _ := g.DesiredVersion(l.Model); l.Version <= 0 || l.Version > desired {
		return
	}
	if l.Pause > 0 {
		g.Directory.SetPaused(l.Target, g.Clock.Now().Add(min(l.Pause, maxLoadingPause)))
		return
	}
	g.Directory.SetWeights(l.Target, map[string]int{l.Model: l.Version})
}

func (g *Gateway) retryLimiter(service string) *retry.RetryLimiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.retryLimiters[service]
	if l == nil {
		l = retry.NewRetryLimiter(g.settings().RetryWindow)
		g.retryLimiters[service] = l
	}
	return l
}

// retryBudgetShare is the share of the retry budget that is used. The rest covers
// retries that other routers count in a different time window than this one does.
const retryBudgetShare = 0.8

// spendRetryBudget reports whether one more retry on the service is within this router's
// share of the retry budget, and counts it.
func (g *Gateway) spendRetryBudget(service string) bool {
	allowance := retryBudgetShare * g.settings().RetryAllowance / float64(max(1, g.Routers()))
	return g.retryLimiter(service).AllowRetry(g.Clock.Now(), retryBudgetShare*g.settings().RetryRatio, allowance)
}

// CheckHead fails with a *Failure if a request whose body was not read yet is not served whatever
// its body is. A request that passes may still be refused by Serve.
func (g *Gateway) CheckHead(ctx context.Context, r *Request) error {
	x, err := g.resolve(r)
	if err != nil {
		g.Metrics.Add(MetricRequests, 1)
		g.finish(ctx, x, r, err)
	}
	return err
}

// Serve forwards a request and relays the response to the sink. It fails with a *Failure.
func (g *Gateway) Serve(ctx context.Context, r *Request, sink Sink) error {
	g.open.Add(1)
	defer g.open.Add(-1)
	g.Metrics.Add(MetricRequests, 1)
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(r.Header))
	ctx, span := g.Tracer.Start(ctx, "accept", trace.WithAttributes(attribute.String("request_id", r.ID)))
	defer span.End()
	x, err := g.planAndServe(ctx, r, sink)
	if err != nil && x != nil {
		// The client may retry a request that crashed its target on another router.
		g.CrashTracker.Publish(g.Clock.Now(), x.fingerprint)
	}
	if err != nil {
		span.SetStatus(codes.Error, failureOf(err).Kind.String())
	}
	g.finish(ctx, x, r, err)
	return err
}

// planAndServe converts a panic to a failure of its request. The request may have run.
func (g *Gateway) planAndServe(ctx context.Context, r *Request, sink Sink) (x *exchange, err error) {
	defer func() {
		if value := recover(); value != nil {
			panics.Log(g.Log, "a request", value, "request", r.ID)
			err = &Failure{Kind: KindUnknown, Cause: ErrPanic}
		}
	}()
	x, err = g.plan(r, sink)
	if x != nil {
		defer func() { x.memory().Return(x.promptBytes) }()
	}
	if err == nil {
		err = x.serve(ctx)
	}
	return x, err
}

// finish counts and logs the outcome with the inputs of its decisions.
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

// randomPoint returns a random number for the choice between services.
func randomPoint() uint64 { return rand.Uint64() }
