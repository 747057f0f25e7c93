// Package peergrpc implements the calls between routers over gRPC.
package peergrpc

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	peerv1 "mimosaseam.example/mimosaseam/api/peer/v1"
	"mimosaseam.example/mimosaseam/internal/panics"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// maxMessageBytes bounds every message in both directions. A snapshot of 540
	// routers is about 50 KB; summaries of stopping routers are larger.
	maxMessageBytes = 4 << 20
	// maxPullBytes bounds the size of the records in one response; at least one record
	// is always sent.
	maxPullBytes = 1 << 20
	// maxPullRecords bounds the number of records in one response.
	maxPullRecords = 1000
	// maxNameBytes bounds the sender's name, which is retained.
	maxNameBytes = 256
	// maxHandleTime bounds the handling of a call, whatever the caller's deadline.
	maxHandleTime = 10 * time.Second
	// maxConcurrentCalls bounds the calls on one connection.
	maxConcurrentCalls = 64
	// maxIdle closes connections between routers that are no longer neighbours.
	maxIdle = 5 * time.Minute
	// windowBytes is a static flow-control window; dynamic windows send probes with
	// each call.
	windowBytes = 256 << 10
)

// NewServer returns a gRPC server that passes the calls of other routers to h.
// The credentials should require client certificates; nil: no TLS.
func NewServer(h port.PeerHandler, creds credentials.TransportCredentials, log *slog.Logger) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxConcurrentCalls),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		grpc.ConnectionTimeout(maxHandleTime),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: maxIdle}),
		grpc.ChainUnaryInterceptor(catchPanics(log), limitDuration, continueTrace),
	}
	if creds != nil {
		options = append(options, grpc.Creds(creds))
	}
	s := grpc.NewServer(options...)
	peerv1.RegisterPeerServer(s, &server{handler: h})
	return s
}

// catchPanics converts a panic to a failed call: gRPC would end the process.
func catchPanics(log *slog.Logger) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (out any, err error) {
		defer func() {
			if value := recover(); value != nil {
				panics.Log(log, info.FullMethod, value)
				out, err = nil, status.Error(codes.Internal, "unexpected error")
			}
		}()
		return next(ctx, req)
	}
}

func limitDuration(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, maxHandleTime)
	defer cancel()
	return next(ctx, req)
}

type server struct {
	peerv1.UnimplementedPeerServer
	handler port.PeerHandler
}

func (s *server) Exchange(ctx context.Context, in *peerv1.ExchangeMessage) (*peerv1.ExchangeMessage, error) {
	if err := checkSender(in.GetFrom()); err != nil {
		return nil, err
	}
	out, err := s.handler.HandleExchange(ctx, fromExchange(in))
	if err != nil {
		return nil, toStatus(err)
	}
	return toExchange(out), nil
}

func (s *server) PullRecords(ctx context.Context, in *peerv1.PullRecordsRequest) (*peerv1.PullRecordsResponse, error) {
	limit := int(min(in.GetLimit(), maxPullRecords))
	b, err := s.handler.HandlePullRecords(ctx, in.GetStream(), port.Offset(in.GetFrom()), limit)
	var expired *port.ExpiredError
	if errors.As(err, &expired) {
		return &peerv1.PullRecordsResponse{Expired: true, Oldest: uint64(expired.Oldest)}, nil
	}
	if err != nil {
		return nil, toStatus(err)
	}
	return toRecords(truncateBatch(b)), nil
}

// truncateBatch cuts a batch to maxPullBytes, but always leaves at least one record.
func truncateBatch(b port.Batch) port.Batch {
	size := 0
	for i, r := range b.Records {
		size += len(r.Data) + len(r.ID)
		if i > 0 && size > maxPullBytes {
			b.Next = r.Offset
			b.Records = b.Records[:i]
			break
		}
	}
	return b
}

func (s *server) Summary(ctx context.Context, _ *peerv1.SummaryRequest) (*peerv1.SummaryResponse, error) {
	out, err := s.handler.HandleSummary(ctx)
	if err != nil {
		return nil, toStatus(err)
	}
	return &peerv1.SummaryResponse{From: toMember(out.From), Gossip: toGossip(out.Gossip), Summary: out.Summary}, nil
}

func (s *server) Handoff(ctx context.Context, in *peerv1.HandoffRequest) (*peerv1.HandoffResponse, error) {
	if err := checkSender(in.GetFrom()); err != nil {
		return nil, err
	}
	if err := s.handler.HandleHandoff(ctx, fromMember(in.GetFrom()), in.GetSummary()); err != nil {
		return nil, toStatus(err)
	}
	return &peerv1.HandoffResponse{}, nil
}

func (s *server) Started(_ context.Context, in *peerv1.StartedRequest) (*peerv1.StartedResponse, error) {
	if h, ok := s.handler.(port.PrefillHandler); ok {
		h.HandleStarted(in.GetTarget(), int(in.GetTokens()))
	}
	return &peerv1.StartedResponse{}, nil
}

func (s *server) Loading(_ context.Context, in *peerv1.LoadingRequest) (*peerv1.LoadingResponse, error) {
	if h, ok := s.handler.(port.LoadingHandler); ok {
		h.HandleLoading(port.TargetLoading{Target: in.GetTarget(), Model: in.GetModel(), Version: int(in.GetVersion()),
			Pause: time.Duration(in.GetPauseMs()) * time.Millisecond})
	}
	return &peerv1.LoadingResponse{}, nil
}

func (s *server) Rate(_ context.Context, in *peerv1.RateRequest) (*peerv1.RateResponse, error) {
	if h, ok := s.handler.(port.RateHandler); ok {
		h.HandleRate(port.TargetRate{Target: port.Incarnation(in.GetTarget()), PerSecond: in.GetPerSecond(),
			Age: time.Duration(in.GetAgeMs()) * time.Millisecond})
	}
	return &peerv1.RateResponse{}, nil
}

func (s *server) Reserve(_ context.Context, in *peerv1.ReserveRequest) (*peerv1.ReserveResponse, error) {
	h, ok := s.handler.(port.ReservationHandler)
	return &peerv1.ReserveResponse{Granted: !ok || h.HandleReserve(in.GetTarget(), in.GetFingerprint(), in.GetRelease())}, nil
}

func checkSender(m *peerv1.Member) error {
	if m.GetName() == "" || len(m.GetName()) > maxNameBytes || !knownState(m.GetState()) {
		return status.Error(codes.InvalidArgument, "the sender's name or state is invalid")
	}
	return nil
}

func toStatus(err error) error {
	var bad *port.BadRequestError
	var missing *port.NotFoundError
	switch {
	case errors.As(err, &bad):
		return status.Error(codes.InvalidArgument, bad.Message)
	case errors.As(err, &missing):
		return status.Error(codes.NotFound, err.Error())
	case errors.Is(err, context.DeadlineExceeded):
		return status.Error(codes.DeadlineExceeded, err.Error())
	default:
		return status.Error(codes.Internal, err.Error())
	}
}

func sizeOf(m proto.Message) int { return proto.Size(m) }
