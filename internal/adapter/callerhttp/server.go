// Package callerhttp is the HTTP server for callers: completions, chat
// completions and plain service calls.
package callerhttp

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"mimosaseam.example/mimosaseam/internal/adapter/clientconn"
	"mimosaseam.example/mimosaseam/internal/app/completions"
	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Router runs completions and service calls.
type Router interface {
	Completion(ctx context.Context, req completions.CompletionRequest, sink completions.Sink) (completions.Completion, error)
	ServiceCall(ctx context.Context, req completions.ServiceRequest) (completions.ServiceReply, error)
}

// Limits bound the resources that callers may use. Zero fields default to
// DefaultLimits.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration
	// WriteTimeout bounds each write to a slow caller.
	WriteTimeout time.Duration
	// OpenRequestsPerAccount bounds the concurrently open requests of one account,
	// including queued ones.
	OpenRequestsPerAccount int
	// OpenRequests bounds the open requests of all accounts.
	OpenRequests int
	// MaxTokens bounds the max_tokens of requests; DefaultTokens is used if it is
	// missing.
	MaxTokens     int
	DefaultTokens int
}

// DefaultLimits are used for fields that are not set. A body of 4 MiB holds a
// prompt of a million tokens.
var DefaultLimits = Limits{
	HeaderBytes: 32 << 10, BodyBytes: 4 << 20,
	HeaderTimeout: 5 * time.Second, BodyTimeout: 20 * time.Second, IdleTimeout: 90 * time.Second,
	WriteTimeout:           10 * time.Second,
	OpenRequestsPerAccount: 512, OpenRequests: 4096,
	MaxTokens: 32768, DefaultTokens: 512,
}

// Deps are the dependencies of a Server. Router and Source are required.
type Deps struct {
	Router  Router
	Source  config.Source
	Clock   port.Clock
	Logger  *slog.Logger
	Tracer  trace.Tracer
	Metrics completions.Metrics
	Limits  Limits
}

// Server serves callers.
type Server struct {
	Deps
	keys keyIndex
	open openRequests
}

// New returns a Server with defaults filled in.
func New(d Deps) *Server {
	if d.Clock == nil {
		d.Clock = port.SystemClock{}
	}
	if d.Logger == nil {
		d.Logger = slog.New(slog.DiscardHandler)
	}
	if d.Tracer == nil {
		d.Tracer = noop.NewTracerProvider().Tracer("")
	}
	d.Limits = d.Limits.withDefaults()
	return &Server{Deps: d, open: openRequests{accounts: map[config.Ref]int{}}}
}

func (l Limits) withDefaults() Limits {
	d := DefaultLimits
	setDefault(&l.HeaderBytes, d.HeaderBytes)
	setDefault(&l.BodyBytes, d.BodyBytes)
	setDefault(&l.HeaderTimeout, d.HeaderTimeout)
	setDefault(&l.BodyTimeout, d.BodyTimeout)
	setDefault(&l.IdleTimeout, d.IdleTimeout)
	setDefault(&l.WriteTimeout, d.WriteTimeout)
	setDefault(&l.OpenRequestsPerAccount, d.OpenRequestsPerAccount)
	setDefault(&l.OpenRequests, d.OpenRequests)
	setDefault(&l.MaxTokens, d.MaxTokens)
	setDefault(&l.DefaultTokens, d.DefaultTokens)
	return l
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// HTTPServer returns an http.Server for the address with the limits applied.
// The caller listens and shuts it down.
func (s *Server) HTTPServer(address string) *http.Server {
	return &http.Server{
		Addr: address, Handler: s,
		ReadHeaderTimeout: s.Limits.HeaderTimeout,
		IdleTimeout:       s.Limits.IdleTimeout,
		MaxHeaderBytes:    s.Limits.HeaderBytes,
		ConnState:         clientconn.OnStateChange,
		ConnContext:       clientconn.WithConn,
		ErrorLog:          slog.NewLogLogger(s.Logger.Handler(), slog.LevelWarn),
		// The server would answer "OPTIONS *" itself and wait for its body without a time limit.
		DisableGeneralOptionsHandler: true,
	}
}

// exchange is one request and its response.
type exchange struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	rc      *http.ResponseController
	id      string
	account config.Ref
	started time.Time
	status  int
	span    trace.Span
	// bodyRead is set once the body was read, or refused while it was.
	bodyRead bool
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x, ok := s.accept(w, r)
	defer x.span.End()
	if !ok {
		return
	}
	defer x.release()
	x.route()
}

func (x *exchange) release() { x.s.open.release(x.account) }

// accept authenticates a request and counts it as open, or refuses it. It is
// separate from ServeHTTP to keep the stack frames below the handler's blocking
// read small, because every open stream holds them.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) (x *exchange, ok bool) {
	x = &exchange{s: s, w: w, r: r, rc: http.NewResponseController(w), id: requestID(r), started: s.Clock.Now()}
	snapshot := s.Source.Current()
	account, ok := s.keys.account(snapshot, r.Header.Get("Authorization"))
	ctx := r.Context()
	if ok {
		// Traces of unauthenticated callers are not continued, because their
		// flags would control sampling.
		ctx = propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(r.Header))
	}
	ctx, x.span = s.Tracer.Start(ctx, "accept", trace.WithAttributes(attribute.String("request_id", x.id)))
	x.r = r.WithContext(ctx)
	w.Header().Set("X-Request-Id", x.id)
	if !ok && (snapshot == nil || len(snapshot.Accounts) == 0) {
		// The key may be valid: this router knows none yet.
		x.refuse(http.StatusServiceUnavailable, string(completions.KindUnavailable), "no client account is configured on this router yet", time.Second)
		return x, false
	}
	if !ok {
		x.refuse(http.StatusUnauthorized, "unauthorized", "the API key is missing or unknown", 0)
		return x, false
	}
	x.account = account
	x.span.SetAttributes(attribute.String("account", account.String()))
	if !s.open.acquire(account, s.Limits) {
		x.refuse(http.StatusTooManyRequests, string(completions.KindRateLimited), "too many open requests", time.Second)
		return x, false
	}
	return x, true
}

func (x *exchange) route() {
	path := x.r.URL.EscapedPath()
	switch {
	case path == "/v1/completions" || path == "/v1/chat/completions":
		if x.r.Method != http.MethodPost {
			x.w.Header().Set("Allow", http.MethodPost)
			x.refuse(http.StatusMethodNotAllowed, string(completions.KindInvalid), "use POST", 0)
			return
		}
		x.completion(path == "/v1/chat/completions")
	case strings.HasPrefix(path, servicePrefix):
		x.service(strings.TrimPrefix(path, servicePrefix))
	default:
		x.refuse(http.StatusNotFound, string(completions.KindNotFound), "there is nothing at this path", 0)
	}
}

// logRequest writes the log line of a finished request.
func (x *exchange) logRequest(kind string, attrs ...slog.Attr) {
	attrs = append(attrs, slog.String("request_id", x.id), slog.String("account", x.account.String()),
		slog.String("method", x.r.Method), slog.Int("status", x.status), slog.String("result", kind),
		slog.Float64("duration_ms", float64(x.s.Clock.Now().Sub(x.started))/float64(time.Millisecond)))
	x.s.Logger.LogAttrs(x.r.Context(), slog.LevelInfo, "request", attrs...)
}
