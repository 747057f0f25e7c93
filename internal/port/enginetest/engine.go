// Package enginetest holds the contracts of port.Engine and port.Service as
// tables of cases, each with the fault it injects. Every adapter runs them.
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

// What the engine under test is configured with.
const (
	Version        = "v1"
	DecodeInterval = 10 * time.Millisecond
	ColdStart      = time.Minute
	Slots          = 2
)

// EngineHarness gives the cases one engine in its initial state.
type EngineHarness struct {
	Engine  port.Engine
	Address string
	// Unreachable is an address where nothing listens.
	Unreachable string
	// Inject starts a fault of the engine.
	Inject func(engine.Fault)
	// Runs lists the attempts that the engine accepted.
	Runs func() []engine.Run
	// Advance moves the engine's clock.
	Advance func(time.Duration)
}

// prefix is a prompt of eight whole blocks.
var prefix = engine.ResponseText("a shared dossier", "text", 0, 8*256)[:8*256]

var scope = port.Scope{ClientAccount: "acme", WeightsVersion: Version}

func generation(id string, tokens int) port.Generation {
	return port.Generation{
		RequestID: "request-" + id, AttemptID: id, Model: "m", Prompt: prefix + "a question", MaxTokens: tokens, Scope: scope,
	}
}

// generateCase is one attempt: the faults before it, the failure of the call
// or the chunks and the end of its stream.
type generateCase struct {
	name    string
	faults  []engine.Fault
	change  func(*port.Generation)
	nowhere bool
	refused error
	reason  port.NotRunReason
	indexes []int
	end     error
	outcome engine.Outcome
}

var generateCases = []generateCase{
	{name: "complete", indexes: []int{0, 1, 2, 3, 4}, end: io.EOF, outcome: engine.OutcomeCompleted},
	{
		name:   "resumed",
		change: func(g *port.Generation) { g.ResumeFrom, g.ResumeText = 3, engine.ResponseText(g.Prompt, Version, 0, 3) },

		indexes: []int{3, 4}, end: io.EOF, outcome: engine.OutcomeCompleted,
	},
	{name: "nothing listens", nowhere: true, refused: &port.NotRunError{}, reason: port.NotRunUnreachable},
	{
		name: "deadline has passed", change: func(g *port.Generation) { g.Deadline = time.Now().Add(-time.Second) },
		refused: &port.NotRunError{}, reason: port.NotRunUnreachable,
	},
	{
		name: "another incarnation", change: func(g *port.Generation) { g.ExpectIncarnation = "gone" },
		refused: &port.NotRunError{}, reason: port.NotRunIncarnationChanged,
	},
	{
		name: "other weights", change: func(g *port.Generation) { g.ExpectWeights = "v0" },
		refused: &port.NotRunError{}, reason: port.NotRunWeightsChanged,
	},
	{
		name: "overloaded", faults: []engine.Fault{{Kind: engine.FaultRefuse}},
		refused: &port.NotRunError{}, reason: port.NotRunOverloaded,
	},
	{
		name: "cold start", faults: []engine.Fault{{Kind: engine.FaultCrash}},
		refused: &port.NotRunError{}, reason: port.NotRunLoading,
	},
	{
		name: "connection closed without an answer", faults: []engine.Fault{{Kind: engine.FaultCrash, DownMs: 1000}},
		refused: &port.UnknownOutcomeError{},
	},
	{
		name: "prompt crashes the engine", faults: []engine.Fault{{Kind: engine.FaultCrashOnMarker, Marker: "a question"}},
		refused: &port.UnknownOutcomeError{}, outcome: engine.OutcomeCrashed,
	},
	{
		name: "invalid input", change: func(g *port.Generation) { g.ResumeFrom = 5 },
		refused: &port.BadRequestError{},
	},
	{
		name: "chunk lost", faults: []engine.Fault{{Kind: engine.FaultDropChunk, Index: 2}},
		indexes: []int{0, 1, 3, 4}, end: io.EOF, outcome: engine.OutcomeCompleted,
	},
	{
		name: "last chunk lost", faults: []engine.Fault{{Kind: engine.FaultDropChunk, Index: 4}},
		indexes: []int{0, 1, 2, 3}, end: &port.BrokenStreamError{}, outcome: engine.OutcomeCompleted,
	},
	{
		name: "chunk repeated", faults: []engine.Fault{{Kind: engine.FaultDuplicateChunk, Index: 2}},
		indexes: []int{0, 1, 2, 2, 3, 4}, end: io.EOF, outcome: engine.OutcomeCompleted,
	},
	{
		name: "broken before the first chunk", faults: []engine.Fault{{Kind: engine.FaultBreakStream, After: 0}},
		end: &port.BrokenStreamError{},
	},
	{
		name: "broken after two chunks", faults: []engine.Fault{{Kind: engine.FaultBreakStream, After: 2}},
		indexes: []int{0, 1}, end: &port.BrokenStreamError{},
	},
	{
		name: "slow", faults: []engine.Fault{{Kind: engine.FaultSlow, Factor: 3}},
		indexes: []int{0, 1, 2, 3, 4}, end: io.EOF, outcome: engine.OutcomeCompleted,
	},
}

// RunEngine runs the contract of port.Engine. It guards against an adapter that
// calls an attempt "not run" that may have run, or a stream complete that is not.
func RunEngine(t *testing.T, open func(*testing.T) EngineHarness) {
	for _, c := range generateCases {
		t.Run(c.name, func(t *testing.T) { c.run(t, open(t)) })
	}
	for name, run := range map[string]func(*testing.T, EngineHarness){
		"crash while streaming":     crashWhileStreaming,
		"silent connection":         silentConnection,
		"frozen engine":             frozenEngine,
		"cancel":                    cancelAttempt,
		"closed stream is canceled": closedStream,
		"cached prefix":             cachedPrefix,
		"cache events":              cacheEvents,
		"orders":                    orders,
		"KV transfer":               kvTransfer,
		"calls without an answer":   lostCalls,
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
	if c.nowhere {
		address = h.Unreachable
	}
	stream, err := h.Engine.Generate(t.Context(), address, g)
	wantFailure(t, err, c.refused)
	if c.refused != nil {
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
	wantFailure(t, err, c.end)
	is.Equal(indexes(chunks), c.indexes)
	checkChunks(t, g, chunks, errors.Is(err, io.EOF))
	c.checkRuns(t, h)
}

// checkRuns checks that a refused attempt left no run, and how others ended.
func (c generateCase) checkRuns(t *testing.T, h EngineHarness) {
	t.Helper()
	runs := h.Runs()
	switch {
	case c.outcome != "":
		is.New(t).Equal(runs[0].Outcome, c.outcome)
	case c.refused != nil:
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

// wantFailure checks the type of a failure, or its identity for io.EOF.
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
