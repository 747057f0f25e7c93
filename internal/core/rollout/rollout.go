// Package rollout decides which targets load new weights next. It answers the
// load that remains on the others while some load: enough keep serving, and few
// answers are made on weights that were replaced.
package rollout

import (
	"cmp"
	"slices"
	"time"
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
	// Failures counts the orders in a row that were not carried out.
	Failures int
}

const (
	// loadingShare is the part of a model's targets that may load at once, as a
	// divisor. The others carry the load meanwhile.
	loadingShare = 5
	// minLoading may load at once in any case: the store of weights serves two at
	// full speed.
	minLoading = 2
	// lateFactor multiplies both when the roll-out is late.
	lateFactor = 2
)

// Next returns the targets to order now, the idlest first: the runs that a
// target finishes before it loads delay it least there. Targets that did not carry
// out an order go last, so that they hold up nobody.
func Next(targets []Target, wanted map[string]int, late bool) []Target {
	factor := 1
	if late {
		factor = lateFactor
	}
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
			return cmp.Or(cmp.Compare(a.Failures, b.Failures), cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.ID, b.ID))
		})
		free := factor*max(minLoading, (total+loadingShare-1)/loadingShare) - loading
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

// Need says how much a request needs the weights that were named last.
type Need int

// The degrees of need.
const (
	// AnyWeights: the newest were named just now.
	AnyWeights Need = iota
	// PreferNewest: answers on older weights are worth less.
	PreferNewest
	// OnlyNewest: no request may begin on older weights any more.
	OnlyNewest
)

const (
	// preferAfterShare and onlyAfterShare are the parts of the time within which
	// all targets must serve new weights.
	preferAfterShare = 0.19
	onlyAfterShare   = 0.75
)

// NeedAt returns the need when weights were named some time ago. within is the
// time after which no request may begin on older ones.
func NeedAt(sinceNamed, within time.Duration) Need {
	switch {
	case within <= 0 || sinceNamed < time.Duration(preferAfterShare*float64(within)):
		return AnyWeights
	case sinceNamed < time.Duration(onlyAfterShare*float64(within)):
		return PreferNewest
	}
	return OnlyNewest
}

// preferredShare is the part of the targets that must serve the newest weights
// before all requests go to them; fewer would not carry the load.
const preferredShare = 0.5

// Suitable returns the positions of the targets that may take a request, by the
// versions that they serve.
func Suitable(versions []int, newest int, need Need) []int {
	var all, current []int
	for i, v := range versions {
		all = append(all, i)
		if v >= newest {
			current = append(current, i)
		}
	}
	switch {
	case need == OnlyNewest, need == PreferNewest && float64(len(current)) >= preferredShare*float64(len(all)):
		return current
	}
	return all
}

// Naming is a version of a model's weights with the time at which it was named.
type Naming struct {
	Version int
	At      time.Time
}

// Floor returns the oldest version on which a request may still begin: the newest
// for which the bound is near. Each version is judged from its own naming, so
// newer ones that follow soon give older weights no more time. 0: any version.
func Floor(namings []Naming, now time.Time, within time.Duration) int {
	floor := 0
	for _, n := range namings {
		if NeedAt(now.Sub(n.At), within) == OnlyNewest {
			floor = max(floor, n.Version)
		}
	}
	return floor
}
