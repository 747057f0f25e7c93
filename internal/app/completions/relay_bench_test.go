package completions

import (
	"context"
	"testing"

	"mimosaseam.example/mimosaseam/internal/port"
)

// endlessStream yields chunks without delay, so that only the relay is measured.
type endlessStream struct {
	fakeStream
	n, max int
}

func (s *endlessStream) Next() (port.Chunk, error) {
	c := port.Chunk{Index: s.n, Text: "word"}
	if s.n++; s.n == s.max {
		c.FinishReason = port.FinishStop
	}
	return c, nil
}

type nullSink struct{}

func (nullSink) Chunk(context.Context, port.Chunk) error { return nil }

// BenchmarkRelay measures the relay of one chunk from an attempt to the sink.
func BenchmarkRelay(b *testing.B) {
	r := newTestRouter(b, nil)
	r.engine.scripts["e1"] = func(ctx context.Context, g port.Generation) (port.ChunkStream, error) {
		return &endlessStream{fakeStream: fakeStream{ctx: ctx, inc: "i1", weights: "v1"}, max: g.MaxTokens}, nil
	}
	b.ReportAllocs()
	if _, err := r.complete(b.Context(), "p", b.N, nullSink{}); err != nil {
		b.Fatal(err)
	}
}
