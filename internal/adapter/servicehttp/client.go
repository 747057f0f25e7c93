// Package servicehttp is the HTTP client of plain services. It never retries a call
// of which a byte was written, and it reports a call as not run only if the service
// declared so or nothing was sent.
package servicehttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/adapter/httpconn"
	"mimosaseam.example/mimosaseam/internal/port"
)

// DefaultMaxReplyBytes bounds the body of a reply.
const DefaultMaxReplyBytes = 32 << 20

// Errors that have no underlying cause.
var (
	ErrTooLarge       = eris.New("the reply exceeds the size limit")
	ErrDeadlinePassed = eris.New("the deadline passed before the call was sent")
)

// hopHeaders belong to one connection and are not passed on, in either
// direction. Host and Content-Length are set by net/http, and the body is always
// sent at once, so Expect is not needed.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Host", "Content-Length", "Expect",
}

// Options configures a Client. Zero limits mean the defaults.
type Options struct {
	httpconn.Options
	MaxReplyBytes int64
}

// Client implements port.Service.
type Client struct {
	pool     *httpconn.Pool
	maxReply int64
}

var _ port.Service = (*Client)(nil)

// New returns a client.
func New(o Options) *Client {
	c := &Client{pool: httpconn.New(o.Options), maxReply: o.MaxReplyBytes}
	if c.maxReply <= 0 {
		c.maxReply = DefaultMaxReplyBytes
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.Close() }

// Call runs one attempt. Every response without X-Not-Run is a reply, whatever its
// status. Reading the reply's body fails with an UnknownOutcomeError if the rest of
// it is lost.
func (c *Client) Call(ctx context.Context, address string, call port.Call) (port.Reply, error) {
	target, err := c.target(address, call.Path)
	if err != nil {
		return port.Reply{}, &port.BadRequestError{Peer: address, Status: http.StatusBadRequest, Message: "the path is not valid"}
	}
	ctx, cancel, remainingMs := c.pool.WithDeadline(ctx, call.Deadline)
	if remainingMs < 0 {
		cancel()
		return port.Reply{}, &port.NotRunError{Target: address, Reason: port.NotRunUnreachable, Cause: ErrDeadlinePassed}
	}
	response, err := c.pool.Send(ctx, func(ctx context.Context) (*http.Request, error) {
		return newRequest(ctx, target, call, remainingMs), nil
	})
	if err != nil {
		cancel()
		return port.Reply{}, callFailure(address, err)
	}
	if httpconn.OfAnotherAttempt(response, call.AttemptID) {
		_ = response.Body.Close() // closes the connection, since it was not read
		cancel()
		return port.Reply{}, &port.UnknownOutcomeError{Peer: address, Cause: httpconn.ErrAnotherAttempt}
	}
	if response.StatusCode >= 400 && response.Header.Get("X-Not-Run") == "true" {
		_ = response.Body.Close()
		httpconn.Retire(response)
		cancel()
		return port.Reply{}, &port.NotRunError{
			Target: address, Reason: port.NotRunDeclared, RetryAfter: c.pool.RetryAfter(response.Header),
		}
	}
	removeHopHeaders(response.Header)
	return port.Reply{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   &replyBody{address: address, body: response.Body, remaining: c.maxReply, cancel: cancel},
	}, nil
}

func (c *Client) target(address, path string) (*url.URL, error) {
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, err
	}
	u.Scheme, u.Host, u.User = c.pool.Scheme(), address, nil
	return u, nil
}

func newRequest(ctx context.Context, target *url.URL, call port.Call, remainingMs int64) *http.Request {
	header := call.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	removeHopHeaders(header)
	set := func(name, value string) {
		header.Del(name)
		if value != "" {
			header.Set(name, value)
		}
	}
	set("X-Request-Id", call.RequestID)
	set("X-Attempt-Id", call.AttemptID)
	set("Idempotency-Key", call.IdempotencyKey)
	set("X-Fencing-Token", "")
	if call.FencingToken > 0 {
		set("X-Fencing-Token", strconv.FormatUint(uint64(call.FencingToken), 10))
	}
	set("X-Deadline-Ms", "")
	if remainingMs > 0 {
		set("X-Deadline-Ms", strconv.FormatInt(remainingMs, 10))
	}
	r := (&http.Request{
		Method: call.Method, URL: target, Host: target.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(call.Body)),
	}).WithContext(ctx)
	// net/http retries a request on its own if it carries an Idempotency-Key
	// (or has an idempotent method) and can be sent again, even after it was
	// written. A body without GetBody, empty or not, rules that out.
	r.Body = io.NopCloser(bytes.NewReader(call.Body))
	return r
}

func removeHopHeaders(h http.Header) {
	for _, name := range connectionOptions(h) {
		h.Del(name)
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// callFailure classifies a call without a response.
func callFailure(address string, err error) error {
	if failure := (*httpconn.Failure)(nil); errors.As(err, &failure) && failure.NothingSent {
		return &port.NotRunError{Target: address, Reason: port.NotRunUnreachable, Cause: failure.Cause}
	}
	return &port.UnknownOutcomeError{Peer: address, Cause: err}
}
