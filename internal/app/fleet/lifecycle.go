package fleet

import (
	"context"
	"errors"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

// maxQueriedPeers bounds the peers contacted for one query or handoff.
const maxQueriedPeers = 3

const (
	// maxSnapshots is the number of peers whose snapshots a router merges: the first may have
	// started, or been cut off, like itself.
	maxSnapshots = 2
	// snapshotInterval is the time between two rounds of questions to the peers known then,
	// snapshotRounds the number of rounds.
	snapshotInterval = 250 * time.Millisecond
	snapshotRounds   = 60
	// minDisconnection is how long a peer must not have responded to count as in contact again:
	// shorter failures are common, and a snapshot holds the whole state.
	minDisconnection = 2 * time.Second
	// maxFailing bounds the peers whose failures are remembered: some are gone for good.
	maxFailing = 1024
	// reconnectionInterval is the least time between two snapshots of such peers.
	reconnectionInterval = 5 * time.Second
)

// contactFailure is when a peer first did not respond, and its incarnation then.
type contactFailure struct {
	peer        membership.Peer
	since       time.Time
	incarnation uint64
}

// LeaveError means that some neighbours did not acknowledge the announcement
// of a planned stop. They receive it from those that did.
type LeaveError struct {
	Acknowledged int
	Neighbours   int
}

func (e *LeaveError) Error() string {
	return "planned stop acknowledged by " + strconv.Itoa(e.Acknowledged) + " of " + strconv.Itoa(e.Neighbours) + " neighbours"
}

// Join polls the VM list once and adopts the summary of a peer: routers, marks,
// fingerprints, and hot prefixes (passed to OnSummary). It returns ErrNoPeer
// when no peer responds; the router can start without a summary.
func (f *Fleet) Join(ctx context.Context) error {
	// If the poll fails, the seeds are used.
	_ = f.poll(ctx)
	for _, to := range f.queryCandidates("", 0) {
		s, ok := f.adoptSnapshot(ctx, to)
		if !ok {
			continue
		}
		if on := f.o.Callbacks.OnSummary; on != nil && len(s.Summary) > 0 {
			on(s.From.Name, s.Summary)
		}
		return nil
	}
	return ErrNoPeer
}

// adoptSnapshot merges the snapshot of a peer. It returns false if the peer does not respond.
func (f *Fleet) adoptSnapshot(ctx context.Context, to membership.Peer) (port.PeerSummary, bool) {
	s, err := f.o.Peer.Summary(ctx, to.Address)
	if err != nil {
		f.o.Logger.InfoContext(ctx, "no snapshot of a router", "router", to.Name, "why", err)
		return port.PeerSummary{}, false
	}
	if s.From.Name == f.o.Self.Name {
		return port.PeerSummary{}, false
	}
	f.mu.Lock()
	now := f.o.Clock.Now()
	f.view.RecordResponse(now, to, s.From)
	f.view.MergeSnapshot(now, s.Gossip)
	f.mu.Unlock()
	f.o.Logger.InfoContext(ctx, "snapshot of a router", "router", s.From.Name, "fingerprints", len(s.Gossip.Fingerprints), "targets", len(s.Gossip.Targets))
	f.notifyGossip(s.Gossip)
	return s, true
}

// snapshotLoop merges the snapshots of some peers at the start, and that of a peer that is in contact
// again. Fingerprints are sent once, so that only a snapshot holds the missed ones.
func (f *Fleet) snapshotLoop(ctx context.Context) {
	f.adoptSnapshots(ctx)
	for {
		select {
		case to := <-f.reconnected:
			asking, cancel := context.WithTimeout(ctx, exchangeTimeout)
			f.adoptSnapshot(asking, to)
			cancel()
		case <-ctx.Done():
			return
		}
		if ctxtime.Sleep(ctx, reconnectionInterval) != nil {
			return
		}
	}
}

// adoptSnapshots merges the snapshots of the first peers that respond.
func (f *Fleet) adoptSnapshots(ctx context.Context) {
	asked := map[string]bool{}
	for range snapshotRounds {
		for _, to := range f.queryCandidates("", 0) {
			if len(asked) == maxSnapshots {
				return
			}
			if !asked[to.Name] {
				asking, cancel := context.WithTimeout(ctx, exchangeTimeout)
				_, ok := f.adoptSnapshot(asking, to)
				cancel()
				if ok {
					asked[to.Name] = true
				}
			}
		}
		if ctxtime.Sleep(ctx, snapshotInterval) != nil {
			return
		}
	}
}

// recordFailure records that a peer did not respond. f.mu must be held.
func (f *Fleet) recordFailure(now time.Time, to membership.Peer) {
	if _, failing := f.failing[to.Name]; failing {
		return
	}
	if len(f.failing) == maxFailing {
		clear(f.failing)
	}
	f.failing[to.Name] = contactFailure{peer: to, since: now, incarnation: f.view.Incarnation(to.Name)}
}

// recordContact records contact with a peer. It wakes the snapshot loop if the same incarnation of it
// did not respond for a while before. f.mu must be held.
func (f *Fleet) recordContact(now time.Time, peer string) {
	failure, failing := f.failing[peer]
	if !failing {
		return
	}
	delete(f.failing, peer)
	if now.Sub(failure.since) < minDisconnection || f.view.Incarnation(peer) != failure.incarnation {
		return
	}
	select {
	case f.reconnected <- failure.peer:
	default: // another peer is asked
	}
}

// PullRecords reads records of a log stream from peers, starting with those
// that have reported the offset. An empty batch means that no peer has newer
// records.
func (f *Fleet) PullRecords(ctx context.Context, stream string, from port.Offset, limit int) (port.Batch, error) {
	empty, failure := (*port.Batch)(nil), error(ErrNoPeer)
	for _, to := range f.queryCandidates(stream, from) {
		b, err := f.o.Peer.PullRecords(ctx, to.Address, stream, from, limit)
		var expired *port.ExpiredError
		switch {
		case err == nil && len(b.Records) > 0:
			return b, nil
		case err == nil:
			empty = &b
		case errors.As(err, &expired) || failure == ErrNoPeer:
			failure = err
		}
	}
	if empty != nil {
		return *empty, nil
	}
	return port.Batch{}, failure
}

// PullAll reads records from several routers in parallel and returns all
// batches received.
func (f *Fleet) PullAll(ctx context.Context, stream string, from port.Offset, limit int) []port.Batch {
	var mu sync.Mutex
	var calls sync.WaitGroup
	var out []port.Batch
	for _, to := range f.queryCandidates(stream, from) {
		calls.Go(func() {
			b, err := f.o.Peer.PullRecords(ctx, to.Address, stream, from, limit)
			if err != nil {
				f.o.Logger.Debug("cannot pull records from a router", "peer", to.Name, "stream", stream, "error", err.Error())
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, b)
		})
	}
	calls.Wait()
	return out
}

// queryCandidates returns at most maxQueriedPeers routers: for the config stream,
// neighbours that reported the offset, in descending order of offset, then other
// neighbours, then seeds.
func (f *Fleet) queryCandidates(stream string, from port.Offset) []membership.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	peers := f.view.Neighbours()
	if stream == port.StreamConfig {
		ahead := func(p membership.Peer) port.Offset {
			if o := f.reports[p.Name].configOffset; o >= from {
				return o
			}
			return 0
		}
		sort.SliceStable(peers, func(i, j int) bool { return ahead(peers[i]) > ahead(peers[j]) })
	}
	peers = append(peers, f.view.UnknownSeeds()...)
	return peers[:min(len(peers), maxQueriedPeers)]
}

// Leave announces a planned stop to all neighbours and waits for their
// responses or the end of ctx. The loops keep running so that streams can drain.
func (f *Fleet) Leave(ctx context.Context) error {
	f.mu.Lock()
	f.view.Leave()
	message := port.PeerExchange{From: f.view.Self(), Urgent: true}
	neighbours := f.view.Neighbours()
	f.mu.Unlock()
	var calls sync.WaitGroup
	var acknowledged atomic.Int64
	for _, to := range neighbours {
		calls.Go(func() {
			if f.sendUrgent(ctx, to, message) {
				acknowledged.Add(1)
			}
		})
	}
	calls.Wait()
	if n := int(acknowledged.Load()); n < len(neighbours) {
		return &LeaveError{Acknowledged: n, Neighbours: len(neighbours)}
	}
	return nil
}

// Handoff sends the hot-prefix summary of this router to one neighbour.
func (f *Fleet) Handoff(ctx context.Context) error {
	if f.o.Sources.Summary == nil {
		return nil
	}
	summary := f.o.Sources.Summary(maxSummaryBytes)
	failure := error(ErrNoPeer)
	for _, to := range f.queryCandidates("", 0) {
		if failure = f.o.Peer.Handoff(ctx, to.Address, f.Self(), summary); failure == nil {
			return nil
		}
	}
	return failure
}
