package engine

import (
	"net/http"
	"strconv"
	"sync"

	"mimosaseam.example/mimosaseam/internal/standin/conntrack"
)

const (
	bufferBytes = 1 << 10
	// maxWriteBytes bounds the chunks gathered for one write.
	maxWriteBytes = 16 << 10
	hexDigits     = "0123456789abcdef"
)

var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, bufferBytes)
	return &b
}}

// streamWriter writes the chunks of one attempt as server-sent events.
type streamWriter struct {
	w       http.ResponseWriter
	flusher http.Flusher
	a       *attempt
	written int
	buffer  []byte
}

// stream writes chunks as the scheduler emits them.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a *attempt) {
	flusher, _ := w.(http.Flusher)
	pooled := buffers.Get().(*[]byte)
	s := &streamWriter{w: w, flusher: flusher, a: a, written: a.from, buffer: *pooled}
	defer func() {
		*pooled = s.buffer[:0]
		buffers.Put(pooled)
	}()
	// The deadline's timer is set before the client receives the header.
	expired := make(chan struct{})
	if a.deadline > 0 {
		stop := e.config.Clock.AfterFunc(a.deadline-e.elapsed(), func() { close(expired) })
		defer stop()
	}
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	for s.written < a.total {
		select {
		case <-a.signal:
		case <-a.ended:
			panic(http.ErrAbortHandler)
		case <-expired:
			e.abort(a, OutcomeExpired)
		case <-r.Context().Done():
			e.handleDisconnect(r, a)
		}
		e.waitWhileFrozen()
		if e.silenced(r, a) {
			e.hang(r, a)
		}
		e.writeEmitted(s)
	}
}

func (e *Engine) writeEmitted(s *streamWriter) {
	emitted := int(s.a.emitted.Load())
	for s.written < emitted {
		s.buffer = s.buffer[:0]
		broken := false
		for s.written < emitted && len(s.buffer) < maxWriteBytes && !broken {
			broken = s.appendNext()
		}
		if s.written == s.a.total && !broken {
			s.buffer = append(s.buffer, "data: [DONE]\n\n"...)
		}
		_, err := s.w.Write(s.buffer)
		s.flusher.Flush()
		if broken {
			e.abort(s.a, OutcomeBroken)
		}
		if err != nil {
			e.abort(s.a, OutcomeCancelled)
		}
	}
}

// appendNext appends the next chunk and reports whether the stream breaks.
func (s *streamWriter) appendNext() bool {
	index := s.written
	faults := &s.a.faults
	if faults.breakAfter >= 0 && index-s.a.from >= faults.breakAfter {
		return true
	}
	s.written++
	if index == faults.drop {
		return false
	}
	s.buffer = s.appendChunk(s.buffer, index)
	if index == faults.duplicate {
		s.buffer = s.appendChunk(s.buffer, index)
	}
	return false
}

func (s *streamWriter) appendChunk(b []byte, index int) []byte {
	b = append(b, "id: "...)
	b = strconv.AppendInt(b, int64(index), 10)
	b = append(b, "\ndata: {\"index\":"...)
	b = strconv.AppendInt(b, int64(index), 10)
	b = append(b, ",\"text\":\""...)
	var text [16]byte
	b = appendEscaped(b, s.a.text.Append(text[:0], index))
	if index < s.a.total-1 {
		return append(b, "\",\"finish_reason\":null}\n\n"...)
	}
	return s.appendFinish(b)
}

func (s *streamWriter) appendFinish(b []byte) []byte {
	reason := "length"
	if s.a.stop {
		reason = "stop"
	}
	b = append(b, "\",\"finish_reason\":\""...)
	b = append(b, reason...)
	b = append(b, "\",\"usage\":{\"prompt_tokens\":"...)
	b = strconv.AppendInt(b, int64(s.a.run.PromptTokens), 10)
	b = append(b, ",\"completion_tokens\":"...)
	b = strconv.AppendInt(b, int64(s.a.total-s.a.from), 10)
	b = append(b, ",\"prompt_tokens_details\":{\"cached_tokens\":"...)
	b = strconv.AppendInt(b, int64(s.a.run.CachedTokens), 10)
	return append(b, "}}}\n\n"...)
}

// appendEscaped appends text escaped for a JSON string, without quotes.
func appendEscaped(b, text []byte) []byte {
	for _, c := range text {
		switch {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c == '\n':
			b = append(b, '\\', 'n')
		case c < ' ':
			b = append(b, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&15])
		default:
			b = append(b, c)
		}
	}
	return b
}

// abort ends the attempt and its connection.
func (e *Engine) abort(a *attempt, outcome Outcome) {
	e.end(a, outcome)
	panic(http.ErrAbortHandler)
}

// handleDisconnect ends the attempt when the client closes the connection. On a
// silenced connection the engine cannot detect this, so the attempt continues.
func (e *Engine) handleDisconnect(r *http.Request, a *attempt) {
	if e.silenced(r, a) {
		panic(http.ErrAbortHandler)
	}
	e.abort(a, OutcomeCancelled)
}

func (e *Engine) silenced(r *http.Request, a *attempt) bool {
	return a.silent.Load() || conntrack.Silent(r.Context())
}

// hang keeps the connection open without writing until the client closes it.
func (e *Engine) hang(r *http.Request, a *attempt) {
	select {
	case <-r.Context().Done():
		e.handleDisconnect(r, a)
	case <-a.ended:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}
