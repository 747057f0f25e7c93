package gatewaysync

import (
	"context"
	"errors"
	"slices"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// relayInterval is the time between two requests to the router that reads the log on
	// behalf of others, or relays its records. It adds to the age of that router's records;
	// there is at most one relay in between.
	relayInterval = 500 * time.Millisecond
	// relaySlack is the age allowed to a relayed response beyond the times between the
	// reads of the reader and of a relay, for the round trip and a late read. Older ones are rejected.
	relaySlack = 300 * time.Millisecond
	// readerWait replaces operatorWait on a router with followers: an empty response
	// verifies only the time at which it was requested, so what the router serves is
	// verified up to two waits ago.
	readerWait = 500 * time.Millisecond
	// relayTimeout bounds one request, after which the log is read instead.
	relayTimeout = 300 * time.Millisecond
)

// Relay requests the records from the offset on from a router that reads the log itself.
// ok is false if this router is one of those readers.
type Relay func(ctx context.Context, stream string, from port.Offset) (b port.Batch, ok bool, err error)

// wait returns how long the next read waits for new records. The first one after an outage
// does not: until it is answered, nothing is verified.
func (f *Follower) wait() time.Duration {
	if f.logLost {
		return 0
	}
	if f.isUnconfirmed() {
		return min(f.Wait, confirmInterval)
	}
	if f.HasFollowers != nil && f.HasFollowers() {
		return min(f.Wait, readerWait)
	}
	return f.Wait
}

// readRelayed applies the records that another router has read, and reports whether they
// were recent enough. This limits the load of many routers on the log, whose calls then
// grow with the number of availability zones.
func (f *Follower) readRelayed(ctx context.Context) bool {
	if f.Relay == nil || !f.loaded {
		return false
	}
	at := f.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	b, ok, err := f.Relay(ctx, f.Name, f.relayOffset())
	var expired *port.ExpiredError
	switch {
	case !ok:
		f.mayLackHeldBack = f.mayLackHeldBack || f.hasRelay && f.Reset != nil
		f.relayed, f.hasRelay = 0, false
		return false
	case errors.As(err, &expired):
		// The reader started at a later offset: keys that were removed in between are
		// known to the log only.
		f.Logger.Info("log history expired", "stream", f.Name, "next", f.offset(), "why", err.Error())
		f.loaded = false
		return false
	case err != nil:
		f.Logger.Debug("reading the log instead of a peer", "stream", f.Name, "why", err.Error())
		return false
	case b.Age > f.maxRelayedAge() || b.Next < f.offset():
		f.Logger.Debug("reading the log instead of a peer", "stream", f.Name, "age_ms", b.Age.Milliseconds(), "next", b.Next)
		if b.Next < b.End {
			f.relayed = f.offset() // the rest does not fit into one response
		}
		return false
	}
	f.observeAnswer(at.Add(-b.Age))
	f.confirm(ctx)
	f.apply(fromPeer(b), sourcePeer, at.Add(-b.Age))
	f.relayed, f.hasRelay = b.Next, true
	return true
}

// relayOffset returns the offset from which on a relay is asked. Records that were read in
// the log in between are requested again: the log does not tell the revision of a removed
// key, and a relay does not pass on values that say nothing new, so that this router may know
// only an old one.
func (f *Follower) relayOffset() port.Offset {
	next := f.offset()
	if f.relayed == 0 || f.relayed.History() != next.History() {
		f.relayed = next
	}
	return f.relayed
}

// maxRelayedAge returns the age up to which the records of a relay are used.
func (f *Follower) maxRelayedAge() time.Duration {
	return 2*readerWait + f.Interval + relayInterval + relaySlack
}

// readHeldBack reads the entries that relays held back and did not pass on, once this router
// reads the log instead of them. Without it, they would be passed over for good.
func (f *Follower) readHeldBack(ctx context.Context) error {
	if !f.mayLackHeldBack {
		return nil
	}
	batch, err := f.Log.Newest(ctx, f.Name)
	if err != nil {
		return err
	}
	f.mayLackHeldBack = false
	next := f.offset()
	// Later records are read in their order, with the removals before them.
	batch.Records = slices.DeleteFunc(batch.Records, func(r port.KeyedRecord) bool { return r.Offset >= next })
	batch.Next = next
	f.applyRecords(batch, sourceLog)
	return nil
}
