package completions_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mimosaseam.example/mimosaseam/internal/adapter/enginehttp"
	"mimosaseam.example/mimosaseam/internal/app/completions"
	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/standin/engine"
)

const apiKey = "key-of-the-planner"

var planner, other = config.Ref{Team: "t", Name: "planner"}, config.Ref{Team: "t", Name: "other"}

// system is a router in front of stand-in engines, connected by the real adapter. It
// also implements config.Source.
type system struct {
	*completions.Router
	engines []*engine.Engine
	targets *completions.Targets
	placer  *placement.Policy
	client  *hookedEngine

	mu       sync.Mutex
	snapshot *config.Snapshot
	headers  []http.Header // of completions that engines received
}

// hookedEngine is the engine adapter with a hook that may change each attempt and an
// option that hides the weights version of responses. Attempts use fresh connections,
// because on a pooled connection it is a race whether a crash is detected before or
// after the request is written.
type hookedEngine struct {
	port.Engine
	before      func(address string, g *port.Generation)
	hideWeights bool
}

func (w *hookedEngine) Generate(ctx context.Context, address string, g port.Generation) (port.ChunkStream, error) {
	if w.before != nil {
		w.before(address, &g)
	}
	s, err := w.Engine.Generate(port.WithFreshConnection(ctx), address, g)
	if err == nil && w.hideWeights {
		return hiddenWeights{s}, nil
	}
	return s, err
}

type hiddenWeights struct{ port.ChunkStream }

func (hiddenWeights) WeightsVersion() string { return "" }

// newSystem starts the given number of engines, which use the given clock.
func newSystem(t testing.TB, engines int, decode time.Duration, clock engine.Clock) *system {
	t.Helper()
	s := &system{client: &hookedEngine{Engine: enginehttp.New(enginehttp.Options{})}}
	pool := config.Pool{Kind: config.PoolEngine, Model: "m", WeightsVersion: "v1", Slots: 8,
		PrefillTokensPerSecond: 20000, DecodeMsPerToken: 25, CacheBlocks: 2000}
	for i := range engines {
		name := "e" + string(rune('1'+i))
		e := engine.New(engine.Config{Name: name, Seed: 1, DecodeInterval: decode, Clock: clock})
		server := httptest.NewUnstartedServer(nil)
		server.Config = e.Server()
		handler := server.Config.Handler
		server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/completions" {
				s.mu.Lock()
				s.headers = append(s.headers, r.Header.Clone())
				s.mu.Unlock()
			}
			handler.ServeHTTP(w, r)
		})
		server.Start()
		t.Cleanup(func() {
			e.Close()
			server.CloseClientConnections()
			server.Close()
		})
		s.engines = append(s.engines, e)
		pool.Targets = append(pool.Targets, config.PoolTarget{Name: name, Address: server.Listener.Addr().String()})
	}
	key := sha256.Sum256([]byte(apiKey))
	s.snapshot = &config.Snapshot{
		Pools:  map[config.Ref]config.Pool{{Team: "t", Name: "p"}: pool},
		Routes: map[config.Ref]config.Route{{Team: "t", Name: "r"}: {Pool: "p", Model: "m", TimeoutMs: 60000, StallTimeoutMs: 60000, RetryBudgetPercent: 10}},
		Accounts: map[config.Ref]config.Account{
			planner: {KeySHA256: []string{hex.EncodeToString(key[:])}, Routes: []string{"r"}}, other: {Routes: []string{"r"}},
		},
	}
	s.placer = placement.New(placement.DefaultSettings())
	s.targets = completions.NewTargets(port.SystemClock{}, s.placer)
	s.Router = s.newRouter(completions.Deps{})
	return s
}

func (s *system) newRouter(d completions.Deps) *completions.Router {
	d.Engine, d.Placer, d.Targets, d.Source, d.Random = s.client, s.placer, s.targets, s, &noBackoff{}
	return completions.New(d)
}

// noBackoff makes retries immediate and returns sequential IDs.
type noBackoff struct{ ids atomic.Uint64 }

func (*noBackoff) Float64() float64 { return 0 }
func (r *noBackoff) Uint64() uint64 { return r.ids.Add(1) }

// Current implements config.Source.
func (s *system) Current() *config.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// change activates a configuration with an edited copy of the pool.
func (s *system) change(edit func(*config.Pool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.snapshot
	ref := config.Ref{Team: "t", Name: "p"}
	pool := next.Pools[ref]
	edit(&pool)
	next.Pools = map[config.Ref]config.Pool{ref: pool}
	s.snapshot = &next
}

func (s *system) address(i int) string {
	return s.Current().Pools[config.Ref{Team: "t", Name: "p"}].Targets[i].Address
}

func (s *system) run(t testing.TB, account config.Ref, prompt string, tokens int, onChunk func(port.Chunk)) (string, completions.Completion, error) {
	t.Helper()
	sink := &collector{onChunk: onChunk}
	end, err := s.Completion(t.Context(), completions.CompletionRequest{RequestID: "r", Account: account, Model: "m", Prompt: prompt, MaxTokens: tokens}, sink)
	return sink.text.String(), end, err
}

// cachedTokens returns the largest number of cached prompt tokens that placement
// expects on any target.
func (s *system) cachedTokens(t testing.TB, account config.Ref, prompt string) int {
	t.Helper()
	e, err := s.Explain(t.Context(), completions.CompletionRequest{Account: account, Model: "m", Prompt: prompt, MaxTokens: 2})
	if err != nil {
		t.Fatal(err)
	}
	most := 0
	for _, c := range e.Candidates {
		most = max(most, c.CachedTokens)
	}
	return most
}

type collector struct {
	text    strings.Builder
	onChunk func(port.Chunk)
}

func (c *collector) Chunk(_ context.Context, chunk port.Chunk) error {
	c.text.WriteString(chunk.Text)
	if c.onChunk != nil {
		c.onChunk(chunk)
	}
	return nil
}
