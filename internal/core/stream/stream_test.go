package stream

import (
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against chunks that are delivered twice, out of order or after the
// terminal chunk, and against a response that counts as complete without one.
func TestAssembler(t *testing.T) {
	is := is.New(t)
	var a Assembler
	accept := func(c port.Chunk, want bool) {
		t.Helper()
		fresh, err := a.Accept(c)
		is.NoErr(err)
		is.Equal(fresh, want)
	}
	accept(port.Chunk{Index: 0, Text: "a"}, true)
	accept(port.Chunk{Index: 1, Text: "b"}, true)
	accept(port.Chunk{Index: 0, Text: "a"}, false)
	_, err := a.Accept(port.Chunk{Index: 3, Text: "d"})
	gap, ok := err.(*GapError)
	is.True(ok)
	is.Equal(*gap, GapError{Expected: 2, Got: 3})
	from, text := a.ResumePoint()
	is.Equal(from, 2)
	is.Equal(text, "ab")
	is.True(!a.Complete())
	accept(port.Chunk{Index: 2, Text: "c", FinishReason: port.FinishStop, Usage: &port.Usage{PromptTokens: 5, CompletionTokens: 1}}, true)
	accept(port.Chunk{Index: 3, Text: "d"}, false)
	is.True(a.Complete())
	is.Equal(a.FinishReason(), port.FinishStop)
	is.Equal(a.Usage(), port.Usage{PromptTokens: 5, CompletionTokens: 3})
}
