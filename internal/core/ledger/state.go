package ledger

import (
	"slices"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Status is the state of a key.
type Status string

// The states of a key.
const (
	// Open: no attempt ran; a new intent may win.
	Open Status = "open"
	// Pending: an attempt won and may have run.
	Pending Status = "pending"
	// Done: the outcome is known.
	Done Status = "done"
)

// Decision is the decision on an intent.
type Decision string

// The decisions on an intent.
const (
	Won Decision = "won"
	// Lost: another attempt won, or the outcome is already known.
	Lost Decision = "lost"
	// Reused: the key is bound to another body.
	Reused Decision = "reused"
	// Closed: the key was closed to this request, or the attempt itself was closed.
	Closed Decision = "closed"
	// Repeated: a duplicate of the current attempt's intent.
	Repeated Decision = "repeated"
)

// maxClosedAttempts bounds the closed attempts retained per key. An attempt's
// records are only appended again until its deadline.
const maxClosedAttempts = 64

// Entry is the state of one key.
type Entry struct {
	Key        Key         `json:"key"`
	Status     Status      `json:"status"`
	BodyHash   string      `json:"body_hash,omitempty"`
	Attempt    string      `json:"attempt,omitempty"` // current or last
	Router     string      `json:"router,omitempty"`
	Route      string      `json:"route,omitempty"`
	Deadline   time.Time   `json:"deadline"`
	Resendable bool        `json:"resendable,omitempty"`
	Offset     port.Offset `json:"offset"` // of the winning intent
	// Previous holds the superseded attempts, which may have run.
	Previous []string `json:"previous,omitempty"`
	// Released is true if the current attempt did not run while a previous one
	// may have: the next attempt may supersede it without waiting.
	Released bool `json:"released,omitempty"`
	// Closed holds the attempts that must never run; ClosedAt is the offset of the
	// last not_run record that reopened the key.
	Closed   []string    `json:"closed,omitempty"`
	ClosedAt port.Offset `json:"closed_at,omitempty"`

	ResultStatus  int                 `json:"result_status,omitempty"`
	ResultHeaders map[string][]string `json:"result_headers,omitempty"`
	ResultBody    []byte              `json:"result_body,omitempty"`
	Expires       time.Time           `json:"expires"`

	// changedOffset is the offset of the last record that changed the entry;
	// oldestRecordAt is the append time of the oldest record needed to rebuild it.
	changedOffset  port.Offset
	oldestRecordAt time.Time
}

func (e *Entry) valid() bool {
	return validKey(e.Key) && (e.Status == Pending || e.Status == Done) && e.Attempt != ""
}

// Effect is the effect of one record on the state.
type Effect struct {
	Key      Key
	Attempt  string
	Decision Decision // of intents only
	Reopened bool     // a not_run record reopened the key
	Err      error    // of malformed records only
}

// State is the result of applying the records of the ledger stream from an offset
// on, in order. It is not safe for concurrent use. Callers must not modify
// returned entries.
type State struct {
	start, applied port.Offset
	logTime        time.Time // latest append time of the applied records
	entries        map[Key]*Entry
	bytes          int
	// outcomeBytes is the part of bytes that bodies and headers of outcomes take.
	outcomeBytes int
}

// NewState returns the state before the record at offset start.
func NewState(start port.Offset) *State {
	return &State{start: start, applied: start - 1, entries: map[Key]*Entry{}}
}

// Applied returns the offset of the last applied record.
func (s *State) Applied() port.Offset { return s.applied }

// Bytes returns the approximate memory of the entries.
func (s *State) Bytes() int { return s.bytes }

// OutcomeBytes returns the part of Bytes that bodies and headers of outcomes take.
func (s *State) OutcomeBytes() int { return s.outcomeBytes }

// Lookup returns the entry of a key; an absent or expired key is open.
func (s *State) Lookup(k Key) Entry {
	e, _ := s.unexpired(k)
	return e
}

// Apply applies the next record; a record at any other offset is ignored.
func (s *State) Apply(rec port.Record) Effect {
	if rec.Offset != s.applied+1 {
		return Effect{}
	}
	s.applied = rec.Offset
	if rec.AppendedAt.After(s.logTime) {
		s.logTime = rec.AppendedAt
	}
	r, err := Decode(rec.Data)
	if err != nil {
		return Effect{Err: err}
	}
	switch {
	case r.Intent != nil:
		return Effect{Key: r.Intent.Key, Attempt: r.Intent.Attempt, Decision: s.applyIntent(*r.Intent, rec)}
	case r.Outcome != nil:
		s.applyOutcome(*r.Outcome, rec)
		return Effect{Key: r.Outcome.Key, Attempt: r.Outcome.Attempt}
	case r.NotRun != nil:
		return Effect{Key: r.NotRun.Key, Attempt: r.NotRun.Attempt, Reopened: s.applyNotRun(*r.NotRun, rec)}
	default:
		s.applyCarry(*r.Carry, rec)
		return Effect{Key: r.Carry.Entry.Key}
	}
}

// unexpired returns a copy of the entry of a key unless it has expired. Expiry is
// determined by the log's time, so that all routers agree.
func (s *State) unexpired(k Key) (Entry, bool) {
	e, ok := s.entries[k]
	if !ok || e.Expires.Before(s.logTime) {
		return Entry{Key: k, Status: Open}, false
	}
	return *e, true
}

func (s *State) store(e Entry, rec port.Record) {
	e.changedOffset = rec.Offset
	if e.oldestRecordAt.IsZero() {
		e.oldestRecordAt = rec.AppendedAt
	}
	if old, ok := s.entries[e.Key]; ok {
		s.bytes -= old.size()
		s.outcomeBytes -= old.outcomeSize()
	}
	s.bytes += e.size()
	s.outcomeBytes += e.outcomeSize()
	s.entries[e.Key] = &e
}

func (s *State) applyIntent(in Intent, rec port.Record) Decision {
	e, _ := s.unexpired(in.Key)
	switch {
	case slices.Contains(e.Closed, in.Attempt):
		return Closed
	case e.BodyHash != "" && e.BodyHash != in.BodyHash:
		return Reused
	case e.Attempt == in.Attempt && e.Status != Open:
		return Repeated
	case e.Status == Open && in.Base < e.ClosedAt:
		return Closed
	case e.Status == Open:
		e.Previous, e.Released, e.oldestRecordAt = nil, false, time.Time{}
	case e.Status == Pending && e.Resendable && in.Resendable && in.Supersedes == e.Attempt:
		e.Previous = append(slices.Clone(e.Previous), e.Attempt)
		e.Released = false
	default:
		return Lost
	}
	e.Status, e.BodyHash, e.Attempt, e.Router, e.Route = Pending, in.BodyHash, in.Attempt, in.Router, in.Route
	e.Deadline, e.Resendable, e.Offset = in.Deadline, in.Resendable, rec.Offset
	e.Expires = later(e.Expires, in.Expires)
	s.store(e, rec)
	return Won
}

// applyOutcome also accepts the outcome of an attempt whose intent is unknown:
// its router has read the intent back as the winner, so the intent's record has
// expired from the log.
func (s *State) applyOutcome(o Outcome, rec port.Record) {
	e, known := s.unexpired(o.Key)
	current := e.Status == Pending && e.Attempt == o.Attempt
	earlier := e.Status == Pending && e.Resendable && slices.Contains(e.Previous, o.Attempt)
	if known && !current && !earlier {
		return
	}
	e.Status, e.BodyHash, e.Attempt, e.Released = Done, o.BodyHash, o.Attempt, false
	e.ResultStatus, e.ResultHeaders, e.ResultBody = o.Status, o.Headers, o.Body
	e.Expires = later(e.Expires, o.Expires)
	s.store(e, rec)
}

// applyNotRun closes the attempt, even if its intent comes later, and reopens the
// key if the attempt is the current one and none was superseded.
func (s *State) applyNotRun(n NotRun, rec port.Record) bool {
	e, _ := s.unexpired(n.Key)
	if slices.Contains(e.Closed, n.Attempt) || e.Status == Done {
		return false
	}
	opened := false
	e.Closed = append(slices.Clone(e.Closed), n.Attempt)
	e.Closed = e.Closed[max(0, len(e.Closed)-maxClosedAttempts):]
	if e.Status == Pending && e.Attempt == n.Attempt {
		if len(e.Previous) > 0 {
			e.Released = true
		} else {
			e.Status, e.ClosedAt, opened = Open, rec.Offset, true
		}
	}
	e.Expires = later(e.Expires, n.Expires)
	s.store(e, rec)
	return opened
}

// applyCarry restores an entry whose records this state has not read. A state
// that has read them is at least as complete and only updates oldestRecordAt.
func (s *State) applyCarry(c Carry, rec port.Record) {
	if c.Entry.Expires.Before(s.logTime) || c.Through >= rec.Offset {
		return
	}
	local, known := s.unexpired(c.Entry.Key)
	if known && c.Through >= local.changedOffset && local.Status == c.Entry.Status && local.Attempt == c.Entry.Attempt {
		changed := local.changedOffset
		local.oldestRecordAt = rec.AppendedAt
		s.store(local, rec)
		s.entries[local.Key].changedOffset = changed
		return
	}
	if !s.carrySupersedes(c, local) {
		return
	}
	e := c.Entry
	for _, attempt := range local.Closed {
		if !slices.Contains(e.Closed, attempt) {
			e.Closed = append(e.Closed, attempt)
		}
	}
	s.store(e, rec)
}

// carrySupersedes reports whether a carried entry replaces the entry of this
// state, which may be empty. An outcome is final, and an intent before this
// state's start is the actual winner unless its attempt was closed since. Without
// an outcome, a carry that does not reach up to the start is ignored, because it
// lacks records that can no longer be read.
func (s *State) carrySupersedes(c Carry, local Entry) bool {
	switch {
	case local.Status == Done:
		return false
	case c.Entry.Status == Done:
		return true
	}
	return c.Entry.Offset < s.start && c.Through+1 >= s.start &&
		(local.Offset == 0 || local.Offset > c.Entry.Offset) && !slices.Contains(local.Closed, c.Entry.Attempt)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
