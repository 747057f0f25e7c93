package fleet

import (
	"context"
	"errors"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"

	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/port"
)

// maxAsked bounds the peers that are asked in turn for the same thing.
const maxAsked = 3

// LeaveError means that not all neighbours could be told of a planned stop.
// The others learn of it from those that were told.
type LeaveError struct {
	Told       int
	Neighbours int
}

func (e *LeaveError) Error() string {
	return "told " + strconv.Itoa(e.Told) + " of " + strconv.Itoa(e.Neighbours) + " neighbours of the planned stop"
}

// Join reads the VM list once and takes the summary of a peer: routers, marks,
// fingerprints, and hot prefixes by OnSummary. It fails with ErrNoPeer when no
// peer answers; the router can start without.
func (f *Fleet) Join(ctx context.Context) error {
	// Without the list, the seeds are asked.
	_ = f.poll(ctx)
	for _, to := range f.askable("", 0) {
		s, err := f.o.Peer.Summary(ctx, to.Address)
		if err != nil || s.From.Name == f.o.Self.Name {
			continue
		}
		f.mu.Lock()
		now := f.o.Clock.Now()
		f.view.RecordResponse(now, to, s.From)
		f.view.MergeSnapshot(now, s.Gossip)
		f.mu.Unlock()
		f.tellNews(s.Gossip)
		if on := f.o.Callbacks.OnSummary; on != nil && len(s.Summary) > 0 {
			on(s.From.Name, s.Summary)
		}
		return nil
	}
	return ErrNoPeer
}

// PullRecords reads records of a log stream from peers, those first that have
// reported the offset. An empty batch means that no peer has newer records.
func (f *Fleet) PullRecords(ctx context.Context, stream string, from port.Offset, limit int) (port.Batch, error) {
	empty, failure := (*port.Batch)(nil), error(ErrNoPeer)
	for _, to := range f.askable(stream, from) {
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

// PullAll asks several routers at once and returns all answers.
func (f *Fleet) PullAll(ctx context.Context, stream string, from port.Offset, limit int) []port.Batch {
	var mu sync.Mutex
	var asked sync.WaitGroup
	var out []port.Batch
	for _, to := range f.askable(stream, from) {
		asked.Go(func() {
			b, err := f.o.Peer.PullRecords(ctx, to.Address, stream, from, limit)
			if err != nil {
				f.o.Logger.Debug("router not asked for records", "peer", to.Name, "stream", stream, "error", err.Error())
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, b)
		})
	}
	asked.Wait()
	return out
}

// askable returns at most maxAsked routers: those with a report of the config
// offset first, the highest first, then other neighbours, then seeds.
func (f *Fleet) askable(stream string, from port.Offset) []membership.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := f.view.Neighbours()
	if stream == port.StreamConfig {
		ahead := func(t membership.Peer) port.Offset {
			if o := f.reports[t.Name].configOffset; o >= from {
				return o
			}
			return 0
		}
		sort.SliceStable(targets, func(i, j int) bool { return ahead(targets[i]) > ahead(targets[j]) })
	}
	targets = append(targets, f.view.UnknownSeeds()...)
	return targets[:min(len(targets), maxAsked)]
}

// Leave announces a planned stop to all neighbours and waits for their answers
// or the end of ctx. The loops go on, so that streams can drain.
func (f *Fleet) Leave(ctx context.Context) error {
	f.mu.Lock()
	f.view.Leave()
	message := port.PeerExchange{From: f.view.Self(), Urgent: true}
	neighbours := f.view.Neighbours()
	f.mu.Unlock()
	var calls sync.WaitGroup
	var told atomic.Int64
	for _, to := range neighbours {
		calls.Go(func() {
			if f.sendUrgent(ctx, to, message) {
				told.Add(1)
			}
		})
	}
	calls.Wait()
	if n := int(told.Load()); n < len(neighbours) {
		return &LeaveError{Told: n, Neighbours: len(neighbours)}
	}
	return nil
}

// Handoff gives the hot-prefix summary of this router to a neighbour.
func (f *Fleet) Handoff(ctx context.Context) error {
	if f.o.Sources.Summary == nil {
		return nil
	}
	summary := f.o.Sources.Summary(maxSummaryBytes)
	failure := error(ErrNoPeer)
	for _, to := range f.askable("", 0) {
		if failure = f.o.Peer.Handoff(ctx, to.Address, f.Self(), summary); failure == nil {
			return nil
		}
	}
	return failure
}
