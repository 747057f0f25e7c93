package stream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxEventBytes is the maximum size of one event, larger than any that engines send: each open
// stream may hold one.
const maxEventBytes = 64 << 10

// Errors of malformed streams.
var (
	// ErrEventTooLarge means that an event exceeds maxEventBytes.
	ErrEventTooLarge = eris.New("stream event exceeds the maximum size")
	// ErrNotEvent means that a line is no field of an event, such as a line of an error
	// page or of the head of another response.
	ErrNotEvent = eris.New("the stream holds a line that is no field of an event")
)

// SequenceError reports a gap between the ids of two events.
type SequenceError struct {
	Last uint64
	Got  uint64
}

func (e *SequenceError) Error() string {
	return "event " + strconv.FormatUint(e.Got, 10) + " received after event " + strconv.FormatUint(e.Last, 10)
}

// Event is one complete event of an event stream, as the target sent it.
type Event struct {
	// Bytes are valid until the next call of Next.
	Bytes []byte
	// ID is the numeric id of the event; HasID is false if it has none.
	ID    uint64
	HasID bool
	// WatchedValue is the value of the field that the reader watches, empty if the
	// event doesn't have it.
	WatchedValue string
	// HasContent is set if the event has other fields than these two; comments are none.
	HasContent bool
}

// EventReader reads complete events from an event stream.
type EventReader struct {
	r *bufio.Reader
	// watchedPrefix is the name of the watched field, followed by a colon.
	watchedPrefix []byte
	event         []byte
	// begun is set once the first line was read, which may begin with a byte order mark.
	begun bool
}

var byteOrderMark = []byte("\ufeff")

// NewEventReader returns an EventReader that reports the value of the field named
// watched as WatchedValue.
func NewEventReader(r io.Reader, watched string) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, 2<<10), watchedPrefix: []byte(watched + ":")}
}

// Buffered reports whether bytes after the last event have already been received.
func (e *EventReader) Buffered() bool { return e.r.Buffered() > 0 }

// Next returns the next complete event. At the end of the stream it returns io.EOF,
// or io.ErrUnexpectedEOF when the stream ends within an event.
func (e *EventReader) Next() (Event, error) {
	e.event = e.event[:0]
	var out Event
	for start := 0; ; {
		part, err := e.r.ReadSlice('\n')
		e.event = append(e.event, part...)
		if len(e.event) > maxEventBytes {
			return Event{}, ErrEventTooLarge
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && len(e.event) > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		text := bytes.TrimRight(e.event[start:], "\r\n")
		start = len(e.event)
		if !e.begun {
			text = bytes.TrimPrefix(text, byteOrderMark)
			e.begun = true
		}
		if len(text) == 0 {
			out.Bytes = e.event
			return out, nil
		}
		if !isField(text) {
			return Event{}, ErrNotEvent
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
			out.ID, out.HasID = id, err == nil
		} else if value, ok := bytes.CutPrefix(text, e.watchedPrefix); ok {
			out.WatchedValue = string(bytes.TrimSpace(value))
		} else if text[0] != ':' {
			out.HasContent = true
		}
	}
}

// isField reports whether a line is a comment or a field of an event. Names of fields that
// are not known are accepted if they are spelled like the known ones, as extensions are.
func isField(line []byte) bool {
	name, _, hasValue := bytes.Cut(line, []byte(":"))
	if !hasValue {
		switch string(name) {
		case "data", "event", "id", "retry":
			return true
		}
		return false
	}
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// SequenceChecker checks that event ids increase across all attempts of one response.
// It is not safe for concurrent use.
type SequenceChecker struct {
	last    uint64
	started bool
	// sparse is set once ids have increased by more than one within an attempt. A gap
	// between two attempts can then no longer be detected.
	sparse bool
}

// Last returns the id of the last accepted event, if there is one.
func (s *SequenceChecker) Last() (uint64, bool) { return s.last, s.started }

// Accept reports whether the event is new; the caller drops events that are not.
// resumed marks the first event of another attempt that resumes the response; Accept
// then fails with a *SequenceError if there is a gap.
func (s *SequenceChecker) Accept(e Event, resumed bool) (bool, error) {
	if !e.HasID {
		return true, nil
	}
	if s.started && e.ID <= s.last {
		return false, nil
	}
	if s.started && e.ID != s.last+1 {
		if resumed && !s.sparse {
			return false, &SequenceError{Last: s.last, Got: e.ID}
		}
		s.sparse = true
	}
	s.last, s.started = e.ID, true
	return true, nil
}
