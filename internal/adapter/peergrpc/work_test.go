package peergrpc

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// workHandler also takes work that peers tell of.
type workHandler struct {
	*handler
	target string
	tokens int
}

func (h *workHandler) HandleStarted(target string, tokens int) { h.target, h.tokens = target, tokens }

func (h *workHandler) HandlePullRecords(context.Context, string, port.Offset, int) (port.Batch, error) {
	return port.Batch{Next: 5, Age: 1500*time.Millisecond + 1}, nil
}

// Guards against work that is lost on the way, a router of an earlier version that
// fails calls about it, and knowledge that grows younger by rounding.
func TestWorkAndAgesReachPeers(t *testing.T) {
	is := is.New(t)
	c := NewClient(nil)
	defer c.Close()
	h := &workHandler{handler: &handler{}}
	address, _ := serve(t, h, nil)
	is.NoErr(c.Started(t.Context(), address, "t1", 9000))
	is.Equal(h.target, "t1")
	is.Equal(h.tokens, 9000)
	b, err := c.PullRecords(t.Context(), address, "s", 5, 1)
	is.NoErr(err)
	is.Equal(b.Age, 1501*time.Millisecond)
	older, _ := serve(t, &handler{}, nil)
	is.NoErr(c.Started(t.Context(), older, "t1", 9000))
}
