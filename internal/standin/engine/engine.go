package engine

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/standin/conntrack"
)

// Engine is a simulated model engine. It is an http.Handler; Server returns a
// server whose connections it can also drop and silence.
type Engine struct {
	config  Config
	mux     *http.ServeMux
	tracker conntrack.Tracker
	started time.Time

	mu          sync.Mutex
	starts      int
	incarnation string
	version     string
	role        string
	adapters    []string
	model       string
	readyAt     time.Time
	closed      bool

	cache  *blockCache
	events *eventLog
	load   loadHistory
	faults faultState
	orders orderState
	runs   runLog

	attempts map[string]*attempt
	waiting  waitQueue
	decoding decodeHeap
	running  int
	arrivals uint64
	// prefillFree is the time at which the prefill of all started attempts ends.
	prefillFree time.Duration
	timerAt     time.Duration
	timerStop   func() bool
}

// New returns an engine that serves immediately unless StartCold is set.
func New(c Config) *Engine {
	c = c.withDefaults()
	e := &Engine{
		config: c, started: c.Clock.Now(),
		version: c.WeightsVersion, role: c.Role, model: c.Model,
		attempts: make(map[string]*attempt),
	}
	e.faults.init()
	e.resetLocked()
	if c.StartCold {
		e.readyAt = e.started.Add(c.ColdStart)
	}
	e.mux = http.NewServeMux()
	e.routes()
	return e
}

func (e *Engine) routes() {
	e.mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	e.mux.HandleFunc("DELETE /v1/attempts/{attempt}", e.serveCancel)
	e.mux.HandleFunc("GET /v1/load", e.serveLoad)
	e.mux.HandleFunc("GET /v1/cache/events", e.serveEvents)
	e.mux.HandleFunc("POST /v1/orders", e.serveOrder)
	e.mux.HandleFunc("GET /v1/state", e.serveState)
	e.mux.HandleFunc("POST /v1/kv/export", e.serveExport)
	e.mux.HandleFunc("POST /v1/kv/import", e.serveImport)
	e.mux.HandleFunc("POST /control/faults", e.serveFaults)
	e.mux.HandleFunc("GET /control/runs", e.serveRuns)
	e.mux.HandleFunc("GET /control/orders", e.serveExecutedOrders)
}

// Server returns a server for the engine. A crash drops, and the fault "silent"
// silences, only the connections of this server.
func (e *Engine) Server() *http.Server { return e.tracker.Server(e) }

// ServeHTTP serves the engine protocol and the control paths.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !isControl(r) {
		e.applyFaults(r.Context())
	}
	e.mux.ServeHTTP(w, r)
}

// Incarnation returns the current incarnation.
func (e *Engine) Incarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// Crash drops all connections and attempts, empties the cache and starts a new
// incarnation, which refuses work during the cold start. New connections are
// dropped for the duration of down.
func (e *Engine) Crash(ctx context.Context, down time.Duration) {
	e.mu.Lock()
	e.crashLocked(down)
	e.mu.Unlock()
	e.tracker.Drop(ctx)
}

// Close ends all attempts and timers.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.faults.resume()
	e.endAllLocked(OutcomeCancelled)
	if e.timerStop != nil {
		e.timerStop()
	}
}

func (e *Engine) crashLocked(down time.Duration) {
	e.endAllLocked(OutcomeCrashed)
	now := e.config.Clock.Now()
	e.faults.downUntil = now.Add(down)
	e.resetLocked()
	e.readyAt = now.Add(down + e.config.ColdStart)
}

// resetLocked starts a new incarnation with an empty cache and no history.
func (e *Engine) resetLocked() {
	e.starts++
	e.incarnation = fmt.Sprintf("%s-%x-%d", e.config.Name, e.config.Seed, e.starts)
	e.cache = newBlockCache(e.config.CapacityBlocks)
	if e.events != nil {
		close(e.events.notify)
	}
	e.events = newEventLog()
	e.adapters = nil
	e.prefillFree = 0
	e.load = loadHistory{}
	e.recordLoadLocked()
}

func (e *Engine) endAllLocked(outcome Outcome) {
	for _, a := range e.attempts {
		a.finish(outcome)
	}
	clear(e.attempts)
	e.waiting = nil
	e.decoding = nil
	e.running = 0
}

func (e *Engine) loadingLocked() bool { return e.config.Clock.Now().Before(e.readyAt) }

// elapsed returns the time since the engine was created.
func (e *Engine) elapsed() time.Duration { return e.config.Clock.Now().Sub(e.started) }
