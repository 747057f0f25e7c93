package completions

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"mimosaseam.example/mimosaseam/internal/app/allotments"
	"mimosaseam.example/mimosaseam/internal/app/shares"
	"mimosaseam.example/mimosaseam/internal/core/allotment"
	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	benchAccounts = 9500
	benchPeers    = 8
)

// largeConfig returns one team with one engine pool of the given size and the number
// of accounts of the largest deployment.
func largeConfig(targets int) *config.Snapshot {
	ref := func(name string) config.Ref { return config.Ref{Team: "team", Name: name} }
	pool := config.Pool{Kind: config.PoolEngine, Model: "m", WeightsVersion: "v1", Slots: 32,
		PrefillTokensPerSecond: 20000, DecodeMsPerToken: 25, CacheBlocks: 2000}
	for i := range targets {
		address := fmt.Sprintf("10.%d.%d.1:8000", i/250, i%250)
		pool.Targets = append(pool.Targets, config.PoolTarget{Name: address, Address: address, Region: "r"})
	}
	s := &config.Snapshot{
		Pools:    map[config.Ref]config.Pool{ref("pool"): pool},
		Routes:   map[config.Ref]config.Route{ref("route"): {Pool: "pool", Model: "m", TimeoutMs: 60000, RetryBudgetPercent: 10}},
		Accounts: map[config.Ref]config.Account{},
	}
	for i := range benchAccounts {
		s.Accounts[ref(fmt.Sprint("account", i))] = config.Account{Routes: []string{"route"}, Share: 1,
			Limits: config.Limits{RequestsPerSecond: 1e9, Concurrency: 1000}}
	}
	return s
}

// benchShares returns the shares of a router whose peers reported requests in
// flight.
func benchShares(pool config.Pool) *shares.Shares {
	s := shares.New("router0", func() map[string]map[string]float64 { return nil })
	var others []membership.Router
	for i := range benchPeers {
		name := fmt.Sprint("router", i+1)
		others = append(others, membership.Router{Member: port.Member{Name: name, State: port.MemberAlive}, Listed: true})
		counts := map[string]int{}
		for j := range 64 {
			counts[pool.Targets[j%len(pool.Targets)].Address] = 1
		}
		s.SetInFlight(name, counts)
	}
	s.SetRouters(others)
	return s
}

// benchAllotments returns the allotments of a router that has its part of the limits.
func benchAllotments(b *testing.B, snap *config.Snapshot) *allotments.Service {
	s := allotments.New(allotments.Options{Self: "router0", Incarnation: 1,
		Limits: func(key allotment.Key) (allotment.Limit, bool) { return RateLimit(fixedSource{snap}, key) }})
	s.RouterListed(true, 1)
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go func() { _ = s.Run(ctx) }()
	for key := allotment.Key("warm-up"); ; <-time.After(10 * time.Millisecond) {
		if _, err := s.Acquire(b.Context(), key, allotment.Limit{Rate: 1e9, Burst: 1e9}, 1, 0); err == nil {
			return s
		}
	}
}

// BenchmarkDecision measures planning, admission and placement without I/O: with all
// targets usable, with one open circuit, and with a target that restarts before each
// decision.
func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{12, 500, 5100} {
		for _, state := range []string{benchUsable, benchOpen, benchRestarts} {
			b.Run(fmt.Sprintf("targets=%d/%s", targets, state), func(b *testing.B) {
				benchmarkDecision(b, targets, state)
			})
		}
	}
}

const (
	benchUsable   = "all_usable"
	benchOpen     = "one_open_circuit"
	benchRestarts = "restarts"
)

func benchmarkDecision(b *testing.B, targets int, state string) {
	snap := largeConfig(targets)
	pool := snap.Pools[config.Ref{Team: "team", Name: "pool"}]
	r := New(Deps{Engine: &fakeEngine{}, Service: &fakeService{}, Runner: &fakeRunner{}, Source: fixedSource{snap},
		Placer: placement.New(placement.DefaultSettings()), Shares: benchShares(pool), Allotments: benchAllotments(b, snap), Random: fixedRandom{}})
	for i, t := range pool.Targets {
		r.Targets.Observe(t.Address, port.Incarnation(fmt.Sprint(i)), "v1", 0)
	}
	if state == benchOpen {
		r.circuits.Failure(time.Now().Add(time.Hour), pool.Targets[0].Address, retry.TargetDown)
	}
	var requests [benchAccounts]CompletionRequest
	for i := range requests {
		requests[i] = CompletionRequest{RequestID: "r", Model: "m", Prompt: strings.Repeat(fmt.Sprint("prompt", i), 100),
			MaxTokens: 10, Account: config.Ref{Team: "team", Name: fmt.Sprint("account", i)}}
	}
	decide := func(i int) {
		p, err := r.planCompletion(requests[i%benchAccounts])
		if err != nil {
			b.Fatal(err)
		}
		admitted, err := r.admit(b.Context(), p, admissionRequest{promptTokens: p.placement.PromptTokens, outputTokens: 10, generates: true})
		if err != nil {
			b.Fatal(err)
		}
		chosen, err := r.claimTarget(b.Context(), p, filter{weights: p.placement.Scope.WeightsVersion, fingerprint: 1}, "a", 0)
		if err != nil {
			b.Fatal(err)
		}
		r.CrashTracker.Ended(chosen.target.Address, "a")
		r.SegmentTracker.Ended(r.Clock.Now(), chosen.target.Address, "a", retry.Unjudged)
		admitted.permit.Release()
	}
	for i := range benchAccounts {
		decide(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if state == benchRestarts {
			r.Targets.Observe(pool.Targets[0].Address, port.Incarnation(fmt.Sprint("life", i)), "v1", 0)
		}
		decide(i)
	}
}
