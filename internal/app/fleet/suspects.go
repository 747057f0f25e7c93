package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// reserveTimeout bounds the question whether a crash suspect may run: several
	// round trips between regions, and short against the restart of a target.
	reserveTimeout = 250 * time.Millisecond
	// deciders is the number of routers that are asked about one target. Three cover
	// the views of routers that have just started or lost one of them, and bound the
	// messages whatever the size of the fleet.
	deciders = 3
)

// Reserve implements retry.Arbiter. Of two routers that ask at a time at least one is
// denied when either knows the other or both ask a third one, because each holds the
// target itself before it asks. A router that does not answer grants.
func (f *Fleet) Reserve(target string, fp retry.Fingerprint) bool {
	if !f.suspects.Reserve(f.o.Clock.Now(), target, fp) {
		return false
	}
	asked := f.deciders(target)
	answers := make(chan bool, len(asked))
	for _, to := range asked {
		go func() { answers <- f.ask(to, target, fp) }()
	}
	granted := true
	for range asked {
		granted = <-answers && granted
	}
	if !granted {
		f.Release(target, fp)
	}
	return granted
}

func (f *Fleet) ask(to membership.Target, target string, fp retry.Fingerprint) bool {
	peer := f.o.Peer.(port.ReservationPeer)
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	granted, err := peer.Reserve(ctx, to.Address, target, uint64(fp), false)
	if err != nil {
		f.o.Logger.Info("crash suspect not kept apart from those of a peer", "target", target, "peer", to.Name, "why", err.Error())
		return true
	}
	return granted
}

// Release implements retry.Arbiter.
func (f *Fleet) Release(target string, fp retry.Fingerprint) {
	f.suspects.Release(target, fp)
	for _, to := range f.deciders(target) {
		f.goTell("give back "+target, to, func(ctx context.Context) error {
			_, err := f.o.Peer.(port.ReservationPeer).Reserve(ctx, to.Address, target, uint64(fp), true)
			return err
		})
	}
}

// HandleReserve implements port.SuspectHandler.
func (f *Fleet) HandleReserve(target string, fingerprint uint64, release bool) bool {
	fp := retry.Fingerprint(fingerprint)
	if release {
		f.suspects.Release(target, fp)
		return true
	}
	return f.suspects.Reserve(f.o.Clock.Now(), target, fp)
}

// deciders picks the routers that decide for a target: by rendezvous hashing, so that
// few targets change hands when a router comes or goes.
func (f *Fleet) deciders(target string) []membership.Target {
	if _, ok := f.o.Peer.(port.ReservationPeer); !ok {
		return nil
	}
	f.mu.Lock()
	all := []membership.Target{{Name: f.o.Self.Name, Address: f.o.Self.Address}}
	for _, r := range f.view.Routers(f.o.Clock.Now()) {
		if r.State == port.MemberAlive && r.Address != "" {
			all = append(all, membership.Target{Name: r.Name, Address: r.Address})
		}
	}
	f.mu.Unlock()
	rank := func(t membership.Target) uint64 { return xxhash.Sum64String(t.Name + "\x00" + target) }
	slices.SortFunc(all, func(a, b membership.Target) int { return cmp.Compare(rank(b), rank(a)) })
	all = all[:min(deciders, len(all))]
	return slices.DeleteFunc(all, func(t membership.Target) bool { return t.Name == f.o.Self.Name })
}
