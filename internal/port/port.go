// Package port defines the interfaces between the core and external systems, and
// the message and error types that cross them. Its only dependency on net/http is
// the type of headers.
package port

import (
	"context"
	"time"
)

// History numbers the histories of the platform log. It rises whenever the log returns
// from a copy of an earlier moment: the records since then are lost, and their positions
// are given to others.
type History uint64

// positionBits is the number of bits of an Offset that hold the position. Offsets stay
// below 2^53, which JSON parsers with floating-point numbers need, for 8,191 histories.
const positionBits = 40

// MaxHistory is the largest history that an Offset can hold.
const MaxHistory History = 1<<(64-positionBits) - 1

// MaxPosition is the largest position that an Offset can hold.
const MaxPosition = 1<<positionBits - 1

// Offset is the position of a record in one stream of the platform log, together with the
// history of the log in which it was read. Offsets order by history, then by position.
// Within a history they start at position 1 and are dense; position 0 means "before the
// first record". In the first history, 0, an Offset equals its position.
type Offset uint64

// OffsetHidden asks another router for what a full load of a keyed stream does not tell: the
// keys that were removed, and those whose record in the log is older than the known one. Since
// no record follows it, a router that does not know it answers with none.
const OffsetHidden Offset = 1<<64 - 1

// OffsetAt returns the offset of a position in a history.
func OffsetAt(h History, position uint64) Offset { return Offset(h)<<positionBits | Offset(position) }

// History returns the history in which the offset was read.
func (o Offset) History() History { return History(o >> positionBits) }

// Position returns the position in the stream.
func (o Offset) Position() uint64 { return uint64(o & (1<<positionBits - 1)) }

// IsStart reports whether the offset asks for the first retained record, in whichever
// history the log is.
func (o Offset) IsStart() bool { return o <= 1 }

// Names of the streams that mimosaseam writes to the platform log.
const (
	StreamConfig = "config"
	StreamLedger = "ledger"
	// StreamFleet holds evidence of target crashes for routers that start later.
	StreamFleet = "fleet"
	// StreamOrders holds the claims of the lease for giving orders to engines.
	StreamOrders = "orders"
	// StreamSummary holds hot-prefix summaries for routers that start when no peer
	// is reachable.
	StreamSummary = "summary"
)

// Record is one entry of a log stream. Writers set ID and Data; Offset and
// AppendedAt are set by the log.
type Record struct {
	Offset     Offset
	ID         string
	AppendedAt time.Time
	Data       []byte
	// LastRevision is set in batches of other routers for a removed key: the revision of its
	// last value, nil if the router does not know it.
	LastRevision *Revision
	// IsRenewed is set in such batches for a value that holds although its revision is lower than
	// one that was known, or its epoch had ended: the log has kept it for longer than its writer
	// may be silent.
	IsRenewed bool
	// IsFinal is set in such batches for a key that was removed while the log was available:
	// values of the last epoch do not hold until they are renewed.
	IsFinal bool
}

// Batch is the result of one read: records in offset order, the offset of the
// next read, and the oldest offset that the log retains.
type Batch struct {
	Records []Record
	Next    Offset
	Oldest  Offset
	// End is the offset after the newest record of the stream at the time of the read, 0 if
	// the responder does not say. It is greater than Next if the response was cut.
	End Offset
	// Age is how long ago the peer that served the batch last confirmed with the
	// log that there was no newer record; 0 in batches of the log itself.
	Age time.Duration
}

// ReachesEnd reports whether the stream held no records after the batch. Of a responder that
// does not say where the stream ends, only an empty batch tells.
func (b Batch) ReachesEnd() bool { return len(b.Records) == 0 || b.End > 0 && b.Next >= b.End }

// Log is the platform's append-only log.
type Log interface {
	// Append writes the records atomically and returns the offset of the first.
	// An UnavailableError or a RateLimitedError means that nothing was written.
	// An UnknownOutcomeError means that the records may have been written: the
	// caller reads the stream to find out.
	Append(ctx context.Context, stream string, records []Record) (Offset, error)
	// Read returns at most limit records starting at from, as many as fit into one
	// response, and waits at most wait for the first. It fails with an ExpiredError when from is older than the
	// oldest retained record, or of an earlier history of the log.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Batch, error)
}

// Role is the kind of process that a VM runs.
type Role string

// The roles of VMs in the VM list.
const (
	RoleRouter  Role = "router"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of VMs in the VM list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's VM list.
type VM struct {
	Name             string  `json:"name"`
	Role             Role    `json:"role"`
	Address          string  `json:"address"`
	Region           string  `json:"region"`
	AvailabilityZone string  `json:"availability_zone"`
	State            VMState `json:"state"`
}

// VMSnapshot is the VM list as of a point in time in the past.
type VMSnapshot struct {
	AsOf time.Time `json:"as_of"`
	VMs  []VM      `json:"vms"`
}

// VMList is the platform's list of live and leaving VMs, which lags behind.
type VMList interface {
	List(ctx context.Context) (VMSnapshot, error)
}

// Clock returns the current time. The core uses it instead of time.Now.
type Clock interface {
	Now() time.Time
}

// SystemClock is the wall clock with its monotonic reading.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }
