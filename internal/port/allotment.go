package port

import (
	"context"

	"mimosaseam.example/mimosaseam/internal/core/allotment"
)

// DrawPeer asks other routers for tokens of client accounts.
type DrawPeer interface {
	// Draw sends a message to the router at the address and returns its answer. A message
	// that fails may have been handled: its tokens are lost.
	Draw(ctx context.Context, address string, d allotment.Draw) (allotment.Answer, error)
}

// DrawHandler answers the messages of a DrawPeer; a PeerHandler may implement it. It fails
// with a NotFoundError on a router without allotments.
type DrawHandler interface {
	HandleDraw(d allotment.Draw) (allotment.Answer, error)
}
