package atmostonce

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/port/portfake"
)

// TestMain fixes the seed of property tests unless the command line sets one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const (
	logRetention = 7 * 24 * time.Hour
	keyRetention = 24 * time.Hour
	callTimeout  = 10 * time.Second
)

// cluster holds a log, a target and routers inside a synctest bubble.
type cluster struct {
	ctx       context.Context
	log       *portfake.Log
	retention time.Duration // of the log
	target    target
}

// run is one effect at the target.
type run struct{ key, sender string }

// target counts the effects per key.
type target struct {
	mu     sync.Mutex
	runs   []run
	dedupe bool // run a key once, like a target that deduplicates
}

func (t *target) effect(key, sender string) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.dedupe || t.countLocked(key) == 0 {
		t.runs = append(t.runs, run{key, sender})
	}
	return Outcome{Status: 201, Header: http.Header{}, Body: fmt.Appendf(nil, "run %d of %s", t.countLocked(key), key)}
}

func (t *target) count(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.countLocked(key)
}

func (t *target) countLocked(key string) int {
	n := 0
	for _, r := range t.runs {
		if r.key == key {
			n++
		}
	}
	return n
}

// inCluster runs a test in a synctest bubble and stops its routers at the end.
func inCluster(t *testing.T, test func(t *testing.T, w *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := &cluster{ctx: ctx, log: portfake.NewLog(portfake.LogOptions{Retention: logRetention}), retention: logRetention}
		defer func() { // also when the test fails
			cancel()
			synctest.Wait()
		}()
		test(t, w)
	})
}

// The steps of a call at which a fault can be injected.
const (
	beforeIntent  = "before the intent is appended"
	afterIntent   = "after the intent is appended"
	readBack      = "when the intent is read back"
	onDispatch    = "on dispatch"
	afterEffect   = "after the effect"
	beforeOutcome = "before the outcome is appended"
)

// router is a Service with fault injection for its log and clock.
type router struct {
	*Service
	w           *cluster
	mu          sync.Mutex
	hooks       map[string]func() // run once
	clockOffset time.Duration
	gate        chan struct{} // closed while the router runs
	appending   chan struct{} // capacity 1, full while an intent is being appended
	stop        context.CancelFunc
}

func (w *cluster) router(name string) *router {
	ctx, stop := context.WithCancel(w.ctx)
	r := &router{w: w, hooks: map[string]func(){}, gate: make(chan struct{}), appending: make(chan struct{}, 1), stop: stop}
	close(r.gate)
	r.Service = New(Options{Log: r, Router: name, Retention: w.retention, Clock: r,
		Rand: func() float64 { return 0.5 }, Logger: slog.New(slog.DiscardHandler)})
	go func() { _ = r.Follow(ctx) }()
	return r
}

// Now implements port.Clock.
func (r *router) Now() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Add(r.clockOffset)
}

func (r *router) advanceClock(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clockOffset += d
}

// pause blocks all interactions of the router with its environment until resume.
func (r *router) pause() (resume func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	gate := make(chan struct{})
	r.gate = gate
	return sync.OnceFunc(func() { close(gate) })
}

// onStep sets the fault to inject at a step.
func (r *router) onStep(step string, hook func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hooks[step] = hook
}

// passStep injects the fault of a step, then blocks while the router is paused.
func (r *router) passStep(step string) {
	r.mu.Lock()
	hook := r.hooks[step]
	delete(r.hooks, step)
	r.mu.Unlock()
	if hook != nil {
		hook()
	}
	r.mu.Lock()
	gate := r.gate
	r.mu.Unlock()
	select {
	case <-gate:
	case <-r.w.ctx.Done():
	}
}

func has(records []port.Record, prefix string) bool {
	for _, rec := range records {
		if strings.HasPrefix(rec.ID, prefix) {
			return true
		}
	}
	return false
}

// Append implements port.Log.
func (r *router) Append(ctx context.Context, stream string, records []port.Record) (port.Offset, error) {
	step := ""
	switch {
	case has(records, "intent-"):
		step = beforeIntent
	case has(records, "outcome-"):
		step = beforeOutcome
	}
	r.passStep(step)
	if step != beforeIntent {
		return r.w.log.Append(ctx, stream, records)
	}
	r.appending <- struct{}{}
	defer func() { <-r.appending }()
	offset, err := r.w.log.Append(ctx, stream, records)
	r.passStep(afterIntent)
	return offset, err
}

// Read implements port.Log.
func (r *router) Read(ctx context.Context, stream string, from port.Offset, limit int, wait time.Duration) (port.Batch, error) {
	b, err := r.w.log.Read(ctx, stream, from, limit, wait)
	if !has(b.Records, "intent-") {
		r.passStep("")
		return b, err
	}
	// The fault after the append must occur before the router reads its own record.
	r.appending <- struct{}{}
	<-r.appending
	if b, err = r.w.log.Read(ctx, stream, from, limit, 0); err == nil {
		r.passStep(readBack)
	}
	return b, err
}

// request is a call with a key of the given name, sent now.
func request(key string) Request {
	return Request{
		Key:      Key{ClientAccount: "acct", Value: key, CreatedAt: time.Now()},
		BodyHash: "body", Route: "r", Retention: keyRetention, Deadline: time.Now().Add(callTimeout),
	}
}

// send runs the call with a target that responds.
func (r *router) send(req Request, sender string) (Outcome, error) {
	return r.Run(r.w.ctx, req, func(ctx context.Context, _ string) (Outcome, error) {
		r.passStep(onDispatch)
		if r.w.ctx.Err() != nil { // the router was stopped here
			return Outcome{}, &port.UnknownOutcomeError{Peer: "target"}
		}
		out := r.w.target.effect(req.Key.Value, sender)
		r.passStep(afterEffect)
		return out, nil
	})
}

// resultKind returns the name of a result.
func resultKind(out Outcome, err error) string {
	var notRun *NotRunError
	var may *MayHaveRunError
	var reused *KeyReusedError
	var expired *KeyExpiredError
	switch {
	case err == nil && out.Header.Get(HeaderReplayed) != "":
		return "replay"
	case err == nil:
		return "ok"
	case errors.As(err, &notRun):
		return "not run"
	case errors.As(err, &may):
		return "may have run"
	case errors.As(err, &reused):
		return "reused"
	case errors.As(err, &expired):
		return "expired"
	}
	return err.Error()
}

// naive dispatches if it finds no other intent, without reading back its own. It
// shows that the tests detect the fault.
func (r *router) naive(req Request, sender string) (Outcome, error) {
	b, err := r.Read(r.w.ctx, port.StreamLedger, 1, 100, 0)
	if err != nil || has(b.Records, "intent-") {
		return Outcome{}, &MayHaveRunError{Cause: err}
	}
	if _, err := r.Append(r.w.ctx, port.StreamLedger, []port.Record{{ID: "intent-" + sender}}); err != nil {
		return Outcome{}, &MayHaveRunError{Cause: err}
	}
	return r.w.target.effect(req.Key.Value, sender), nil
}
