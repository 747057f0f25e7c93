package router

import (
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against a stream that breaks at any step and reaches the caller
// incomplete, out of order or with chunks repeated.
func TestBrokenStreamsAreResumedWhole(t *testing.T) {
	broken := &port.BrokenStreamError{Target: "e1"}
	for name, after := range map[string]int{"before the first chunk": 0, "mid-way": 3, "before the terminal mark": 5} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, nil)
			b.engine.scripts["e1"] = breakAfter(after, broken)
			sink := &textSink{}
			end, err := b.complete(t.Context(), "p", 6, sink)
			is.NoErr(err)
			is.Equal(sink.text.String(), whole("p", 6))
			is.Equal(sink.wrong, 0)
			is.Equal(end.Target, "e2")
			is.Equal(end.Usage.CompletionTokens, 6)
			resumed := b.engine.sent[1].g
			is.Equal(resumed.ResumeFrom, after)
			is.Equal(resumed.ResumeText, whole("p", after))
			is.Equal(resumed.ExpectWeights, "v1")
		})
	}
}
