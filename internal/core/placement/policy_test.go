package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet returns n equal targets.
func fleet(n int) []Target {
	targets := make([]Target, n)
	for i := range targets {
		targets[i] = Target{Name: fmt.Sprintf("t%02d", i), Region: "r", Incarnation: "i1", Slots: 32, CacheBlocks: 2000,
			PrefillTokensPerSecond: 20000, DecodeMsPerToken: 25}
	}
	return targets
}

// newRequest returns a request with one segment of 32 blocks for each id.
func newRequest(account, weights string, ids ...int) Request {
	q := Request{Scope: port.Scope{ClientAccount: account, WeightsVersion: weights}, BlockTokens: 64, OutputTokens: 10}
	name := uint64(1)
	for _, id := range ids {
		name = mix64(name*31 + uint64(id))
		for i := range 32 {
			q.Blocks = append(q.Blocks, port.BlockHash(mix64(name+uint64(i))))
		}
	}
	q.PromptTokens = 64*len(q.Blocks) + 10
	q.PromptBytes = 4 * q.PromptTokens
	return q
}

// serve ranks q, runs it on the best target and returns that target.
func serve(p *Policy, now time.Time, q Request, targets []Target, cached int) string {
	best := p.Rank(now, q, targets)[0].Target
	run(p, now, q, best, cached)
	return best
}

func run(p *Policy, now time.Time, q Request, target string, cached int) {
	p.Started(now, q, target)
	p.FirstToken(now.Add(50*time.Millisecond), q, target, 50*time.Millisecond)
	p.Finished(now.Add(300*time.Millisecond), q, target, "i1", cached)
}

// train sends traffic of the same distribution in an order that depends on the
// seed of p.
func train(p *Policy, targets []Target, requests int) time.Time {
	now := start
	for i := range requests {
		now = now.Add(500 * time.Millisecond)
		serve(p, now, newRequest("a", "w1", p.rng.IntN(3), p.rng.IntN(20), i%3), targets, -1)
	}
	return now
}

func homes(p *Policy, now time.Time, targets []Target) (names []string) {
	for i := range 60 {
		names = append(names, p.Rank(now, newRequest("a", "w1", i%3, i/3, 7), targets)[0].Target)
	}
	return names
}

func matches(a, b []string) (n int) {
	for i := range a {
		if a[i] == b[i] {
			n++
		}
	}
	return n
}

func cachedOn(p *Policy, now time.Time, q Request, targets []Target, target string) int {
	for _, s := range p.Rank(now, q, targets) {
		if s.Target == target {
			return s.CachedTokens
		}
	}
	return 0
}

// Guards against homes that depend on a router's own traffic: two routers with
// different requests and no communication must choose nearly the same targets.
func TestRoutersAgreeWithoutCommunication(t *testing.T) {
	targets := fleet(12)
	a, b := New(Settings{Seed: 1}), New(Settings{Seed: 2})
	now := train(a, targets, 600)
	train(b, targets, 600)
	n := matches(homes(a, now, targets), homes(b, now, targets))
	if n < 54 {
		t.Fatalf("two routers agree on %d of 60 requests, want at least 54", n)
	}
}

// Guards against use of cached blocks across client accounts, weights versions and
// incarnations, and after DropCache.
func TestCachedBlocksStayInScope(t *testing.T) {
	targets := fleet(6)
	cases := map[string]struct {
		request Request
		change  func(p *Policy)
		known   bool
	}{
		"same scope":      {newRequest("a", "w1", 1, 1), func(*Policy) {}, true},
		"other account":   {newRequest("b", "w1", 1, 1), func(*Policy) {}, false},
		"other weights":   {newRequest("a", "w2", 1, 1), func(*Policy) {}, false},
		"dropped":         {newRequest("a", "w1", 1, 1), func(p *Policy) { p.DropCache("t03") }, false},
		"new incarnation": {newRequest("a", "w1", 1, 1), func(p *Policy) { p.ObserveLoad(start, "t03", port.LoadReport{Incarnation: "i2"}) }, false},
		"weights changed": {newRequest("a", "w1", 1, 1), func(p *Policy) {
			p.ObserveLoad(start, "t03", port.LoadReport{Incarnation: "i1", WeightsVersion: "w1"})
			run(p, start, newRequest("a", "w1", 1, 1), "t03", 0)
			p.ObserveLoad(start, "t03", port.LoadReport{Incarnation: "i1", WeightsVersion: "w2"})
		}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := New(Settings{Seed: 1})
			run(p, start, newRequest("a", "w1", 1, 1), "t03", 0)
			c.change(p)
			targets := fleet(6)
			if name == "new incarnation" {
				targets[3].Incarnation = "i2"
			}
			is.New(t).Equal(cachedOn(p, start.Add(time.Second), c.request, targets, "t03") > 0, c.known)
		})
	}
	t.Run("late end on a previous incarnation", func(t *testing.T) {
		p := New(Settings{Seed: 1})
		q := newRequest("a", "w1", 1, 1)
		p.ObserveLoad(start, "t03", port.LoadReport{Incarnation: "i1"})
		p.Started(start, q, "t03")
		p.ObserveLoad(start, "t03", port.LoadReport{Incarnation: "i2"})
		p.Finished(start, q, "t03", "i1", 0)
		targets[3].Incarnation = "i2"
		is.New(t).Equal(cachedOn(p, start.Add(time.Second), q, targets, "t03"), 0)
		is.New(t).Equal(len(p.InFlight()), 0)
	})
}

// Guards against use of cache events across a gap or from another incarnation.
func TestCacheEvents(t *testing.T) {
	q := newRequest("a", "w1", 1)
	store := func(seq uint64, blocks []port.BlockHash) port.CacheEvent {
		return port.CacheEvent{Seq: seq, Op: port.CacheStore, Scope: q.Scope.String(), Blocks: blocks}
	}
	evict := port.CacheEvent{Seq: 2, Op: port.CacheEvict, Scope: q.Scope.String(), Blocks: q.Blocks[8:]}
	cases := map[string]struct {
		incarnation port.Incarnation
		events      []port.CacheEvent
		tokens      int
	}{
		"stored":            {"i1", []port.CacheEvent{store(1, q.Blocks)}, 32 * 64},
		"partly evicted":    {"i1", []port.CacheEvent{store(1, q.Blocks), evict}, 8 * 64},
		"gap":               {"i1", []port.CacheEvent{store(1, q.Blocks), store(9, nil)}, 0},
		"other incarnation": {"i0", []port.CacheEvent{store(1, q.Blocks)}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p, targets := New(Settings{Seed: 1}), fleet(6)
			run(p, start, q, "t01", 0) // makes the blocks known
			p.ObserveLoad(start, "t03", port.LoadReport{Incarnation: "i1"})
			p.ObserveEvents(start, "t03", 0, port.CacheEvents{Incarnation: c.incarnation, FirstSeq: 1, Events: c.events})
			is.New(t).Equal(cachedOn(p, start.Add(time.Second), q, targets, "t03"), c.tokens)
		})
	}
}

// Guards against hot prefixes that stay on one target, and against a spread
// that follows every fluctuation of the rate.
func TestSpreadGrowsAndShrinksWithHysteresis(t *testing.T) {
	is := is.New(t)
	cases := []struct {
		spread  int
		desired float64
		next    int
	}{{1, 0.9, 1}, {1, 3.2, 4}, {4, 3.2, 4}, {4, 1.9, 4}, {4, 1.7, 3}, {2, 0.7, 2}, {2, 0.5, 1}, {1, 99, 12}}
	for _, c := range cases {
		is.Equal(nextSpread(c.spread, c.desired, 12), c.next)
	}
	p, targets, q := New(Settings{Seed: 1}), fleet(12), newRequest("a", "w1", 1)
	now, used := start, map[string]bool{}
	var inFlight []Score
	request := func(i int) Request { return newRequest("a", "w1", 1, i%50) }
	for i := range 3000 {
		now = now.Add(10 * time.Millisecond)
		best := p.Rank(now, request(i), targets)[0]
		p.Started(now, request(i), best.Target)
		p.FirstToken(now, request(i), best.Target, time.Millisecond)
		used[best.Target] = true
		if inFlight = append(inFlight, best); i >= 100 { // a request takes a second
			p.Finished(now, request(i-100), inFlight[i-100].Target, "i1", 32*64)
		}
	}
	hot := p.segments.head(newChain(q.Scope.String(), q.Blocks).key(0))
	is.True(hot.spread > 2 && len(used) > 2)
	for range 20 {
		now = now.Add(time.Minute)
		serve(p, now, q, targets, 32*64)
	}
	is.Equal(hot.spread, 1)
}

// Guards against herding: routers that observe the same idle target among busy
// ones must not all send their next requests to it.
func TestRoutersDoNotAllPickTheIdleTarget(t *testing.T) {
	targets, chosen := fleet(12), map[string]int{}
	for router := range 6 {
		p := New(Settings{Seed: uint64(router)})
		counts := map[string]int{}
		for i := range 11 {
			counts[targets[i].Name] = 3
		}
		p.ObservePeerInFlight(start, "peer", counts)
		for i := range 4 {
			chosen[p.Rank(start, newRequest("a", "w1", 100+i), targets)[0].Target]++
		}
	}
	if chosen["t11"] > 12 {
		t.Fatalf("%d of 24 first choices fell on the idle target", chosen["t11"])
	}
}

// Guards against a restarted router that ranks differently from its peers.
func TestRestoredSummaryRanksAlike(t *testing.T) {
	is := is.New(t)
	targets := fleet(12)
	old := New(Settings{Seed: 1})
	now := train(old, targets, 600)
	summary := old.Summary(now, 16<<10)
	is.True(len(summary) <= 16<<10)
	fresh := New(Settings{Seed: 1})
	is.NoErr(fresh.Restore(now, summary))
	is.True(matches(homes(old, now, targets), homes(fresh, now, targets)) >= 58)
	is.Equal(len(old.Summary(now, 3)), 0)
	for cut := 1; cut < len(summary); cut += 97 {
		p := New(Settings{})
		if p.Restore(now, summary[:cut]) != nil {
			is.Equal(p.segments.count, 0) // a malformed summary has no effect
		}
	}
	is.True(New(Settings{}).Restore(now, []byte{9, 9, 9}) != nil)
}

// Guards against a tree that grows with the number of distinct prompts.
func TestMemoryBound(t *testing.T) {
	p, targets := New(Settings{Seed: 1, MaxBlocks: 2000, MaxSegments: 100}), fleet(8)
	for i := range 3000 {
		q := newRequest("a", "w1", i%7, i%501, i)
		run(p, start.Add(time.Duration(i)*10*time.Millisecond), q, targets[i%8].Name, 0)
	}
	small := New(Settings{MaxTargets: 5})
	for i := range 50 {
		run(small, start.Add(time.Duration(i)*time.Second), newRequest("a", "w1", 1), fmt.Sprint("gone", i), 0)
	}
	is.New(t).True(len(small.byID) == 5 && len(small.targets) == 5)
	if len(p.segments.blocks) > 2000+96 || p.segments.count > 103 {
		t.Fatalf("tree has %d blocks and %d segments", len(p.segments.blocks), p.segments.count)
	}
}

// Guards against a transfer of blocks that costs more than it saves.
func TestTransferBeatsRecompute(t *testing.T) {
	base := Transfer{Tokens: 8192, BytesPerToken: 1000, ExportBytesPerSecond: 1e9, ImportBytesPerSecond: 1e9,
		RoundTripMs: 2, PrefillTokensPerSecond: 20000, Uses: 1}
	slow, unused, far, stored := base, base, base, base
	slow.ImportBytesPerSecond = 1e7
	unused.Uses = 0
	far.CrossRegion, far.CrossRegionMsPerMiB = true, 100
	stored.ExportBytesPerSecond, stored.Stored = 0, true
	cases := map[string]struct {
		transfer Transfer
		want     bool
	}{"fast": {base, true}, "slow": {slow, false}, "unused": {unused, false}, "far": {far, false}, "stored": {stored, true}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(TransferBeatsRecompute(c.transfer), c.want) })
	}
}

// Guards against a long prompt that is sent to a target to which another router has
// just sent one, and against prefill work that still counts after it is done.
func TestPeerPrefillWorkCounts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New(Settings{})
	targets := []Target{{Name: "a", Slots: 8, PrefillTokensPerSecond: 30_000}, {Name: "b", Slots: 8, PrefillTokensPerSecond: 30_000}}
	req := Request{PromptTokens: 3000, BlockTokens: 64, Blocks: make([]port.BlockHash, 46)}
	for i := range req.Blocks {
		req.Blocks[i] = port.BlockHash(i + 1)
	}
	first := p.Rank(now, req, targets)[0].Target
	p.ObservePeerRequest(now, first, 20_000, 30_000)
	is.True(p.Rank(now, req, targets)[0].Target != first)
	is.Equal(p.Rank(now.Add(time.Second), req, targets)[0].Target, first)
}

// Guards against prompts that are prefilled on a target which drops its cache soon, although
// another could retain them, and against cached prompts that are prefilled again elsewhere
// for that reason.
func TestPrefillsAvoidTargetsWhoseCacheExpires(t *testing.T) {
	is := is.New(t)
	p := New(Settings{Seed: 1})
	targets := fleet(4)
	q := newRequest("a", "w", 1, 2, 3, 4)
	home := p.Rank(start, q, targets)[0].Target
	for i := range targets {
		targets[i].CacheExpires = targets[i].Name == home
	}
	is.True(p.Rank(start, q, targets)[0].Target != home)
	q.KnownCachedTokens = map[string]int{home: q.PromptTokens}
	is.Equal(p.Rank(start, q, targets)[0].Target, home)
	q.KnownCachedTokens = nil
	for i := range targets {
		targets[i].CacheExpires = true
	}
	is.Equal(p.Rank(start, q, targets)[0].Target, home) // no other target retains it either
}

// Guards against a number of routers that grows with late reports of routers that have
// left, although the number is known.
func TestObservedNumberOfRoutersHolds(t *testing.T) {
	is := is.New(t)
	p := New(Settings{Seed: 1})
	p.ObservePeerInFlight(start, "r1", map[string]int{"t00": 1})
	is.Equal(p.routers, 2)
	p.ObserveRouters(1)
	p.ObservePeerInFlight(start, "r2", map[string]int{"t00": 1})
	is.Equal(p.routers, 1)
}
