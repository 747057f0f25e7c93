package port

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Segment is one named part of a prompt with its size. Equal IDs name equal
// parts; a prompt is a chain of segments.
type Segment struct {
	ID     string
	Tokens int
}

// TargetEntry is what a target says of itself in the list of targets.
type TargetEntry struct {
	// ID names the target. A target may start again under the same ID; Born
	// tells its lives apart.
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	Slots            int
	// Leaving targets take no new work.
	Leaving bool
	// ColdRemaining is how much longer the target is slow after its start.
	ColdRemaining time.Duration
	// Weights maps the names of the loaded models to the versions of their weights.
	Weights map[string]int
	// StartedAt is the start of this life.
	StartedAt time.Time
}

// Incarnation returns the life of the target that the entry speaks of.
func (e TargetEntry) Incarnation() Incarnation {
	return Incarnation(e.ID + "@" + e.StartedAt.UTC().Format(time.RFC3339Nano))
}

// Forward is one attempt to pass a client's request on to a target unchanged.
type Forward struct {
	RequestID string
	Method    string
	// URI is the path and query as the client sent them.
	URI  string
	Host string
	// Header holds the end-to-end fields that the client sent.
	Header http.Header
	Body   []byte
	// ClientAccount is empty where the route admits anonymous requests.
	ClientAccount string
	Deadline      time.Time
	// ExpectTarget makes any other target refuse the attempt as not run.
	ExpectTarget string
	// ExpectWeights makes a target with other weights refuse the attempt as not
	// run; 0: any.
	ExpectWeights int
	// CacheScope isolates the cached prompt parts; empty: shared by all.
	CacheScope string
	// Priority is the rank of the request on the target, 0 is served first.
	Priority int
	// FetchFrom is the address of a target or store from which the target first
	// fetches cached parts that it lacks; empty: none.
	FetchFrom string
	// SaveTo is the address of the store that the parts are sent to; empty: none.
	SaveTo string
	// ResumeAfter is the id of the last event that the client has; empty
	// leaves what the client itself sent.
	ResumeAfter string
}

// Answer is the head of a target's answer; the receiver reads and closes Body.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length of the body in bytes, -1 when it is not known.
	Length int64
	// Load is the target's account of its load; nil when it tells none.
	Load *LoadReport
	// Weights is the version of the weights that serves the request, 0 when the
	// target tells none.
	Weights int
	// Closing says that the target closes the connection, as one that leaves does.
	Closing bool
}

// Forwarder passes requests on to targets by their address (host:port).
type Forwarder interface {
	// Forward runs one attempt. A NotRunError means that the request did not run
	// and will not; an UnknownOutcomeError that it may have run.
	Forward(ctx context.Context, address string, f Forward) (Answer, error)
}

// SwitchMode says what becomes of the runs of a target that loads new weights.
type SwitchMode int

// The modes.
const (
	// SwitchFinishRuns loads once all runs have ended.
	SwitchFinishRuns SwitchMode = iota
	// SwitchBreakRuns ends all runs.
	SwitchBreakRuns
	// SwitchKeepRuns lets runs go on under the new weights.
	SwitchKeepRuns
)

// WeightsOrder asks a target to serve another version of a model's weights.
type WeightsOrder struct {
	Mode SwitchMode
	// Target is the ID of the target that the order is for.
	Target       string
	Model        string
	Version      int
	Holder       string
	FencingToken Offset
	// ExpectAccepted is the number of orders that the target must have accepted
	// before this one.
	ExpectAccepted int
}

// TargetStatus is what a target reports when it is asked.
type TargetStatus struct {
	// AcceptedOrders is the number of orders that the target has accepted.
	AcceptedOrders int
	// OrderInProgress says that an order is being carried out.
	OrderInProgress bool
	Weights         map[string]int
	Running         int
	Waiting         int
}

// WeightsControl gives orders to targets.
type WeightsControl interface {
	// Order fails with a StaleFencingError when a newer token was seen, with a
	// ConflictError when another order came first, and with an
	// UnknownOutcomeError when the answer was lost.
	Order(ctx context.Context, address string, o WeightsOrder) error
	Status(ctx context.Context, address, target string) (TargetStatus, error)
}

// ConflictError means that the target carries out another order, or has
// accepted another number of orders than expected.
type ConflictError struct{ Target string }

func (e *ConflictError) Error() string { return "target " + e.Target + " has another order" }

// KeyedRecord is one record of a stream that keeps the newest record of each key.
type KeyedRecord struct {
	Key string
	// Value is nil when the key was removed.
	Value []byte
}

// KeyedBatch is the result of one read of such a stream.
type KeyedBatch struct {
	Records []KeyedRecord
	Next    Offset
}

// KeyedLog reads streams of the platform's log that keep the newest record of
// each key.
type KeyedLog interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, stream string) (KeyedBatch, error)
	// Changes returns the records from the offset on and waits up to wait for the
	// first. It fails with an ExpiredError when they are no longer kept.
	Changes(ctx context.Context, stream string, from Offset, wait time.Duration) (KeyedBatch, error)
}

// KeyedWriter writes streams that keep the newest record of each key.
type KeyedWriter interface {
	// Put writes the value of a key; nil removes the key.
	Put(ctx context.Context, stream, key string, value []byte) error
}

// Names of the keyed streams.
const (
	// StreamRouters holds an entry of each router.
	StreamRouters = "routers"
	// StreamOperator holds the operator's configuration and the weights versions
	// that targets should serve.
	StreamOperator = "operator"
	// StreamTargets holds the entries of the targets.
	StreamTargets = "targets"
)

// SegmentEvent says how much of a prompt part a target or store holds from now on.
type SegmentEvent struct {
	// Scope is the CacheScope under which the part was read.
	Scope     string
	SegmentID string
	// Tokens held now, 0: none.
	Tokens int
}

// SegmentEvents is one read of what changed in a cache.
type SegmentEvents struct {
	// Epoch changes at a restart.
	Epoch uint64
	// Next is where the next read goes on.
	Next uint64
	// Lost says that events before these are missing.
	Lost   bool
	Events []SegmentEvent
}

// SegmentEventReader tells what targets and stores hold.
type SegmentEventReader interface {
	// PartEvents waits up to wait for events from the number on.
	PartEvents(ctx context.Context, address string, since uint64, wait time.Duration) (SegmentEvents, error)
}
