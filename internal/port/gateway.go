package port

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"time"
)

// Segment identifies one part of a prompt and its size. Segments with equal IDs
// have equal content; a prompt is a sequence of segments.
type Segment struct {
	ID     string
	Tokens int
}

// TargetEntry is the entry that a target publishes in the target list.
type TargetEntry struct {
	// ID names the target. A target may restart under the same ID; StartedAt
	// distinguishes its incarnations.
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	Slots            int
	// Leaving targets take no new requests.
	Leaving bool
	// ColdRemaining is how much longer the target is slow after its cold start.
	ColdRemaining time.Duration
	// Weights maps the names of the loaded models to the versions of their weights.
	Weights map[string]int
	// StartedAt is the start time of this incarnation.
	StartedAt time.Time
}

// Incarnation returns the incarnation of the target that published the entry.
func (e TargetEntry) Incarnation() Incarnation {
	return Incarnation(e.ID + "@" + e.StartedAt.UTC().Format(time.RFC3339Nano))
}

// Forward is one attempt to forward a client's request unchanged to a target.
type Forward struct {
	RequestID string
	Method    string
	// URI is the path and query as sent by the client.
	URI  string
	Host string
	// Header holds the end-to-end header fields sent by the client.
	Header http.Header
	Body   []byte
	// ClientAccount is empty where the route admits anonymous requests.
	ClientAccount string
	Deadline      time.Time
	// ExpectTarget makes a target with another ID reject the attempt as not run.
	ExpectTarget string
	// ExpectWeights makes a target with another weights version reject the attempt
	// as not run; 0: any.
	ExpectWeights int
	// CacheScope isolates the cached segments; empty: shared by all.
	CacheScope string
	// Priority is the priority of the request on the target; 0 is served first.
	Priority int
	// FetchFrom is the address of a target or store from which the target first
	// fetches cached segments that it lacks; empty: none.
	FetchFrom string
	// SaveTo is the address of the store to which the target saves the cached
	// segments; empty: none.
	SaveTo string
	// ResumeAfter is the id of the last event that the client has received; when
	// empty, the client's own header field is forwarded.
	ResumeAfter string
}

// TargetStatement is what a target says of itself in a response.
type TargetStatement struct {
	// Leaving is set when the target is about to end and wants no new requests.
	Leaving bool
	// Wait is the time for which the target wants no requests from this router, 0 when it
	// names none.
	Wait time.Duration
}

// ForwardResponse is a target's response; the receiver reads and closes Body.
type ForwardResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the size of the body in bytes, -1 when unknown.
	Length int64
	// Load is the load that the target reports; nil when it reports none.
	Load *LoadReport
	// Weights is the weights version that serves the request, 0 when the target
	// reports none.
	Weights int
	// RequestsPerSecond is the rate that the target takes from all routers together, 0
	// when it names none.
	RequestsPerSecond float64
	Statement         TargetStatement
	// Closing is set when the target closes the connection, as leaving targets do.
	Closing bool
	// EndsWithConnection is set for a body without a framing of its own: its end and the
	// end of its target look alike.
	EndsWithConnection bool
}

// Forwarder forwards requests to targets by their address (host:port).
type Forwarder interface {
	// Forward runs one attempt. A NotRunError means that the request did not run
	// and will not; an UnknownOutcomeError means that it may have run.
	Forward(ctx context.Context, address string, f Forward) (ForwardResponse, error)
}

// SwitchMode determines how a target handles its running requests when it loads
// new weights.
type SwitchMode int

// The switch modes.
const (
	// SwitchFinishRuns loads the weights once all running requests have ended.
	SwitchFinishRuns SwitchMode = iota
	// SwitchBreakRuns aborts all running requests.
	SwitchBreakRuns
	// SwitchKeepRuns continues running requests with the new weights.
	SwitchKeepRuns
)

// WeightsOrder orders a target to serve another version of a model's weights.
type WeightsOrder struct {
	Mode SwitchMode
	// Target is the ID of the target that is to execute the order.
	Target       string
	Model        string
	Version      int
	Holder       string
	FencingToken Offset
	// ExpectAcceptedOrders is the number of orders that the target must have accepted
	// before this one; otherwise it rejects the order.
	ExpectAcceptedOrders int
}

// TargetStatus is the status report of a target.
type TargetStatus struct {
	// AcceptedOrders is the number of orders that the target has accepted.
	AcceptedOrders int
	// OrderInProgress is set while the target executes an order.
	OrderInProgress bool
	Weights         map[string]int
	Running         int
	Waiting         int
}

// WeightsControl sends orders to targets and reads their status.
type WeightsControl interface {
	// Order fails with a StaleFencingError when the target has seen a newer fencing
	// token, with a ConflictError when another order came first, and with an
	// UnknownOutcomeError when the response was lost.
	Order(ctx context.Context, address string, o WeightsOrder) error
	Status(ctx context.Context, address, target string) (TargetStatus, error)
}

// ConflictError means that the target is executing another order, or that the
// number of orders it has accepted differs from the expected one.
type ConflictError struct{ Target string }

func (e *ConflictError) Error() string { return "target " + e.Target + " has another order" }

// KeyedRecord is one record of a keyed stream, which retains the newest record of
// each key.
type KeyedRecord struct {
	Offset Offset
	Key    string
	// Value is nil when the key was removed.
	Value []byte
	// LastRevision is set in records of other routers for a removed key: the revision of its
	// last value, nil if it is not known. The log keeps none.
	LastRevision *Revision
	// IsRenewed is set in records of other routers for a value that holds although its revision
	// is lower than one that was known, or its epoch had ended.
	IsRenewed bool
	// IsFinal is set in records of other routers for a key that was removed while the log was
	// available: values of the last epoch do not hold until they are renewed.
	IsFinal bool
}

// KeyedBatch is the result of one read of a keyed stream.
type KeyedBatch struct {
	Records []KeyedRecord
	Next    Offset
	// End is the offset after the newest record of the stream at the time of the read. It is
	// greater than Next if the response was cut at its size limit.
	End Offset
}

// IsCut reports whether the stream held more records than the batch.
func (b KeyedBatch) IsCut() bool { return b.Next < b.End }

// Revision orders the values that the writer of a key has written, whatever the log
// retains of them.
type Revision struct {
	// Epoch rises when the writer starts anew, Number with each value.
	Epoch, Number int64
}

// Compare returns a negative number if r is older than other, 0 if they are equal.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Epoch, other.Epoch), cmp.Compare(r.Number, other.Number))
}

// KeyedLog reads keyed streams of the platform's log.
type KeyedLog interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, stream string) (KeyedBatch, error)
	// Changes returns the records starting at from, as many as fit into one response, and
	// waits at most wait for the first. It fails with an ExpiredError when they are no longer retained, or from is of
	// an earlier history of the log.
	Changes(ctx context.Context, stream string, from Offset, wait time.Duration) (KeyedBatch, error)
}

// KeyedWriter writes keyed streams.
type KeyedWriter interface {
	// Put writes the value of a key; a nil value removes the key.
	Put(ctx context.Context, stream, key string, value []byte) error
}

// Names of the keyed streams.
const (
	// StreamRouters holds the entries of the routers.
	StreamRouters = "routers"
	// StreamOperator holds the operator's configuration and the desired weights
	// versions.
	StreamOperator = "operator"
	// StreamTargets holds the entries of the targets.
	StreamTargets = "targets"
)

// SegmentEvent reports how many tokens of a segment a target or store now has
// cached.
type SegmentEvent struct {
	// Scope is the CacheScope of the cached segment.
	Scope     string
	SegmentID string
	// Tokens is the number of tokens cached now; 0: none.
	Tokens int
}

// SegmentEvents is one read of the changes of a cache.
type SegmentEvents struct {
	// Epoch changes when the cache restarts.
	Epoch uint64
	// Next is the sequence number of the next read.
	Next uint64
	// Lost is set when events before these are missing.
	Lost   bool
	Events []SegmentEvent
}

// SegmentEventReader reads the cache events of targets and stores.
type SegmentEventReader interface {
	// SegmentEvents returns the events from sequence number since on and waits at
	// most wait for the first.
	SegmentEvents(ctx context.Context, address string, since uint64, wait time.Duration) (SegmentEvents, error)
}
