package placement

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	core "mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/port"
)

// inFlight is the part of a Placer that baselines share: they count requests
// in flight and learn nothing of caches.
type inFlight struct {
	own   map[string]int
	peers map[string]map[string]int
}

func newInFlight() inFlight {
	return inFlight{own: map[string]int{}, peers: map[string]map[string]int{}}
}

func (b *inFlight) Started(_ time.Time, _ core.Request, target string) { b.own[target]++ }
func (b *inFlight) Finished(_ time.Time, _ core.Request, target string, _ port.Incarnation, _ int) {
	b.own[target] = max(0, b.own[target]-1)
}
func (b *inFlight) ObservePeer(_ time.Time, peer string, counts map[string]int) {
	b.peers[peer] = counts
}
func (b *inFlight) InFlight() map[string]int {
	counts := map[string]int{}
	for name, n := range b.own {
		if n > 0 {
			counts[name] = n
		}
	}
	return counts
}
func (b *inFlight) FirstToken(time.Time, core.Request, string, time.Duration) {}
func (b *inFlight) ObserveLoad(time.Time, string, port.LoadReport)            {}
func (b *inFlight) ObserveEvents(time.Time, string, uint64, port.CacheEvents) {}
func (b *inFlight) Drop(string)                                               {}
func (b *inFlight) Summary(time.Time, int) []byte                             { return nil }
func (b *inFlight) Restore(time.Time, []byte) error                           { return nil }
func (b *inFlight) load(target string) int {
	n := b.own[target]
	for _, counts := range b.peers {
		n += counts[target]
	}
	return n
}

// roundRobin takes the targets in turn.
type roundRobin struct {
	inFlight
	turn int
}

func (b *roundRobin) Rank(_ time.Time, _ core.Request, targets []core.Target) []core.Score {
	b.turn++
	return []core.Score{{Target: targets[b.turn%len(targets)].Name}}
}

// leastLoaded takes the target with the fewest requests of this router and, as
// far as the exchange told, of its peers; ties are random.
type leastLoaded struct {
	inFlight
	rng *rand.Rand
}

func (b *leastLoaded) Rank(_ time.Time, _ core.Request, targets []core.Target) []core.Score {
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
	return []core.Score{{Target: targets[best].Name}}
}

// prefixHash takes the first target in the rendezvous order on the first level
// of the prompt, whatever its load.
type prefixHash struct {
	inFlight
	firstBlocks int
}

func (b *prefixHash) Rank(_ time.Time, req core.Request, targets []core.Target) []core.Score {
	key := xxhash.Sum64String(req.Scope.String())
	if n := min(b.firstBlocks, len(req.Blocks)); n > 0 {
		key = uint64(req.Blocks[n-1])
	}
	best, weight := "", uint64(0)
	for i := range targets {
		if w := scramble(key ^ scramble(xxhash.Sum64String(targets[i].Name))); best == "" || w > weight {
			best, weight = targets[i].Name, w
		}
	}
	return []core.Score{{Target: best}}
}
