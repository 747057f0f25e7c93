package limits

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// Guards against buffers that together hold more than their memory, that keep it, or that
// leave none for short responses.
func TestBuffersShareTheirMemory(t *testing.T) {
	const size, memory = 64 << 10, 160 << 10
	is := is.New(t)
	m := NewMemory(memory)
	var open []*Buffer
	held := 0
	for range 20 {
		b := NewBuffer(m, size)
		whole, err := b.Read(iotest.OneByteReader(io.LimitReader(endless{}, 50<<10)))
		is.NoErr(err)
		is.True(bytes.HasPrefix([]byte(strings.Repeat("x", 50<<10)), b.Bytes()))
		is.Equal(whole, len(b.Bytes()) == 50<<10)
		held += max(0, cap(b.Bytes())-firstBufferBytes)
		open = append(open, b)
	}
	is.True(held <= memory)
	short := NewBuffer(m, size)
	whole, err := short.Read(strings.NewReader("short"))
	is.NoErr(err)
	is.True(whole)
	for _, b := range open {
		b.Free()
		b.Free()
	}
	is.True(m.Take(memory))
	is.True(!m.Take(1))
}

// Guards against a buffer that grows beyond its size, and a body whose end or failure is lost.
func TestBufferReadsUpToItsSize(t *testing.T) {
	is := is.New(t)
	b := NewBuffer(NewMemory(1<<20), 10<<10)
	whole, err := b.Read(endless{})
	is.NoErr(err)
	is.True(!whole)
	is.Equal(len(b.Bytes()), 10<<10)
	b = NewBuffer(NewMemory(0), 10<<10)
	_, err = b.Read(io.MultiReader(strings.NewReader("begin"), iotest.ErrReader(io.ErrUnexpectedEOF)))
	is.Equal(err, io.ErrUnexpectedEOF)
	is.Equal(string(b.Bytes()), "begin")
}

type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}
