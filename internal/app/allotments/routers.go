package allotments

import (
	"time"

	"mimosaseam.example/mimosaseam/internal/core/allotment"
	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/port"
)

// routers are the routers that share the limits, and what decides when this one may spend a
// part of its own.
type routers struct {
	all, alive []string
	addresses  map[string]string
	// started is the start of this process, and listed when its entry was known to be listed,
	// zero before.
	started, listed time.Time
	// existed is set if a previous process of this name was listed.
	existed bool
	// count is the number of listed routers when this one was; complete is set once the
	// membership view has held as many.
	count    int
	complete bool
}

func (r *routers) set(self string, others []membership.Router) {
	r.all, r.alive, r.addresses = []string{self}, []string{self}, make(map[string]string, len(others))
	for _, o := range others {
		if o.State == port.MemberDead && !o.OutOfContact() {
			continue
		}
		r.all = append(r.all, o.Name)
		if o.State == port.MemberAlive {
			r.alive = append(r.alive, o.Name)
		}
		r.addresses[o.Name] = o.Address
	}
}

// mayAttach reports whether all other routers count this one, and no previous process of it
// can be attached any more. A router that knows fewer others than are listed would take too
// large a part.
func (r *routers) mayAttach(now time.Time) bool {
	r.complete = r.complete || !r.listed.IsZero() && len(r.all) >= r.count
	switch {
	case !r.complete:
		return false
	case r.existed:
		return now.Sub(r.started) >= allotment.StartDelay(len(r.all))
	default:
		return now.Sub(r.listed) >= allotment.AttachDelay
	}
}

// RouterListed records that this router's entry is listed for the other routers, beside those
// of count routers in all, itself included. Existed is set if a previous process of the same
// name was listed before this one started.
func (s *Service) RouterListed(existed bool, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.routers.listed.IsZero() {
		return
	}
	now := s.o.Clock.Now()
	s.routers.listed, s.routers.existed, s.routers.count = now, existed, count
	s.applyRouters(now)
	s.wakeLoop()
}

// applyRouters passes the routers to the decisions if they changed. s.mu must be held, or s
// not be shared yet.
func (s *Service) applyRouters(now time.Time) {
	mayAttach := s.routers.mayAttach(now)
	if s.applied && mayAttach == s.mayAttach {
		return
	}
	s.applied, s.mayAttach = true, mayAttach
	s.allocators.SetRouters(now, s.routers.all)
	s.client.SetRouters(now, s.routers.all, s.routers.alive, mayAttach)
}
