// Package platformhttp implements the ports of the platform's services (log,
// VM list, KV store, weight store) over HTTP with JSON.
//
// Errors are classified by what the caller may conclude. A failed dial, 503 and
// 429 mean that the call had no effect. A failure after a connection was obtained,
// without a valid response, leaves the outcome unknown.
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
	// maxMessageBytes bounds the part of a remote error message that is retained.
	maxMessageBytes = 200
	// defaultRetryAfter applies to a 429 without a usable Retry-After.
	defaultRetryAfter = time.Second
)

// ErrInvalidResponse means that a response with a success status violates the
// protocol.
var ErrInvalidResponse = eris.New("the response violates the protocol")

// StatusError is a response with a status that the protocol does not define.
type StatusError struct {
	Status  int
	Message string
}

func (e *StatusError) Error() string {
	return "status " + strconv.Itoa(e.Status) + ": " + e.Message
}

// ResponseTooLargeError means that a response exceeds the configured limit.
type ResponseTooLargeError struct{ MaxBytes int64 }

func (e *ResponseTooLargeError) Error() string {
	return "the response is over " + strconv.FormatInt(e.MaxBytes, 10) + " bytes"
}

// Options configures a client of a platform service.
type Options struct {
	// BaseURL is the scheme and authority, e.g. "https://10.0.0.1:8443".
	BaseURL string
	// Client sends the requests; TLS is configured on its transport. Nil:
	// http.DefaultClient.
	Client *http.Client
	// Timeout bounds each call, so that a connection that stopped responding is
	// abandoned. The wait of a long poll is added to it. 0: 5 s.
	Timeout time.Duration
	// MaxResponseBytes bounds the body of a response. 0: 8 MiB.
	MaxResponseBytes int64
	// Tracer records a span for each append, each read that is not an idle long
	// poll, and each read of the VM list. Nil: none.
	Tracer trace.Tracer
}

// caller sends the requests to one platform service and classifies failures.
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
	// extraTimeout is added to the timeout.
	extraTimeout time.Duration
}

type response struct {
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
	// Following a redirect could repeat an append at another server.
	c.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	if c.maxBytes <= 0 {
		c.maxBytes = defaultMaxResponseBytes
	}
	return c
}

// do sends the request. It returns responses with status 2xx and 4xx, except 408
// and 429; all others are errors.
func (c *caller) do(ctx context.Context, r request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+r.extraTimeout)
	defer cancel()
	// GotConn is used instead of WroteHeaders, which runs on the connection's own
	// goroutine and may be called after the error has been returned.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return response{}, &port.UnavailableError{Peer: c.peer, Cause: err}
	}
	if r.contentType != "" {
		req.Header.Set("Content-Type", r.contentType)
	}
	resp, err := c.client.Do(req)
	switch {
	case err != nil && sent.Load():
		return response{}, c.unknown(err)
	case err != nil:
		return response{}, &port.UnavailableError{Peer: c.peer, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return c.receive(resp)
}

func (c *caller) receive(resp *http.Response) (response, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBytes+1))
	if err == nil && int64(len(body)) > c.maxBytes {
		err = &ResponseTooLargeError{MaxBytes: c.maxBytes}
	}
	status := resp.StatusCode
	cause := &StatusError{Status: status, Message: message(body)}
	switch {
	case status == http.StatusTooManyRequests:
		return response{}, &port.RateLimitedError{Peer: c.peer, RetryAfter: retryAfter(resp.Header)}
	case status == http.StatusServiceUnavailable:
		return response{}, &port.UnavailableError{Peer: c.peer, Cause: cause}
	case status < 200 || status == http.StatusRequestTimeout || status >= 500 || status/100 == 3:
		return response{}, c.unknown(cause)
	case err != nil:
		return response{}, c.unknown(err)
	}
	return response{status: status, body: body}, nil
}

// checkStatus converts a 4xx response to an error.
func (c *caller) checkStatus(resp response) error {
	if resp.status < 300 {
		return nil
	}
	return &port.BadRequestError{Peer: c.peer, Status: resp.status, Message: message(resp.body)}
}

func (c *caller) unknown(cause error) error {
	return &port.UnknownOutcomeError{Peer: c.peer, Cause: cause}
}

// doJSON sends in as JSON (nil: no body) and decodes a 2xx response into out
// (nil: ignored).
func (c *caller) doJSON(ctx context.Context, r request, in, out any) (response, error) {
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return response{}, &port.UnavailableError{Peer: c.peer, Cause: err}
		}
		r.body, r.contentType = body, "application/json"
	}
	resp, err := c.do(ctx, r)
	if err != nil || resp.status >= 300 || out == nil {
		return resp, err
	}
	if err := json.Unmarshal(resp.body, out); err != nil {
		return resp, c.unknown(eris.Wrap(ErrInvalidResponse, err.Error()))
	}
	return resp, nil
}

// message extracts the message of an error response.
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

// endSpan ends a span. It records only the type of an error, because responses of
// the platform may contain the data sent in the request.
func endSpan(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, fmt.Sprintf("%T", err))
	}
	span.End()
}
