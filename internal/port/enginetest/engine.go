// Package enginetest provides the contract tests of port.Engine and port.Service
// as tables of cases, each with the fault it injects. Every adapter runs them.
package enginetest

import (
	"context"
	"errors"
	"io"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/standin/engine"
)

// Configuration of the engine under test.
const (
	Version        = "v1"
	DecodeInterval = 10 * time.Millisecond
	ColdStart      = time.Minute
	Slots          = 2
)

// EngineHarness provides one engine in its initial state.
type EngineHarness struct {
	Engine  port.Engine
	Address string
	// Unreachable is an address on which nothing listens.
	Unreachable string
	// Inject injects a fault into the engine.
	Inject func(engine.Fault)
	// Runs lists the attempts that the engine accepted.
	Runs func() []engine.Run
	// Advance moves the engine's clock.
	Advance func(time.Duration)
}

// prefix is a prompt prefix of exactly eight blocks.
var prefix = engine.ResponseText("a shared dossier", "text", 0, 8*256)[:8*256]

var scope = port.Scope{ClientAccount: "acme", WeightsVersion: Version}

func generation(id string, tokens int) port.Generation {
	return port.Generation{
		RequestID: "request-" + id, AttemptID: id, Model: "m", Prompt: prefix + "a question", MaxTokens: tokens, Scope: scope,
	}
}

// generateCase is one attempt: the faults injected before it, and either the error
// of the call or the chunks of its stream and the error that ends it.
type generateCase struct {
	name        string
	faults      []engine.Fault
	change      func(*port.Generation)
	unreachable bool
	callErr     error
	reason      port.NotRunReason
	indexes     []int
	streamErr   error
	outcome     engine.Outcome
}

var generateCases = []generateCase{
	{name: "complete", indexes: []int{0, 1, 2, 3, 4}, streamErr: io.EOF, outcome: engine.OutcomeCompleted},
	{
		name:   "resumed",
		change: func(g *port.Generation) { g.ResumeFrom, g.ResumeText = 3, engine.ResponseText(g.Prompt, Version, 0, 3) },

		indexes: []int{3, 4}, streamErr: io.EOF, outcome: engine.OutcomeCompleted,
	},
	{name: "nothing listens", unreachable: true, callErr: &port.NotRunError{}, reason: port.NotRunUnreachable},
	{
		name: "deadline has passed", change: func(g *port.Generation) { g.Deadline = time.Now().Add(-time.Second) },
		callErr: &port.NotRunError{}, reason: port.NotRunUnreachable,
	},
	{
		name: "another incarnation", change: func(g *port.Generation) { g.ExpectIncarnation = "gone" },
		callErr: &port.NotRunError{}, reason: port.NotRunIncarnationChanged,
	},
	{
		name: "other weights", change: func(g *port.Generation) { g.ExpectWeights = "v0" },
		callErr: &port.NotRunError{}, reason: port.NotRunWeightsChanged,
	},
	{
		name: "overloaded", faults: []engine.Fault{{Kind: engine.FaultRefuse}},
		callErr: &port.NotRunError{}, reason: port.NotRunOverloaded,
	},
	{
		name: "cold start", faults: []engine.Fault{{Kind: engine.FaultCrash}},
		callErr: &port.NotRunError{}, reason: port.NotRunLoading,
	},
	{
		name: "connection closed without a response", faults: []engine.Fault{{Kind: engine.FaultCrash, DownMs: 1000}},
		callErr: &port.UnknownOutcomeError{},
	},
	{
		name: "prompt crashes the engine", faults: []engine.Fault{{Kind: engine.FaultCrashOnMarker, Marker: "a question"}},
		callErr: &port.UnknownOutcomeError{}, outcome: engine.OutcomeCrashed,
	},
	{
		name: "invalid input", change: func(g *port.Generation) { g.ResumeFrom = 5 },
		callErr: &port.BadRequestError{},
	},
	{
		name: "chunk lost", faults: []engine.Fault{{Kind: engine.FaultDropChunk, Index: 2}},
		indexes: []int{0, 1, 3, 4}, streamErr: io.EOF, outcome: engine.OutcomeCompleted,
	},
	{
		name: "last chunk lost", faults: []engine.Fault{{Kind: engine.FaultDropChunk, Index: 4}},
		indexes: []int{0, 1, 2, 3}, streamErr: &port.BrokenStreamError{}, outcome: engine.OutcomeCompleted,
	},
	{
		name: "chunk repeated", faults: []engine.Fault{{Kind: engine.FaultDuplicateChunk, Index: 2}},
		indexes: []int{0, 1, 2, 2, 3, 4}, streamErr: io.EOF, outcome: engine.OutcomeCompleted,
	},
	{
		name: "broken before the first chunk", faults: []engine.Fault{{Kind: engine.FaultBreakStream, After: 0}},
		streamErr: &port.BrokenStreamError{},
	},
	{
		name: "broken after two chunks", faults: []engine.Fault{{Kind: engine.FaultBreakStream, After: 2}},
		indexes: []int{0, 1}, streamErr: &port.BrokenStreamError{},
	},
	{
		name: "slow", faults: []engine.Fault{{Kind: engine.FaultSlow, Factor: 3}},
		indexes: []int{0, 1, 2, 3, 4}, streamErr: io.EOF, outcome: engine.OutcomeCompleted,
	},
}

// RunEngine runs the contract tests of port.Engine. They guard against an adapter
// that reports an attempt as not run although it may have run, or an incomplete
// stream as complete.
func RunEngine(t *testing.T, open func(*testing.T) EngineHarness) {
	for _, c := range generateCases {
		t.Run(c.name, func(t *testing.T) { c.run(t, open(t)) })
	}
	for name, run := range map[string]func(*testing.T, EngineHarness){
		"crash while streaming":     crashWhileStreaming,
		"unresponsive connection":   unresponsiveConnection,
		"frozen engine":             frozenEngine,
		"cancel":                    cancelAttempt,
		"closed stream is canceled": closedStream,
		"cached prefix":             cachedPrefix,
		"cache events":              cacheEvents,
		"orders":                    orders,
		"KV transfer":               kvTransfer,
		"calls without a response":  lostResponses,
	} {
		t.Run(name, func(t *testing.T) { run(t, open(t)) })
	}
}

func (c generateCase) run(t *testing.T, h EngineHarness) {
	is := is.New(t)
	for _, f := range c.faults {
		h.Inject(f)
	}
	g := generation("a", 5)
	if c.change != nil {
		c.change(&g)
	}
	address := h.Address
	if c.unreachable {
		address = h.Unreachable
	}
	stream, err := h.Engine.Generate(t.Context(), address, g)
	wantFailure(t, err, c.callErr)
	if c.callErr != nil {
		if refusal := (*port.NotRunError)(nil); errors.As(err, &refusal) {
			is.Equal(refusal.Reason, c.reason)
		}
		c.checkRuns(t, h)
		return
	}
	defer stream.Close()
	is.Equal(stream.WeightsVersion(), Version)
	is.True(stream.Incarnation() != "")
	h.Advance(time.Second)
	chunks, err := readAll(stream)
	wantFailure(t, err, c.streamErr)
	is.Equal(indexes(chunks), c.indexes)
	checkChunks(t, g, chunks, errors.Is(err, io.EOF))
	c.checkRuns(t, h)
}

// checkRuns checks that a rejected attempt did not run, and how other attempts
// ended.
func (c generateCase) checkRuns(t *testing.T, h EngineHarness) {
	t.Helper()
	runs := h.Runs()
	switch {
	case c.outcome != "":
		is.New(t).Equal(runs[0].Outcome, c.outcome)
	case c.callErr != nil:
		is.New(t).Equal(len(runs), 0)
	}
}

func checkChunks(t *testing.T, g port.Generation, chunks []port.Chunk, complete bool) {
	t.Helper()
	is := is.New(t)
	for _, chunk := range chunks {
		is.Equal(chunk.Text, engine.ChunkText(g.Prompt, Version, chunk.Index))
	}
	if !complete {
		return
	}
	last := chunks[len(chunks)-1]
	is.Equal(last.FinishReason, port.FinishLength)
	is.Equal(last.Usage.CompletionTokens, g.MaxTokens-g.ResumeFrom)
}

func readAll(stream port.ChunkStream) ([]port.Chunk, error) {
	var chunks []port.Chunk
	for {
		chunk, err := stream.Next()
		if err != nil {
			return chunks, err
		}
		chunks = append(chunks, chunk)
	}
}

func indexes(chunks []port.Chunk) []int {
	var out []int
	for _, c := range chunks {
		out = append(out, c.Index)
	}
	return out
}

// wantFailure checks the type of an error, or its identity for nil and io.EOF.
func wantFailure(t *testing.T, got, want error) {
	t.Helper()
	if want == nil || want == io.EOF {
		if !errors.Is(got, want) {
			t.Fatalf("got failure %v, want %v", got, want)
		}
		return
	}
	for err := got; err != nil; err = errors.Unwrap(err) {
		if reflect.TypeOf(err) == reflect.TypeOf(want) {
			return
		}
	}
	t.Fatalf("got failure %T %v, want %T", got, got, want)
}

func start(ctx context.Context, t *testing.T, h EngineHarness, g port.Generation) port.ChunkStream {
	t.Helper()
	stream, err := h.Engine.Generate(ctx, h.Address, g)
	if err != nil {
		t.Fatalf("attempt %s was not accepted: %v", g.AttemptID, err)
	}
	t.Cleanup(func() { _ = stream.Close() })
	return stream
}
