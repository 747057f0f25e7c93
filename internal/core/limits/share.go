package limits

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// How a limit is divided between routers.
const (
	// equalFraction of a limit is split equally; the rest follows demand.
	equalFraction = 0.5
	// maxShareFactor limits the share of a router to this multiple of an equal
	// split. It also limits the sum over all routers, however stale their views of
	// each other's demand are.
	maxShareFactor = 1.5
)

// shareCalculator computes this router's share of limits. While a peer is
// unreachable, no share rises or exceeds an equal split, and the number of
// routers does not decrease. The routers on both sides of a network partition
// therefore stay below maxShareFactor times the limit together, as long as no
// side more than doubles.
type shareCalculator struct {
	peers PeerState
	// count is the number of routers to divide by. While a peer is unreachable, it
	// is the largest number seen since all peers were last reachable.
	count int
	// lastShares and lastQuotas hold the last results for each account.
	lastShares map[string]float64
	lastQuotas map[string]int
}

func newShareCalculator(peers PeerState) *shareCalculator {
	return &shareCalculator{peers: peers, lastShares: map[string]float64{}, lastQuotas: map[string]int{}}
}

// routers returns the number of routers to divide by and this router's index.
func (s *shareCalculator) routers() (count, index int, allReachable bool) {
	r := s.peers.Routers()
	count = max(r.Count, 1)
	if r.AllReachable {
		s.count = count
	} else {
		s.count = max(s.count, count)
	}
	return s.count, r.Index, r.AllReachable
}

// fraction returns this router's share of the account's limits, given its own
// demand in requests per second.
func (s *shareCalculator) fraction(account string, own float64) float64 {
	count, _, allReachable := s.routers()
	equal := 1 / float64(count)
	if !allReachable {
		share := equal
		if last, ok := s.lastShares[account]; ok {
			share = min(share, last)
		}
		s.lastShares[account] = share
		return share
	}
	share := equal
	if total := own + max(s.peers.PeerDemand(account), 0); total > 0 {
		share = min(equalFraction*equal+(1-equalFraction)*own/total, maxShareFactor*equal)
	}
	s.lastShares[account] = share
	return share
}

// concurrency returns this router's share of an integer limit. Limits too small to
// give every router one are assigned one by one, starting at a router that depends
// on the account, so that the shares add up to the limit. A router that has not
// reached all its peers since its start gets none of these, because it cannot know
// its index among the others.
func (s *shareCalculator) concurrency(account string, limit int, own float64) int {
	count, index, allReachable := s.routers()
	if float64(limit)*equalFraction >= float64(count) || count == 1 {
		return int(math.Floor(float64(limit) * s.fraction(account, own)))
	}
	if !allReachable {
		return min(limit, s.lastQuotas[account])
	}
	rank := (index + int(xxhash.Sum64String(account)%uint64(count))) % count
	quota := limit*(rank+1)/count - limit*rank/count
	s.lastQuotas[account] = quota
	return quota
}

// target returns the number of requests that this router may run on a target: the
// slots that the peers leave free, but at least an equal split, at most
// maxShareFactor times that, and never less than one. With more routers than slots
// the sum can exceed the target's slots; the target then refuses the excess
// without running it.
func (s *shareCalculator) target(name string, slots int) int {
	count, _, allReachable := s.routers()
	if count == 1 || !allReachable {
		return targetQuota(count, allReachable, slots, 0)
	}
	return targetQuota(count, allReachable, slots, s.peers.PeerInFlight(name))
}

func targetQuota(count int, allReachable bool, slots, peers int) int {
	if count == 1 {
		return slots
	}
	quota := slots / count
	if allReachable {
		limit := int(maxShareFactor * float64(slots) / float64(count))
		quota = max(quota, min(slots-peers, limit))
	}
	return max(quota, 1)
}

// peerLoads is implemented by a PeerState that can list the targets on which peers
// have requests in flight. The returned map is not modified afterwards.
type peerLoads interface{ PeerLoads() map[string]int }

// capacity returns the sum of the quotas of the usable targets. If the PeerState
// lists the loaded targets, only those and the unavailable targets are examined
// one by one.
func (s *shareCalculator) capacity(req Request) int {
	count, _, allReachable := s.routers()
	idle := targetQuota(count, allReachable, req.Slots, 0)
	sum := idle * len(req.Targets)
	for _, t := range req.Unavailable {
		sum -= s.target(t, req.Slots)
	}
	if count == 1 || !allReachable {
		return sum
	}
	adjust := func(peers int) { sum -= idle - targetQuota(count, allReachable, req.Slots, peers) }
	loads, ok := s.peers.(peerLoads)
	if !ok || req.Members == nil {
		for _, t := range req.Targets {
			adjust(s.peers.PeerInFlight(t))
		}
		return sum
	}
	for t, peers := range loads.PeerLoads() {
		if _, member := req.Members[t]; member {
			adjust(peers)
		}
	}
	return sum
}
