package peergrpc

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/credentials"

	"mimosaseam.example/mimosaseam/internal/port"
)

var (
	now  = time.Unix(1_700_000_000, 123_000).UTC()
	full = port.PeerExchange{
		From: port.Member{
			Name: "r1", Address: "10.0.0.1:7000", Region: "r", AvailabilityZone: "z", Incarnation: 7, State: port.MemberLeaving,
		},
		Urgent: true,
		Gossip: port.Gossip{
			Members: []port.Member{{Name: "r2", Incarnation: 9, State: port.MemberDead}},
			Targets: []port.TargetMark{
				{Target: "e1", Incarnation: "life-1", Version: 3, Age: 2 * time.Second}, {Target: "e2", Version: 4, Returned: true},
			},
			Fingerprints: []port.Fingerprint{{Value: "\xff\x00", Age: time.Second}},
			MembersHash:  1, TargetsHash: 2,
		},
		ConfigOffset: 11,
		InFlight:     []port.TargetCount{{Target: "e1", Count: 5}},
		Demand:       []port.AccountDemand{{ClientAccount: "acme", Demand: 2.5}},
		Summary:      []byte("hot"),
	}
)

// Guards against fields that are lost between client and server.
func TestCallsCarryEverything(t *testing.T) {
	is := is.New(t)
	var got port.PeerExchange
	var handedOff string
	h := &handler{
		exchange: func(ctx context.Context, e port.PeerExchange) (port.PeerExchange, error) {
			_, limited := ctx.Deadline()
			is.True(limited)
			got = e
			return full, nil
		},
		handoff: func(from port.Member, summary []byte) { handedOff = from.Name + string(summary) },
		summary: port.PeerSummary{From: full.From, Gossip: full.Gossip, Summary: make([]byte, 256<<10)},
	}
	address, _ := serve(t, h, nil)
	c := NewClient(nil)
	defer c.Close()
	response, err := c.Exchange(t.Context(), address, full)
	is.NoErr(err)
	is.Equal(response, full)
	is.Equal(got, full)
	s, err := c.Summary(t.Context(), address)
	is.NoErr(err)
	is.Equal(s, h.summary)
	is.NoErr(c.Handoff(t.Context(), address, full.From, []byte("s")))
	is.Equal(handedOff, "r1s")
}

// Guards against responses over the size limit, batches truncated to no records, fields that are
// not sent, and an expired offset reported as another failure.
func TestPullRecords(t *testing.T) {
	records := func(n, size int) port.Batch {
		b := port.Batch{Next: port.Offset(n + 1), Oldest: 1, End: port.Offset(n + 1)}
		for i := range n {
			b.Records = append(b.Records, port.Record{Offset: port.Offset(i + 1), ID: "id", AppendedAt: now, Data: make([]byte, size)})
		}
		return b
	}
	cases := map[string]struct {
		stored port.Batch
		err    error
		want   int
	}{
		"small records":       {stored: records(3, 10), want: 3},
		"over the byte bound": {stored: records(5, 400<<10), want: 2},
		"one large record":    {stored: records(2, 2<<20), want: 1},
		"all fields": {stored: port.Batch{Next: 2, Oldest: 1, End: 2, Records: []port.Record{{Offset: 1, ID: "id", AppendedAt: now, Data: []byte("d"),
			LastRevision: &port.Revision{Epoch: 1, Number: 2}, IsRenewed: true, IsFinal: true}}}, want: 1},
		"expired": {err: &port.ExpiredError{Stream: "config", From: 1, Oldest: 4}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &handler{records: func(_ port.Offset, limit int) (port.Batch, error) {
				is.Equal(limit, maxPullRecords)
				return c.stored, c.err
			}}
			address, _ := serve(t, h, nil)
			client := NewClient(nil)
			defer client.Close()
			b, err := client.PullRecords(t.Context(), address, "config", 1, 1<<20)
			if c.err != nil {
				is.Equal(err, c.err)
				return
			}
			is.NoErr(err)
			is.Equal(b.Records, c.stored.Records[:c.want])
			is.Equal(b.Next, port.Offset(c.want+1))
			is.Equal(b.End, c.stored.End)
		})
	}
}

// Guards against routers that accept peers without a valid certificate, and against
// untyped errors.
func TestFailures(t *testing.T) {
	server, client, noCert := mutualTLS(t)
	ok := func(context.Context, port.PeerExchange) (port.PeerExchange, error) { return full, nil }
	anonymous := func(context.Context, port.PeerExchange) (port.PeerExchange, error) { return port.PeerExchange{}, nil }
	cancelled, cancel := context.WithCancel(t.Context())
	hang := func(ctx context.Context, _ port.PeerExchange) (port.PeerExchange, error) {
		cancel()
		<-ctx.Done()
		return port.PeerExchange{}, ctx.Err()
	}
	var (
		unknown *port.UnknownOutcomeError
		bad     *port.BadRequestError
	)
	cases := map[string]struct {
		ctx    context.Context
		creds  credentials.TransportCredentials
		handle func(context.Context, port.PeerExchange) (port.PeerExchange, error)
		send   port.PeerExchange
		want   any
	}{
		"mutual TLS":              {t.Context(), client, ok, full, nil},
		"no client certificate":   {t.Context(), noCert, ok, full, &unknown},
		"no TLS":                  {t.Context(), nil, ok, full, &unknown},
		"sender without a name":   {t.Context(), client, ok, port.PeerExchange{}, &bad},
		"message over the bound":  {t.Context(), client, ok, port.PeerExchange{From: full.From, Summary: make([]byte, maxMessageBytes)}, &bad},
		"response without a name": {t.Context(), client, anonymous, full, &unknown},
		"no response":             {cancelled, client, hang, full, &unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, _ := serve(t, &handler{exchange: c.handle}, server)
			client := NewClient(c.creds)
			defer client.Close()
			_, err := client.Exchange(c.ctx, address, c.send)
			if c.want == nil {
				is.NoErr(err)
				return
			}
			is.True(errors.As(err, c.want))
		})
	}
	t.Run("closed client", func(t *testing.T) {
		closed := NewClient(nil)
		closed.Close()
		_, err := closed.Exchange(t.Context(), "127.0.0.1:1", full)
		is.New(t).True(errors.Is(err, ErrClosed))
	})
}

// Guards against reuse of a connection that stopped responding, and against dialling
// for each call.
func TestConnectionsAreReusedUntilTheyFail(t *testing.T) {
	is := is.New(t)
	var silent atomic.Bool
	address, listener := serve(t, &handler{exchange: func(ctx context.Context, _ port.PeerExchange) (port.PeerExchange, error) {
		if silent.Load() {
			<-ctx.Done()
		}
		return full, ctx.Err()
	}}, nil)
	c := NewClient(nil)
	defer c.Close()
	for range 3 {
		_, err := c.Exchange(t.Context(), address, full)
		is.NoErr(err)
	}
	is.Equal(listener.conns.Load(), int64(1))
	silent.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Exchange(ctx, address, full)
	is.True(err != nil)
	silent.Store(false)
	_, err = c.Exchange(t.Context(), address, full)
	is.NoErr(err)
	is.Equal(listener.conns.Load(), int64(2))
}

// Guards against connections that accumulate as routers join and leave.
func TestPoolIsBounded(t *testing.T) {
	is := is.New(t)
	p := newPool(insecureOption())
	var first *connection
	for i := range 2 * maxConnections {
		c, err := p.get("10.0.0.1:" + string(rune('A'+i)))
		is.NoErr(err)
		if first == nil {
			first = c
			continue
		}
		p.put(c, false)
	}
	is.Equal(len(p.conns), maxConnections)
	is.True(first.dropped && first.calls == 1)
	is.True(first.cc.GetState().String() != "SHUTDOWN") // its call is still running
	p.put(first, false)
	is.Equal(first.cc.GetState().String(), "SHUTDOWN")
}
