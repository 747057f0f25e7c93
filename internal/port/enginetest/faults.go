package enginetest

import (
	"context"
	"errors"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/prompt"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/standin/engine"
)

// crashWhileStreaming checks that a crash breaks open streams and that the next
// incarnation has an empty cache.
func crashWhileStreaming(t *testing.T, h EngineHarness) {
	is := is.New(t)
	stream := start(t.Context(), t, h, generation("a", 50))
	_, err := stream.Next()
	is.NoErr(err)
	h.Inject(engine.Fault{Kind: engine.FaultCrash})
	_, err = readAll(stream)
	wantFailure(t, err, &port.BrokenStreamError{})
	h.Advance(ColdStart)
	again := start(port.WithFreshConnection(t.Context()), t, h, generation("b", 1))
	is.True(again.Incarnation() != stream.Incarnation())
	chunks, _ := readAll(again)
	is.Equal(chunks[0].Usage.CachedTokens, 0)
}

// unresponsiveConnection checks that a connection that stops responding delivers
// neither chunks nor an end while new connections work, and that only a cancel over
// a new connection frees the slot.
func unresponsiveConnection(t *testing.T, h EngineHarness) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	stream := start(ctx, t, h, generation("a", 50))
	_, err := stream.Next()
	is.NoErr(err)
	// Leaves a second, idle connection in the pool, which stops responding as well.
	_, err = h.Engine.Load(t.Context(), h.Address)
	is.NoErr(err)
	h.Inject(engine.Fault{Kind: engine.FaultSilent})
	h.Advance(5 * DecodeInterval)
	fresh := port.WithFreshConnection(t.Context())
	_, err = h.Engine.Load(fresh, h.Address)
	is.NoErr(err)
	_, err = readAll(start(fresh, t, h, generation("b", 1)))
	wantFailure(t, err, io.EOF)
	is.NoErr(h.Engine.Cancel(fresh, h.Address, "a"))
	is.Equal(h.Runs()[0].Outcome, engine.OutcomeCancelled)
	cancel()
	_, err = stream.Next()
	wantFailure(t, err, &port.BrokenStreamError{})
	is.True(errors.Is(err, context.Canceled))
}

// frozenEngine checks that a frozen engine does not respond, but that its streams
// continue without loss afterwards.
func frozenEngine(t *testing.T, h EngineHarness) {
	is := is.New(t)
	g := generation("a", 5)
	stream := start(t.Context(), t, h, g)
	h.Inject(engine.Fault{Kind: engine.FaultFreeze})
	h.Advance(time.Second)
	expired, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err := h.Engine.Load(expired, h.Address)
	wantFailure(t, err, &port.UnavailableError{})
	h.Inject(engine.Fault{Kind: engine.FaultResume})
	h.Advance(time.Second)
	chunks, err := readAll(stream)
	is.Equal(len(chunks), 5)
	wantFailure(t, err, io.EOF)
	checkChunks(t, g, chunks, true)
}

func cancelAttempt(t *testing.T, h EngineHarness) {
	is := is.New(t)
	stream := start(t.Context(), t, h, generation("a", 50))
	is.NoErr(h.Engine.Cancel(t.Context(), h.Address, "a"))
	_, err := readAll(stream)
	wantFailure(t, err, &port.BrokenStreamError{})
	is.Equal(h.Runs()[0].Outcome, engine.OutcomeCancelled)
	is.NoErr(h.Engine.Cancel(t.Context(), h.Address, "a"))
	is.NoErr(h.Engine.Cancel(t.Context(), h.Address, "never/started"))
}

// closedStream checks that closing a stream frees the engine's slot, also while a
// read is waiting.
func closedStream(t *testing.T, h EngineHarness) {
	is := is.New(t)
	stream := start(t.Context(), t, h, generation("a", 50))
	_, err := stream.Next()
	is.NoErr(err)
	failed := make(chan error)
	go func() {
		_, err := stream.Next()
		failed <- err
	}()
	is.NoErr(stream.Close())
	wantFailure(t, <-failed, &port.BrokenStreamError{})
	for h.Runs()[0].Outcome != engine.OutcomeCancelled {
		runtime.Gosched()
	}
}

// cachedPrefix checks that cached blocks are shared only within a scope.
func cachedPrefix(t *testing.T, h EngineHarness) {
	is := is.New(t)
	other := generation("c", 1)
	other.Scope.ClientAccount = "other"
	for _, c := range []struct {
		g      port.Generation
		cached int
	}{
		{generation("a", 1), 0},
		{generation("b", 1), len(prefix) / prompt.BytesPerToken},
		{other, 0},
	} {
		chunks, _ := readAll(start(t.Context(), t, h, c.g))
		is.Equal(chunks[0].Usage.CachedTokens, c.cached)
	}
}

func cacheEvents(t *testing.T, h EngineHarness) {
	is := is.New(t)
	g := generation("a", 1)
	stream := start(t.Context(), t, h, g)
	_, _ = readAll(stream)
	events, err := h.Engine.Events(t.Context(), h.Address, 0, 0)
	is.NoErr(err)
	is.Equal(events.Incarnation, stream.Incarnation())
	is.Equal(events.FirstSeq, uint64(1))
	is.Equal(events.Events, []port.CacheEvent{{
		Seq: 1, Op: port.CacheStore, Scope: scope.String(), Blocks: prompt.BlockHashes(scope, g.Prompt, 0),
	}})
	events, err = h.Engine.Events(t.Context(), h.Address, 1, 0)
	is.NoErr(err)
	is.Equal(len(events.Events), 0)
}

// orders checks that a stale fencing token is distinguished from other refusals,
// and that an order with a repeated id is executed once.
func orders(t *testing.T, h EngineHarness) {
	is := is.New(t)
	load := port.Order{ID: "o1", Kind: port.OrderLoadVersion, Version: "v2", FencingToken: 7}
	is.NoErr(h.Engine.Order(t.Context(), h.Address, load))
	is.NoErr(h.Engine.Order(t.Context(), h.Address, load))
	err := h.Engine.Order(t.Context(), h.Address, port.Order{ID: "o2", Kind: port.OrderSetRole, Role: "prefill", FencingToken: 6})
	wantFailure(t, err, &port.StaleFencingError{})
	err = h.Engine.Order(t.Context(), h.Address, port.Order{ID: "o3", Kind: "dance", FencingToken: 8})
	wantFailure(t, err, &port.BadRequestError{})
	state, err := h.Engine.State(t.Context(), h.Address)
	is.NoErr(err)
	is.Equal(state.WeightsVersion, "v2")
	is.Equal(state.Role, "mixed")
	report, err := h.Engine.Load(t.Context(), h.Address)
	is.NoErr(err)
	is.Equal(report.WeightsVersion, "v2")
	is.Equal(report.Slots, Slots)
}

// kvTransfer checks that an import is rejected by any incarnation other than the
// expected one.
func kvTransfer(t *testing.T, h EngineHarness) {
	is := is.New(t)
	g := generation("a", 1)
	first := start(t.Context(), t, h, g)
	_, _ = readAll(first)
	transfer := port.KVTransfer{Scope: scope, Blocks: prompt.BlockHashes(scope, g.Prompt, 0), StoreKey: "dossier/1"}
	is.NoErr(h.Engine.ExportKV(t.Context(), h.Address, transfer))
	h.Inject(engine.Fault{Kind: engine.FaultCrash})
	h.Advance(ColdStart)
	fresh := port.WithFreshConnection(t.Context())
	wantFailure(t, h.Engine.ExportKV(fresh, h.Address, transfer), &port.NotFoundError{})
	transfer.Incarnation = first.Incarnation()
	wantFailure(t, h.Engine.ImportKV(fresh, h.Address, transfer), &port.NotRunError{})
	transfer.Incarnation = ""
	is.NoErr(h.Engine.ImportKV(fresh, h.Address, transfer))
	chunks, _ := readAll(start(fresh, t, h, generation("b", 1)))
	is.Equal(chunks[0].Usage.CachedTokens, len(prefix)/prompt.BytesPerToken)
	transfer.StoreKey = "missing"
	wantFailure(t, h.Engine.ImportKV(fresh, h.Address, transfer), &port.NotFoundError{})
}

// lostResponses checks that calls with an effect distinguish a lost response from
// an unreachable engine.
func lostResponses(t *testing.T, h EngineHarness) {
	order := port.Order{ID: "o", Kind: port.OrderSetRole, Role: "decode"}
	calls := map[string]func(ctx context.Context, address string) error{
		"order": func(ctx context.Context, a string) error { return h.Engine.Order(ctx, a, order) },
		"export": func(ctx context.Context, a string) error {
			return h.Engine.ExportKV(ctx, a, port.KVTransfer{StoreKey: "k"})
		},
		"import": func(ctx context.Context, a string) error {
			return h.Engine.ImportKV(ctx, a, port.KVTransfer{StoreKey: "k"})
		},
		"cancel": func(ctx context.Context, a string) error { return h.Engine.Cancel(ctx, a, "a") },
	}
	h.Inject(engine.Fault{Kind: engine.FaultCrash, DownMs: 1000})
	fresh := port.WithFreshConnection(t.Context())
	for _, call := range calls {
		wantFailure(t, call(fresh, h.Unreachable), &port.UnavailableError{})
		wantFailure(t, call(fresh, h.Address), &port.UnknownOutcomeError{})
	}
	_, err := h.Engine.State(fresh, h.Address)
	wantFailure(t, err, &port.UnavailableError{})
	_, err = h.Engine.Events(fresh, h.Unreachable, 0, 0)
	wantFailure(t, err, &port.UnavailableError{})
}
