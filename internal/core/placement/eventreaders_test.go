package placement

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
)

// Guards against a shortcut that chooses other readers than the ranking does, or the
// router itself when it is not listed.
func TestEventReadersAreTheLowestWeights(t *testing.T) {
	is := is.New(t)
	routers := manyRouters(60)
	for target := range 40 {
		address := fmt.Sprint("t", target)
		ranked := slices.Clone(routers)
		hash := xxhash.Sum64String(address)
		slices.SortFunc(ranked, func(a, b string) int {
			return cmp.Compare(rendezvous(hash, xxhash.Sum64String(a)), rendezvous(hash, xxhash.Sum64String(b)))
		})
		for _, r := range routers {
			is.Equal(IsChosen(r, routers, address, 8), slices.Contains(ranked[:8], r))
		}
		is.True(!IsChosen("another", routers, address, 8))
	}
}

func manyRouters(n int) []string {
	routers := make([]string, n)
	for i := range routers {
		routers[i] = fmt.Sprint("front-zone-a-", i)
	}
	return routers
}

// BenchmarkIsChosen measures one look at the targets of a large deployment.
func BenchmarkIsChosen(b *testing.B) {
	routers := manyRouters(295)
	for b.Loop() {
		for t := range 256 {
			IsChosen(routers[7], routers, fmt.Sprint("10.0.0.", t), 8)
		}
	}
}
