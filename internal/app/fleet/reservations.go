package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/panics"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// reserveTimeout bounds a reservation request for a crash suspect: several round
	// trips between regions, yet short compared with the restart of a target.
	reserveTimeout = 250 * time.Millisecond
	// arbitersPerTarget is the number of routers that grant reservations of one target.
	// Three tolerate the differing views of routers that have just started or lost one
	// of them, and bound the messages regardless of the size of the fleet.
	arbitersPerTarget = 3
)

// Reserve implements retry.Arbiter. Of two concurrent requests at least one is denied if
// either router sends its request to the other or both send theirs to a common third,
// because each reserves the target locally before it sends the request. A router that
// does not respond counts as granting.
func (f *Fleet) Reserve(target string, fp retry.Fingerprint) bool {
	if !f.reservations.Reserve(f.o.Clock.Now(), target, fp) {
		return false
	}
	peers := f.arbiters(target)
	responses := make(chan bool, len(peers))
	for _, to := range peers {
		go func() {
			granted := true // as of a router that does not respond
			defer func() { responses <- granted }()
			defer panics.Catch(f.o.Logger, "reservation", "peer", to.Name)
			granted = f.requestReservation(to, target, fp)
		}()
	}
	granted := true
	for range peers {
		granted = <-responses && granted
	}
	if !granted {
		f.Release(target, fp)
	}
	return granted
}

func (f *Fleet) requestReservation(to membership.Peer, target string, fp retry.Fingerprint) bool {
	peer := f.o.Peer.(port.ReservationPeer)
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	granted, err := peer.Reserve(ctx, to.Address, target, uint64(fp), false)
	if err != nil {
		f.o.Logger.Info("no response to a crash suspect reservation, treated as granted", "target", target, "peer", to.Name, "why", err.Error())
		return true
	}
	return granted
}

// Release implements retry.Arbiter.
func (f *Fleet) Release(target string, fp retry.Fingerprint) {
	f.reservations.Release(target, fp)
	for _, to := range f.arbiters(target) {
		f.sendAsync("release of "+target, to, func(ctx context.Context) error {
			_, err := f.o.Peer.(port.ReservationPeer).Reserve(ctx, to.Address, target, uint64(fp), true)
			return err
		})
	}
}

// HandleReserve implements port.ReservationHandler.
func (f *Fleet) HandleReserve(target string, fingerprint uint64, release bool) bool {
	fp := retry.Fingerprint(fingerprint)
	if release {
		f.reservations.Release(target, fp)
		return true
	}
	return f.reservations.Reserve(f.o.Clock.Now(), target, fp)
}

// arbiters returns the other routers that grant reservations of a target, chosen by
// rendezvous hashing, so that few targets are reassigned when a router joins or leaves.
func (f *Fleet) arbiters(target string) []membership.Peer {
	if _, ok := f.o.Peer.(port.ReservationPeer); !ok {
		return nil
	}
	f.mu.Lock()
	all := []membership.Peer{{Name: f.o.Self.Name, Address: f.o.Self.Address}}
	for _, r := range f.view.Routers(f.o.Clock.Now()) {
		if r.State == port.MemberAlive && r.Address != "" {
			all = append(all, membership.Peer{Name: r.Name, Address: r.Address})
		}
	}
	f.mu.Unlock()
	rank := func(p membership.Peer) uint64 { return xxhash.Sum64String(p.Name + "\x00" + target) }
	slices.SortFunc(all, func(a, b membership.Peer) int { return cmp.Compare(rank(b), rank(a)) })
	all = all[:min(arbitersPerTarget, len(all))]
	return slices.DeleteFunc(all, func(p membership.Peer) bool { return p.Name == f.o.Self.Name })
}
