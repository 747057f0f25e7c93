package callerhttp

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"unicode/utf8"

	"mimosaseam.example/mimosaseam/internal/app/completions"
	"mimosaseam.example/mimosaseam/internal/port"
)

// sseSink writes chunks as server-sent events. The event id is the chunk index. One
// buffer is reused for the whole stream.
type sseSink struct {
	x          *exchange
	head       []byte // the event up to the text
	chat       bool
	headerSent bool
	buf        []byte
}

func newSSESink(x *exchange, model string, chat bool) *sseSink {
	object := "text_completion"
	if chat {
		object = "chat.completion.chunk"
	}
	head := append([]byte(`data: {"id":`), quoted(x.id)...)
	head = append(head, `,"object":"`+object+`","created":`...)
	head = strconv.AppendInt(head, x.started.Unix(), 10)
	head = append(head, `,"model":`...)
	head = append(head, quoted(model)...)
	head = append(head, `,"choices":[{"index":0,`...)
	return &sseSink{x: x, head: head, chat: chat}
}

func quoted(s string) []byte {
	data, _ := json.Marshal(s) // a string: cannot fail
	return data
}

// Chunk implements completions.Sink.
func (s *sseSink) Chunk(_ context.Context, c port.Chunk) error {
	if !s.headerSent {
		s.begin()
	}
	b := append(s.buf[:0], "id: "...)
	b = strconv.AppendInt(b, int64(c.Index), 10)
	b = append(b, '\n')
	b = append(b, s.head...)
	b = s.appendText(b, c)
	b = append(b, `"finish_reason":`...)
	if c.FinishReason == "" {
		b = append(b, `null}]`...)
	} else {
		b = append(append(b, quoted(string(c.FinishReason))...), `}]`...)
	}
	if c.Usage != nil {
		u := usageOf(*c.Usage)
		data, _ := json.Marshal(u) // numbers only: cannot fail
		b = append(append(b, `,"usage":`...), data...)
	}
	b = append(b, "}\n\n"...)
	s.buf = b
	return s.write(b)
}

func (s *sseSink) appendText(b []byte, c port.Chunk) []byte {
	if !s.chat {
		b = append(b, `"text":`...)
		return append(appendJSON(b, c.Text), ',')
	}
	b = append(b, `"delta":{`...)
	if c.Index == 0 {
		b = append(b, `"role":"assistant",`...)
	}
	b = append(b, `"content":`...)
	return append(appendJSON(b, c.Text), `},`...)
}

// appendJSON appends s as a JSON string. Text without special characters, the
// common case, is copied.
func appendJSON(b []byte, s string) []byte {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			return append(b, quoted(s)...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

func (s *sseSink) begin() {
	s.headerSent = true
	h := s.x.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.x.status = http.StatusOK
	s.x.w.WriteHeader(http.StatusOK)
}

// end writes the terminal marker. The server sends it together with the end of the
// response, so that a caller that reads to the end does not see a complete response as
// broken off.
func (s *sseSink) end() {
	s.x.extendWriteDeadline()
	// An error means that the caller has left; the server ends the connection.
	_, _ = s.x.w.Write([]byte("data: [DONE]\n\n"))
}

func (s *sseSink) write(b []byte) error {
	s.x.extendWriteDeadline()
	if _, err := s.x.w.Write(b); err != nil {
		return err
	}
	return s.x.rc.Flush()
}

// stream responds with server-sent events. A response that cannot be completed
// ends with an error event and a closed connection, without the [DONE] marker.
func (x *exchange) stream(req *completions.CompletionRequest, chat bool) {
	sink := newSSESink(x, req.Model, chat)
	end, err := x.s.Router.Completion(x.r.Context(), *req, sink)
	switch {
	case err == nil:
		sink.end()
		x.logCompletion(end)
	case sink.headerSent:
		sink.abort(asFailure(err))
	default:
		x.fail(err)
	}
}

// abort ends a response that has started with an error event and closes the
// connection.
func (s *sseSink) abort(f *completions.Failure) {
	data, _ := json.Marshal(bodyOf(f)) // strings only: cannot fail
	_ = s.write(append(append([]byte("event: error\ndata: "), data...), "\n\n"...))
	s.x.logRequest(string(f.Kind), slog.String("outcome", string(f.Outcome)), slog.String("cause", f.LogCause()))
	panic(http.ErrAbortHandler)
}
