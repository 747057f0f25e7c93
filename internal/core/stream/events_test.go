package stream

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// Guards against events that are split, merged or modified, in whatever chunks the
// bytes arrive.
func TestEventsAreComplete(t *testing.T) {
	cases := map[string]struct {
		text string
		want []string
		err  error
	}{
		"two":               {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, io.EOF},
		"carriage returns":  {"id: 1\r\ndata: a\r\n\r\n", []string{"id: 1\r\ndata: a\r\n\r\n"}, io.EOF},
		"cut in a line":     {"id: 1\ndata: a\n\nid: 2\nda", []string{"id: 1\ndata: a\n\n"}, io.ErrUnexpectedEOF},
		"cut before a line": {"id: 1\ndata: a\n\nid: 2\n", []string{"id: 1\ndata: a\n\n"}, io.ErrUnexpectedEOF},
		"none":              {"", nil, io.EOF},
		"line of 2 KiB":     {"data: " + strings.Repeat("x", 2<<10-6) + "\n\n" + "id: 2\n\n", []string{"data: " + strings.Repeat("x", 2<<10-6) + "\n\n", "id: 2\n\n"}, io.EOF},
		"byte order mark":   {"\ufeffid: 1\n\n", []string{"\ufeffid: 1\n\n"}, io.EOF},
		"other fields":      {"x-new_2: a\ndata\nid\n: comment\n:\n\n", []string{"x-new_2: a\ndata\nid\n: comment\n:\n\n"}, io.EOF},
		"head":              {"id: 1\n\nHTTP/1.1 503 Full\r\n\r\n", []string{"id: 1\n\n"}, ErrNotEvent},
		"page":              {"<p>Error: 500</p>\n\n", nil, ErrNotEvent},
		"JSON":              {"{\"error\": 1}\n\n", nil, ErrNotEvent},
		"message":           {"id: 1\noverloaded\n\n", nil, ErrNotEvent},
		"second mark":       {"id: 1\n\n\ufeffid: 2\n\n", []string{"id: 1\n\n"}, ErrNotEvent},
		"too large":         {strings.Repeat("data: x", maxEventBytes/7+1), nil, ErrEventTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, r := range []io.Reader{strings.NewReader(c.text), iotest.OneByteReader(strings.NewReader(c.text))} {
				events := NewEventReader(r, "x")
				var got []string
				e, err := events.Next()
				for ; err == nil; e, err = events.Next() {
					got = append(got, string(e.Bytes))
				}
				is.Equal(got, c.want)
				is.True(errors.Is(err, c.err))
			}
		})
	}
}

// Guards against ids that are parsed wrongly and a watched field that is missed.
func TestEventFields(t *testing.T) {
	is := is.New(t)
	events := NewEventReader(strings.NewReader("x-weights: 3\nid: 41\ndata: id: 7\n\ndata\n\nid: x\n\n"), "x-weights")
	e, err := events.Next()
	is.NoErr(err)
	is.Equal(e.WatchedValue, "3")
	is.True(e.HasID)
	is.Equal(e.ID, uint64(41))
	for range 2 {
		e, err = events.Next()
		is.NoErr(err)
		is.True(!e.HasID)
	}
}

// Guards against duplicate events and gaps after a stream is resumed on another target.
func TestSequenceChecker(t *testing.T) {
	type step struct {
		id      uint64
		resumed bool
		fresh   bool
		gap     bool
	}
	cases := map[string][]step{
		"continues":               {{1, false, true, false}, {2, false, true, false}, {3, true, true, false}},
		"repeats":                 {{1, false, true, false}, {2, false, true, false}, {1, true, false, false}, {2, false, false, false}, {3, false, true, false}},
		"leaves a gap":            {{1, false, true, false}, {3, true, false, true}},
		"ids in larger steps":     {{4, false, true, false}, {8, false, true, false}, {8, true, false, false}, {12, false, true, false}},
		"sparse ids hide the gap": {{4, false, true, false}, {8, false, true, false}, {16, true, true, false}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var o SequenceChecker
			for _, s := range steps {
				fresh, err := o.Accept(Event{ID: s.id, HasID: true}, s.resumed)
				var gap *SequenceError
				is.Equal(errors.As(err, &gap), s.gap)
				is.Equal(fresh, s.fresh)
			}
			last, started := o.Last()
			is.True(started)
			is.True(last > 0)
		})
	}
}
