package peergrpc

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/panics"
	"mimosaseam.example/mimosaseam/internal/port"
)

// peerHandler also handles prefill notifications and reservations.
type peerHandler struct {
	*handler
	target  string
	tokens  int
	loading port.TargetLoading
	rate    port.TargetRate
}

func (h *peerHandler) HandleStarted(target string, tokens int) { h.target, h.tokens = target, tokens }

func (h *peerHandler) HandleLoading(l port.TargetLoading) { h.loading = l }

func (h *peerHandler) HandleRate(r port.TargetRate) { h.rate = r }

func (h *peerHandler) HandleReserve(target string, fingerprint uint64, release bool) bool {
	return target == "t1" && fingerprint == 7 && !release
}

func (h *peerHandler) HandlePullRecords(context.Context, string, port.Offset, int) (port.Batch, error) {
	return port.Batch{Next: 5, Age: 1500*time.Millisecond + 1}, nil
}

// Guards against prefill notifications that are lost, calls that fail on a router of an
// earlier version, and record ages that rounding makes younger.
func TestPrefillsAndAgesReachPeers(t *testing.T) {
	is := is.New(t)
	c := NewClient(nil)
	defer c.Close()
	h := &peerHandler{handler: &handler{}}
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
	address, _ := serve(t, &peerHandler{handler: &handler{}}, nil)
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

// Guards against announcements of loading targets that are lost or changed on the way, and
// calls that fail on a router of an earlier version.
func TestLoadingReachesPeers(t *testing.T) {
	is := is.New(t)
	c := NewClient(nil)
	defer c.Close()
	h := &peerHandler{handler: &handler{}}
	address, _ := serve(t, h, nil)
	for _, l := range []port.TargetLoading{
		{Target: "t1", Model: "m", Version: 4, Pause: 1500 * time.Millisecond},
		{Target: "t1", Model: "m", Version: 4},
	} {
		is.NoErr(c.Loading(t.Context(), address, l))
		is.Equal(h.loading, l)
	}
	older, _ := serve(t, &handler{}, nil)
	is.NoErr(c.Loading(t.Context(), older, port.TargetLoading{Target: "t1"}))
}

// Guards against rates of targets that are lost or changed on the way, and calls that fail
// on a router of an earlier version.
func TestRateReachesPeers(t *testing.T) {
	is := is.New(t)
	c := NewClient(nil)
	defer c.Close()
	h := &peerHandler{handler: &handler{}}
	address, _ := serve(t, h, nil)
	for _, r := range []port.TargetRate{{Target: "t1@1", PerSecond: 2.3, Age: 40 * time.Millisecond}, {Target: "t1@1"}} {
		is.NoErr(c.Rate(t.Context(), address, r))
		is.Equal(h.rate, r)
	}
	older, _ := serve(t, &handler{}, nil)
	is.NoErr(c.Rate(t.Context(), older, port.TargetRate{Target: "t1@1"}))
}

// panickingHandler panics in HandlePullRecords.
type panickingHandler struct{ *handler }

func (panickingHandler) HandlePullRecords(context.Context, string, port.Offset, int) (port.Batch, error) {
	panic("unexpected")
}

// Guards against an unexpected error in one call of a peer that ends the process.
func TestPanicEndsItsCallOnly(t *testing.T) {
	is := is.New(t)
	c := NewClient(nil)
	defer c.Close()
	address, _ := serve(t, panickingHandler{&handler{}}, nil)
	before := panics.Count()
	_, err := c.PullRecords(t.Context(), address, "s", 1, 1)
	var unknown *port.UnknownOutcomeError
	is.True(errors.As(err, &unknown))
	is.Equal(panics.Count(), before+1)
	is.NoErr(c.Started(t.Context(), address, "t1", 1))
}
