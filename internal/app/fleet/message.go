package fleet

import (
	"sort"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// largeFleet is the number of routers from which the small bound applies.
	largeFleet = 32
	// smallFleetBytes and largeFleetBytes bound one message of an exchange. A
	// router takes part in two exchanges a second on average, which are four
	// messages; the large fleet must stay under 2 KB/s with all overhead.
	smallFleetBytes = 1200
	largeFleetBytes = 380
	// gossipBytes is the least space for gossip.
	gossipBytes = 160
	// Sizes of encoded parts apart from their strings, rounded up.
	messageOverheadBytes = 60
	countOverheadBytes   = 8
	demandOverheadBytes  = 10
)

func (f *Fleet) maxBytes(routers int) int {
	switch {
	case f.o.MaxExchangeBytes > 0:
		return f.o.MaxExchangeBytes
	case routers >= largeFleet:
		return largeFleetBytes
	default:
		return smallFleetBytes
	}
}

// compose builds the regular message to a peer; theirs is the gossip that it
// answers, or nil. The parts share what the gossip's least space leaves, and
// gossip gets what they do not use.
func (f *Fleet) compose(to string, theirs *port.Gossip) port.PeerExchange {
	s := f.o.Sources
	f.mu.Lock()
	e := port.PeerExchange{From: f.view.Introduction(to)}
	left := f.maxBytes(f.view.Len()) - messageOverheadBytes - memberBytes(e.From)
	f.mu.Unlock()

	rest := max(0, left-gossipBytes)
	left -= rest
	if s.ConfigOffset != nil {
		e.ConfigOffset = s.ConfigOffset()
	}
	if s.Demand != nil {
		e.Demand, rest = topDemand(s.Demand(), rest, rest/3)
	}
	if s.InFlight != nil {
		e.InFlight, rest = topInFlight(s.InFlight(), rest, rest/2)
	}
	if s.SummaryChanges != nil && rest > 0 {
		e.Summary = s.SummaryChanges(rest)
		rest -= min(rest, len(e.Summary))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	e.Gossip = f.view.Gossip(f.o.Clock.Now(), to, theirs, left+rest)
	return e
}

func memberBytes(m port.Member) int {
	return len(m.Name) + len(m.Address) + len(m.Region) + len(m.AvailabilityZone)
}

// topDemand takes the largest demands into at most share bytes and returns
// what is left of rest.
func topDemand(demand map[string]float64, rest, share int) ([]port.AccountDemand, int) {
	all := make([]port.AccountDemand, 0, len(demand))
	for account, d := range demand {
		if d > 0 {
			all = append(all, port.AccountDemand{ClientAccount: account, Demand: d})
		}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Demand != all[j].Demand {
			return all[i].Demand > all[j].Demand
		}
		return all[i].ClientAccount < all[j].ClientAccount
	})
	for i, d := range all {
		size := demandOverheadBytes + len(d.ClientAccount)
		if size > share {
			return all[:i], rest
		}
		share, rest = share-size, rest-size
	}
	return all, rest
}

// topInFlight takes the busiest targets into at most share bytes and returns
// what is left of rest.
func topInFlight(counts map[string]int, rest, share int) ([]port.TargetCount, int) {
	all := make([]port.TargetCount, 0, len(counts))
	for target, n := range counts {
		if n > 0 {
			all = append(all, port.TargetCount{Target: target, Count: n})
		}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Count != all[j].Count {
			return all[i].Count > all[j].Count
		}
		return all[i].Target < all[j].Target
	})
	for i, c := range all {
		size := countOverheadBytes + len(c.Target)
		if size > share {
			return all[:i], rest
		}
		share, rest = share-size, rest-size
	}
	return all, rest
}
