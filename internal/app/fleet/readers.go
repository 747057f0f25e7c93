package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// logReaders is the number of routers of a fleet that read the log for all others: one
	// may fail without interrupting the others.
	logReaders = 2
	// minRelayFleetSize is the number of routers from which some read for the others. In
	// smaller fleets the more frequent polls of the readers would cost as much as the other
	// routers save.
	minRelayFleetSize = 12
	// zoneReaderShare is the number of routers of an availability zone for each one that
	// relays to them what the log readers have read, at least minZoneReaders. Zones of
	// fewer than minRelayZoneSize routers ask the log readers.
	zoneReaderShare  = 12
	minZoneReaders   = 2
	minRelayZoneSize = 5
)

// PullFromReader reads records from a router that reads the log, or relays what others have
// read. ok is false if this router reads the log itself.
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

// readers returns the addresses of the routers from which this one reads records, nil if it
// reads the log itself, and whether it reads the log on behalf of others. The choice depends
// on the names of the live routers only, so that all routers agree except briefly after a
// change; with too few or too many readers each router still receives all records.
func (f *Fleet) readers() (addresses []string, isReader bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := f.view.Self()
	live := []port.Member{self}
	for _, r := range f.view.Routers(f.o.Clock.Now()) {
		if r.State == port.MemberAlive && r.Address != "" {
			live = append(live, r.Member)
		}
	}
	if len(live) < minRelayFleetSize {
		return nil, false
	}
	slices.SortFunc(live, func(a, b port.Member) int { return strings.Compare(a.Name, b.Name) })
	readers := firstOfZones(live, logReaders)
	if containsName(readers, self.Name) {
		return nil, true
	}
	var zone []port.Member
	for _, m := range live {
		if m.AvailabilityZone == self.AvailabilityZone {
			zone = append(zone, m)
		}
	}
	if len(zone) >= minRelayZoneSize {
		relays := zone[:max(minZoneReaders, len(zone)/zoneReaderShare)]
		if !containsName(relays, self.Name) {
			readers = relays
		}
	}
	for _, m := range readers {
		addresses = append(addresses, m.Address)
	}
	return addresses, false
}

// firstOfZones returns the first members, each of another availability zone while there are
// zones left.
func firstOfZones(members []port.Member, n int) []port.Member {
	var first, rest []port.Member
	zones := map[string]bool{}
	for _, m := range members {
		if zones[m.AvailabilityZone] {
			rest = append(rest, m)
			continue
		}
		zones[m.AvailabilityZone] = true
		first = append(first, m)
	}
	return append(first, rest...)[:min(n, len(members))]
}

func containsName(members []port.Member, name string) bool {
	return slices.ContainsFunc(members, func(m port.Member) bool { return m.Name == name })
}
