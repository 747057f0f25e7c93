package enginehttp

import (
	"io"
	"sync"
)

// payload is the body of one request. net/http references the request until its
// response is read, which for a stream is much longer than the body is needed, so
// the data is released as soon as the response starts.
type payload struct {
	mu   sync.Mutex
	data []byte
}

// open returns a reader of the whole body.
func (p *payload) open() (io.ReadCloser, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &payloadReader{rest: p.data}, nil
}

// release drops the reference to the data. Open readers retain theirs until the
// transport closes them.
func (p *payload) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.data = nil
}

// payloadReader reads a payload. The transport may close it during a read.
type payloadReader struct {
	mu   sync.Mutex
	rest []byte
}

func (r *payloadReader) Read(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(b, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

func (r *payloadReader) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rest = nil
	return nil
}
