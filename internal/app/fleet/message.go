package fleet

import (
	"cmp"
	"slices"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// largeFleet is the number of routers from which largeFleetBytes applies.
	largeFleet = 32
	// smallFleetBytes and largeFleetBytes bound one message of an exchange. A
	// router takes part in two exchanges (four messages) a second on average; in
	// a large fleet it must stay under 2 KB/s including all overhead.
	smallFleetBytes = 1200
	largeFleetBytes = 280
	// Encoded sizes of message parts without their strings, rounded up.
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

// compose builds the regular message to a peer; received is the gossip to which
// it responds, or nil. Gossip gets at most three fifths of the space, and the
// other parts share the rest.
func (f *Fleet) compose(to string, received *port.Gossip) port.PeerExchange {
	var e port.PeerExchange
	f.mu.Lock()
	e.From = f.view.Introduction(to)
	left := max(0, f.maxBytes(f.view.Len())-messageOverheadBytes-memberBytes(e.From))
	var used int
	e.Gossip, used = f.view.Gossip(f.o.Clock.Now(), to, received, left*3/5)
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

// largest returns the names with the largest positive values, in descending
// order, that fit into share bytes with the given encoding overhead each, and
// what remains of left.
func largest[N int | float64](values map[string]N, overhead, left, share int) (names []string, rest int) {
	for name, v := range values {
		if v > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(values[b], values[a]), cmp.Compare(a, b))
	})
	for i, name := range names {
		size := overhead + len(name)
		if size > share {
			return names[:i], left
		}
		share, left = share-size, left-size
	}
	return names, left
}

func topDemand(demand map[string]float64, left, share int) ([]port.AccountDemand, int) {
	names, left := largest(demand, demandOverheadBytes, left, share)
	out := make([]port.AccountDemand, len(names))
	for i, name := range names {
		out[i] = port.AccountDemand{ClientAccount: name, Demand: demand[name]}
	}
	return out, left
}

func topInFlight(counts map[string]int, left, share int) ([]port.TargetCount, int) {
	names, left := largest(counts, countOverheadBytes, left, share)
	out := make([]port.TargetCount, len(names))
	for i, name := range names {
		out[i] = port.TargetCount{Target: name, Count: counts[name]}
	}
	return out, left
}
