// Package rollout decides which targets load new weights next. It keeps enough
// targets serving while others load, and limits the number of responses generated
// with outdated weights.
package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Target is the state of a model engine as the lease holder knows it.
type Target struct {
	ID    string
	Model string
	// Version is the weights version that the target serves.
	Version  int
	InFlight int
	// OrderPending is set while an order to load weights is pending for the target.
	OrderPending bool
	// Failures is the number of consecutive orders that were not carried out.
	Failures int
}

const (
	// loadingDivisor bounds the targets of a model that load concurrently to
	// 1/loadingDivisor of them. The others serve all of the traffic meanwhile.
	loadingDivisor = 5
	// minLoading targets may always load concurrently: the weight store serves two
	// at full speed.
	minLoading = 2
	// lateFactor multiplies both limits when the rollout is late.
	lateFactor = 2
)

// NextTargets returns the targets that should get an order now, least loaded first,
// because a target finishes its requests in flight before it loads. Targets that did
// not carry out an order come last, so that they don't delay others.
func NextTargets(targets []Target, desired map[string]int, late bool) []Target {
	factor := 1
	if late {
		factor = lateFactor
	}
	var out []Target
	for model, version := range desired {
		total, loading := 0, 0
		var due []Target
		for _, t := range targets {
			if t.Model != model {
				continue
			}
			total++
			if t.OrderPending {
				loading++
			} else if t.Version < version {
				due = append(due, t)
			}
		}
		slices.SortFunc(due, func(a, b Target) int {
			return cmp.Or(cmp.Compare(a.Failures, b.Failures), cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.ID, b.ID))
		})
		free := factor*max(minLoading, (total+loadingDivisor-1)/loadingDivisor) - loading
		out = append(out, due[:max(0, min(free, len(due)))]...)
	}
	return out
}

// CountOutdated returns the number of targets that serve an older version than desired.
func CountOutdated(targets []Target, desired map[string]int) (n int) {
	for _, t := range targets {
		if t.Version < desired[t.Model] {
			n++
		}
	}
	return n
}

// VersionRequirement is the requirement of a request on the weights version of its
// target.
type VersionRequirement int

// The requirements, in the order in which they apply after a new version is
// announced.
const (
	// AnyVersion allows all versions: the newest was announced only recently.
	AnyVersion VersionRequirement = iota
	// PreferNewest prefers the newest version if enough targets serve it, because
	// responses on older weights are worth less.
	PreferNewest
	// RequireNewest allows no new requests on older versions.
	RequireNewest
)

const (
	// preferAfterShare and requireAfterShare are the fractions of the time limit for
	// serving new weights on all targets after which PreferNewest and RequireNewest
	// apply.
	preferAfterShare  = 0.19
	requireAfterShare = 0.75
)

// RequirementAt returns the requirement at the given time after new weights were
// announced. within is the time limit after which no request may start on older
// weights; 0 means no limit.
func RequirementAt(sinceAnnounced, within time.Duration) VersionRequirement {
	switch {
	case within <= 0 || sinceAnnounced < time.Duration(preferAfterShare*float64(within)):
		return AnyVersion
	case sinceAnnounced < time.Duration(requireAfterShare*float64(within)):
		return PreferNewest
	}
	return RequireNewest
}

// preferredShare is the fraction of the targets that must serve the newest weights
// before all requests go to them; fewer targets would be overloaded.
const preferredShare = 0.5

// EligibleTargets returns the indexes of the targets that may take a request, given
// the versions that they serve.
func EligibleTargets(versions []int, newest int, requirement VersionRequirement) []int {
	var all, current []int
	for i, v := range versions {
		all = append(all, i)
		if v >= newest {
			current = append(current, i)
		}
	}
	switch {
	case requirement == RequireNewest, requirement == PreferNewest && float64(len(current)) >= preferredShare*float64(len(all)):
		return current
	}
	return all
}

// AnnouncedVersion is a version of a model's weights and the time of its announcement.
type AnnouncedVersion struct {
	Version int
	At      time.Time
}

// MinVersion returns the oldest version on which a request may still start: the newest
// version that has reached RequireNewest; 0 allows any version. The time limit of
// each version counts from its own announcement, so that newer versions don't extend
// the use of outdated weights.
func MinVersion(announced []AnnouncedVersion, now time.Time, within time.Duration) int {
	oldest := 0
	for _, v := range announced {
		if RequirementAt(now.Sub(v.At), within) == RequireNewest {
			oldest = max(oldest, v.Version)
		}
	}
	return oldest
}
