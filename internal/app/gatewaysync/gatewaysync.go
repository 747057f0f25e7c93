// Package gatewaysync keeps a gateway's configuration and target entries up to date: it
// follows the operator's stream and the targets' entries on the platform's log.
package gatewaysync

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// operatorWait is how long a read of the operator's stream waits for new records.
	// An empty response verifies only the time of the question, so the last verification
	// is up to twice as old. Keys must be verified several times within the 5 s after
	// which a revoked key must not be served, and the transfer of cached prompt parts
	// ends 2 s after the last verification.
	operatorWait = 800 * time.Millisecond
	// maxTargetsInterval is the upper bound of the time between two reads of the targets'
	// entries. readsPerLeavingBound is the number of reads within the time after which a
	// leaving target must get no more requests.
	maxTargetsInterval   = 800 * time.Millisecond
	readsPerLeavingBound = 3
	// failurePause is the mean pause after a failed read.
	failurePause = 150 * time.Millisecond
	// rewriteTimeout is how long the writers of lost values have to write them again. After
	// it, the known values count as the newest: a writer that never does must not keep
	// requests with keys from being served.
	rewriteTimeout = 10 * time.Second
	// confirmTimeout is how long a router that has read a restored log as a whole waits for
	// another one to say what it knows, and confirmInterval the time between its questions.
	confirmTimeout  = 2 * time.Second
	confirmInterval = 200 * time.Millisecond
	// peerTimeout bounds the read from other routers.
	peerTimeout = 500 * time.Millisecond
)

// Follower reads one keyed stream and applies its records.
type Follower struct {
	Log    port.KeyedLog
	Name   string
	Logger *slog.Logger
	// Clock also counts the time for which the VM was suspended.
	Clock port.Clock
	// Wait is how long a read waits for new records, Interval the pause between reads.
	Wait     time.Duration
	Interval time.Duration
	// Heartbeat is the time between two writes of a value by its writer, where the log removes
	// the values of silent writers.
	Heartbeat time.Duration
	// Apply is called with each record; a Value of nil removes the key.
	Apply func(r port.KeyedRecord)
	// Reset is called after a full load with the complete set of keys.
	Reset func(keys map[string]bool)
	// Unchanged reports whether a newer value of a key says the same as an older one; nil:
	// each one says something new. Such values are neither applied nor served to others:
	// targets rewrite their entries every second or so.
	Unchanged func(older, newer []byte) bool
	// Revision returns the revision of a value; ok is false for a value that has none. Values
	// of older revisions than the known one are ignored: they were written late, or the log
	// returned from an older copy. nil: no value has one.
	Revision func(key string, value []byte) (r port.Revision, ok bool)
	// IsSilent reports whether the writer of a key owes this router a response; nil: unknown.
	IsSilent func(key string) bool
	// OnVerified is called with a time at which the applied records were the newest.
	OnVerified func(at time.Time)

	// Peers requests the records from the offset on from other routers; nil: no peers.
	Peers func(ctx context.Context, stream string, from port.Offset) []port.Batch
	// IsLogOnly is set if records of peers do not stand in for those of the log during an
	// outage. Peers are still asked for those that the log hides.
	IsLogOnly bool
	// Relay requests the records from a router that reads the log on behalf of its
	// neighbours; nil: this router always reads the log itself.
	Relay Relay
	// HasFollowers reports whether other routers read from this one.
	HasFollowers func() bool

	mu      sync.Mutex
	next    port.Offset
	loaded  bool
	logLost bool
	// behind is set while responses of the log are cut before the end of the stream. It is
	// accessed by Run only.
	behind *backlog
	// relayed is the offset up to which a relay has told everything, 0: this router has read
	// everything itself. It is accessed by Run only.
	relayed port.Offset
	// hasRelay is set while relays tell this router's records. It is accessed by Run only.
	hasRelay bool
	// mayLackHeldBack is set until a router that has read from relays, and now reads the log, has
	// read the entries that they had not passed on. It is accessed by Run only.
	mayLackHeldBack bool
	// newest and verified are served to other routers.
	newest   map[string]retained
	verified time.Time
	// since is the offset from which on newest includes removed keys.
	since port.Offset
	// regainedAt is when the log was last lost or regained. It is accessed by Run only.
	regainedAt time.Time
	// answeredAt is when the last read was sent that the log has answered, or the first read.
	// unavailableAt is when the log answered again after an outage. They are accessed by Run only.
	answeredAt, unavailableAt time.Time
	// restoredAt is when the log was first seen in its current history.
	restoredAt time.Time
	// unconfirmedSince is when the log was read as a whole, or otherwise without records before
	// those read, zero once another router has said what it knows: the newest record of a key
	// may have been written late, and a restored log may lack records.
	unconfirmedSince time.Time
}

// backlog is the part of the stream that a cut response left unread.
type backlog struct {
	// end is the end of the stream at the time asked. Once it is reached, the known values
	// were the newest at that time.
	end   port.Offset
	asked time.Time
	since time.Time
}

// Operator configures the follower for the operator's stream and returns it.
func Operator(f *Follower) *Follower {
	f.Name, f.Wait = port.StreamOperator, operatorWait
	return f
}

// TargetsInterval returns the time between two reads of the targets' entries. leaving is
// the time after which a leaving target must get no more requests.
func TargetsInterval(leaving time.Duration) time.Duration {
	return min(maxTargetsInterval, leaving/readsPerLeavingBound)
}

// TargetsStaleness returns the maximum age of the known target entries while the log is
// available: the interval of a reader's reads and those of the requests to it and to a relay.
func TargetsStaleness(leaving time.Duration) time.Duration {
	return TargetsInterval(leaving) + 2*relayInterval
}

// Targets configures the follower for the targets' entries and returns it. heartbeat is the time
// between two writes of an entry by its target.
func Targets(f *Follower, interval, heartbeat time.Duration) *Follower {
	f.Name, f.Interval, f.Heartbeat = port.StreamTargets, interval, heartbeat
	return f
}

// Run follows the stream until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for {
		pause, before := f.Interval, f.offset()
		if f.readRelayed(ctx) {
			f.setLost(false, nil)
			pause = relayInterval
		} else if err := f.read(ctx); err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			f.setLost(true, err)
			f.readFromPeers(ctx)
			pause = time.Duration((0.5 + rand.Float64()) * float64(failurePause))
		} else {
			f.setLost(false, nil)
		}
		if f.behind != nil && f.offset() > before {
			continue // the rest is there already
		}
		if err := ctxtime.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// setLost logs each change of the log's availability once.
func (f *Follower) setLost(lost bool, err error) {
	if f.logLost == lost {
		return
	}
	f.logLost = lost
	f.regainedAt = f.Clock.Now()
	if lost {
		f.Logger.Warn("dependency lost", "stream", f.Name, "error", err.Error())
		return
	}
	f.Logger.Info("dependency regained", "stream", f.Name, "next", f.next)
}

func (f *Follower) read(ctx context.Context) error {
	at := f.Clock.Now()
	if f.answeredAt.IsZero() {
		f.answeredAt = at
	}
	if !f.loaded {
		return f.load(ctx, at)
	}
	batch, err := f.Log.Changes(ctx, f.Name, f.next, f.wait())
	var expired *port.ExpiredError
	var invalid *port.BadRequestError
	if errors.As(err, &expired) || errors.As(err, &invalid) {
		f.Logger.Info("log history expired", "stream", f.Name, "next", f.next, "why", err.Error())
		f.loaded = false
		return f.load(ctx, f.Clock.Now())
	}
	if err != nil {
		return err
	}
	f.observeAnswer(at)
	if f.relayed != 0 && f.hasReturned(batch) {
		f.unconfirmedSince = f.Clock.Now() // a relay may know a later revision of the removed value
	}
	f.confirm(ctx)
	f.apply(batch, sourceLog, at)
	return f.readHeldBack(ctx)
}

// apply applies a response to a request whose End was the end of the stream at the given
// time.
func (f *Follower) apply(batch port.KeyedBatch, source string, at time.Time) {
	f.applyRecords(batch, source)
	f.reach(batch, at)
}

// reach verifies the known values after a response. A response may be cut: only one that
// reaches the end of the stream tells the newest values. While the log grows faster than it
// is read, reaching an end that an earlier response named verifies the time of that one.
func (f *Follower) reach(batch port.KeyedBatch, at time.Time) {
	if !batch.IsCut() {
		if f.behind != nil {
			f.Logger.Info("records read to the end", "stream", f.Name, "next", batch.Next, "ms", f.Clock.Now().Sub(f.behind.since).Milliseconds())
		}
		f.behind = nil
		f.renew(at)
		f.verify(at)
		return
	}
	switch {
	case f.behind == nil:
		f.Logger.Info("records cut", "stream", f.Name, "next", batch.Next, "end", batch.End)
		f.behind = &backlog{end: batch.End, asked: at, since: f.Clock.Now()}
	case batch.Next >= f.behind.end:
		f.verify(f.behind.asked)
		f.behind.end, f.behind.asked = batch.End, at
	}
}

// load reads the newest record of each key.
func (f *Follower) load(ctx context.Context, at time.Time) error {
	batch, err := f.Log.Newest(ctx, f.Name)
	if err != nil {
		return err
	}
	f.observeAnswer(at)
	keys := map[string]bool{}
	for _, r := range batch.Records {
		keys[r.Key] = true
	}
	isStart, isRestored := f.offset() == 0, batch.Next.History() > 0
	f.behind, f.relayed = nil, 0
	f.forget(keys, batch.Next)
	if f.Peers != nil {
		f.unconfirmedSince = f.Clock.Now()
	}
	if !isStart && !isRestored {
		f.confirm(ctx) // before a late record is used
	}
	f.applyRecords(batch, sourceLog)
	if isRestored {
		f.confirm(ctx)
	}
	f.verify(at)
	if f.Reset != nil {
		f.Reset(keys)
	}
	f.loaded = true
	return nil
}

func (f *Follower) applyRecords(batch port.KeyedBatch, source string) {
	older, newer := f.offset(), batch.Next
	if older.History() != newer.History() {
		f.mu.Lock()
		f.restoredAt = f.Clock.Now()
		f.mu.Unlock()
		f.unavailableAt = f.restoredAt
		f.behind = nil // the records up to its end are lost
	}
	batch.Records = f.accept(batch, source)
	for _, r := range batch.Records {
		f.Apply(r)
	}
	if older.History() == newer.History() || older == 0 {
		return
	}
	f.Logger.Warn("log history changed", "stream", f.Name, "old", older.History(), "new", newer.History(),
		"old_position", older.Position(), "position", newer.Position(), "from", source,
		"applied", len(batch.Records), "awaited", f.awaited())
}

// verify records that the known values were the newest at a time, unless the log lacks one
// of them: its writer then writes again, and possibly more than this router knows of.
func (f *Follower) verify(at time.Time) {
	if f.isUnconfirmed() {
		return
	}
	awaited := f.awaited()
	f.mu.Lock()
	if len(awaited) > 0 && f.Clock.Now().Sub(f.restoredAt) < rewriteTimeout {
		f.mu.Unlock()
		return
	}
	if at.After(f.verified) {
		f.verified = at
	}
	f.mu.Unlock()
	if f.OnVerified != nil {
		f.OnVerified(at)
	}
}

// readFromPeers applies the newest records of other routers while this router cannot read
// the log. A peer's verification time is accepted: the age of its records is counted from
// before the request, so that nothing counts as newer than it is.
func (f *Follower) readFromPeers(ctx context.Context) {
	if f.Peers == nil || f.IsLogOnly {
		return
	}
	at := f.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var best *port.Batch
	for _, b := range f.Peers(ctx, f.Name, f.offset()) {
		if b.Next >= f.offset() && (best == nil || b.Age < best.Age) {
			best = &b
		}
	}
	if best == nil {
		return
	}
	batch := fromPeer(*best)
	f.Logger.Info("records from a peer", "stream", f.Name, "records", len(batch.Records), "next", best.Next, "age_ms", best.Age.Milliseconds())
	f.apply(batch, sourcePeer, at.Add(-best.Age))
}

// isUnconfirmed reports whether a restored log may lack values that other routers may still
// name.
func (f *Follower) isUnconfirmed() bool {
	return f.offset().History() > 0 && !f.unconfirmedSince.IsZero() && f.Clock.Now().Sub(f.unconfirmedSince) < confirmTimeout
}

// confirm applies what other routers know and a full load of the log may not tell, but
// continues to read the log where it was. A starting router knows no others at first, so that
// it asks again until one has answered or the writers have had the time to write again.
func (f *Follower) confirm(ctx context.Context) {
	if f.unconfirmedSince.IsZero() {
		return
	}
	if f.Clock.Now().Sub(f.unconfirmedSince) >= rewriteTimeout {
		f.unconfirmedSince = time.Time{}
		return
	}
	from := port.OffsetHidden
	if f.offset().History() > 0 && f.Reset == nil {
		from = 0
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	for _, b := range f.Peers(ctx, f.Name, from) {
		batch := fromPeer(b)
		for i := range batch.Records {
			batch.Records[i].IsFinal = batch.Records[i].IsFinal && b.Age <= f.maxRelayedAge()
		}
		isCut := batch.IsCut()
		batch.Next = f.offset()
		f.applyRecords(batch, sourcePeer)
		if !isCut {
			f.unconfirmedSince = time.Time{}
		}
	}
}

func (f *Follower) offset() port.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// Records returns the records from the offset on to another router that does not or cannot
// read the log, or the hidden ones to one that has read the log as a whole. It fails with an
// ExpiredError if keys may have been removed without either router having read the removal.
func (f *Follower) Records(_ context.Context, stream string, from port.Offset, _ int) (port.Batch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if stream != f.Name || f.verified.IsZero() {
		return port.Batch{}, &port.NotFoundError{Peer: "router", Name: stream}
	}
	if f.Reset != nil && from < f.since {
		return port.Batch{}, &port.ExpiredError{Stream: stream, From: from, Oldest: f.since}
	}
	now := f.Clock.Now()
	b := port.Batch{Next: f.next, End: f.next, Age: now.Sub(f.verified)}
	for key, k := range f.newest {
		if k.offset >= from || from == port.OffsetHidden && k.isHidden(now) {
			b.Records = append(b.Records, k.toPeer(key))
		}
	}
	// A response that is cut is continued at the offset of its first missing record.
	slices.SortFunc(b.Records, func(x, y port.Record) int { return cmp.Compare(x.Offset, y.Offset) })
	return b, nil
}
