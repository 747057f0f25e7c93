// Package shares provides the limits of one router with the number of routers that share
// them and the load that the others report.
package shares

import (
	"slices"
	"sync"

	"mimosaseam.example/mimosaseam/internal/core/limits"
	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Shares implements limits.PeerState with the state that the fleet loop reports. It is
// safe for concurrent use.
type Shares struct {
	self string
	// demand returns the demand of each peer by client account.
	demand func() map[string]map[string]float64

	mu       sync.RWMutex
	routers  limits.Routers
	inFlight map[string]map[string]int
	// loads is the sum of inFlight by target. It is replaced, never modified.
	loads map[string]int
}

// New returns the shares of a router without known peers.
func New(self string, demand func() map[string]map[string]float64) *Shares {
	return &Shares{
		self: self, demand: demand,
		routers:  limits.Routers{Count: 1, AllReachable: true},
		inFlight: map[string]map[string]int{},
	}
}

// SetRouters sets the other routers. A router that is out of contact but may still run is
// counted, so that a partition does not raise the share of any router.
func (s *Shares) SetRouters(others []membership.Router) {
	names := []string{s.self}
	allReachable := true
	for _, r := range others {
		switch {
		case r.OutOfContact():
			allReachable = false
		case r.State == port.MemberDead:
			continue
		}
		names = append(names, r.Name)
	}
	slices.Sort(names)
	index, _ := slices.BinarySearch(names, s.self)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routers = limits.Routers{Count: len(names), Index: index, AllReachable: allReachable}
}

// SetInFlight sets a peer's in-flight counts by target; nil deletes them.
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

// Routers implements limits.PeerState.
func (s *Shares) Routers() limits.Routers {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.routers
}

// PeerDemand implements limits.PeerState.
func (s *Shares) PeerDemand(account string) float64 {
	sum := 0.0
	for _, accounts := range s.demand() {
		sum += accounts[account]
	}
	return sum
}

// PeerInFlight implements limits.PeerState.
func (s *Shares) PeerInFlight(target string) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.loads[target]
}
