package gatewaysync

import (
	"slices"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

// removedRetention is how long the revision of a removed value is kept, to recognize the
// value if the log returns from an older copy.
const removedRetention = 5 * time.Minute

// retained is the newest known value of a key.
type retained struct {
	// value is nil when the key was removed.
	value []byte
	// offset is that of the record, by which other routers are served.
	offset port.Offset
	// history is the newest one in which the log held the value.
	history port.History
	// revision is that of the value, or of the last one before the key was removed.
	revision    port.Revision
	hasRevision bool
	removedAt   time.Time
}

// fromPeer converts a peer's response to keyed records; an empty value removes the key.
func fromPeer(b port.Batch) port.KeyedBatch {
	out := port.KeyedBatch{Next: b.Next, End: b.End}
	for _, r := range b.Records {
		record := port.KeyedRecord{Offset: r.Offset, Key: r.ID}
		if len(r.Data) > 0 {
			record.Value = r.Data
		}
		out.Records = append(out.Records, record)
	}
	return out
}

// accept stores the records of a batch that say something new, to serve them to other
// routers, and returns them. source names where the batch was read.
func (f *Follower) accept(batch port.KeyedBatch, source string) []port.KeyedRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = batch.Next
	if f.newest == nil {
		f.newest = map[string]retained{}
	}
	var out []port.KeyedRecord
	for _, r := range batch.Records {
		known, isKnown := f.newest[r.Key]
		next := f.retain(r, known)
		if isKnown && !supersedes(next, known, f.Clock.Now().Sub(f.restoredAt) < rewriteTimeout) {
			if known.value != nil && known.revision == next.revision && next.history > known.history {
				// The log holds the known value again. Other routers learn it by the offset.
				known.history, known.offset = next.history, next.offset
				f.newest[r.Key] = known
			}
			f.logDecision("older record ignored", source, r, next, known)
			continue
		}
		if r.Value != nil && known.value != nil && f.Unchanged != nil && f.Unchanged(known.value, r.Value) {
			known.history, known.revision, known.hasRevision = next.history, next.revision, next.hasRevision
			f.newest[r.Key] = known
			continue
		}
		if isKnown && known.value == nil && next.value != nil {
			f.logDecision("removed key written again", source, r, next, known)
		}
		f.newest[r.Key] = next
		out = append(out, r)
	}
	return out
}

// logDecision logs what tells a late record from one of a writer that is back: the order of
// the log and the order in which the writer counts.
func (f *Follower) logDecision(decision, source string, r port.KeyedRecord, next, known retained) {
	age := int64(-1)
	if known.value == nil {
		age = f.Clock.Now().Sub(known.removedAt).Milliseconds()
	}
	f.Logger.Info(decision, "stream", f.Name, "key", r.Key, "from", source, "removal", next.value == nil,
		"history", next.history, "position", next.offset.Position(), "revision", next.revision,
		"known_history", known.history, "known_position", known.offset.Position(), "known_revision", known.revision,
		"removed_ms", age)
}

// retain returns the entry of a record whose key has the known entry.
func (f *Follower) retain(r port.KeyedRecord, known retained) retained {
	next := retained{value: r.Value, offset: r.Offset, history: r.Offset.History()}
	switch {
	case r.Value == nil:
		next.revision, next.hasRevision, next.removedAt = known.revision, known.hasRevision, f.Clock.Now()
	case f.Revision != nil:
		next.revision, next.hasRevision = f.Revision(r.Key, r.Value)
	}
	return next
}

// supersedes reports whether an entry replaces the known one. Within a history the order of
// the log decides, also among records of other routers, which lag behind each other. Between
// histories only the revision tells, and without one the history. Once the writers have had
// the time to write again, the history tells: a revision that is too large must not keep all
// later values out.
func supersedes(next, known retained, isRestoring bool) bool {
	switch {
	case next.history == known.history:
		return next.offset >= known.offset
	case isRestoring && next.value != nil && next.hasRevision && known.hasRevision:
		return next.revision.Compare(known.revision) > 0
	default:
		return next.history > known.history
	}
}

// forget drops what a full load does not confirm: all keys but those that it returned. Where
// no key is ever removed, known values stay.
func (f *Follower) forget(keys map[string]bool, next port.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.since = next
	now := f.Clock.Now()
	for key, known := range f.newest {
		isRecent := known.value == nil && now.Sub(known.removedAt) < removedRetention
		if f.Reset != nil && !keys[key] && !isRecent {
			delete(f.newest, key)
		}
	}
}

// awaited returns the keys whose known value the log does not hold in its current history.
func (f *Follower) awaited() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Reset != nil {
		return nil // what the log lacks is gone
	}
	var out []string
	for key, known := range f.newest {
		if known.value != nil && known.hasRevision && known.history < f.next.History() {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}
