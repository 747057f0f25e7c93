package fleet

import (
	"context"
	"math/rand/v2"
	"slices"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// readersPerZone is the number of routers of an availability zone that read the log
	// for the others there: one may fail without interrupting the others.
	readersPerZone = 2
	// minRelayZoneSize is the number of routers of a zone from which some read for the
	// others. In smaller zones the more frequent polls of the readers would cost as much
	// as the other routers save.
	minRelayZoneSize = 5
)

// PullFromReader reads records from a router of the same availability zone that reads the
// log itself. ok is false if this router reads the log itself.
func (f *Fleet) PullFromReader(ctx context.Context, stream string, from port.Offset, limit int) (b port.Batch, ok bool, err error) {
	readers, _ := f.readers()
	if readers == nil {
		return port.Batch{}, false, nil
	}
	b, err = f.o.Peer.PullRecords(ctx, readers[rand.IntN(len(readers))], stream, from, limit)
	return b, true, err
}

// IsReader reports whether this router reads the log on behalf of others.
func (f *Fleet) IsReader() bool {
	_, isReader := f.readers()
	return isReader
}

// HasReaders reports whether other routers read the log on behalf of this one.
func (f *Fleet) HasReaders() bool {
	addresses, _ := f.readers()
	return addresses != nil
}

// readers returns the addresses of the routers that read on behalf of this one, nil if it
// reads the log itself, and whether it reads on behalf of others. Readers are the first
// routers by name, so that all routers agree except briefly after a change; with too few
// or too many readers each router still receives all records.
func (f *Fleet) readers() (addresses []string, isReader bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := f.view.Self()
	zoneRouters := []port.Member{self}
	for _, r := range f.view.Routers(f.o.Clock.Now()) {
		if r.State == port.MemberAlive && r.AvailabilityZone == self.AvailabilityZone && r.Address != "" {
			zoneRouters = append(zoneRouters, r.Member)
		}
	}
	if len(zoneRouters) < minRelayZoneSize {
		return nil, false
	}
	slices.SortFunc(zoneRouters, func(a, b port.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for _, m := range zoneRouters[:readersPerZone] {
		if m.Name == self.Name {
			return nil, true
		}
		addresses = append(addresses, m.Address)
	}
	return addresses, false
}
