package fleet

import (
	"context"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/panics"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// asyncTimeout bounds one message of sendAsync; later it would be outdated.
	asyncTimeout = 300 * time.Millisecond
	// maxAsyncCalls bounds the messages of sendAsync in flight; further ones are dropped.
	maxAsyncCalls = 64
)

// AnnouncePrefill announces to the neighbours that a request with a long prompt was
// sent to the target. It does not wait for responses.
func (f *Fleet) AnnouncePrefill(target string, tokens int) {
	peer, ok := f.o.Peer.(port.PrefillNotifier)
	if !ok {
		return
	}
	f.sendToNeighbours("request started at "+target, func(ctx context.Context, address string) error {
		return peer.Started(ctx, address, target, tokens)
	})
}

// AnnounceLoading announces to the neighbours that a target loads new weights, or has
// loaded them. It does not wait for responses.
func (f *Fleet) AnnounceLoading(l port.TargetLoading) {
	peer, ok := f.o.Peer.(port.LoadingNotifier)
	if !ok {
		return
	}
	f.sendToNeighbours("weights of "+l.Target, func(ctx context.Context, address string) error {
		return peer.Loading(ctx, address, l)
	})
}

// AnnounceRate announces the rate of a target to the neighbours, which pass on what is new
// to them. It does not wait for responses.
func (f *Fleet) AnnounceRate(r port.TargetRate) {
	peer, ok := f.o.Peer.(port.RateNotifier)
	if !ok {
		return
	}
	f.sendToNeighbours("rate of "+string(r.Target), func(ctx context.Context, address string) error {
		return peer.Rate(ctx, address, r)
	})
}

func (f *Fleet) sendToNeighbours(what string, send func(ctx context.Context, address string) error) {
	f.mu.Lock()
	neighbours := f.view.Neighbours()
	f.mu.Unlock()
	for _, to := range neighbours {
		f.sendAsync(what, to, func(ctx context.Context) error { return send(ctx, to.Address) })
	}
}

// sendAsync sends a message to a peer without waiting for the response. It drops the
// message if too many are in flight.
func (f *Fleet) sendAsync(what string, to membership.Peer, send func(ctx context.Context) error) {
	if f.asyncCalls.Add(1) > maxAsyncCalls {
		f.asyncCalls.Add(-1)
		f.o.Logger.Debug("message to a peer dropped", "what", what, "peer", to.Name, "why", "too many messages in flight")
		return
	}
	go func() {
		defer f.asyncCalls.Add(-1)
		defer panics.Catch(f.o.Logger, what, "peer", to.Name)
		ctx, cancel := context.WithTimeout(context.Background(), asyncTimeout)
		defer cancel()
		if err := send(ctx); err != nil {
			f.o.Logger.Debug("message to a peer failed", "what", what, "peer", to.Name, "why", err.Error())
		}
	}()
}

// HandleStarted implements port.PrefillHandler.
func (f *Fleet) HandleStarted(target string, tokens int) {
	if on := f.o.Callbacks.OnStarted; on != nil {
		on(target, tokens)
	}
}

// HandleLoading implements port.LoadingHandler.
func (f *Fleet) HandleLoading(l port.TargetLoading) {
	if on := f.o.Callbacks.OnLoading; on != nil {
		on(l)
	}
}

// HandleRate implements port.RateHandler.
func (f *Fleet) HandleRate(r port.TargetRate) {
	if on := f.o.Callbacks.OnRate; on != nil {
		on(r)
	}
}
