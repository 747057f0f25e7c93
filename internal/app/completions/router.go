// Package completions serves the project's own completions interface and calls to
// plain services. It admits each request, places it on a target, relays the
// response, and retries or resumes it on another target after a failure. It builds
// the requests to engines itself; HTTP requests that are passed on unchanged to the
// targets of a user's platform are served by package gateway, which the command
// "gateway" runs.
package completions

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"mimosaseam.example/mimosaseam/internal/app/atmostonce"
	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/limits"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/core/shutdown"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Metrics records counters and durations under stable names.
type Metrics interface {
	Add(name string, delta int64)
	Observe(name string, d time.Duration)
}

// Random is a source of random numbers. It must be safe for concurrent use.
type Random interface {
	Float64() float64
	Uint64() uint64
}

// SystemRandom uses the process-wide random generator.
type SystemRandom struct{}

// Float64 returns a number in [0, 1).
func (SystemRandom) Float64() float64 { return rand.Float64() }

// Uint64 returns a random number.
func (SystemRandom) Uint64() uint64 { return rand.Uint64() }

// Deps holds the dependencies of a Router. Engine, Service, Placer, Runner and
// Source are required; the others have defaults.
type Deps struct {
	Engine  port.Engine
	Service port.Service
	Placer  placement.Placer
	Runner  atmostonce.Runner
	Source  config.Source

	// Clock defaults to the system clock.
	Clock port.Clock
	// Random defaults to SystemRandom.
	Random Random
	// Targets defaults to an empty Targets.
	Targets TargetView
	// Shares defaults to limits.SingleRouter.
	Shares limits.PeerState
	// Allotments charges the rate limits of accounts; nil: they are not enforced.
	Allotments Allotments
	// CrashTracker defaults to an empty one. The owner of the Router exchanges its
	// state with peers through its Export and Merge methods.
	CrashTracker *retry.CrashTracker
	// SegmentTracker defaults to an empty one, likewise.
	SegmentTracker *retry.SegmentTracker
	// Logger, Tracer and Metrics discard everything by default.
	Logger  *slog.Logger
	Tracer  trace.Tracer
	Metrics Metrics
}

type noMetrics struct{}

func (noMetrics) Add(string, int64)             {}
func (noMetrics) Observe(string, time.Duration) {}

// Router admits, places and runs requests. It is safe for concurrent use.
type Router struct {
	Deps
	limits     *limits.Controller
	circuits   *retry.Circuits
	probes     probeGroup
	freshConns freshConns
	views      viewCache
	requests   requestTracker
	replies    *limits.Memory
	// running ends with EndRequests.
	running     context.Context
	endRequests context.CancelCauseFunc
	// stop is the schedule of the planned stop, nil before it.
	stop      atomic.Pointer[shutdown.Schedule]
	durations *shutdown.Durations

	budgetsMu sync.Mutex
	budgets   map[config.Ref]*retry.Budget
}

// New returns a Router with defaults applied to unset dependencies.
func New(d Deps) *Router {
	if d.Clock == nil {
		d.Clock = port.SystemClock{}
	}
	if d.Random == nil {
		d.Random = SystemRandom{}
	}
	if d.Targets == nil {
		d.Targets = NewTargets(d.Clock, d.Placer)
	}
	if d.Shares == nil {
		d.Shares = limits.SingleRouter{}
	}
	if d.Logger == nil {
		d.Logger = slog.New(slog.DiscardHandler)
	}
	if d.Tracer == nil {
		d.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if d.Metrics == nil {
		d.Metrics = noMetrics{}
	}
	if d.CrashTracker == nil {
		d.CrashTracker = retry.NewCrashTracker()
	}
	if d.SegmentTracker == nil {
		d.SegmentTracker = retry.NewSegmentTracker()
	}
	r := &Router{Deps: d, limits: limits.NewController(d.Clock, d.Shares),
		circuits: retry.NewCircuits(), replies: limits.NewMemory(replyMemory), budgets: map[config.Ref]*retry.Budget{}, durations: shutdown.NewDurations()}
	r.running, r.endRequests = context.WithCancelCause(context.Background())
	return r
}

// budget returns the retry budget shared by all extra attempts of the route.
func (r *Router) budget(route config.Ref) *retry.Budget {
	r.budgetsMu.Lock()
	defer r.budgetsMu.Unlock()
	b := r.budgets[route]
	if b == nil {
		b = &retry.Budget{}
		r.budgets[route] = b
	}
	return b
}

// newID returns a random ID that is unique across all routers.
func (r *Router) newID() string {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], r.Random.Uint64())
	binary.BigEndian.PutUint64(b[8:], r.Random.Uint64())
	return hex.EncodeToString(b[:])
}

// requestTracker counts open requests and rejects new ones while draining.
type requestTracker struct {
	mu           sync.Mutex
	draining     bool
	openRequests int
	idle         chan struct{}
}

func (t *requestTracker) start() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return false
	}
	t.openRequests++
	return true
}

func (t *requestTracker) finish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openRequests--
	if t.draining && t.openRequests == 0 {
		close(t.idle)
	}
}

// BeginDrain makes the router reject new requests with OutcomeNotRun. Open
// requests run to completion.
func (r *Router) BeginDrain() {
	t := &r.requests
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return
	}
	t.draining = true
	t.idle = make(chan struct{})
	if t.openRequests == 0 {
		close(t.idle)
	}
}

// WaitDrained blocks until the last open request has ended. It must be called
// after BeginDrain.
func (r *Router) WaitDrained(ctx context.Context) error {
	r.requests.mu.Lock()
	idle := r.requests.idle
	r.requests.mu.Unlock()
	if idle == nil {
		return ErrNotDraining
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// BeginStop begins a planned stop. Requests that still arrive are served unless the
// schedule leaves too little time.
func (r *Router) BeginStop(s shutdown.Schedule) { r.stop.Store(&s) }

// EndRequests ends the open requests and those that still arrive with what is true of them.
func (r *Router) EndRequests() { r.endRequests(ErrStopping) }

// untilStopped returns a context that also ends with EndRequests.
func (r *Router) untilStopped(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(ctx)
	release := context.AfterFunc(r.running, func() { end(ErrStopping) })
	return ctx, func() {
		release()
		end(nil)
	}
}

// checkStop fails with ErrStopping if a planned stop leaves too little time for a request
// that has not begun to run.
func (r *Router) checkStop(p *plan) error {
	s, now := r.stop.Load(), r.Clock.Now()
	if s == nil || s.Admits(now, shutdown.Request{Arrived: p.arrived, Deadline: p.deadline, Duration: r.durations.Expected(p.routeRef.String(), now)}) {
		return nil
	}
	return ErrStopping
}

// budgetReserve is the retry budget that a route has regardless of its traffic, in
// attempts: enough to retry all requests of one crashed target that runs more
// requests than it has slots.
func budgetReserve(pool config.Pool) int { return 2 * max(pool.Slots, 1) }
