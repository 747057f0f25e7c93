package orders

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/app/follow"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/port/portfake"
)

// fakeEngine simulates all targets and records the fencing tokens of their orders.
type fakeEngine struct {
	port.Engine
	checks bool
	// loadTime is the duration of a load.
	loadTime time.Duration

	mu      sync.Mutex
	highest port.Offset
	record
}

// record holds the calls and states of a fakeEngine.
type record struct {
	tokens             []port.Offset
	at                 []time.Time
	states             map[string]port.EngineState
	reads, mostLoading int
}

// seen returns a copy of the record, as managers may still be running.
func (e *fakeEngine) seen() record {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record
	r.states = maps.Clone(e.states)
	return r
}

func (e *fakeEngine) State(_ context.Context, address string) (port.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reads++
	return e.states[address], nil
}

func (e *fakeEngine) Order(_ context.Context, address string, o port.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks && o.FencingToken < e.highest {
		return &port.StaleFencingError{Target: address, FencingToken: o.FencingToken}
	}
	e.highest = max(e.highest, o.FencingToken)
	e.tokens = append(e.tokens, o.FencingToken)
	e.at = append(e.at, time.Now())
	e.states[address] = port.EngineState{Model: o.Model, Loading: true}
	loading := 0
	for _, state := range e.states {
		if state.Loading {
			loading++
		}
	}
	e.mostLoading = max(e.mostLoading, loading)
	time.AfterFunc(e.loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.states[address] = port.EngineState{Model: o.Model, WeightsVersion: o.Version}
	})
	return nil
}

// limitedWeights grants a fixed number of downloads.
type limitedWeights struct{ left int }

func (w *limitedWeights) Fetch(context.Context, string) error {
	if w.left == 0 {
		return &port.RateLimitedError{Peer: "weight store", RetryAfter: time.Second}
	}
	w.left--
	return nil
}

// advance lets the fake clock of the synctest bubble advance.
func advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// rig connects managers with one log and one fake engine.
type rig struct {
	log     *portfake.Log
	engine  *fakeEngine
	version string
	mu      sync.Mutex
	targets int
	checks  bool
}

func (r *rig) desired() []Desired {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Desired
	for i := range r.targets {
		name := string(rune('a' + i))
		out = append(out, Desired{Pool: "p", Target: name, Address: name, Model: "m",
			WeightsVersion: r.version, ChecksFencing: r.checks})
	}
	return out
}

func (r *rig) set(version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
}

// start runs a manager. stop ends it without releasing the lease, like a killed
// process.
func (r *rig) start(holder string, weights port.WeightStore) (m *Manager, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	logger := slog.New(slog.DiscardHandler)
	m = New(Deps{Log: r.log, Engine: r.engine, Weights: weights, Clock: port.SystemClock{}, Logger: logger,
		Holder: holder, Desired: r.desired})
	f := follow.Follower{Log: r.log, Stream: port.StreamOrders, Logger: logger, Handle: m.Observe, Tail: Tail}
	var done sync.WaitGroup
	done.Go(func() { _ = f.Run(ctx) })
	done.Go(func() { _ = m.Run(ctx) })
	return m, func() { cancel(); done.Wait() }
}

func newRig(targets int, checks bool) *rig {
	return &rig{
		log: portfake.NewLog(portfake.LogOptions{}),
		engine: &fakeEngine{checks: checks, loadTime: 10 * time.Second,
			record: record{states: map[string]port.EngineState{}}},
		version: "v1", targets: targets, checks: checks,
	}
}

// Guards against two routers that send orders at the same time, and against
// engines that stay on old weights after the holder has failed.
func TestOneHolderOrdersAndSuccessorTakesOver(t *testing.T) {
	for name, checks := range map[string]bool{"engines check fencing": true, "engines ignore fencing": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRig(2, checks)
				one, stopOne := r.start("one", nil)
				two, stopTwo := r.start("two", nil)
				defer func() { stopTwo() }()
				advance(40 * time.Second)
				is.True(one.Holding() != two.Holding()) // exactly one holds the lease
				is.Equal(len(r.engine.seen().tokens), 2)
				is.True(!r.engine.seen().at[1].Before(r.engine.seen().at[0].Add(r.engine.loadTime))) // one target of a pool at a time

				if two.Holding() {
					one, two, stopOne, stopTwo = two, one, stopTwo, stopOne
				}
				stopOne()
				killed := time.Now()
				r.set("v2")
				advance(60 * time.Second)
				is.True(two.Holding())
				is.Equal(r.engine.seen().states["a"].WeightsVersion, "v2")
				is.Equal(r.engine.seen().states["b"].WeightsVersion, "v2")
				is.True(r.engine.seen().tokens[2] > r.engine.seen().tokens[1]) // fencing tokens increase
				if !checks {
					is.True(r.engine.seen().at[2].Sub(killed) >= orderTimeout) // the last order of the previous holder has timed out
				}
			})
		})
	}
}

// Guards against a holder that keeps sending orders after its lease has expired
// while the log is unreachable.
func TestHolderStopsWhenTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(1, false)
		one, stop := r.start("one", nil)
		defer stop()
		advance(20 * time.Second)
		is.True(one.Holding())
		r.log.SetFaults(portfake.Faults{Outage: true})
		advance(leaseTTL)
		is.True(!one.Holding())
		r.set("v2")
		advance(30 * time.Second)
		is.Equal(len(r.engine.seen().tokens), 1) // no order without the lease
		r.log.SetFaults(portfake.Faults{})
		advance(60 * time.Second)
		is.Equal(r.engine.seen().states["a"].WeightsVersion, "v2")
	})
}

// Guards against two holders, or none, after the response to a claim was lost.
func TestLostResponseToAClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(1, true)
		r.log.SetFaults(portfake.Faults{LoseAfterEffect: 1, LoseBeforeEffect: 1})
		one, stopOne := r.start("one", nil)
		defer stopOne()
		two, stopTwo := r.start("two", nil)
		defer stopTwo()
		advance(60 * time.Second)
		is.True(one.Holding() != two.Holding())
		is.Equal(r.engine.seen().states["a"].WeightsVersion, "v1")
	})
}

// Guards against orders that exceed the weight store's rate limit.
func TestOrdersWaitForTheWeightStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(3, true)
		_, stop := r.start("one", &limitedWeights{left: 2})
		defer stop()
		advance(60 * time.Second)
		is.Equal(len(r.engine.seen().tokens), 2)
	})
}

// Guards against an order sent by a holder that was paused beyond its lease
// between deciding and sending.
func TestPausedHolderSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(1, false)
		paused := &pausingWeights{}
		_, stop := r.start("one", paused)
		defer stop()
		advance(60 * time.Second)
		is.True(paused.calls.Load() > 0)
		is.Equal(len(r.engine.seen().tokens), 0) // each pause is longer than the lease under which the decision was made
	})
}

// pausingWeights simulates a process that is paused for longer than its lease.
type pausingWeights struct{ calls atomic.Int32 }

func (p *pausingWeights) Fetch(context.Context, string) error {
	p.calls.Add(1)
	<-time.After(2 * leaseTTL)
	return nil
}

// Guards against control traffic that grows with the number of targets, and
// against a large pool whose targets all reload at the same time.
func TestReadsAndLoadsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(40, true)
		_, stop := r.start("one", nil)
		defer stop()
		advance(40 * time.Second)
		is.True(r.engine.seen().reads <= readsPerTick*40)
		is.True(r.engine.seen().mostLoading >= 1)
		is.True(r.engine.seen().mostLoading <= 2) // a twentieth of 40 targets
		advance(400 * time.Second)
		for _, d := range r.desired() {
			is.Equal(r.engine.seen().states[d.Address].WeightsVersion, "v1")
		}
	})
}
