package port

import (
	"context"
	"time"
)

// MemberState is what is believed about a router. At the same incarnation a
// larger state supersedes a smaller one.
type MemberState uint8

// The states of routers.
const (
	MemberAlive MemberState = iota
	// MemberSuspect means that exchanges with the router fail.
	MemberSuspect
	// MemberLeaving means that the router announced a planned stop.
	MemberLeaving
	// MemberDead means that a suspect did not answer in time, or that a leaving
	// router is gone.
	MemberDead
)

// String returns the state's name.
func (s MemberState) String() string {
	switch s {
	case MemberAlive:
		return "alive"
	case MemberSuspect:
		return "suspect"
	case MemberLeaving:
		return "leaving"
	default:
		return "dead"
	}
}

// Member is a router as routers tell each other of it. Address, Region and
// AvailabilityZone are empty in short notices about routers known to all.
type Member struct {
	Name             string
	Address          string
	Region           string
	AvailabilityZone string
	// Incarnation orders the lives of one name; only the router itself raises
	// it. 0: known from the VM list only.
	Incarnation uint64
	State       MemberState
}

// TargetMark says that a target is leaving or, after a mark, that it returned.
type TargetMark struct {
	Target string
	// Incarnation limits the mark to one life of the target. Empty: any.
	Incarnation Incarnation
	// Version orders the marks of one target; the largest is in force.
	Version  uint64
	Returned bool
	// Age is the time since the evidence, so that no clocks are compared.
	Age time.Duration
}

// Fingerprint identifies a request that crashes targets.
type Fingerprint struct {
	Value string
	Age   time.Duration
}

// Gossip is what spreads from router to router until all know it.
type Gossip struct {
	Members      []Member
	Targets      []TargetMark
	Fingerprints []Fingerprint
	// MembersHash and TargetsHash cover all that the sender knows. When they
	// differ from the receiver's, the receiver repeats a part of what it knows.
	MembersHash uint64
	TargetsHash uint64
}

// TargetCount is the number of requests in flight on a target.
type TargetCount struct {
	Target string
	Count  int
}

// AccountDemand is the demand of a client account at one router, in the unit
// of the limits that share it.
type AccountDemand struct {
	ClientAccount string
	Demand        float64
}

// PeerExchange is one side of an exchange between two routers.
type PeerExchange struct {
	From Member
	// Urgent marks a message that carries new leaving targets and fingerprints
	// only; its answer is empty but for From.
	Urgent       bool
	Gossip       Gossip
	ConfigOffset Offset
	// InFlight holds the sender's busiest targets.
	InFlight []TargetCount
	Demand   []AccountDemand
	// Summary is the changed part of the sender's hot-prefix summary.
	Summary []byte
}

// PeerSummary is what a restarted router gets from a peer.
type PeerSummary struct {
	From Member
	// Gossip holds all routers, marks and fingerprints that the peer knows.
	Gossip  Gossip
	Summary []byte
}

// Peer calls other routers by their address (host:port). All calls may be
// repeated.
type Peer interface {
	Exchange(ctx context.Context, address string, e PeerExchange) (PeerExchange, error)
	// PullRecords reads records of a log stream that the peer keeps. It fails
	// with an ExpiredError when the peer no longer keeps the offset.
	PullRecords(ctx context.Context, address, stream string, from Offset, limit int) (Batch, error)
	Summary(ctx context.Context, address string) (PeerSummary, error)
	// Handoff gives the summary of a stopping router to the peer.
	Handoff(ctx context.Context, address string, from Member, summary []byte) error
}

// PrefillNotifier tells other routers of work at once.
type PrefillNotifier interface {
	// Started tells that a request was sent to the target, which has to read the
	// tokens for it.
	Started(ctx context.Context, address, target string, tokens int) error
}

// PrefillHandler takes what WorkPeer tells; a PeerHandler may implement it.
type PrefillHandler interface {
	HandleStarted(target string, tokens int)
}

// ReservationPeer asks the router that decides for a target.
type ReservationPeer interface {
	// Reserve reports whether the crash suspect may run on the target alone; with
	// release it gives the target back.
	Reserve(ctx context.Context, address, target string, fingerprint uint64, release bool) (granted bool, err error)
}

// ReservationHandler decides for SuspectPeer; a PeerHandler may implement it.
type ReservationHandler interface {
	HandleReserve(target string, fingerprint uint64, release bool) (granted bool)
}

// PeerHandler answers the calls of other routers.
type PeerHandler interface {
	HandleExchange(ctx context.Context, e PeerExchange) (PeerExchange, error)
	HandlePullRecords(ctx context.Context, stream string, from Offset, limit int) (Batch, error)
	HandleSummary(ctx context.Context) (PeerSummary, error)
	HandleHandoff(ctx context.Context, from Member, summary []byte) error
}
