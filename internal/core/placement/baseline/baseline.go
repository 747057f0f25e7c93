// Package baseline provides placement policies for comparison. They ignore caches and
// are not meant for production.
package baseline

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/workload"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Names of the baseline policies.
const (
	RoundRobin  = "round-robin"
	LeastLoaded = "least-loaded"
	PrefixHash  = "prefix-hash"
)

// Names lists all baseline policies.
var Names = []string{RoundRobin, LeastLoaded, PrefixHash}

// New returns a baseline policy that is safe for concurrent use; nil for an unknown
// name. firstBlocks is the length in blocks of the prefix that PrefixHash hashes.
func New(name string, seed uint64, firstBlocks int) placement.Placer {
	var rank func(b *policy, req placement.Request, targets []placement.Target) []placement.Score
	switch name {
	case RoundRobin:
		rank = roundRobin
	case LeastLoaded:
		rank = leastLoaded
	case PrefixHash:
		rank = prefixHash
	default:
		return nil
	}
	return &policy{rank: rank, own: map[string]int{}, peers: map[string]map[string]int{}, next: int(seed % 1000),
		rng: rand.New(rand.NewPCG(seed, 3)), firstBlocks: firstBlocks}
}

// policy only counts requests in flight.
type policy struct {
	rank        func(b *policy, req placement.Request, targets []placement.Target) []placement.Score
	firstBlocks int

	mu    sync.Mutex
	own   map[string]int
	peers map[string]map[string]int
	next  int
	rng   *rand.Rand
}

func (b *policy) Rank(_ time.Time, req placement.Request, targets []placement.Target) []placement.Score {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(targets) == 0 {
		return nil
	}
	return b.rank(b, req, targets)
}

func (b *policy) Started(_ time.Time, _ placement.Request, target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.own[target]++
}

func (b *policy) Finished(_ time.Time, _ placement.Request, target string, _ port.Incarnation, _ int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.own[target]--; b.own[target] <= 0 {
		delete(b.own, target)
	}
}

func (b *policy) ObservePeerInFlight(_ time.Time, peer string, counts map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[peer] = counts
}

func (b *policy) InFlight() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.own)
}

func (b *policy) FirstToken(time.Time, placement.Request, string, time.Duration) {}
func (b *policy) ObserveLoad(time.Time, string, port.LoadReport)                 {}
func (b *policy) ObserveEvents(time.Time, string, uint64, port.CacheEvents)      {}
func (b *policy) ObserveResponse(time.Time, string, workload.Report)             {}
func (b *policy) ObservePeerRequest(time.Time, string, int, float64)             {}
func (b *policy) DropCache(string)                                               {}
func (b *policy) Summary(time.Time, int) []byte                                  { return nil }
func (b *policy) Restore(time.Time, []byte) error                                { return nil }

func (b *policy) load(target string) int {
	n := b.own[target]
	for _, counts := range b.peers {
		n += counts[target]
	}
	return n
}

// inOrder returns the scores of the targets in their order, starting at first and
// wrapping around.
func inOrder(targets []placement.Target, first int) []placement.Score {
	out := make([]placement.Score, 0, len(targets))
	for i := range targets {
		out = append(out, placement.Score{Target: targets[(first+i)%len(targets)].Name, Reason: "baseline"})
	}
	return out
}

// roundRobin starts each ranking at the next target.
func roundRobin(b *policy, _ placement.Request, targets []placement.Target) []placement.Score {
	b.next++
	return inOrder(targets, b.next%len(targets))
}

// leastLoaded starts at the target with the fewest requests in flight from this
// router and, as far as reported, from its peers; ties are broken randomly.
func leastLoaded(b *policy, _ placement.Request, targets []placement.Target) []placement.Score {
	best, ties := 0, 1
	for i := 1; i < len(targets); i++ {
		switch a, z := b.load(targets[i].Name), b.load(targets[best].Name); {
		case a < z:
			best, ties = i, 1
		case a == z:
			if ties++; b.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return inOrder(targets, best)
}

// prefixHash orders the targets by rendezvous hashing on the first blocks of the
// prompt, regardless of load.
func prefixHash(b *policy, req placement.Request, targets []placement.Target) []placement.Score {
	key := xxhash.Sum64String(req.Scope.String())
	if n := min(b.firstBlocks, len(req.Blocks)); n > 0 {
		key = uint64(req.Blocks[n-1])
	}
	out := inOrder(targets, 0)
	weight := func(s placement.Score) uint64 { return Mix64(key ^ Mix64(xxhash.Sum64String(s.Target))) }
	slices.SortFunc(out, func(a, b placement.Score) int { return cmp.Compare(weight(b), weight(a)) })
	return out
}

// Mix64 is one step of the splitmix64 generator: an increment and a 64-bit mix.
func Mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
