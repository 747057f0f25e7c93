package peergrpc

import (
	"context"
	"math"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "mimosaseam.example/mimosaseam/api/peer/v1"
	"mimosaseam.example/mimosaseam/internal/core/allotment"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Bounds of the messages about allotments. A message beyond them is rejected as a whole: a
// part of it could count tokens of a router that another part gives back.
const (
	// maxWants is more than the accounts of one group in the largest deployment.
	maxWants = 8192
	// maxKeyBytes bounds the keys, which the receiver retains.
	maxKeyBytes = 256
	// maxAmount is above every limit that the configuration admits (1e12).
	maxAmount = 1e13
	// maxDrawGroups is above the number of groups of any fleet that the membership holds.
	maxDrawGroups = 64
	// maxDrawRouters is above the number of routers that the membership holds (4096).
	maxDrawRouters = 8192
	// maxDrawTerm and maxDrawWait are above the times of any fleet.
	maxDrawTerm = time.Minute
	maxDrawWait = time.Hour
	// maxLateDraws is the number of draws in a row without an answer after which their
	// connection is dropped. Their timeout is short, and a busy router answers late on a
	// connection that is sound.
	maxLateDraws = 3
)

// ErrInvalidAnswer means that the answer to a draw does not fit to it.
var ErrInvalidAnswer = eris.New("the answer does not fit to the message")

// Draw implements port.DrawPeer.
func (c *Client) Draw(ctx context.Context, address string, d allotment.Draw) (allotment.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, allotment.MessageTimeout)
	defer cancel()
	conn, err := c.pool.get(address)
	if err != nil {
		return allotment.Answer{}, &port.UnavailableError{Peer: peerName(address), Cause: err}
	}
	out, err := peerv1.NewPeerClient(conn.cc).Draw(ctx, toDraw(d))
	broken := status.Code(err) == codes.Unavailable
	switch status.Code(err) {
	case codes.OK:
		conn.lateDraws.Store(0)
	case codes.DeadlineExceeded:
		broken = conn.lateDraws.Add(1) >= maxLateDraws
	}
	c.pool.put(conn, broken)
	if err != nil {
		return allotment.Answer{}, failure(address, err)
	}
	answer, ok := fromAnswer(out, d.Wants)
	if !ok {
		return allotment.Answer{}, &port.UnknownOutcomeError{Peer: peerName(address), Cause: ErrInvalidAnswer}
	}
	return answer, nil
}

func (s *server) Draw(_ context.Context, in *peerv1.DrawRequest) (*peerv1.DrawResponse, error) {
	h, ok := s.handler.(port.DrawHandler)
	if !ok {
		return nil, status.Error(codes.Unimplemented, "this router has no allotments")
	}
	d, ok := fromDraw(in)
	if !ok {
		return nil, status.Error(codes.InvalidArgument, "a value is out of its range")
	}
	answer, err := h.HandleDraw(d)
	if err != nil {
		return nil, toStatus(err)
	}
	return toAnswer(answer, d.Wants), nil
}

func toDraw(d allotment.Draw) *peerv1.DrawRequest {
	out := &peerv1.DrawRequest{Router: d.Router, Incarnation: d.Incarnation, Group: uint32(d.Group), Groups: uint32(d.Groups),
		Ticket: d.Ticket, TicketOf: d.TicketOf, TermMs: uint32(max(d.Term, 0) / time.Millisecond), Routers: uint32(max(d.Routers, 0)), MayAttach: d.MayAttach}
	for _, w := range d.Wants {
		out.Wants = append(out.Wants, &peerv1.Want{Key: string(w.Key), Tokens: roundUp(w.Tokens), Least: roundUp(w.Least),
			Ahead: roundDown(w.Ahead), Unit: float32(w.Unit), Returned: roundDown(w.Returned), Spent: roundDown(w.Spent), GrantTicket: w.GrantTicket, Charged: roundUp(w.Charged),
			Refused: roundUp(w.Refused), Rate: roundDown(w.Limit.Rate), Burst: roundDown(w.Limit.Burst), Debt: w.Limit.Debt})
	}
	return out
}

func fromDraw(in *peerv1.DrawRequest) (allotment.Draw, bool) {
	term := time.Duration(in.GetTermMs()) * time.Millisecond
	if in.GetRouter() == "" || len(in.GetRouter()) > maxNameBytes || in.GetGroups() == 0 || in.GetGroups() > maxDrawGroups ||
		in.GetGroup() >= in.GetGroups() || term > maxDrawTerm || in.GetRouters() > maxDrawRouters || len(in.GetWants()) > maxWants {
		return allotment.Draw{}, false
	}
	d := allotment.Draw{Router: in.GetRouter(), Incarnation: in.GetIncarnation(), Group: int(in.GetGroup()), Groups: int(in.GetGroups()),
		Ticket: in.GetTicket(), TicketOf: in.GetTicketOf(), Term: term, Routers: int(in.GetRouters()), MayAttach: in.GetMayAttach()}
	for _, w := range in.GetWants() {
		if w.GetKey() == "" || len(w.GetKey()) > maxKeyBytes {
			return allotment.Draw{}, false
		}
		for _, n := range []float32{w.GetTokens(), w.GetLeast(), w.GetAhead(), w.GetUnit(), w.GetReturned(), w.GetSpent(), w.GetCharged(), w.GetRefused(),
			w.GetRate(), w.GetBurst()} {
			if !isAmount(float64(n)) {
				return allotment.Draw{}, false
			}
		}
		d.Wants = append(d.Wants, allotment.Want{Key: allotment.Key(w.GetKey()), Tokens: float64(w.GetTokens()), Least: float64(w.GetLeast()),
			Ahead: float64(w.GetAhead()), Unit: float64(w.GetUnit()), Returned: float64(w.GetReturned()), Spent: float64(w.GetSpent()), GrantTicket: w.GetGrantTicket(),
			Charged: float64(w.GetCharged()), Refused: float64(w.GetRefused()),
			Limit: allotment.Limit{Rate: float64(w.GetRate()), Burst: float64(w.GetBurst()), Debt: w.GetDebt()}})
	}
	return d, true
}

// toAnswer lists the grants in the order of the wants, which saves their keys. A key may have
// several wants, but it has one grant for each at most.
func toAnswer(a allotment.Answer, wants []allotment.Want) *peerv1.DrawResponse {
	if a.Redirect != "" {
		return &peerv1.DrawResponse{Redirect: a.Redirect}
	}
	out := &peerv1.DrawResponse{Ticket: a.Ticket, Incarnation: a.Incarnation, Majority: a.Majority,
		Tokens: make([]float32, len(wants)), WaitMs: make([]uint32, len(wants)), BacklogMs: make([]uint32, len(wants))}
	grants := make(map[allotment.Key][]allotment.Grant, len(a.Grants))
	for _, g := range a.Grants {
		grants[g.Key] = append(grants[g.Key], g)
	}
	for i, w := range wants {
		if of := grants[w.Key]; len(of) > 0 {
			g := of[0]
			grants[w.Key] = of[1:]
			out.Tokens[i], out.WaitMs[i], out.BacklogMs[i] = roundDown(g.Tokens), millisecondsUp(min(g.Wait, maxDrawWait)), millisecondsUp(min(g.Backlog, maxDrawWait))
		}
	}
	return out
}

func fromAnswer(in *peerv1.DrawResponse, wants []allotment.Want) (allotment.Answer, bool) {
	if in.GetRedirect() != "" {
		return allotment.Answer{Redirect: in.GetRedirect()}, len(in.GetRedirect()) <= maxNameBytes
	}
	if len(in.GetTokens()) != len(wants) || len(in.GetWaitMs()) != len(wants) || len(in.GetBacklogMs()) != len(wants) {
		return allotment.Answer{}, false
	}
	a := allotment.Answer{Ticket: in.GetTicket(), Incarnation: in.GetIncarnation(), Majority: in.GetMajority()}
	for i, w := range wants {
		g := allotment.Grant{Key: w.Key, Tokens: float64(in.GetTokens()[i]), Wait: time.Duration(in.GetWaitMs()[i]) * time.Millisecond,
			Backlog: time.Duration(in.GetBacklogMs()[i]) * time.Millisecond}
		if !isAmount(g.Tokens) || g.Wait > maxDrawWait || g.Backlog > maxDrawWait {
			return allotment.Answer{}, false
		}
		if g.Tokens > 0 || g.Wait > 0 {
			a.Grants = append(a.Grants, g)
		}
	}
	return a, true
}

// isAmount reports whether n is a number of tokens; NaN is none.
func isAmount(n float64) bool { return n >= 0 && n <= maxAmount }

// roundUp returns the smallest float32 that is not below n.
func roundUp(n float64) float32 {
	out := float32(n)
	if float64(out) < n {
		out = math.Nextafter32(out, float32(math.Inf(1)))
	}
	return out
}

// roundDown returns the largest float32 that is not above n.
func roundDown(n float64) float32 {
	out := float32(n)
	if float64(out) > n {
		out = math.Nextafter32(out, float32(math.Inf(-1)))
	}
	return out
}

// millisecondsUp rounds up: a client that comes back early is refused again.
func millisecondsUp(d time.Duration) uint32 {
	return uint32((max(d, 0) + time.Millisecond - 1) / time.Millisecond)
}
