package limits

import (
	"errors"
	"io"
)

// firstBufferBytes is the first size of a buffer, which takes no shared memory: short
// responses are read whole also while long ones fill it.
const firstBufferBytes = 4 << 10

// Allowance is memory of which buffers take. Memory is one.
type Allowance interface {
	// Take takes bytes and reports whether they were free.
	Take(bytes int64) bool
	// Return returns bytes that were taken.
	Return(bytes int64)
}

// Buffer holds the first bytes of a response.
type Buffer struct {
	memory Allowance
	max    int
	bytes  []byte
	taken  int64
}

// NewBuffer returns a buffer of at most max bytes, which takes its memory from that of all.
func NewBuffer(memory Allowance, max int) *Buffer { return &Buffer{memory: memory, max: max} }

// Bytes returns the bytes read so far, until Free.
func (b *Buffer) Bytes() []byte { return b.bytes }

// Read reads a body to its end, or until it is larger than the buffer may be or all buffers
// together hold too much. whole is set at its end.
func (b *Buffer) Read(body io.Reader) (whole bool, err error) {
	for {
		if len(b.bytes) == cap(b.bytes) && !b.grow() {
			return false, nil
		}
		n, err := body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}

func (b *Buffer) grow() bool {
	if cap(b.bytes) == 0 {
		b.bytes = make([]byte, 0, min(firstBufferBytes, b.max))
		return true
	}
	size := min(2*cap(b.bytes), b.max)
	if size == cap(b.bytes) || !b.memory.Take(int64(size)) {
		return false
	}
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.memory.Return(b.taken)
	b.bytes, b.taken = grown, int64(size)
	return true
}

// Free drops the bytes and returns their memory. It may be called again.
func (b *Buffer) Free() {
	b.memory.Return(b.taken)
	b.bytes, b.taken = nil, 0
}
