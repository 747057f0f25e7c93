package fleet

import (
	"context"

	"mimosaseam.example/mimosaseam/internal/core/allotment"
	"mimosaseam.example/mimosaseam/internal/port"
)

// HandleExchange implements port.PeerHandler.
func (f *Fleet) HandleExchange(_ context.Context, e port.PeerExchange) (port.PeerExchange, error) {
	f.mu.Lock()
	now := f.o.Clock.Now()
	f.stats.ExchangesHandled++
	f.view.RecordIncoming(now, e.From)
	f.recordContact(now, e.From.Name)
	f.merge(now, e)
	self := f.view.Self()
	f.mu.Unlock()
	f.notifyCallbacks(e)
	if e.Urgent {
		return port.PeerExchange{
			From:   port.Member{Name: self.Name, Incarnation: self.Incarnation, State: self.State},
			Urgent: true,
		}, nil
	}
	return f.compose(e.From.Name, &e.Gossip), nil
}

// HandlePullRecords implements port.PeerHandler.
func (f *Fleet) HandlePullRecords(ctx context.Context, stream string, from port.Offset, limit int) (port.Batch, error) {
	if f.o.Sources.Records == nil {
		return port.Batch{}, &port.NotFoundError{Peer: "router " + f.o.Self.Name, Name: stream}
	}
	return f.o.Sources.Records(ctx, stream, from, limit)
}

// HandleSummary implements port.PeerHandler.
func (f *Fleet) HandleSummary(context.Context) (port.PeerSummary, error) {
	var out port.PeerSummary
	if f.o.Sources.Summary != nil {
		out.Summary = f.o.Sources.Summary(maxSummaryBytes)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	out.From = f.view.Self()
	out.Gossip = f.view.Snapshot(f.o.Clock.Now())
	return out, nil
}

// HandleHandoff implements port.PeerHandler.
func (f *Fleet) HandleHandoff(_ context.Context, from port.Member, summary []byte) error {
	f.mu.Lock()
	f.view.RecordIncoming(f.o.Clock.Now(), from)
	f.mu.Unlock()
	if on := f.o.Callbacks.OnSummary; on != nil && len(summary) > 0 {
		on(from.Name, summary)
	}
	return nil
}

// HandleDraw implements port.DrawHandler.
func (f *Fleet) HandleDraw(d allotment.Draw) (allotment.Answer, error) {
	on := f.o.Callbacks.OnDraw
	if on == nil {
		return allotment.Answer{}, &port.NotFoundError{Peer: "router " + f.o.Self.Name, Name: "allotments"}
	}
	return on(d), nil
}
