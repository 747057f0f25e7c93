package limits

import "sync/atomic"

// Memory bounds the bytes that the buffers of all requests hold together: what one request may
// hold, a few hundred at once may not. It is safe for concurrent use.
type Memory struct{ free atomic.Int64 }

// NewMemory returns a Memory of the given size.
func NewMemory(bytes int64) *Memory {
	m := &Memory{}
	m.free.Store(bytes)
	return m
}

// Take takes bytes and reports whether they were free.
func (m *Memory) Take(bytes int64) bool {
	if m.free.Add(-bytes) >= 0 {
		return true
	}
	m.free.Add(bytes)
	return false
}

// Return returns bytes that were taken.
func (m *Memory) Return(bytes int64) { m.free.Add(bytes) }
