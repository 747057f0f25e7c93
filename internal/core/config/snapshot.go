package config

import (
	"bytes"
	"cmp"
	"crypto/ed25519"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/port"
)

// SnapshotRecord is the data of a snapshot record: the whole state after the
// record at offset Through.
type SnapshotRecord struct {
	Through port.Offset     `json:"through"`
	Entries []SnapshotEntry `json:"entries"`
	// Seen holds the decided changes retained to detect duplicates, by offset.
	Seen []SeenChange `json:"seen,omitempty"`
}

// SnapshotEntry is the last accepted change of a path. Value is absent for a
// deleted path.
type SnapshotEntry struct {
	Path     string          `json:"path"`
	Revision port.Offset     `json:"revision"`
	ID       string          `json:"id"`
	Author   string          `json:"author"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// SeenChange is a decided change, identified by a hash of its author and id.
type SeenChange struct {
	Key    []byte      `json:"key"`
	Offset port.Offset `json:"offset"`
	Reason Reason      `json:"reason,omitempty"`
}

// IsSnapshot reports whether the data is a snapshot record, whether or not it is
// usable.
func IsSnapshot(data []byte) bool {
	var probe struct {
		Through *json.RawMessage `json:"through"`
	}
	return json.Unmarshal(data, &probe) == nil && probe.Through != nil
}

// EncodeSnapshot encodes the state as the data of a snapshot record. Equal states
// give equal bytes.
func (s *State) EncodeSnapshot() ([]byte, error) {
	rec := SnapshotRecord{Through: s.applied, Entries: []SnapshotEntry{}}
	for _, path := range sortedKeys(s.entries) {
		e := s.entries[path]
		rec.Entries = append(rec.Entries, SnapshotEntry{Path: path, Revision: e.revision, ID: e.id, Author: e.author, Value: e.value})
	}
	for _, key := range s.seenOrder {
		e := s.seen[key]
		rec.Seen = append(rec.Seen, SeenChange{Key: key[:], Offset: e.offset, Reason: e.reason})
	}
	data, err := json.Marshal(rec)
	if err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	return data, nil
}

// DecodeSnapshot restores the state from a snapshot record. It fails with
// ErrSnapshotUnusable if any part of the record is invalid.
func DecodeSnapshot(systemKey ed25519.PublicKey, data []byte) (*State, error) {
	var rec SnapshotRecord
	if err := decodeStrict(data, maxSnapshotBytes, &rec); err != nil {
		return nil, eris.Wrap(ErrSnapshotUnusable, err.Error())
	}
	s := NewState(systemKey)
	s.applied = rec.Through
	// Values refer only to values of earlier kinds in this order.
	for _, kind := range []Kind{KindTeam, KindPool, KindRoute, KindAccount} {
		for _, e := range rec.Entries {
			path, err := ParsePath(e.Path)
			if err != nil {
				return nil, eris.Wrap(ErrSnapshotUnusable, err.Error())
			}
			if path.Kind == kind {
				if err := s.restoreEntry(path, e); err != nil {
					return nil, eris.Wrap(ErrSnapshotUnusable, err.Error())
				}
			}
		}
	}
	return s, s.restoreSeen(rec.Seen)
}

func (s *State) restoreEntry(path Path, e SnapshotEntry) error {
	if _, twice := s.entries[e.Path]; twice || e.Revision == 0 || e.Revision > s.applied {
		return eris.Wrapf(ErrSnapshotUnusable, "duplicate path %s or invalid revision %d", e.Path, e.Revision)
	}
	next := entry{revision: e.Revision, id: e.ID, author: e.Author}
	if e.Value == nil {
		s.restoreTombstone(e)
	} else {
		value, err := canonicalJSON(e.Value)
		if err != nil {
			return err
		}
		if _, ok := s.teams[path.Ref.Team]; !ok && path.Kind != KindTeam {
			return &UnknownTeamError{Path: e.Path, Team: path.Ref.Team}
		}
		if err := s.set(path, value); err != nil {
			return err
		}
		next.value = value
	}
	s.entries[e.Path] = next
	return nil
}

// restoreTombstone keeps the tombstones in order of the deletion's offset, as in
// a state that followed the log.
func (s *State) restoreTombstone(e SnapshotEntry) {
	at, _ := slices.BinarySearchFunc(s.tombstones, e.Revision, func(t tombstone, revision port.Offset) int {
		return cmp.Compare(t.revision, revision)
	})
	s.tombstones = slices.Insert(s.tombstones, at, tombstone{e.Path, e.Revision})
}

func (s *State) restoreSeen(list []SeenChange) error {
	last := port.Offset(0)
	for _, c := range list {
		if len(c.Key) != len(seenKey{}) || c.Offset <= last || c.Offset > s.applied {
			return eris.Wrapf(ErrSnapshotUnusable, "invalid seen change at offset %d", c.Offset)
		}
		last = c.Offset
		s.recordSeen(seenKey(c.Key), seenEntry{offset: c.Offset, reason: c.Reason})
	}
	return nil
}

// ConsistentWith reports whether this state agrees with an earlier one, read from
// a snapshot record, on all paths that did not change since.
func (s *State) ConsistentWith(earlier *State) bool {
	for path, e := range s.entries {
		old, ok := earlier.entries[path]
		if e.revision <= earlier.applied && (!ok || old.revision != e.revision || !bytes.Equal(old.value, e.value)) {
			return false
		}
	}
	for path, e := range earlier.entries {
		if _, ok := s.entries[path]; !ok && e.value != nil {
			return false
		}
	}
	return earlier.applied <= s.applied
}

// Compile returns the state as an immutable snapshot that shares no mutable
// memory with the state or with other snapshots.
func (s *State) Compile() *Snapshot {
	out := &Snapshot{
		Applied:   s.applied,
		Teams:     maps.Clone(s.teams),
		Pools:     maps.Clone(s.pools),
		Routes:    maps.Clone(s.routes),
		Accounts:  maps.Clone(s.accounts),
		Revisions: make(map[string]port.Offset, len(s.entries)),
	}
	for ref, pool := range out.Pools {
		pool.Targets = slices.Clone(pool.Targets)
		out.Pools[ref] = pool
	}
	for ref, account := range out.Accounts {
		account.KeySHA256 = slices.Clone(account.KeySHA256)
		account.Routes = slices.Clone(account.Routes)
		out.Accounts[ref] = account
	}
	for path, e := range s.entries {
		if e.value != nil {
			out.Revisions[strings.Clone(path)] = e.revision
		}
	}
	return out
}
