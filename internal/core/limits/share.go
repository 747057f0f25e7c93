package limits

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// How a limit is divided between routers.
const (
	// equalPart of a limit is split equally; the rest follows demand.
	equalPart = 0.5
	// maxShift bounds the share of a router at this multiple of an equal split.
	// It also bounds the sum over all routers, whatever they believe of each
	// other's demand.
	maxShift = 1.5
)

// divider computes this router's share of limits. While a peer is out of
// contact, no share rises, none exceeds an equal split, and the number of
// routers does not fall; so the routers on both sides of a cut stay below
// maxShift times the limit together, as long as no side more than doubles.
type divider struct {
	source PeerState
	// count is the largest number of routers seen since contact was lost.
	count  int
	last   map[string]float64
	quotas map[string]int
}

func newDivider(source PeerState) *divider {
	return &divider{source: source, last: map[string]float64{}, quotas: map[string]int{}}
}

// routers returns the number of routers to divide by and this router's index.
func (d *divider) routers() (count, index int, inContact bool) {
	r := d.source.Routers()
	count = max(r.Count, 1)
	if r.AllReachable {
		d.count = count
	} else {
		d.count = max(d.count, count)
	}
	return d.count, r.Index, r.AllReachable
}

// fraction returns the share of the account's limits, given the router's own
// demand in requests per second.
func (d *divider) fraction(account string, own float64) float64 {
	count, _, inContact := d.routers()
	equal := 1 / float64(count)
	if !inContact {
		share := equal
		if last, ok := d.last[account]; ok {
			share = min(share, last)
		}
		d.last[account] = share
		return share
	}
	share := equal
	if total := own + max(d.source.PeerDemand(account), 0); total > 0 {
		share = min(equalPart*equal+(1-equalPart)*own/total, maxShift*equal)
	}
	d.last[account] = share
	return share
}

// concurrency returns the share of a limit that is a whole number. Limits too
// small to give every router one are handed out one by one, starting at a
// router that depends on the account, so that the shares add up to the limit.
// A router that has not been in contact since its start gets none of these,
// because it cannot know its place among the others.
func (d *divider) concurrency(account string, limit int, own float64) int {
	count, index, inContact := d.routers()
	if float64(limit)*equalPart >= float64(count) || count == 1 {
		return int(math.Floor(float64(limit) * d.fraction(account, own)))
	}
	if !inContact {
		return min(limit, d.quotas[account])
	}
	rank := (index + int(xxhash.Sum64String(account)%uint64(count))) % count
	quota := limit*(rank+1)/count - limit*rank/count
	d.quotas[account] = quota
	return quota
}

// target returns the number of requests that this router may run on a target:
// what the peers leave free, between an equal split and maxShift times that,
// and at least one. With more routers than slots the sum can exceed the
// target's slots; the target itself then refuses the excess as not run.
func (d *divider) target(name string, slots int) int {
	count, _, inContact := d.routers()
	if count == 1 || !inContact {
		return targetQuota(count, inContact, slots, 0)
	}
	return targetQuota(count, inContact, slots, d.source.PeerInFlight(name))
}

func targetQuota(count int, inContact bool, slots, peers int) int {
	if count == 1 {
		return slots
	}
	quota := slots / count
	if inContact {
		most := int(maxShift * float64(slots) / float64(count))
		quota = max(quota, min(slots-peers, most))
	}
	return max(quota, 1)
}

// peerLoads is implemented by sources that can list the targets on which peers
// have requests in flight. The map is not changed afterwards.
type peerLoads interface{ PeerLoads() map[string]int }

// capacity sums up the quotas of the usable targets. Where the source lists the
// loaded targets, it looks only at those and at the targets left out.
func (d *divider) capacity(a Request) int {
	count, _, inContact := d.routers()
	idle := targetQuota(count, inContact, a.Slots, 0)
	sum := idle * len(a.Targets)
	for _, t := range a.Unavailable {
		sum -= d.target(t, a.Slots)
	}
	if count == 1 || !inContact {
		return sum
	}
	correct := func(peers int) { sum -= idle - targetQuota(count, inContact, a.Slots, peers) }
	source, lists := d.source.(peerLoads)
	if !lists || a.Members == nil {
		for _, t := range a.Targets {
			correct(d.source.PeerInFlight(t))
		}
		return sum
	}
	for t, peers := range source.PeerLoads() {
		if _, member := a.Members[t]; member {
			correct(peers)
		}
	}
	return sum
}
