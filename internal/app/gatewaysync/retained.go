package gatewaysync

import (
	"slices"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

// removedRetention is how long the revision of a removed value is kept, to recognize the value
// if it is written late or the log returns from an older copy.
const removedRetention = 5 * time.Minute

// retained is the newest known value of a key.
type retained struct {
	// value is nil when the key was removed.
	value []byte
	// offset is that by which other routers are served.
	offset port.Offset
	// seen is the offset of the newest record that said this. It may be greater than offset:
	// records that say nothing new are not served.
	seen port.Offset
	// revision is that of the value, or of the last one before the key was removed.
	revision    port.Revision
	hasRevision bool
	removedAt   time.Time
	// isFinal is set if the key was removed while the log was available.
	isFinal bool
	// isRenewed is set if the value holds although its revision is lower than one known before,
	// or its epoch had ended.
	isRenewed bool
	// older is an entry that the log holds in place of this one although its revision is lower
	// or its epoch has ended, nil if there is none. olderSince is when the first such entry was
	// read.
	older      *retained
	olderSince time.Time
}

// fromPeer converts a peer's response to keyed records; an empty value removes the key.
func fromPeer(b port.Batch) port.KeyedBatch {
	out := port.KeyedBatch{Next: b.Next, End: b.End}
	for _, r := range b.Records {
		record := port.KeyedRecord{Offset: r.Offset, Key: r.ID, LastRevision: r.LastRevision, IsRenewed: r.IsRenewed, IsFinal: r.IsFinal}
		if len(r.Data) > 0 {
			record.Value = r.Data
		}
		out.Records = append(out.Records, record)
	}
	return out
}

// toPeer converts the entry of a key to a record for another router.
func (k *retained) toPeer(key string) port.Record {
	r := port.Record{Offset: k.offset, ID: key, Data: k.value, IsRenewed: k.isRenewed}
	if k.value == nil && k.hasRevision {
		r.LastRevision, r.IsFinal = &k.revision, k.isFinal
	}
	return r
}

// isHidden reports whether a full load of the log does not tell this entry: it returns no
// removed keys, and of a key the record that was written last.
func (k *retained) isHidden(now time.Time) bool {
	if k.value == nil {
		return k.hasRevision && now.Sub(k.removedAt) < removedRetention
	}
	return k.older != nil || k.isRenewed
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
	now := f.Clock.Now()
	isRestoring := now.Sub(f.restoredAt) < rewriteTimeout
	var out []port.KeyedRecord
	for _, r := range batch.Records {
		known, isKnown := f.newest[r.Key]
		next := f.retain(r, source, now)
		if isKnown && !known.replacedBy(&next, isRestoring) {
			switch {
			case next.seen <= known.seen || known.value != nil && next.revision == known.revision:
			case known.ended(&next):
				f.logDecision("removed key held back", source, &next, &known, r.Key, now)
			default:
				f.logDecision("older record ignored", source, &next, &known, r.Key, now)
			}
			known.ignore(&next, now)
			f.newest[r.Key] = known
			continue
		}
		if isKnown {
			next.inherit(&known, f.next, now)
		}
		if next.value != nil && known.value != nil && f.Unchanged != nil && f.Unchanged(known.value, next.value) {
			next.offset = known.offset
			f.newest[r.Key] = next
			continue
		}
		switch {
		case !isKnown || known.value != nil:
		case next.value != nil:
			f.logDecision("removed key written again", source, &next, &known, r.Key, now)
		case known.older != nil && next.older == nil:
			f.logDecision("held back record removed", source, &next, known.older, r.Key, now)
		}
		f.newest[r.Key] = next
		out = append(out, r)
	}
	return out
}

// logDecision logs what tells a late record from one of a writer that is back: the order of
// the log and the order in which the writer counts.
func (f *Follower) logDecision(decision, source string, next, known *retained, key string, now time.Time) {
	age := int64(-1)
	if known.value == nil {
		age = now.Sub(known.removedAt).Milliseconds()
	}
	f.Logger.Info(decision, "stream", f.Name, "key", key, "from", source, "removal", next.value == nil,
		"history", next.seen.History(), "position", next.seen.Position(), "revision", next.revision,
		"known_history", known.seen.History(), "known_position", known.seen.Position(), "known_revision", known.revision,
		"removed_ms", age, "final", known.isFinal)
}

// retain returns the entry of a record.
func (f *Follower) retain(r port.KeyedRecord, source string, now time.Time) retained {
	next := retained{value: r.Value, offset: r.Offset, seen: r.Offset, isRenewed: r.IsRenewed, isFinal: r.IsFinal}
	switch {
	case r.Value == nil:
		next.removedAt = now
		next.isFinal = next.isFinal || source == sourceLog && f.isFinal(r.Key, now)
		if r.LastRevision != nil {
			next.revision, next.hasRevision = *r.LastRevision, true
		}
	case f.Revision != nil:
		next.revision, next.hasRevision = f.Revision(r.Key, r.Value)
	}
	return next
}

// replacedBy reports whether a newer entry replaces this one. The revision orders the values
// of a writer, wherever the log holds them: a write without a response may be executed
// seconds later, behind newer ones and behind the removal. A removal is the log's own: it
// ends what the log held before it, and the epoch of its value if it is final. Entries without
// a revision are ordered by the log.
//
// Between histories, the revision holds only while the writers may still have to write again;
// then the history does: a revision that is too large must not keep all later values out.
func (k *retained) replacedBy(next *retained, isRestoring bool) bool {
	isLater := next.seen >= k.seen
	isSameHistory := next.seen.History() == k.seen.History()
	switch {
	case !isSameHistory && !isRestoring:
		return isLater
	case k.ended(next):
		return next.isRenewed && next.seen > k.seen
	case !next.hasRevision || !k.hasRevision:
		return isLater
	}
	order := next.revision.Compare(k.revision)
	switch {
	case next.value == nil:
		return isLater || k.value != nil && (order >= 0 || next.ended(k) && !k.isRenewed)
	case order > 0:
		return isLater || !isSameHistory || k.value != nil
	case order == 0 && k.value != nil:
		return isLater && isSameHistory
	}
	return next.isRenewed && isSameHistory && next.seen > k.seen
}

// ended reports whether this entry is a final removal of the epoch in which a value was written,
// or may be: the revision of what was removed is not known if another writer's value hid it.
func (k *retained) ended(value *retained) bool {
	return k.value == nil && k.isFinal && value.value != nil && value.hasRevision && (!k.hasRevision || value.revision.Epoch == k.revision.Epoch)
}

// inherit takes over what still holds of the entry that is replaced. next is the offset from
// which other routers read on.
func (k *retained) inherit(old *retained, next port.Offset, now time.Time) {
	if k.value == nil && old.value == nil {
		// This removes an entry that was held back, or another router told the same removal.
		k.isFinal = k.isFinal || old.isFinal && (!k.hasRevision || k.revision.Epoch == old.revision.Epoch)
		if old.older != nil && old.older.seen > k.seen {
			k.older, k.olderSince = old.older, old.olderSince
		}
	}
	if !k.hasRevision || k.value == nil && old.hasRevision && old.revision.Compare(k.revision) > 0 {
		k.revision, k.hasRevision = old.revision, old.hasRevision
	}
	if k.offset < old.offset {
		k.offset = next // other routers may have read on behind it
	}
	if k.seen < old.seen && old.value != nil {
		old.older = nil
		k.older, k.olderSince = old, now // another router told of a newer entry than the log holds
	}
}

// ignore takes over what an entry says that does not replace this one.
func (k *retained) ignore(next *retained, now time.Time) {
	switch {
	case !next.hasRevision && next.value == nil:
	case k.value == nil && next.seen <= k.seen:
		// Both a removal and a value before it tell what was removed.
		if next.hasRevision && (!k.hasRevision || next.revision.Compare(k.revision) > 0) {
			k.revision, k.hasRevision = next.revision, true
		}
	case next.value == nil:
	case k.value != nil && k.revision == next.revision && next.seen.History() > k.seen.History():
		// The log holds the known value again. Other routers learn it by the offset.
		k.seen, k.offset = next.seen, next.offset
	case next.seen > k.seen:
		if k.older == nil {
			k.olderSince = now
		}
		k.older = next
	}
}

// renew accepts values that were ignored or held back and that the log has held for long: it
// removes those whose writers are silent. A writer that is not may have no reason to write
// another record, or the known revision is not its own. Streams whose keys are never removed
// are left as they are. All records that the log held at the given time must have been read.
func (f *Follower) renew(at time.Time) {
	if f.Reset == nil {
		return
	}
	now := f.Clock.Now()
	var renewed []port.KeyedRecord
	f.mu.Lock()
	for key, known := range f.newest {
		if known.older == nil || at.Before(f.renewsAt(&known)) || at.Sub(f.regainedAt) < f.renewalTimeout() {
			continue
		}
		if known.value != nil && f.Unchanged != nil && f.Unchanged(known.value, known.older.value) {
			known.older = nil
			f.newest[key] = known
			continue
		}
		next := *known.older
		next.isRenewed, next.offset = true, f.next
		f.logDecision("older record renewed", sourceLog, &next, &known, key, now)
		f.newest[key] = next
		renewed = append(renewed, port.KeyedRecord{Offset: next.seen, Key: key, Value: next.value})
	}
	f.mu.Unlock()
	for _, r := range renewed {
		f.Apply(r)
	}
}

// hasReturned reports whether a batch has a value of a key that was removed before it.
func (f *Follower) hasReturned(batch port.KeyedBatch) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	removed := map[string]bool{}
	for _, r := range batch.Records {
		known, isKnown := f.newest[r.Key]
		switch {
		case r.Value == nil:
			removed[r.Key] = true
		case removed[r.Key], isKnown && known.value == nil:
			return true
		}
	}
	return false
}

// forget drops what a full load does not confirm: all keys but those that it returned. Where
// no key is ever removed, known values stay.
func (f *Follower) forget(keys map[string]bool, next port.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.since = next
	if f.Reset == nil {
		return
	}
	now := f.Clock.Now()
	for key, known := range f.newest {
		switch {
		case keys[key]:
		case known.value == nil && now.Sub(known.removedAt) < removedRetention:
			known.older = nil
			f.newest[key] = known
		case known.value != nil && known.seen.History() == next.History():
			// Removed since the last read, after the known revision.
			f.newest[key] = retained{offset: next, seen: next - 1, revision: known.revision, hasRevision: known.hasRevision, removedAt: now, isFinal: f.isFinal(key, now)}
		default:
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
		if known.value != nil && known.hasRevision && known.seen.History() < f.next.History() {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}
