package fleet

import (
	"context"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// workTimeout bounds one message about work: later it is of no use.
	workTimeout = 300 * time.Millisecond
	// maxWorkCalls bounds the messages under way; over it, peers are not told.
	maxWorkCalls = 64
)

// TellStarted tells the neighbours that a request with a long prompt was sent to
// the target. It does not wait.
func (f *Fleet) TellStarted(target string, tokens int) {
	peer, ok := f.o.Peer.(port.PrefillNotifier)
	if !ok {
		return
	}
	f.mu.Lock()
	neighbours := f.view.Neighbours()
	f.mu.Unlock()
	for _, to := range neighbours {
		f.goTell("work at "+target, to, func(ctx context.Context) error {
			return peer.Started(ctx, to.Address, target, tokens)
		})
	}
}

// goTell sends a message to a peer without waiting. It is dropped when too many are
// under way.
func (f *Fleet) goTell(what string, to membership.Target, send func(ctx context.Context) error) {
	if f.workCalls.Add(1) > maxWorkCalls {
		f.workCalls.Add(-1)
		f.o.Logger.Debug("peer not told", "what", what, "peer", to.Name, "why", "too many messages under way")
		return
	}
	go func() {
		defer f.workCalls.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), workTimeout)
		defer cancel()
		if err := send(ctx); err != nil {
			f.o.Logger.Debug("peer not told", "what", what, "peer", to.Name, "why", err.Error())
		}
	}()
}

// HandleStarted implements port.WorkHandler.
func (f *Fleet) HandleStarted(target string, tokens int) {
	if on := f.o.Callbacks.OnStarted; on != nil {
		on(target, tokens)
	}
}
