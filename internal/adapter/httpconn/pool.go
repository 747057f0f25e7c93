// Package httpconn sends HTTP/1.1 requests to targets over pooled connections and
// distinguishes requests that never left this process from those that may have
// arrived.
package httpconn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/propagation"

	"mimosaseam.example/mimosaseam/internal/adapter/sockbuf"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	dialTimeout      = 2 * time.Second
	handshakeTimeout = 3 * time.Second
	keepAlive        = 15 * time.Second
	idleTimeout      = 90 * time.Second
	// maxIdlePerTarget covers the usual number of streams of a target. The default
	// of net/http, two, would make it dial for all others.
	maxIdlePerTarget = 1024
	// MaxHeaderBytes bounds the header of a response, far above any that targets send. A
	// parsed one takes up to sixteen times its size, and each open request may hold one.
	MaxHeaderBytes = 8 << 10
	// bufferBytes is the size of each connection's read and write buffer. Chunks
	// have about 100 bytes, and larger bodies are written past the buffer, so
	// net/http's 4 KiB would only add to the memory of each open stream.
	bufferBytes = 1 << 10
	// maxStatus is the largest status code of HTTP.
	maxStatus = 599
	// maxRetryAfter bounds the Retry-After that a target may request.
	maxRetryAfter = 10 * time.Minute
)

// ErrInvalidStatus means that a status code is none of a final response. Handlers of
// net/http panic on some, and relay bytes of any kind after 101.
var ErrInvalidStatus = eris.New("the status of the response is invalid")

// TargetBuffers bound what the kernel holds of a response that is not read because its client does
// not take it. What is sent is held by this process as well.
var TargetBuffers = sockbuf.Sizes{Receive: 32 << 10}

// Options configures a Pool.
type Options struct {
	// Transport is copied and used as given, except that compression, HTTP/2
	// and proxies are switched off. Nil: a transport sized for many streams.
	Transport *http.Transport
	// TLS switches to https. A transport's own TLS configuration does so too.
	TLS *tls.Config
	// Clock is used to compute the time until a deadline. Nil: the system clock.
	Clock port.Clock
}

// Pool sends requests.
type Pool struct {
	pooled *http.Transport
	fresh  *http.Transport
	scheme string
	clock  port.Clock
}

// New returns a pool.
func New(o Options) *Pool {
	t := defaultTransport()
	if o.Transport != nil {
		t = o.Transport.Clone()
	}
	if o.TLS != nil {
		t.TLSClientConfig = o.TLS.Clone()
	}
	p := &Pool{scheme: "http", clock: o.Clock}
	if p.clock == nil {
		p.clock = port.SystemClock{}
	}
	if t.TLSClientConfig != nil || t.DialTLSContext != nil {
		p.scheme = "https"
	}
	t.DisableCompression = true
	t.Proxy = nil
	t.ForceAttemptHTTP2 = false
	t.Protocols = nil
	t.TLSNextProto = map[string]func(string, *tls.Conn) http.RoundTripper{}
	t.DialContext = countWrites(t.DialContext)
	if t.DialTLSContext != nil {
		t.DialTLSContext = countWrites(t.DialTLSContext)
	}
	p.pooled = t
	p.fresh = t.Clone()
	p.fresh.DisableKeepAlives = true
	return p
}

func defaultTransport() *http.Transport {
	return &http.Transport{
		TLSHandshakeTimeout:    handshakeTimeout,
		MaxIdleConnsPerHost:    maxIdlePerTarget,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: MaxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func countWrites(dial dialFunc) dialFunc {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive, Control: TargetBuffers.Control}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c}, nil
	}
}

// Scheme returns "http" or "https".
func (p *Pool) Scheme() string { return p.scheme }

// Close closes the idle connections.
func (p *Pool) Close() {
	p.pooled.CloseIdleConnections()
	p.fresh.CloseIdleConnections()
}

// Failure is the error of a request without a response. NothingSent means that no
// byte of the request was written.
type Failure struct {
	NothingSent bool
	Cause       error
}

func (e *Failure) Error() string { return e.Cause.Error() }

func (e *Failure) Unwrap() error { return e.Cause }

// Send sends the request that build returns, with the trace context of ctx in the
// W3C headers, and waits for the response header. If a pooled connection was closed
// before anything was written, it rebuilds the request and sends it on a new
// connection.
func (p *Pool) Send(ctx context.Context, build func(context.Context) (*http.Request, error)) (*http.Response, error) {
	transport := p.pooled
	if port.FreshConnectionRequested(ctx) {
		transport = p.fresh
	}
	for {
		var tracker connTracker
		request, err := build(httptrace.WithClientTrace(ctx, tracker.trace()))
		if err != nil {
			return nil, &Failure{NothingSent: true, Cause: err}
		}
		propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(request.Header))
		response, err := transport.RoundTrip(request)
		if err == nil && (response.StatusCode < http.StatusOK || response.StatusCode > maxStatus) {
			// A body that was not read closes its connection.
			_ = response.Body.Close()
			return nil, &Failure{Cause: ErrInvalidStatus}
		}
		if err == nil {
			response.Body = &responseBody{ReadCloser: response.Body, use: tracker.last.Load(),
				endsWithConnection: response.ContentLength < 0 && len(response.TransferEncoding) == 0}
			return response, nil
		}
		nothing, reused := tracker.nothingSent()
		if nothing && reused && transport == p.pooled && ctx.Err() == nil {
			transport = p.fresh
			continue
		}
		return nil, &Failure{NothingSent: nothing, Cause: err}
	}
}

// WithDeadline bounds ctx by the deadline, if there is one, and returns the
// remaining time in milliseconds. It is negative if the deadline has passed.
func (p *Pool) WithDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc, int64) {
	if deadline.IsZero() {
		ctx, cancel := context.WithCancel(ctx)
		return ctx, cancel, 0
	}
	remaining := deadline.Sub(p.clock.Now())
	ctx, cancel := context.WithTimeout(ctx, remaining)
	if remaining < time.Millisecond {
		return ctx, cancel, -1
	}
	return ctx, cancel, remaining.Milliseconds()
}

// RetryAfter parses the Retry-After header, given in seconds or as a date.
func (p *Pool) RetryAfter(h http.Header) time.Duration {
	text := h.Get("Retry-After")
	if text == "" {
		return 0
	}
	wait := time.Duration(0)
	if seconds, err := strconv.ParseFloat(text, 64); err == nil && seconds < maxRetryAfter.Seconds() {
		wait = time.Duration(seconds * float64(time.Second))
	} else if err == nil {
		wait = maxRetryAfter
	} else if at, err := http.ParseTime(text); err == nil {
		wait = at.Sub(p.clock.Now())
	}
	return min(max(wait, 0), maxRetryAfter)
}

// RoundTrip implements http.RoundTripper without classifying failures.
func (p *Pool) RoundTrip(r *http.Request) (*http.Response, error) { return p.pooled.RoundTrip(r) }
