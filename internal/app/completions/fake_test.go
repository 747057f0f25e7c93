package completions

import (
	"context"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

// fakeEngine runs scripts by target address. A script receives each attempt and
// returns its stream. Without a script, the complete response is streamed.
type fakeEngine struct {
	mu      sync.Mutex
	scripts map[string]func(ctx context.Context, g port.Generation) (port.ChunkStream, error)
	loads   map[string]func() (port.LoadReport, error)
	sent    []sentAttempt
	cancels []string
}

type sentAttempt struct {
	address string
	g       port.Generation
}

func (e *fakeEngine) Generate(ctx context.Context, address string, g port.Generation) (port.ChunkStream, error) {
	e.mu.Lock()
	e.sent = append(e.sent, sentAttempt{address, g})
	script := e.scripts[address]
	e.mu.Unlock()
	if script != nil {
		return script(ctx, g)
	}
	return newStream(ctx, g), nil
}

func (e *fakeEngine) Cancel(_ context.Context, address, _ string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels = append(e.cancels, address)
	return nil
}

func (e *fakeEngine) Load(_ context.Context, address string) (port.LoadReport, error) {
	e.mu.Lock()
	load := e.loads[address]
	e.mu.Unlock()
	if load != nil {
		return load()
	}
	return port.LoadReport{Incarnation: "i1", WeightsVersion: "v1"}, nil
}

func (e *fakeEngine) addresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for _, s := range e.sent {
		out = append(out, s.address)
	}
	return out
}

func (e *fakeEngine) Events(context.Context, string, uint64, time.Duration) (port.CacheEvents, error) {
	return port.CacheEvents{}, nil
}
func (e *fakeEngine) Order(context.Context, string, port.Order) error { return nil }
func (e *fakeEngine) State(context.Context, string) (port.EngineState, error) {
	return port.EngineState{}, nil
}
func (e *fakeEngine) ExportKV(context.Context, string, port.KVTransfer) error { return nil }
func (e *fakeEngine) ImportKV(context.Context, string, port.KVTransfer) error { return nil }

// fakeStream yields chunks and then err. A nil err yields io.EOF, and errStalled
// blocks until the attempt is cancelled.
type fakeStream struct {
	ctx      context.Context
	chunks   []port.Chunk
	err      error
	inc      port.Incarnation
	weights  string
	interval time.Duration
	read     int
}

func (s *fakeStream) Next() (port.Chunk, error) {
	if s.interval > 0 && ctxtime.Sleep(s.ctx, s.interval) != nil {
		return port.Chunk{}, s.ctx.Err()
	}
	if s.read < len(s.chunks) {
		s.read++
		return s.chunks[s.read-1], nil
	}
	if s.err == errStalled {
		<-s.ctx.Done()
		return port.Chunk{}, s.ctx.Err()
	}
	if s.err != nil {
		return port.Chunk{}, s.err
	}
	return port.Chunk{}, io.EOF
}

func (s *fakeStream) Incarnation() port.Incarnation { return s.inc }
func (s *fakeStream) WeightsVersion() string        { return s.weights }
func (s *fakeStream) Close() error                  { return nil }

var errStalled error = &port.BrokenStreamError{Target: "silent"}

// token returns the text of chunk i of the response to a prompt. It contains the
// prompt, so that tests detect responses to the wrong caller.
func token(prompt string, i int) string { return prompt + "." + strconv.Itoa(i) + " " }

// newStream streams the rest of the response from where the attempt resumes.
func newStream(ctx context.Context, g port.Generation) *fakeStream {
	s := &fakeStream{ctx: ctx, inc: "i1", weights: g.ExpectWeights}
	for i := g.ResumeFrom; i < g.MaxTokens; i++ {
		c := port.Chunk{Index: i, Text: token(g.Prompt, i)}
		if i == g.MaxTokens-1 {
			c.FinishReason = port.FinishLength
			c.Usage = &port.Usage{PromptTokens: 7, CachedTokens: 3}
		}
		s.chunks = append(s.chunks, c)
	}
	return s
}

func fullText(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(token(prompt, i))
	}
	return b.String()
}

// breakAfter returns a script that streams n chunks and then fails with err.
func breakAfter(n int, err error) func(context.Context, port.Generation) (port.ChunkStream, error) {
	return func(ctx context.Context, g port.Generation) (port.ChunkStream, error) {
		s := newStream(ctx, g)
		s.chunks, s.err = s.chunks[:n], err
		return s, nil
	}
}

// fakePlacer ranks targets in the given order, each with the same number of cached
// tokens.
type fakePlacer struct {
	placement.Placer
	mu      sync.Mutex
	cached  int
	dropped []string
}

func (p *fakePlacer) Rank(_ time.Time, _ placement.Request, targets []placement.Target) []placement.Score {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []placement.Score
	for _, t := range targets {
		out = append(out, placement.Score{Target: t.Name, CachedTokens: p.cached})
	}
	return out
}
func (p *fakePlacer) Started(time.Time, placement.Request, string)                   {}
func (p *fakePlacer) FirstToken(time.Time, placement.Request, string, time.Duration) {}
func (p *fakePlacer) Finished(time.Time, placement.Request, string, port.Incarnation, int) {
}
func (p *fakePlacer) DropCache(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropped = append(p.dropped, target)
	p.cached = 0
}

type fixedSource struct{ snapshot *config.Snapshot }

func (s fixedSource) Current() *config.Snapshot { return s.snapshot }

var testAccount = config.Ref{Team: "kabelgang", Name: "planner"}

// testConfig returns one team with an account, an engine pool and a service pool of
// three targets each.
func testConfig() *config.Snapshot {
	ref := func(name string) config.Ref { return config.Ref{Team: "kabelgang", Name: name} }
	targets := func(prefix string) (out []config.PoolTarget) {
		for i := 1; i <= 3; i++ {
			name := prefix + strconv.Itoa(i)
			out = append(out, config.PoolTarget{Name: name, Address: name})
		}
		return out
	}
	return &config.Snapshot{
		Pools: map[config.Ref]config.Pool{
			ref("ledger-lm"): {Kind: config.PoolEngine, Model: "ledger", WeightsVersion: "v1", Slots: 4, Targets: targets("e")},
			ref("desk"):      {Kind: config.PoolService, Slots: 4, Targets: targets("s")},
		},
		Routes: map[config.Ref]config.Route{
			ref("read"):    {Pool: "ledger-lm", Model: "ledger", TimeoutMs: 60000, StallTimeoutMs: 2000, RetryBudgetPercent: 10},
			ref("lookup"):  {Pool: "desk", Repeat: config.RepeatAny, TimeoutMs: 5000, StallTimeoutMs: 1000, RetryBudgetPercent: 10},
			ref("reserve"): {Pool: "desk", Repeat: config.RepeatNever, TimeoutMs: 5000, RetryBudgetPercent: 10, KeyRetentionS: 60},
		},
		Accounts: map[config.Ref]config.Account{testAccount: {Routes: []string{"read", "lookup", "reserve"}, Share: 1}},
	}
}

type testRouter struct {
	*Router
	engine  *fakeEngine
	placer  *fakePlacer
	service *fakeService
	targets *Targets
	metrics *fakeMetrics
	snap    *config.Snapshot
}

// fixedRandom makes every backoff half of its maximum and returns sequential IDs.
type fixedRandom struct{}

var ids atomic.Uint64

func (fixedRandom) Float64() float64 { return 0.5 }
func (fixedRandom) Uint64() uint64   { return ids.Add(1) }

type fakeMetrics struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (m *fakeMetrics) Add(name string, delta int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[name] += delta
}
func (m *fakeMetrics) Observe(string, time.Duration) {}
func (m *fakeMetrics) count(name string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts[name]
}

// newTestRouter returns a router with fake dependencies; change adapts its
// configuration.
func newTestRouter(t testing.TB, change func(*config.Snapshot)) *testRouter {
	t.Helper()
	b := &testRouter{
		engine: &fakeEngine{scripts: map[string]func(context.Context, port.Generation) (port.ChunkStream, error){},
			loads: map[string]func() (port.LoadReport, error){}},
		placer: &fakePlacer{}, service: &fakeService{}, snap: testConfig(),
		metrics: &fakeMetrics{counts: map[string]int64{}},
	}
	if change != nil {
		change(b.snap)
	}
	b.targets = NewTargets(port.SystemClock{}, b.placer)
	b.Router = New(Deps{Engine: b.engine, Service: b.service, Placer: b.placer, Runner: &fakeRunner{},
		Source: fixedSource{b.snap}, Targets: b.targets, Metrics: b.metrics, Random: fixedRandom{}})
	return b
}

// textSink collects the chunks that a caller receives.
type textSink struct {
	text       strings.Builder
	nextIndex  int
	outOfOrder int
	chunk      func(ctx context.Context, c port.Chunk) error
}

func (s *textSink) Chunk(ctx context.Context, c port.Chunk) error {
	if c.Index != s.nextIndex {
		s.outOfOrder++
	}
	s.nextIndex++
	s.text.WriteString(c.Text)
	if s.chunk != nil {
		return s.chunk(ctx, c)
	}
	return nil
}

func (b *testRouter) complete(ctx context.Context, prompt string, n int, sink Sink) (Completion, error) {
	return b.Completion(ctx, CompletionRequest{RequestID: "r", Account: testAccount, Model: "ledger", Prompt: prompt, MaxTokens: n}, sink)
}
