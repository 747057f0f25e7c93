package ledger

import (
	"slices"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Status is what is known of a key.
type Status string

// The states of a key.
const (
	// Open: nothing ran; a new intent may win.
	Open Status = "open"
	// Pending: an attempt won and may have run.
	Pending Status = "pending"
	// Done: the outcome is known.
	Done Status = "done"
)

// Decision is what the fold made of an intent.
type Decision string

// The decisions on an intent.
const (
	Won Decision = "won"
	// Lost: another attempt won, or the outcome is known already.
	Lost Decision = "lost"
	// Reused: the key is bound to another body.
	Reused Decision = "reused"
	// Closed: the key was closed to this request, or the attempt itself was.
	Closed Decision = "closed"
	// Repeated: the intent of the current attempt again.
	Repeated Decision = "repeated"
)

// maxClosed bounds the remembered closed attempts of a key. An attempt's
// records are only repeated until its deadline.
const maxClosed = 64

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
	// Previous holds superseded attempts, which may have run.
	Previous []string `json:"previous,omitempty"`
	// Released says that the current attempt did not run while a previous one
	// may have: the next may supersede at once.
	Released bool `json:"released,omitempty"`
	// Closed holds attempts that never run, ClosedAt is the offset of the last
	// not_run that opened the key again.
	Closed   []string    `json:"closed,omitempty"`
	ClosedAt port.Offset `json:"closed_at,omitempty"`

	ResultStatus  int                 `json:"result_status,omitempty"`
	ResultHeaders map[string][]string `json:"result_headers,omitempty"`
	ResultBody    []byte              `json:"result_body,omitempty"`
	Expires       time.Time           `json:"expires"`

	// changed is the offset of the last record that changed the entry, stored
	// is when the log took the oldest record needed to rebuild it.
	changed port.Offset
	stored  time.Time
}

func (e *Entry) valid() bool {
	return validKey(e.Key) && (e.Status == Pending || e.Status == Done) && e.Attempt != ""
}

// Effect is what one record did.
type Effect struct {
	Key      Key
	Attempt  string
	Decision Decision // of intents only
	Opened   bool     // a not_run record opened the key again
	Err      error    // of malformed records only
}

// State is the fold of the ledger stream from an offset on. It is not safe for
// concurrent use. Entries that it returns are not to be changed.
type State struct {
	start, applied port.Offset
	logTime        time.Time // newest time seen in the log
	entries        map[Key]*Entry
	bytes          int
}

// NewState returns the state before the record at offset start.
func NewState(start port.Offset) *State {
	return &State{start: start, applied: start - 1, entries: map[Key]*Entry{}}
}

// Applied returns the offset of the last record folded in.
func (s *State) Applied() port.Offset { return s.applied }

// Bytes returns the approximate memory that the entries take.
func (s *State) Bytes() int { return s.bytes }

// Lookup returns the entry of a key; an absent or expired key is open.
func (s *State) Lookup(k Key) Entry {
	e, _ := s.live(k)
	return e
}

// Apply folds the next record in; other records are ignored.
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
		return Effect{Key: r.Intent.Key, Attempt: r.Intent.Attempt, Decision: s.intent(*r.Intent, rec)}
	case r.Outcome != nil:
		s.outcome(*r.Outcome, rec)
		return Effect{Key: r.Outcome.Key, Attempt: r.Outcome.Attempt}
	case r.NotRun != nil:
		return Effect{Key: r.NotRun.Key, Attempt: r.NotRun.Attempt, Opened: s.notRun(*r.NotRun, rec)}
	default:
		s.carry(*r.Carry, rec)
		return Effect{Key: r.Carry.Entry.Key}
	}
}

// live returns a copy of the unexpired entry of a key. Expiry is judged by the
// log's time, so that all routers agree.
func (s *State) live(k Key) (Entry, bool) {
	e, ok := s.entries[k]
	if !ok || e.Expires.Before(s.logTime) {
		return Entry{Key: k, Status: Open}, false
	}
	return *e, true
}

func (s *State) store(e Entry, rec port.Record) {
	e.changed = rec.Offset
	if e.stored.IsZero() {
		e.stored = rec.AppendedAt
	}
	if old, ok := s.entries[e.Key]; ok {
		s.bytes -= old.size()
	}
	s.bytes += e.size()
	s.entries[e.Key] = &e
}

func (s *State) intent(in Intent, rec port.Record) Decision {
	e, _ := s.live(in.Key)
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
		e.Previous, e.Released, e.stored = nil, false, time.Time{}
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

// outcome also takes the outcome of an attempt whose intent is not known: its
// router has read the intent back as the winner, so the record has expired.
func (s *State) outcome(o Outcome, rec port.Record) {
	e, known := s.live(o.Key)
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

// notRun closes the attempt, also when its intent comes later, and opens the
// key again when the attempt is the current one.
func (s *State) notRun(n NotRun, rec port.Record) bool {
	e, _ := s.live(n.Key)
	if slices.Contains(e.Closed, n.Attempt) || e.Status == Done {
		return false
	}
	opened := false
	e.Closed = append(slices.Clone(e.Closed), n.Attempt)
	e.Closed = e.Closed[max(0, len(e.Closed)-maxClosed):]
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

// carry adopts an entry whose records this state has not seen. A state that
// saw them knows at least as much and only notes the new age.
func (s *State) carry(c Carry, rec port.Record) {
	if c.Entry.Expires.Before(s.logTime) || c.Through >= rec.Offset {
		return
	}
	own, known := s.live(c.Entry.Key)
	if known && c.Through >= own.changed && own.Status == c.Entry.Status && own.Attempt == c.Entry.Attempt {
		changed := own.changed
		own.stored = rec.AppendedAt
		s.store(own, rec)
		s.entries[own.Key].changed = changed
		return
	}
	if !s.replaces(c, own) {
		return
	}
	e := c.Entry
	for _, attempt := range own.Closed {
		if !slices.Contains(e.Closed, attempt) {
			e.Closed = append(e.Closed, attempt)
		}
	}
	s.store(e, rec)
}

// replaces says whether a carried entry is better knowledge than the own one,
// which may be empty: an outcome is final, and an intent before the own start
// is the true winner unless its attempt was closed since. A carry that does not
// reach the own start misses records that nobody can read any more.
func (s *State) replaces(c Carry, own Entry) bool {
	switch {
	case own.Status == Done:
		return false
	case c.Entry.Status == Done:
		return true
	}
	return c.Entry.Offset < s.start && c.Through+1 >= s.start &&
		(own.Offset == 0 || own.Offset > c.Entry.Offset) && !slices.Contains(own.Closed, c.Entry.Attempt)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
