package enginehttp

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// readerBytes holds several chunks; longer lines are gathered separately.
	readerBytes = 1 << 10
	// drainTimeout bounds the wait for the end of an answer after its terminal
	// mark; only a connection whose answer was read to the end is reused.
	drainTimeout = time.Second
)

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerBytes) }}

	dataPrefix  = []byte("data:")
	eventPrefix = []byte("event:")
	errorEvent  = []byte("error")
	doneMark    = []byte("[DONE]")
)

// stream reads the server-sent events of one attempt.
type stream struct {
	address     string
	incarnation port.Incarnation
	version     string
	body        io.ReadCloser
	cancel      context.CancelFunc
	reader      *bufio.Reader
	long        []byte
	maxEvent    int
	chunks      int
	finished    bool
	failure     error
	done        atomic.Bool
	// mu is held while Next reads, so that Close, which may be called at any
	// time, gives the reader back only after Next has returned.
	mu sync.Mutex
}

func newStream(address string, response *http.Response, cancel context.CancelFunc, maxEvent int) *stream {
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(response.Body)
	return &stream{
		address:     address,
		incarnation: port.Incarnation(response.Header.Get("X-Incarnation")),
		version:     response.Header.Get("X-Weights-Version"),
		body:        response.Body,
		cancel:      cancel,
		reader:      reader,
		maxEvent:    maxEvent,
	}
}

// Incarnation returns the incarnation that answered.
func (s *stream) Incarnation() port.Incarnation { return s.incarnation }

// WeightsVersion returns the weights version that answered.
func (s *stream) WeightsVersion() string { return s.version }

// Next returns the next chunk.
func (s *stream) Next() (port.Chunk, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done.Load() {
		return port.Chunk{}, io.EOF
	}
	if s.failure != nil {
		return port.Chunk{}, s.failure
	}
	chunk, err := s.next()
	if err == nil {
		return chunk, nil
	}
	if errors.Is(err, io.EOF) && s.done.Load() {
		return port.Chunk{}, io.EOF
	}
	if errors.Is(err, io.EOF) {
		err = ErrNoTerminalMark
	}
	s.failure = &port.BrokenStreamError{Target: s.address, Chunks: s.chunks, Cause: err}
	return port.Chunk{}, s.failure
}

func (s *stream) next() (port.Chunk, error) {
	for {
		line, err := s.line()
		if err != nil {
			return port.Chunk{}, err
		}
		if data, ok := bytes.CutPrefix(line, dataPrefix); ok {
			return s.data(trimSpace(data))
		}
		if event, ok := bytes.CutPrefix(line, eventPrefix); ok && bytes.Equal(trimSpace(event), errorEvent) {
			return port.Chunk{}, ErrEngineReported
		}
	}
}

func (s *stream) data(data []byte) (port.Chunk, error) {
	if bytes.Equal(data, doneMark) {
		if !s.finished {
			return port.Chunk{}, ErrNoFinishReason
		}
		s.done.Store(true)
		return port.Chunk{}, io.EOF
	}
	chunk, err := parseChunk(data)
	if err != nil {
		return port.Chunk{}, err
	}
	s.chunks++
	s.finished = s.finished || chunk.FinishReason != ""
	return chunk, nil
}

// line returns the next line without its end. It is valid until the next call.
func (s *stream) line() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = s.longLine(line)
	}
	if err != nil {
		return nil, err
	}
	line = line[:len(line)-1]
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	return line, nil
}

// longLine gathers a line that does not fit into the reader's buffer.
func (s *stream) longLine(start []byte) ([]byte, error) {
	s.long = append(s.long[:0], start...)
	for {
		part, err := s.reader.ReadSlice('\n')
		if len(s.long)+len(part) > s.maxEvent {
			return nil, ErrTooLarge
		}
		s.long = append(s.long, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return s.long, err
		}
	}
}

// Close releases the stream, also while Next waits. The connection is kept for
// reuse when the answer was read to its end, and closed otherwise, which makes
// the engine cancel.
func (s *stream) Close() error {
	if !s.done.Load() {
		s.cancel()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader == nil {
		return nil
	}
	if s.done.Load() {
		s.drain()
	} else if s.failure == nil {
		s.failure = &port.BrokenStreamError{Target: s.address, Chunks: s.chunks, Cause: context.Canceled}
	}
	s.cancel()
	err := s.body.Close()
	s.reader.Reset(nil)
	readers.Put(s.reader)
	s.reader = nil
	return err
}

func (s *stream) drain() {
	stop := time.AfterFunc(drainTimeout, s.cancel)
	_, _ = io.CopyN(io.Discard, s.reader, readerBytes)
	stop.Stop()
}

func trimSpace(b []byte) []byte {
	if len(b) > 0 && b[0] == ' ' {
		return b[1:]
	}
	return b
}
