// Package router is the use case of a request: admit it, place it, attempt it,
// relay the answer, and retry or resume it elsewhere when a target fails.
package router

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"mimosaseam.example/mimosaseam/internal/app/atmostonce"
	"mimosaseam.example/mimosaseam/internal/core/config"
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

// Random is the source of randomness; it must be safe for concurrent use.
type Random interface {
	Float64() float64
	Uint64() uint64
}

// SystemRandom is the process-wide random generator.
type SystemRandom struct{}

// Float64 returns a number in [0, 1).
func (SystemRandom) Float64() float64 { return rand.Float64() }

// Uint64 returns a random number.
func (SystemRandom) Uint64() uint64 { return rand.Uint64() }

// Deps are the dependencies of a Router. Engine, Service, Placer, Runner and
// Source are required; the others have defaults.
type Deps struct {
	Engine  port.Engine
	Service port.Service
	Placer  placement.Placer
	Runner  atmostonce.Runner
	Source  config.Source

	// Clock is the system clock by default.
	Clock port.Clock
	// Random is SystemRandom by default.
	Random Random
	// Targets is an empty Targets by default.
	Targets TargetView
	// Shares is limits.Alone by default.
	Shares limits.PeerState
	// Fingerprints is an empty set by default. The caller exchanges it with
	// peers through its Export and Merge.
	Fingerprints *retry.CrashTracker
	// Logger, Tracer and Metrics discard by default.
	Logger  *slog.Logger
	Tracer  trace.Tracer
	Metrics Metrics
}

type noMetrics struct{}

func (noMetrics) Add(string, int64)             {}
func (noMetrics) Observe(string, time.Duration) {}

// Router runs requests. It is safe for concurrent use.
type Router struct {
	Deps
	limits   *limits.Controller
	circuits *retry.Circuits
	shared   flights
	silent   silent
	pools    pools
	drain    drain

	budgetsMu sync.Mutex
	budgets   map[config.Ref]*retry.Budget
}

// New returns a Router with defaults filled in.
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
	if d.Fingerprints == nil {
		d.Fingerprints = retry.NewCrashTracker()
	}
	return &Router{Deps: d, limits: limits.NewController(d.Clock, d.Shares),
		circuits: retry.NewCircuits(), budgets: map[config.Ref]*retry.Budget{}}
}

// budget returns the budget that all extra attempts of the route share.
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

// newID returns a random id that is unique over all routers.
func (r *Router) newID() string {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], r.Random.Uint64())
	binary.BigEndian.PutUint64(b[8:], r.Random.Uint64())
	return hex.EncodeToString(b[:])
}

// drain counts open requests and refuses new ones once it has begun.
type drain struct {
	mu    sync.Mutex
	begun bool
	open  int
	idle  chan struct{}
}

func (d *drain) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.begun {
		return false
	}
	d.open++
	return true
}

func (d *drain) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
	if d.begun && d.open == 0 {
		close(d.idle)
	}
}

// BeginDrain makes the router refuse new requests as not run. Open requests
// finish.
func (r *Router) BeginDrain() {
	d := &r.drain
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.begun {
		return
	}
	d.begun = true
	d.idle = make(chan struct{})
	if d.open == 0 {
		close(d.idle)
	}
}

// WaitDrained waits until the last open request has ended. It must be called
// after BeginDrain.
func (r *Router) WaitDrained(ctx context.Context) error {
	r.drain.mu.Lock()
	idle := r.drain.idle
	r.drain.mu.Unlock()
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

// reserve is the part of a route's budget that a route with little traffic
// has: enough for the crash of one target filled beyond its slots.
func reserve(pool config.Pool) int { return 2 * max(pool.Slots, 1) }
