package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ReadsCacheEvents reports whether the router self reads the cache events of a target
// that serves a limited number of readers. Routers with the same list of routers
// compute the same readers for a target; different targets have different readers. If
// readers is 0 or less, the limit is unknown and all routers read.
func ReadsCacheEvents(self string, routers []string, target string, readers int) bool {
	if readers <= 0 || len(routers) <= readers {
		return true
	}
	ranked := slices.Clone(routers)
	hash := xxhash.Sum64String(target)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous(hash, xxhash.Sum64String(a)), rendezvous(hash, xxhash.Sum64String(b))), cmp.Compare(a, b))
	})
	return slices.Contains(ranked[:readers], self)
}
