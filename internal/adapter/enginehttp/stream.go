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
	// readerBytes holds several chunks; longer lines are assembled separately.
	readerBytes = 1 << 10
	// drainTimeout bounds the wait for the end of a response after its terminal
	// marker; only a connection whose response was read to the end is reused.
	drainTimeout = time.Second
)

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerBytes) }}

	dataPrefix  = []byte("data:")
	eventPrefix = []byte("event:")
	errorEvent  = []byte("error")
	doneMarker  = []byte("[DONE]")

	lineFeed       = []byte("\n")
	carriageReturn = []byte("\r")
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
	// time, returns the reader to the pool only after Next has returned.
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

// Incarnation returns the incarnation of the engine that responded.
func (s *stream) Incarnation() port.Incarnation { return s.incarnation }

// WeightsVersion returns the weights version that produced the response.
func (s *stream) WeightsVersion() string { return s.version }

// Next returns the next chunk. Its stack frames up to the blocking read are kept
// small, because every idle stream holds them.
func (s *stream) Next() (port.Chunk, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done.Load() {
		return port.Chunk{}, io.EOF
	}
	if s.failure != nil {
		return port.Chunk{}, s.failure
	}
	return s.decode(s.nextData())
}

// decode decodes the data of an event, or classifies the failure to read it.
func (s *stream) decode(data []byte, err error) (port.Chunk, error) {
	if err == nil && bytes.Equal(data, doneMarker) {
		if s.finished {
			s.done.Store(true)
			return port.Chunk{}, io.EOF
		}
		err = ErrNoFinishReason
	}
	var chunk port.Chunk
	if err == nil {
		chunk, err = parseChunk(data)
	}
	if err != nil {
		return port.Chunk{}, s.fail(err)
	}
	s.chunks++
	s.finished = s.finished || chunk.FinishReason != ""
	return chunk, nil
}

func (s *stream) fail(err error) error {
	if errors.Is(err, io.EOF) {
		err = ErrNoTerminalMarker
	}
	s.failure = &port.BrokenStreamError{Target: s.address, Chunks: s.chunks, Cause: err}
	return s.failure
}

// nextData returns the next line of data. It is valid until the next call.
func (s *stream) nextData() ([]byte, error) {
	for {
		line, err := s.reader.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			line, err = s.longLine(line)
		}
		if err != nil {
			return nil, err
		}
		if bytes.HasPrefix(line, dataPrefix) {
			return trim(line[len(dataPrefix):]), nil
		}
		if bytes.HasPrefix(line, eventPrefix) && bytes.Equal(trim(line[len(eventPrefix):]), errorEvent) {
			return nil, ErrEngineReported
		}
	}
}

// longLine assembles a line that does not fit into the reader's buffer.
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

// Close releases the stream, also while Next waits. The connection is
// reused if the response was read to its end; otherwise it is closed, which makes
// the engine cancel the attempt.
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

// trim removes the space after a field name and the line ending.
func trim(b []byte) []byte {
	if len(b) > 0 && b[0] == ' ' {
		b = b[1:]
	}
	b = bytes.TrimSuffix(b, lineFeed)
	return bytes.TrimSuffix(b, carriageReturn)
}
