package peergrpc

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// notificationHandler also handles the work and reservations that peers announce.
type notificationHandler struct {
	*handler
	target string
	tokens int
}

func (h *notificationHandler) HandleStarted(target string, tokens int) {
	h.target, h.tokens = target, tokens
}

func (h *notificationHandler) HandleReserve(target string, fingerprint uint64, release bool) bool {
	return target == "t1" && fingerprint == 7 && !release
}

func (h *notificationHandler) HandlePullRecords(context.Context, string, port.Offset, int) (port.Batch, error) {
	return port.Batch{Next: 5, Age: 1500*time.Millisecond + 1}, nil
}

// Guards against announced work that is lost, calls that fail on a router of an
// earlier version, and record ages that rounding makes younger.
func TestPrefillsAndAgesReachPeers(t *testing.T) {
	is := is.New(t)
	c := NewClient(nil)
	defer c.Close()
	h := &notificationHandler{handler: &handler{}}
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

// Guards against an inverted response to a reservation, and against suspect requests
// that cannot run beside a router of an earlier version.
func TestReserveReachesPeers(t *testing.T) {
	is := is.New(t)
	c := NewClient(nil)
	defer c.Close()
	address, _ := serve(t, &notificationHandler{handler: &handler{}}, nil)
	granted, err := c.Reserve(t.Context(), address, "t1", 7, false)
	is.NoErr(err)
	is.True(granted)
	granted, err = c.Reserve(t.Context(), address, "t1", 8, false)
	is.NoErr(err)
	is.True(!granted)
	older, _ := serve(t, &handler{}, nil)
	granted, err = c.Reserve(t.Context(), older, "t1", 8, false)
	is.NoErr(err)
	is.True(granted)
}
