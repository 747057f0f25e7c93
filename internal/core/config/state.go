package config

import (
	"crypto/ed25519"
	"crypto/sha256"
	"errors"
	"slices"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Reason is the reason why a record did not change the configuration.
type Reason string

// The reasons for which a record is rejected or ignored.
const (
	ReasonMalformed    Reason = "malformed"
	ReasonUnknownPath  Reason = "unknown_path"
	ReasonNotOwner     Reason = "not_owner"
	ReasonBadSignature Reason = "bad_signature"
	ReasonDuplicate    Reason = "duplicate"
	ReasonConflict     Reason = "conflict"
	ReasonInvalid      Reason = "invalid"
	// ReasonSnapshot is the reason for snapshot records, which a state that
	// follows the log ignores.
	ReasonSnapshot Reason = "snapshot"
	// ReasonOutOfOrder is the reason for a record whose offset is not the next
	// one. The state is left unchanged.
	ReasonOutOfOrder Reason = "out_of_order"
)

// Decision is the decision on one record.
type Decision struct {
	Offset  port.Offset
	At      time.Time // when the record was appended to the log
	ID      string
	Author  string
	Path    string
	Deleted bool
	// Accepted is true if the change was applied. Otherwise Reason is set, and Err
	// holds a typed error if there are details.
	Accepted bool
	Reason   Reason
	Err      error
}

const (
	// maxSeen is the number of decided changes retained to detect duplicates: one
	// and a half days at 11,000 changes a day.
	maxSeen = 16384
	// maxTombstones is the number of deleted paths retained to report the deletion
	// in conflicts.
	maxTombstones = 1024
)

// entry is the last accepted change of a path.
type entry struct {
	value    []byte // canonical JSON without defaults filled in; nil if deleted
	revision port.Offset
	id       string
	author   string
}

// seenKey is a truncated hash of the author and id of a change.
type seenKey [16]byte

// seenEntry is the decision on a change that was already processed.
type seenEntry struct {
	offset port.Offset
	reason Reason // empty: accepted
}

// State is the configuration that results from applying the records of the config
// stream in order. It is not safe for concurrent use.
type State struct {
	systemKey  ed25519.PublicKey
	applied    port.Offset
	teams      map[string]Team
	pools      map[Ref]Pool
	routes     map[Ref]Route
	accounts   map[Ref]Account
	entries    map[string]entry
	keyOwner   map[string]Ref // API key hash to account
	seen       map[seenKey]seenEntry
	seenOrder  []seenKey   // by offset
	tombstones []tombstone // by revision
}

// tombstone is a deleted path and the offset of the deletion.
type tombstone struct {
	path     string
	revision port.Offset
}

// NewState returns the state before the first record. systemKey is the public
// key of team system.
func NewState(systemKey ed25519.PublicKey) *State {
	return &State{
		systemKey: systemKey,
		teams:     map[string]Team{},
		pools:     map[Ref]Pool{},
		routes:    map[Ref]Route{},
		accounts:  map[Ref]Account{},
		entries:   map[string]entry{},
		keyOwner:  map[string]Ref{},
		seen:      map[seenKey]seenEntry{},
	}
}

// Applied returns the offset of the last applied record.
func (s *State) Applied() port.Offset { return s.applied }

// Apply applies the next record. The decision depends only on the records up to
// this one.
func (s *State) Apply(rec port.Record) Decision {
	d := Decision{Offset: rec.Offset, At: rec.AppendedAt}
	if rec.Offset != s.applied+1 {
		d.Reason = ReasonOutOfOrder
		return d
	}
	s.applied = rec.Offset
	if IsSnapshot(rec.Data) {
		d.Reason = ReasonSnapshot
		return d
	}
	c, err := DecodeChange(rec.Data)
	if err != nil {
		d.Reason, d.Err = ReasonMalformed, err
		return d
	}
	d.ID, d.Author, d.Path, d.Deleted = c.ID, c.Author, c.Path, c.Delete
	d.Err = s.decide(c, rec.Offset)
	d.Reason = reasonOf(d.Err)
	d.Accepted = d.Err == nil
	return d
}

// decide checks the author first and records only the ids of changes whose
// signature is valid, so that a team's ids cannot be used up by others.
func (s *State) decide(c Change, offset port.Offset) error {
	path, err := ParsePath(c.Path)
	if err != nil {
		return err
	}
	if err := s.authorize(c, path); err != nil {
		return err
	}
	key := seenKeyOf(c)
	if first, ok := s.seen[key]; ok {
		return &DuplicateError{ID: c.ID, FirstOffset: first.offset, FirstReason: first.reason}
	}
	err = s.applyChange(c, path, offset)
	s.recordSeen(key, seenEntry{offset: offset, reason: reasonOf(err)})
	return err
}

func (s *State) authorize(c Change, path Path) error {
	if c.Author != path.Ref.Team {
		return &NotOwnerError{Path: c.Path, Author: c.Author, Owner: path.Ref.Team}
	}
	key := s.systemKey
	if c.Author != SystemTeam {
		team, ok := s.teams[c.Author]
		if !ok {
			return &UnknownTeamError{Path: c.Path, Team: c.Author}
		}
		key, _ = teamKey(team)
	}
	if !Verify(c, key) {
		return &BadSignatureError{ID: c.ID, Author: c.Author}
	}
	return nil
}

func (s *State) applyChange(c Change, path Path, offset port.Offset) error {
	if err := s.checkConflict(c); err != nil {
		return err
	}
	next := entry{revision: offset, id: c.ID, author: c.Author}
	if c.Delete {
		if err := s.remove(path); err != nil {
			return err
		}
		s.tombstones = append(s.tombstones, tombstone{c.Path, offset})
	} else {
		value, err := canonicalJSON(c.Value)
		if err != nil {
			return err
		}
		if err := s.set(path, value); err != nil {
			return err
		}
		next.value = value
		s.tombstones = slices.DeleteFunc(s.tombstones, func(t tombstone) bool { return t.path == c.Path })
	}
	s.entries[c.Path] = next
	if len(s.tombstones) > maxTombstones {
		delete(s.entries, s.tombstones[0].path)
		s.tombstones = s.tombstones[1:]
	}
	return nil
}

func (s *State) checkConflict(c Change) error {
	last, known := s.entries[c.Path]
	current := port.Offset(0)
	if known && last.value != nil {
		current = last.revision
	}
	if c.BaseRevision == current {
		if c.Delete && current == 0 {
			return invalid(c.Path, "", "nothing to delete", "an existing path")
		}
		return nil
	}
	return &ConflictError{
		Path: c.Path, BaseRevision: c.BaseRevision, Current: current,
		OtherID: last.id, OtherAuthor: last.author, OtherOffset: last.revision,
	}
}

func (s *State) recordSeen(key seenKey, e seenEntry) {
	s.seen[key] = e
	s.seenOrder = append(s.seenOrder, key)
	if len(s.seenOrder) > maxSeen {
		delete(s.seen, s.seenOrder[0])
		s.seenOrder = s.seenOrder[1:]
	}
}

func seenKeyOf(c Change) seenKey {
	sum := sha256.Sum256(appendSized(appendSized(nil, []byte(c.Author)), []byte(c.ID)))
	return seenKey(sum[:16])
}

func reasonOf(err error) Reason {
	if err == nil {
		return ""
	}
	for _, r := range []struct {
		reason Reason
		target any
	}{
		{ReasonUnknownPath, new(*UnknownPathError)},
		{ReasonNotOwner, new(*NotOwnerError)},
		{ReasonNotOwner, new(*UnknownTeamError)},
		{ReasonBadSignature, new(*BadSignatureError)},
		{ReasonDuplicate, new(*DuplicateError)},
		{ReasonConflict, new(*ConflictError)},
		{ReasonInvalid, new(*InvalidError)},
	} {
		if errors.As(err, r.target) {
			return r.reason
		}
	}
	return ReasonMalformed
}

func invalid(path, field, found, expected string) error {
	return &InvalidError{Problems: []Problem{{Path: path, Field: field, Found: found, Expected: expected}}}
}
