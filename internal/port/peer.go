package port

import (
	"context"
	"time"
)

// MemberState is the state of a router in the membership view. Within one
// incarnation, a larger state supersedes a smaller one.
type MemberState uint8

// The states of routers.
const (
	MemberAlive MemberState = iota
	// MemberSuspect means that exchanges with the router are failing.
	MemberSuspect
	// MemberLeaving means that the router has announced a planned stop.
	MemberLeaving
	// MemberDead means that a suspect router did not respond in time, or that a
	// leaving router has stopped.
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

// Member describes a router in the gossip between routers. Address, Region and
// AvailabilityZone are empty in short updates about routers known to all.
type Member struct {
	Name             string
	Address          string
	Region           string
	AvailabilityZone string
	// Incarnation orders the incarnations of one name; only the router itself
	// increments it. 0: known from the VM list only.
	Incarnation uint64
	State       MemberState
}

// TargetMark announces that a target is leaving or, after such a mark, that it has
// returned.
type TargetMark struct {
	Target string
	// Incarnation limits the mark to one incarnation of the target. Empty: any.
	Incarnation Incarnation
	// Version orders the marks of one target; the largest applies.
	Version  uint64
	Returned bool
	// Age is the time since the evidence was observed. An age is sent instead of a
	// time so that clocks of different routers are never compared.
	Age time.Duration
}

// Fingerprint identifies a request that crashes targets.
type Fingerprint struct {
	Value string
	Age   time.Duration
}

// Gossip is the state that spreads from router to router until all have it.
type Gossip struct {
	Members      []Member
	Targets      []TargetMark
	Fingerprints []Fingerprint
	// MembersHash and TargetsHash cover the sender's whole state. When they differ
	// from the receiver's, the receiver sends a part of its state again.
	MembersHash uint64
	TargetsHash uint64
}

// TargetCount is the number of requests in flight on a target.
type TargetCount struct {
	Target string
	Count  int
}

// AccountDemand is the demand of a client account at one router, in the unit of
// the limits that are shared out by it.
type AccountDemand struct {
	ClientAccount string
	Demand        float64
}

// PeerExchange is the message that each side sends in a gossip exchange between
// two routers.
type PeerExchange struct {
	From Member
	// Urgent marks a message that carries only new leaving targets and
	// fingerprints; the response to it contains only From.
	Urgent       bool
	Gossip       Gossip
	ConfigOffset Offset
	// InFlight holds the targets with the most requests in flight at the sender.
	InFlight []TargetCount
	Demand   []AccountDemand
	// Summary is the part of the sender's hot-prefix summary that has changed.
	Summary []byte
}

// PeerSummary is the state that a restarted router fetches from a peer.
type PeerSummary struct {
	From Member
	// Gossip holds all members, marks and fingerprints of the peer.
	Gossip  Gossip
	Summary []byte
}

// Peer calls other routers by their address (host:port). All calls are safe to
// retry.
type Peer interface {
	Exchange(ctx context.Context, address string, e PeerExchange) (PeerExchange, error)
	// PullRecords reads records of a log stream from the peer's copy. It fails with
	// an ExpiredError when the peer no longer retains the offset.
	PullRecords(ctx context.Context, address, stream string, from Offset, limit int) (Batch, error)
	Summary(ctx context.Context, address string) (PeerSummary, error)
	// Handoff transfers the hot-prefix summary of a stopping router to the peer.
	Handoff(ctx context.Context, address string, from Member, summary []byte) error
}

// TargetLoading announces that a target loads new weights. While Pause is positive, the
// target starts no requests for about that long; 0 means that it serves the version.
type TargetLoading struct {
	Target  string
	Model   string
	Version int
	Pause   time.Duration
}

// LoadingNotifier notifies other routers of targets that load new weights.
type LoadingNotifier interface {
	Loading(ctx context.Context, address string, l TargetLoading) error
}

// LoadingHandler handles the notifications of a LoadingNotifier; a PeerHandler may
// implement it.
type LoadingHandler interface {
	HandleLoading(l TargetLoading)
}

// TargetRate is the rate of requests that a target takes from all routers together.
type TargetRate struct {
	// Target is the incarnation of the target.
	Target Incarnation
	// PerSecond is 0 if the target names no rate.
	PerSecond float64
	// Age is the time since the target said so.
	Age time.Duration
}

// RateNotifier notifies other routers of the rates of targets.
type RateNotifier interface {
	Rate(ctx context.Context, address string, r TargetRate) error
}

// RateHandler handles the notifications of a RateNotifier; a PeerHandler may implement it.
type RateHandler interface {
	HandleRate(r TargetRate)
}

// PrefillNotifier notifies other routers immediately of requests sent to targets.
type PrefillNotifier interface {
	// Started reports that a request was sent to the target, which needs to prefill
	// that many tokens for it.
	Started(ctx context.Context, address, target string, tokens int) error
}

// PrefillHandler handles the notifications of a PrefillNotifier; a PeerHandler may
// implement it.
type PrefillHandler interface {
	HandleStarted(target string, tokens int)
}

// ReservationPeer reserves targets for crash suspects at the router that is
// responsible for the target.
type ReservationPeer interface {
	// Reserve requests exclusive use of the target for the crash suspect and reports
	// whether it was granted; with release set, it releases the target.
	Reserve(ctx context.Context, address, target string, fingerprint uint64, release bool) (granted bool, err error)
}

// ReservationHandler grants the reservations of a ReservationPeer; a PeerHandler may
// implement it.
type ReservationHandler interface {
	HandleReserve(target string, fingerprint uint64, release bool) (granted bool)
}

// PeerHandler handles the calls of other routers.
type PeerHandler interface {
	HandleExchange(ctx context.Context, e PeerExchange) (PeerExchange, error)
	HandlePullRecords(ctx context.Context, stream string, from Offset, limit int) (Batch, error)
	HandleSummary(ctx context.Context) (PeerSummary, error)
	HandleHandoff(ctx context.Context, from Member, summary []byte) error
}
