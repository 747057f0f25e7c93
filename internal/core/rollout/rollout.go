// Package rollout decides which targets load new weights next. It answers the
// load that remains on the others while some load: enough keep serving, and few
// answers are made on weights that were replaced.
package rollout

import (
	"cmp"
	"slices"
)

// Target is a model engine as the holder of the lease knows it.
type Target struct {
	ID    string
	Model string
	// Version is the one that the target serves.
	Version  int
	InFlight int
	// Ordered says that an order for Version or a newer one is under way.
	Ordered bool
}

const (
	// loadingShare is the part of a model's targets that may load at once, as a
	// divisor. The others carry the load meanwhile.
	loadingShare = 5
	// minLoading may load at once in any case: the store of weights serves two at
	// full speed.
	minLoading = 2
)

// Next returns the targets to order now, the idlest first: the runs that a
// target finishes before it loads delay it least there.
func Next(targets []Target, wanted map[string]int) []Target {
	var out []Target
	for model, version := range wanted {
		total, loading := 0, 0
		var due []Target
		for _, t := range targets {
			if t.Model != model {
				continue
			}
			total++
			if t.Ordered {
				loading++
			} else if t.Version < version {
				due = append(due, t)
			}
		}
		slices.SortFunc(due, func(a, b Target) int {
			return cmp.Or(cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.ID, b.ID))
		})
		free := max(minLoading, (total+loadingShare-1)/loadingShare) - loading
		out = append(out, due[:max(0, min(free, len(due)))]...)
	}
	return out
}

// Behind reports whether a target serves an older version than wanted.
func Behind(targets []Target, wanted map[string]int) bool {
	for _, t := range targets {
		if t.Version < wanted[t.Model] {
			return true
		}
	}
	return false
}
