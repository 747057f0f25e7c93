package baseline

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/port"
)

var (
	now     = time.Unix(1000, 0)
	targets = []placement.Target{{Name: "a"}, {Name: "b"}, {Name: "c"}}
)

// first ranks once and returns the first target; the ranking must contain all targets.
func first(t *testing.T, p placement.Placer, blocks ...port.BlockHash) string {
	t.Helper()
	scores := p.Rank(now, placement.Request{Blocks: blocks}, targets)
	seen := map[string]bool{}
	for _, s := range scores {
		seen[s.Target] = true
	}
	is.New(t).Equal(len(seen), len(targets))
	return scores[0].Target
}

// Guards against baselines that don't implement the policy of their name.
func TestBaselines(t *testing.T) {
	is := is.New(t)
	is.Equal(New("unknown", 1, 1), nil)
	rotating := New(RoundRobin, 1, 1)
	before := first(t, rotating)
	is.True(first(t, rotating) != before)
	least := New(LeastLoaded, 1, 1)
	least.Started(now, placement.Request{}, "a")
	least.Started(now, placement.Request{}, "b")
	is.Equal(first(t, least), "c")
	least.ObservePeerInFlight(now, "peer", map[string]int{"c": 2})
	least.Finished(now, placement.Request{}, "b", "", -1)
	is.Equal(first(t, least), "b")
	hash, other := New(PrefixHash, 1, 1), New(PrefixHash, 9, 1)
	used := map[string]bool{}
	for block := range port.BlockHash(64) {
		is.Equal(first(t, hash, block, 1), first(t, other, block, 2)) // only the first block counts
		used[first(t, hash, block)] = true
	}
	is.Equal(len(used), len(targets))
}
