// Package shares tells the limits of one router how many routers share them
// and what the others reported.
package shares

import (
	"slices"
	"sync"

	"mimosaseam.example/mimosaseam/internal/core/limits"
	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Shares implements limits.ShareSource from what the fleet loop reports. It is
// safe for concurrent use.
type Shares struct {
	self string
	// demand returns the demand of each peer by client account.
	demand func() map[string]map[string]float64

	mu       sync.RWMutex
	routers  limits.Routers
	inFlight map[string]map[string]int
	// loads sums up inFlight; it is replaced, never changed.
	loads map[string]int
}

// New returns the shares of a router that knows no peers yet.
func New(self string, demand func() map[string]map[string]float64) *Shares {
	return &Shares{
		self: self, demand: demand,
		routers:  limits.Routers{Count: 1, AllReachable: true},
		inFlight: map[string]map[string]int{},
	}
}

// SetRouters takes the other routers. A router that is out of contact but may
// be running keeps its place, so that a partition raises nobody's share.
func (s *Shares) SetRouters(others []membership.Router) {
	names := []string{s.self}
	inContact := true
	for _, r := range others {
		switch {
		case r.OutOfContact():
			inContact = false
		case r.State == port.MemberDead:
			continue
		}
		names = append(names, r.Name)
	}
	slices.Sort(names)
	index, _ := slices.BinarySearch(names, s.self)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routers = limits.Routers{Count: len(names), Index: index, AllReachable: inContact}
}

// SetInFlight takes a peer's in-flight counts; nil forgets them.
func (s *Shares) SetInFlight(peer string, counts map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if counts == nil {
		delete(s.inFlight, peer)
	} else {
		s.inFlight[peer] = counts
	}
	s.loads = map[string]int{}
	for _, counts := range s.inFlight {
		for target, n := range counts {
			s.loads[target] += n
		}
	}
}

// PeerLoads returns the requests that peers have in flight on each target.
func (s *Shares) PeerLoads() map[string]int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.loads
}

// Routers implements limits.ShareSource.
func (s *Shares) Routers() limits.Routers {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.routers
}

// PeerDemand implements limits.ShareSource.
func (s *Shares) PeerDemand(account string) float64 {
	sum := 0.0
	for _, accounts := range s.demand() {
		sum += accounts[account]
	}
	return sum
}

// PeerInFlight implements limits.ShareSource.
func (s *Shares) PeerInFlight(target string) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.loads[target]
}
