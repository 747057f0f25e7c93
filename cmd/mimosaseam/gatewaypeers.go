package main

import (
	"context"
	"slices"
	"time"

	"mimosaseam.example/mimosaseam/internal/adapter/peergrpc"
	"mimosaseam.example/mimosaseam/internal/app/fleet"
	"mimosaseam.example/mimosaseam/internal/app/gateway"
	"mimosaseam.example/mimosaseam/internal/app/gatewaysync"
	"mimosaseam.example/mimosaseam/internal/app/registry"
	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/settings"
)

const (
	// routersInterval is the mean time between reads of the routers' entries.
	routersInterval = 5 * time.Second
	// routersIntervalPerRouter bounds the reads of all routers to two in 3 s. A router that
	// starts is made known by its own exchanges.
	routersIntervalPerRouter = 1500 * time.Millisecond
	// pullLimit bounds the records taken from a peer: one configuration and one
	// version for each model.
	pullLimit = 1000
)

// joinPeers wires the exchange between routers: membership, fingerprints of
// requests and evidence against prompt segments that crash targets, and the
// operator's latest records.
func (n *gatewayNode) joinPeers(log registry.Log, crashTracker *retry.CrashTracker, segmentTracker *retry.SegmentTracker) {
	s := n.settings
	n.registry = registry.New(log, port.VM{Name: s.VM.Name, Address: s.Peers.Address, Region: s.VM.Region,
		AvailabilityZone: s.VM.AvailabilityZone}, n.log)
	n.registry.OnListed = n.allotments.RouterListed
	n.fleet = fleet.New(fleet.Options{
		Self: port.Member{Name: s.VM.Name, Address: s.Peers.Address, Region: s.VM.Region,
			AvailabilityZone: s.VM.AvailabilityZone, Incarnation: uint64(time.Now().UnixMilli())},
		Peer: n.peerClient, VMList: n.registry, Logger: n.log, ListInterval: routersInterval, ListIntervalPerRouter: routersIntervalPerRouter,
		Sources: fleet.Sources{Records: n.serveRecords},
		// Peers' in-flight counts are not used: they are seconds old, and most requests
		// end within one second. Targets report their load with each response instead.
		Callbacks: fleet.Callbacks{
			OnStarted: func(target string, tokens int) {
				n.placer.ObservePeerRequest(n.clock.Now(), target, tokens, n.gateway.PrefillRate(target))
			},
			OnRate:    func(r port.TargetRate) { n.gateway.ObserveRate(r) },
			OnLoading: func(l port.TargetLoading) { n.gateway.ObserveLoading(l) },
			OnFingerprints: func(fingerprints []port.Fingerprint) {
				crashTracker.Receive(n.clock.Now(), fingerprints)
				segmentTracker.Receive(n.clock.Now(), fingerprints)
			},
			OnRouters: func(others []membership.Router) { n.setRouters(others) },
			OnDraw:    n.allotments.HandleDraw,
		},
	})
	crashTracker.SetReport(n.fleet.ReportFingerprint)
	segmentTracker.SetReport(n.fleet.ReportFingerprint)
	segmentTracker.SetTrialTurn(func(key string, count int) bool { return placement.IsChosen(s.VM.Name, n.routerNames(), key, count) })
	crashTracker.SetArbiter(n.fleet)
	n.peers = peergrpc.NewServer(n.fleet, nil, n.log)
}

// setRouters records the routers that may be serving and therefore share the bounds.
func (n *gatewayNode) setRouters(others []membership.Router) {
	names := servingNames(n.settings.VM.Name, others)
	if len(names) != len(n.routerNames()) {
		n.log.Info("routers", "count", len(names))
	}
	n.routers.Store(&names)
	n.allotments.SetRouters(others)
	n.readers.set(n.clock.Now(), slices.Sorted(slices.Values(names)))
	// Records relayed by other routers are older than those read from the log.
	leaving := settings.Milliseconds(n.settings.Bounds.LeavingMs)
	staleness := gatewaysync.TargetsInterval(leaving)
	if n.fleet.HasReaders() {
		staleness = gatewaysync.TargetsStaleness(leaving)
	}
	n.dir.SetGrace(gateway.LeavingGrace(leaving, staleness))
}

// servingNames returns the names of this router and of the others that may be serving.
func servingNames(self string, others []membership.Router) []string {
	names := []string{self}
	for _, r := range others {
		if r.State != port.MemberDead || r.OutOfContact() {
			names = append(names, r.Name)
		}
	}
	return names
}

// serveRecords serves other routers from the streams that this one follows.
func (n *gatewayNode) serveRecords(ctx context.Context, stream string, from port.Offset, limit int) (port.Batch, error) {
	for _, s := range n.followers {
		if s.Name == stream {
			return s.Records(ctx, stream, from, limit)
		}
	}
	return port.Batch{}, &port.NotFoundError{Peer: "router " + n.settings.VM.Name, Name: stream}
}

func (n *gatewayNode) hasFollowers() bool { return n.fleet.IsReader() }

// pullFromReader pulls records from a router of this availability zone that
// reads the log.
func (n *gatewayNode) pullFromReader(ctx context.Context, stream string, from port.Offset) (port.Batch, bool, error) {
	return n.fleet.PullFromReader(ctx, stream, from, pullLimit)
}

// pullFromPeers pulls the operator's records from other routers.
func (n *gatewayNode) pullFromPeers(ctx context.Context, stream string, from port.Offset) []port.Batch {
	return n.fleet.PullAll(ctx, stream, from, pullLimit)
}
