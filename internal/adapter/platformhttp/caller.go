// Package platformhttp implements the ports of the platform's services (log,
// VM list, KV store, weight store) over HTTP with JSON.
//
// Failures are classified by what the caller may conclude. A failed dial, 503
// and 429 mean that the call had no effect. A failure after a connection was
// taken, without a valid answer, leaves the outcome unknown.
package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	defaultTimeout          = 5 * time.Second
	defaultMaxResponseBytes = 8 << 20
	// maxMessageBytes bounds the part of a foreign error message that is kept.
	maxMessageBytes = 200
	// defaultRetryAfter applies to a 429 without a usable Retry-After.
	defaultRetryAfter = time.Second
)

// ErrInvalidResponse means that an answer with a success status does not follow
// the protocol.
var ErrInvalidResponse = eris.New("the answer does not follow the protocol")

// StatusError is an answer with a status that the protocol does not provide.
type StatusError struct {
	Status  int
	Message string
}

func (e *StatusError) Error() string {
	return "status " + strconv.Itoa(e.Status) + ": " + e.Message
}

// ResponseTooLargeError means that an answer is over the configured bound.
type ResponseTooLargeError struct{ MaxBytes int64 }

func (e *ResponseTooLargeError) Error() string {
	return "the answer is over " + strconv.FormatInt(e.MaxBytes, 10) + " bytes"
}

// Options configures a client of a platform service.
type Options struct {
	// BaseURL is the scheme and authority, e.g. "https://10.0.0.1:8443".
	BaseURL string
	// Client carries the requests; TLS is configured on its transport. Nil:
	// http.DefaultClient.
	Client *http.Client
	// Timeout bounds each call, so that a silent connection is given up. A long
	// poll may last its wait in addition. 0: 5 s.
	Timeout time.Duration
	// MaxResponseBytes bounds the body of an answer. 0: 8 MiB.
	MaxResponseBytes int64
	// Tracer gives each append, each read that is no idle long poll, and each
	// read of the VM list a span. Nil: none.
	Tracer trace.Tracer
}

type caller struct {
	tracer   trace.Tracer
	peer     string
	base     string
	client   http.Client
	timeout  time.Duration
	maxBytes int64
}

type request struct {
	method, path string
	contentType  string
	body         []byte
	// extra is added to the timeout.
	extra time.Duration
}

type answer struct {
	status int
	body   []byte
}

func newCaller(peer string, o Options) caller {
	c := caller{
		peer:     peer,
		base:     strings.TrimSuffix(o.BaseURL, "/"),
		timeout:  o.Timeout,
		maxBytes: o.MaxResponseBytes,
		tracer:   o.Tracer,
	}
	if c.tracer == nil {
		c.tracer = noop.NewTracerProvider().Tracer("")
	}
	if o.Client != nil {
		c.client = *o.Client
	}
	// A followed redirect could repeat an append elsewhere.
	c.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	if c.maxBytes <= 0 {
		c.maxBytes = defaultMaxResponseBytes
	}
	return c
}

// do sends the request. Answers with status 2xx and 4xx are returned, except
// 408 and 429; all others are failures.
func (c *caller) do(ctx context.Context, r request) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+r.extra)
	defer cancel()
	// GotConn and not WroteHeaders: the latter runs on the connection's own
	// goroutine and may come after the failure has been returned.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return answer{}, &port.UnavailableError{Peer: c.peer, Cause: err}
	}
	if r.contentType != "" {
		req.Header.Set("Content-Type", r.contentType)
	}
	resp, err := c.client.Do(req)
	switch {
	case err != nil && sent.Load():
		return answer{}, c.unknown(err)
	case err != nil:
		return answer{}, &port.UnavailableError{Peer: c.peer, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return c.receive(resp)
}

func (c *caller) receive(resp *http.Response) (answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBytes+1))
	if err == nil && int64(len(body)) > c.maxBytes {
		err = &ResponseTooLargeError{MaxBytes: c.maxBytes}
	}
	status := resp.StatusCode
	cause := &StatusError{Status: status, Message: message(body)}
	switch {
	case status == http.StatusTooManyRequests:
		return answer{}, &port.RateLimitedError{Peer: c.peer, RetryAfter: retryAfter(resp.Header)}
	case status == http.StatusServiceUnavailable:
		return answer{}, &port.UnavailableError{Peer: c.peer, Cause: cause}
	case status < 200 || status == http.StatusRequestTimeout || status >= 500 || status/100 == 3:
		return answer{}, c.unknown(cause)
	case err != nil:
		return answer{}, c.unknown(err)
	}
	return answer{status: status, body: body}, nil
}

// accept turns a 4xx answer into a failure.
func (c *caller) accept(a answer) error {
	if a.status < 300 {
		return nil
	}
	return &port.BadRequestError{Peer: c.peer, Status: a.status, Message: message(a.body)}
}

func (c *caller) unknown(cause error) error {
	return &port.UnknownOutcomeError{Peer: c.peer, Cause: cause}
}

// doJSON sends in as JSON (nil: no body) and decodes a 2xx answer into out
// (nil: ignored).
func (c *caller) doJSON(ctx context.Context, r request, in, out any) (answer, error) {
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return answer{}, &port.UnavailableError{Peer: c.peer, Cause: err}
		}
		r.body, r.contentType = body, "application/json"
	}
	a, err := c.do(ctx, r)
	if err != nil || a.status >= 300 || out == nil {
		return a, err
	}
	if err := json.Unmarshal(a.body, out); err != nil {
		return a, c.unknown(eris.Wrap(ErrInvalidResponse, err.Error()))
	}
	return a, nil
}

// message extracts the message of an error answer.
func message(body []byte) string {
	var e struct {
		Error struct {
			Type    string `json:"type"`
			Message string `json:"message"`
		} `json:"error"`
	}
	text := string(body)
	if json.Unmarshal(body, &e) == nil && e.Error.Type != "" {
		text = e.Error.Type + ": " + e.Error.Message
	}
	return strings.ToValidUTF8(text[:min(len(text), maxMessageBytes)], "")
}

func retryAfter(h http.Header) time.Duration {
	s, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || s < 0 {
		return defaultRetryAfter
	}
	return time.Duration(s) * time.Second
}

// endSpan ends a span. It tells the kind of a failure only, because answers of
// the platform may repeat what they were sent.
func endSpan(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, fmt.Sprintf("%T", err))
	}
	span.End()
}
