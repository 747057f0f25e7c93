package peergrpc

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	peerv1 "mimosaseam.example/mimosaseam/api/peer/v1"
	"mimosaseam.example/mimosaseam/internal/port"
)

// defaultTimeout bounds calls whose context has no earlier deadline.
const defaultTimeout = 5 * time.Second

// ErrInvalidSender means that a response does not identify its sender.
var ErrInvalidSender = eris.New("the response has no valid sender")

// Client calls other routers. It implements port.Peer and pools a bounded number
// of connections.
type Client struct {
	pool *pool
}

// Option configures a Client.
type Option func(*clientOptions)

type clientOptions struct{ tracer trace.Tracer }

// WithTracer creates a span for each call.
func WithTracer(t trace.Tracer) Option { return func(o *clientOptions) { o.tracer = t } }

// NewClient returns a client. The credentials should hold a client
// certificate; nil: no TLS.
func NewClient(creds credentials.TransportCredentials, options ...Option) *Client {
	o := clientOptions{tracer: noop.NewTracerProvider().Tracer("")}
	for _, set := range options {
		set(&o)
	}
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return &Client{pool: newPool(
		grpc.WithTransportCredentials(creds),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithIdleTimeout(maxIdle),
		grpc.WithUnaryInterceptor(traceCalls(o.tracer)),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	)}
}

// Close closes all connections; calls fail from then on.
func (c *Client) Close() { c.pool.close() }

// Exchange implements port.Peer.
func (c *Client) Exchange(ctx context.Context, address string, e port.PeerExchange) (port.PeerExchange, error) {
	out, err := call(ctx, c, address, func(ctx context.Context, p peerv1.PeerClient) (*peerv1.ExchangeMessage, error) {
		return p.Exchange(ctx, toExchange(e))
	})
	if err == nil && checkSender(out.GetFrom()) != nil {
		err = &port.UnknownOutcomeError{Peer: peerName(address), Cause: ErrInvalidSender}
	}
	if err != nil {
		return port.PeerExchange{}, err
	}
	return fromExchange(out), nil
}

// PullRecords implements port.Peer.
func (c *Client) PullRecords(ctx context.Context, address, stream string, from port.Offset, limit int) (port.Batch, error) {
	in := &peerv1.PullRecordsRequest{Stream: stream, From: uint64(from), Limit: uint32(max(limit, 0))}
	out, err := call(ctx, c, address, func(ctx context.Context, p peerv1.PeerClient) (*peerv1.PullRecordsResponse, error) {
		return p.PullRecords(ctx, in)
	})
	if err != nil {
		return port.Batch{}, err
	}
	if out.GetExpired() {
		return port.Batch{}, &port.ExpiredError{Stream: stream, From: from, Oldest: port.Offset(out.GetOldest())}
	}
	return fromRecords(out), nil
}

// Summary implements port.Peer.
func (c *Client) Summary(ctx context.Context, address string) (port.PeerSummary, error) {
	out, err := call(ctx, c, address, func(ctx context.Context, p peerv1.PeerClient) (*peerv1.SummaryResponse, error) {
		return p.Summary(ctx, &peerv1.SummaryRequest{})
	})
	if err == nil && checkSender(out.GetFrom()) != nil {
		err = &port.UnknownOutcomeError{Peer: peerName(address), Cause: ErrInvalidSender}
	}
	if err != nil {
		return port.PeerSummary{}, err
	}
	return port.PeerSummary{From: fromMember(out.GetFrom()), Gossip: fromGossip(out.GetGossip()), Summary: out.GetSummary()}, nil
}

// Handoff implements port.Peer.
func (c *Client) Handoff(ctx context.Context, address string, from port.Member, summary []byte) error {
	_, err := call(ctx, c, address, func(ctx context.Context, p peerv1.PeerClient) (*peerv1.HandoffResponse, error) {
		return p.Handoff(ctx, &peerv1.HandoffRequest{From: toMember(from), Summary: summary})
	})
	return err
}

// Started implements port.PrefillNotifier.
func (c *Client) Started(ctx context.Context, address, target string, tokens int) error {
	_, err := call(ctx, c, address, func(ctx context.Context, p peerv1.PeerClient) (*peerv1.StartedResponse, error) {
		return p.Started(ctx, &peerv1.StartedRequest{Target: target, Tokens: uint32(max(tokens, 0))})
	})
	return err
}

// Loading implements port.LoadingNotifier.
func (c *Client) Loading(ctx context.Context, address string, l port.TargetLoading) error {
	in := &peerv1.LoadingRequest{Target: l.Target, Model: l.Model, Version: int64(l.Version), PauseMs: uint32(max(l.Pause, 0) / time.Millisecond)}
	_, err := call(ctx, c, address, func(ctx context.Context, p peerv1.PeerClient) (*peerv1.LoadingResponse, error) {
		return p.Loading(ctx, in)
	})
	return err
}

// Rate implements port.RateNotifier.
func (c *Client) Rate(ctx context.Context, address string, r port.TargetRate) error {
	in := &peerv1.RateRequest{Target: string(r.Target), PerSecond: r.PerSecond, AgeMs: uint32(max(r.Age, 0) / time.Millisecond)}
	_, err := call(ctx, c, address, func(ctx context.Context, p peerv1.PeerClient) (*peerv1.RateResponse, error) {
		return p.Rate(ctx, in)
	})
	return err
}

// Reserve implements port.ReservationPeer.
func (c *Client) Reserve(ctx context.Context, address, target string, fingerprint uint64, release bool) (bool, error) {
	out, err := call(ctx, c, address, func(ctx context.Context, p peerv1.PeerClient) (*peerv1.ReserveResponse, error) {
		return p.Reserve(ctx, &peerv1.ReserveRequest{Target: target, Fingerprint: fingerprint, Release: release})
	})
	return out.GetGranted(), err
}

// call runs one call with a deadline. A call that fails as unavailable or by its
// deadline drops the connection, which may no longer respond, so that the next
// call uses a new one.
func call[T any](ctx context.Context, c *Client, address string, run func(context.Context, peerv1.PeerClient) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	conn, err := c.pool.get(address)
	if err != nil {
		var none T
		return none, &port.UnavailableError{Peer: peerName(address), Cause: err}
	}
	out, err := run(ctx, peerv1.NewPeerClient(conn.cc))
	c.pool.put(conn, brokenConnection(err))
	return out, failure(address, err)
}

func peerName(address string) string { return "router " + address }

func brokenConnection(err error) bool {
	code := status.Code(err)
	return code == codes.Unavailable || code == codes.DeadlineExceeded
}

// failure converts a gRPC error. Unavailable maps to an unknown outcome as well,
// because gRPC uses it both for a failed dial and for a connection lost after the
// request was sent.
func failure(address string, err error) error {
	peer := peerName(address)
	switch status.Code(err) {
	case codes.OK:
		return nil
	case codes.InvalidArgument, codes.ResourceExhausted, codes.Unimplemented:
		return &port.BadRequestError{Peer: peer, Status: int(status.Code(err)), Message: status.Convert(err).Message()}
	case codes.NotFound:
		return &port.NotFoundError{Peer: peer, Name: status.Convert(err).Message()}
	default:
		return &port.UnknownOutcomeError{Peer: peer, Cause: err}
	}
}
