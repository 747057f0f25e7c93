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
	// messages; a large fleet must stay under 2 KB/s with all overhead.
	smallFleetBytes = 1200
	largeFleetBytes = 280
	// Sizes of encoded parts apart from their strings, rounded up.
	messageOverheadBytes = 52
	countOverheadBytes   = 7
	demandOverheadBytes  = 9
	summaryOverheadBytes = 3
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
// answers, or nil. Gossip gets at most three fifths of the space, and the other
// parts share what it leaves.
func (f *Fleet) compose(to string, theirs *port.Gossip) port.PeerExchange {
	var e port.PeerExchange
	f.mu.Lock()
	e.From = f.view.Introduction(to)
	left := max(0, f.maxBytes(f.view.Len())-messageOverheadBytes-memberBytes(e.From))
	var used int
	e.Gossip, used = f.view.Gossip(f.o.Clock.Now(), to, theirs, left*3/5)
	f.mu.Unlock()
	left -= used

	s := f.o.Sources
	if s.ConfigOffset != nil {
		e.ConfigOffset = s.ConfigOffset()
	}
	if s.Demand != nil {
		e.Demand, left = topDemand(s.Demand(), left, left/3)
	}
	if s.InFlight != nil {
		e.InFlight, left = topInFlight(s.InFlight(), left, left/2)
	}
	if s.SummaryChanges != nil && left > summaryOverheadBytes {
		e.Summary = s.SummaryChanges(left - summaryOverheadBytes)
	}
	return e
}

func memberBytes(m port.Member) int {
	return len(m.Name) + len(m.Address) + len(m.Region) + len(m.AvailabilityZone)
}

// topDemand takes the largest demands into at most share bytes and returns
// what remains of left.
func topDemand(demand map[string]float64, left, share int) ([]port.AccountDemand, int) {
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
			return all[:i], left
		}
		share, left = share-size, left-size
	}
	return all, left
}

// topInFlight takes the busiest targets into at most share bytes and returns
// what remains of left.
func topInFlight(counts map[string]int, left, share int) ([]port.TargetCount, int) {
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
			return all[:i], left
		}
		share, left = share-size, left-size
	}
	return all, left
}
