package stream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxEventBytes bounds one event; no engine sends events of this size.
const maxEventBytes = 256 << 10

// ErrEventTooLarge means that an event exceeds the bound.
var ErrEventTooLarge = eris.New("event of a stream is too large")

// SequenceError means that an event does not follow the one before it.
type SequenceError struct {
	Last uint64
	Got  uint64
}

func (e *SequenceError) Error() string {
	return "event " + strconv.FormatUint(e.Got, 10) + " came after event " + strconv.FormatUint(e.Last, 10)
}

// Event is one whole event of an event stream, as the target sent it.
type Event struct {
	// Bytes are valid until the next read.
	Bytes []byte
	// ID is the number of the event; HasID is false for an event without one.
	ID    uint64
	HasID bool
	// Fields holds the value of the field that the reader watches; empty: absent.
	WatchedValue string
}

// EventReader reads whole events from an event stream.
type EventReader struct {
	r *bufio.Reader
	// watch is the name of a field whose value is reported, with its colon.
	watch []byte
	event []byte
}

// NewEventReader returns a reader of whole events that reports the value of the
// field named watch.
func NewEventReader(r io.Reader, watch string) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, 2<<10), watch: []byte(watch + ":")}
}

// Buffered reports whether bytes behind the last event have arrived already.
func (e *EventReader) Buffered() bool { return e.r.Buffered() > 0 }

// Next returns the next whole event. At the end of the stream it returns io.EOF,
// or io.ErrUnexpectedEOF when the stream ends within an event.
func (e *EventReader) Next() (Event, error) {
	e.event = e.event[:0]
	var out Event
	for {
		line, err := e.r.ReadSlice('\n')
		e.event = append(e.event, line...)
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
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			out.Bytes = e.event
			return out, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
			out.ID, out.HasID = id, err == nil
		} else if value, ok := bytes.CutPrefix(text, e.watch); ok {
			out.WatchedValue = string(bytes.TrimSpace(value))
		}
	}
}

// SequenceChecker checks that the ids of events increase over all attempts of one
// response. It is not safe for concurrent use.
type SequenceChecker struct {
	last    uint64
	started bool
	// sparse is set once ids have increased by more than one within a run: then a
	// gap between two runs cannot be told.
	sparse bool
}

// Last returns the id of the last event accepted, if there is one.
func (o *SequenceChecker) Last() (uint64, bool) { return o.last, o.started }

// Accept reports whether the event is new. An event that was accepted before is
// dropped. resumed says that the event is the first of another run that continues
// the response: it fails with an *OrderError when it leaves a gap.
func (o *SequenceChecker) Accept(e Event, resumed bool) (bool, error) {
	if !e.HasID {
		return true, nil
	}
	if o.started && e.ID <= o.last {
		return false, nil
	}
	if o.started && e.ID != o.last+1 {
		if resumed && !o.sparse {
			return false, &SequenceError{Last: o.last, Got: e.ID}
		}
		o.sparse = true
	}
	o.last, o.started = e.ID, true
	return true, nil
}
