package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// IsChosen reports whether the router self is one of the n routers that serve a key, such as
// the address of a target whose cache events only n routers can read. Routers with the same
// list of routers choose the same; different keys have different routers. If n is 0 or less,
// the limit is unknown and all routers are chosen.
func IsChosen(self string, routers []string, key string, n int) bool {
	if n <= 0 || len(routers) <= n {
		return true
	}
	hash := xxhash.Sum64String(key)
	own := rendezvous(hash, xxhash.Sum64String(self))
	// The chosen are those with the lowest weights. Most routers meet as many lower ones
	// soon, so that few weights are computed: this runs for each target.
	lower := 0
	for _, name := range routers {
		if w := rendezvous(hash, xxhash.Sum64String(name)); w < own || w == own && name < self {
			if lower++; lower == n {
				return false
			}
		}
	}
	return slices.Contains(routers, self)
}
