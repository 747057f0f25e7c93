package observe

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/port/portfake"
)

// fakeEngine serves event reads with a function.
type fakeEngine struct {
	port.Engine
	events func(address string, after uint64) (port.CacheEvents, error)
}

func (e *fakeEngine) Load(context.Context, string) (port.LoadReport, error) {
	return port.LoadReport{}, nil
}

func (e *fakeEngine) Events(_ context.Context, address string, after uint64, _ time.Duration) (port.CacheEvents, error) {
	return e.events(address, after)
}

// fakePlacer records the event reads that it receives.
type fakePlacer struct {
	placement.Placer
	observed []string
}

func (p *fakePlacer) ObserveLoad(time.Time, string, port.LoadReport) {}
func (p *fakePlacer) ObserveEvents(_ time.Time, target string, after uint64, e port.CacheEvents) {
	text := fmt.Sprint(target, " after ", after, " ", e.Incarnation)
	for _, event := range e.Events {
		text += fmt.Sprint(" ", event.Seq)
	}
	p.observed = append(p.observed, text)
}

type ignoredTargets struct{}

func (ignoredTargets) Observe(string, port.Incarnation, string, time.Duration) {}

type fixedSource struct{ snapshot *config.Snapshot }

func (s fixedSource) Current() *config.Snapshot { return s.snapshot }

// newObserver returns an observer of engines with the addresses e100, e101 and so on.
func newObserver(engines, budget int, e *fakeEngine) (*Observer, *fakePlacer, *portfake.Clock) {
	pool := config.Pool{Kind: config.PoolEngine}
	for i := range engines {
		pool.Targets = append(pool.Targets, config.PoolTarget{Name: "same name", Address: fmt.Sprint("e", 100+i)})
	}
	snapshot := &config.Snapshot{Pools: map[config.Ref]config.Pool{{Team: "t", Name: "p"}: pool}}
	placer, clock := &fakePlacer{}, portfake.NewClock(time.Unix(1_700_000_000, 0))
	return New(Deps{Engine: e, Source: fixedSource{snapshot}, Placer: placer, Targets: ignoredTargets{}, Clock: clock,
		Logger: slog.New(slog.DiscardHandler), EventBytesPerSecond: budget, Router: "r"}), placer, clock
}

// countMeasured returns the number of streams with a measured rate.
func countMeasured(streams []*eventStream) (n int) {
	for _, s := range streams {
		if s.measured {
			n++
		}
	}
	return n
}

// Guards against event reads that exceed the budget, and against a budget that is
// not used although more targets would fit.
func TestReadsAsManyTargetsAsTheBudgetAllows(t *testing.T) {
	const elapsed = 20 * time.Minute
	cases := map[string]struct {
		engines, budget int
		// perSecond is the number of events of each engine, by position.
		perSecond func(engine int) float64
		active    int
	}{
		"no budget":               {3, 0, func(int) float64 { return 0 }, 0},
		"all idle, all fit":       {3, 500, func(int) float64 { return 0 }, 3},
		"all idle, too many":      {100, 500, func(int) float64 { return 0 }, 8},
		"two of three too busy":   {3, 500, func(i int) float64 { return []float64{20, 0.5, 20}[i] }, 1},
		"one fits, two do not":    {3, 500, func(int) float64 { return 3 }, 1},
		"none fits":               {3, 500, func(int) float64 { return 100 }, 0},
		"budget for several busy": {3, 2000, func(int) float64 { return 5 }, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bytes, largest := 0, 0
			e := &fakeEngine{}
			o, _, clock := newObserver(c.engines, c.budget, e)
			start := clock.Now()
			e.events = func(address string, after uint64) (port.CacheEvents, error) {
				var engine int
				_, _ = fmt.Sscanf(address, "e%d", &engine)
				last := uint64(c.perSecond(engine-100) * clock.Now().Sub(start).Seconds())
				response := port.CacheEvents{Incarnation: "i", FirstSeq: 1}
				for seq := after + 1; seq <= last && len(response.Events) < 1024; seq++ {
					response.Events = append(response.Events, port.CacheEvent{Seq: seq, Op: port.CacheStore, Scope: "t/a/v1/", Blocks: []port.BlockHash{1}})
				}
				bytes, largest = bytes+responseBytes(response), max(largest, responseBytes(response))
				return response, nil
			}
			active := 0
			for clock.Now().Sub(start) < elapsed {
				o.step(t.Context())
				clock.Advance(time.Second / loadReadsPerSecond)
				if clock.Now().Sub(start) > elapsed-eventReadInterval {
					active = max(active, countMeasured(o.events.active))
				}
			}
			is.Equal(active, c.active)
			is.True(bytes <= c.budget*int((elapsed+budgetWindow).Seconds())+largest) // the last read may overdraw the budget
		})
	}
}

// Guards against events that are skipped, passed on twice or attributed to the wrong
// incarnation of an engine. Gaps must reach the placer unchanged.
func TestEventsReachThePlacerInOrder(t *testing.T) {
	is := is.New(t)
	events := func(inc port.Incarnation, seqs ...uint64) port.CacheEvents {
		out := port.CacheEvents{Incarnation: inc, FirstSeq: 1}
		for _, seq := range seqs {
			out.Events = append(out.Events, port.CacheEvent{Seq: seq, Op: port.CacheStore})
		}
		return out
	}
	steps := []struct {
		after    uint64
		response port.CacheEvents
		err      error
		want     string
	}{
		{0, events("i1", 1, 2), nil, "e100 after 0 i1 1 2"},
		{2, events("i1"), nil, "e100 after 2 i1"},
		{2, events("i1", 5, 6), nil, "e100 after 2 i1 5 6"}, // 3 and 4 are lost
		{6, port.CacheEvents{}, &port.UnavailableError{Peer: "e100"}, ""},
		{6, events("i2", 7), nil, ""}, // events 1 to 6 of the new incarnation were not read
		{0, events("i2", 1, 2, 3, 4, 5, 6, 7), nil, "e100 after 0 i2 1 2 3 4 5 6 7"},
	}
	e := &fakeEngine{}
	o, placer, clock := newObserver(1, 10_000, e)
	for _, s := range steps {
		placer.observed = nil
		reads := 0
		e.events = func(_ string, after uint64) (port.CacheEvents, error) {
			reads++
			is.Equal(after, s.after)
			return s.response, s.err
		}
		o.step(t.Context())
		is.Equal(reads, 1)
		if s.want == "" {
			is.Equal(len(placer.observed), 0)
		} else {
			is.Equal(placer.observed, []string{s.want})
		}
		clock.Advance(eventReadInterval)
	}
}
