package ledger

import (
	"cmp"
	"slices"
	"time"
)

// entryOverheadBytes approximates the memory of an entry without its strings and
// body.
const entryOverheadBytes = 512

func (e *Entry) size() int {
	n := entryOverheadBytes + len(e.Key.Account) + len(e.Key.Value) + len(e.BodyHash) + len(e.Attempt) + e.outcomeSize()
	for _, list := range [][]string{e.Previous, e.Closed} {
		for _, text := range list {
			n += len(text)
		}
	}
	return n
}

// outcomeSize is the size of the body and the headers of the outcome.
func (e *Entry) outcomeSize() int {
	n := len(e.ResultBody)
	for name, values := range e.ResultHeaders {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Prune removes the entries that have expired by the log's time.
func (s *State) Prune() {
	for k, e := range s.entries {
		if e.Expires.Before(s.logTime) {
			s.bytes -= e.size()
			s.outcomeBytes -= e.outcomeSize()
			delete(s.entries, k)
		}
	}
}

// DueCarries returns at most limit entries that must be carried forward because
// their oldest record was appended before the given time, oldest first. Open
// entries are not carried, because an absent key is open as well.
func (s *State) DueCarries(before time.Time, limit int) []Carry {
	var due []*Entry
	for _, e := range s.entries {
		if e.Status != Open && e.oldestRecordAt.Before(before) && !e.Expires.Before(s.logTime) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *Entry) int {
		return cmp.Or(a.oldestRecordAt.Compare(b.oldestRecordAt), cmp.Compare(a.Offset, b.Offset))
	})
	carries := make([]Carry, 0, min(limit, len(due)))
	for _, e := range due[:min(limit, len(due))] {
		carries = append(carries, Carry{Entry: *e, Through: s.applied})
	}
	return carries
}
