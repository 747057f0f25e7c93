package fleet

import (
	"context"
	"math/rand/v2"
	"slices"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// readersPerZone is the number of routers of an availability zone that read the log
	// for the others there: one may fail without a gap.
	readersPerZone = 2
	// relayFrom is the number of routers of a zone from which on some read for the
	// others: with fewer, readers that ask more often would cost what the rest saves.
	relayFrom = 5
)

// PullFromReader asks a router of the own availability zone that reads the log itself.
// ok is false when this router is one of them.
func (f *Fleet) PullFromReader(ctx context.Context, stream string, from port.Offset, limit int) (b port.Batch, ok bool, err error) {
	readers, _ := f.readers()
	if readers == nil {
		return port.Batch{}, false, nil
	}
	b, err = f.o.Peer.PullRecords(ctx, readers[rand.IntN(len(readers))], stream, from, limit)
	return b, true, err
}

// Followed reports whether this router reads the log for others.
func (f *Fleet) Followed() bool {
	_, followed := f.readers()
	return followed
}

// ReadByOthers reports whether others read the log for this router.
func (f *Fleet) ReadByOthers() bool {
	addresses, _ := f.readers()
	return addresses != nil
}

// readers returns the addresses of the routers that read for this one, nil when it reads
// itself, and whether it reads for others. They are the first by name, so that all agree but for a moment after a change;
// with too few or too many readers each router still has what it needs.
func (f *Fleet) readers() (addresses []string, followed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := f.view.Self()
	near := []port.Member{self}
	for _, r := range f.view.Routers(f.o.Clock.Now()) {
		if r.State == port.MemberAlive && r.AvailabilityZone == self.AvailabilityZone && r.Address != "" {
			near = append(near, r.Member)
		}
	}
	if len(near) < relayFrom {
		return nil, false
	}
	slices.SortFunc(near, func(a, b port.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for _, m := range near[:readersPerZone] {
		if m.Name == self.Name {
			return nil, true
		}
		addresses = append(addresses, m.Address)
	}
	return addresses, false
}
