// Package enginehttp is the HTTP client of model engines. It speaks the engine
// protocol of docs/design.md, section 3, and classifies failures by whether the
// engine may have run the attempt.
package enginehttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/adapter/httpconn"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Default limits for responses of an engine.
const (
	DefaultMaxEventBytes = 64 << 10
	DefaultMaxBodyBytes  = 16 << 20
	// maxErrorBytes bounds the body of a refusal.
	maxErrorBytes = 16 << 10
	// maxMessageBytes bounds the part of a refusal's message that is retained.
	maxMessageBytes = 256
)

// Errors of the protocol that have no underlying cause.
var (
	ErrNotEventStream   = eris.New("the response is not an event stream")
	ErrUnexpectedStatus = eris.New("the engine returned an unexpected status")
	ErrTooLarge         = eris.New("the response exceeds the size limit")
	ErrMalformed        = eris.New("the response is malformed")
	ErrNoTerminalMarker = eris.New("the stream ended without its terminal marker")
	ErrNoFinishReason   = eris.New("the stream's terminal marker came without a finish reason")
	ErrEngineReported   = eris.New("the engine reported an error in the stream")
	ErrDeadlinePassed   = eris.New("the deadline passed before the attempt was sent")
)

// Options configures a Client. Zero limits mean the defaults.
type Options struct {
	httpconn.Options
	// MaxEventBytes bounds one line of a stream.
	MaxEventBytes int
	// MaxBodyBytes bounds any other response.
	MaxBodyBytes int64
}

// Client implements port.Engine.
type Client struct {
	pool     *httpconn.Pool
	maxEvent int
	maxBody  int64
}

var _ port.Engine = (*Client)(nil)

// New returns a client.
func New(o Options) *Client {
	c := &Client{pool: httpconn.New(o.Options), maxEvent: o.MaxEventBytes, maxBody: o.MaxBodyBytes}
	if c.maxEvent <= 0 {
		c.maxEvent = DefaultMaxEventBytes
	}
	if c.maxBody <= 0 {
		c.maxBody = DefaultMaxBodyBytes
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.Close() }

func (c *Client) url(address, path, query string) *url.URL {
	return &url.URL{Scheme: c.pool.Scheme(), Host: address, Path: path, RawQuery: query}
}

// exchange sends one request with a JSON body, if in is not nil, and reads the
// whole response.
func (c *Client) exchange(ctx context.Context, method string, u *url.URL, in any) (*http.Response, []byte, error) {
	var body *payload
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, nil, &httpconn.Failure{NothingSent: true, Cause: err}
		}
		body = &payload{data: data}
	}
	response, err := c.pool.Send(ctx, func(ctx context.Context) (*http.Request, error) {
		return newRequest(ctx, method, u, nil, body), nil
	})
	if err != nil {
		return nil, nil, err
	}
	if response.StatusCode >= http.StatusBadRequest {
		defer httpconn.Retire(response)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, c.maxBody+1))
	if err == nil && int64(len(data)) > c.maxBody {
		err = ErrTooLarge
	}
	if err != nil {
		return nil, nil, &httpconn.Failure{Cause: err}
	}
	return response, data, nil
}

// newRequest sets GetBody, which lets net/http retry a request of which nothing
// was written. It retries no other POST without an Idempotency-Key.
func newRequest(ctx context.Context, method string, u *url.URL, header http.Header, body *payload) *http.Request {
	if header == nil {
		header = make(http.Header, 1)
	}
	r := (&http.Request{
		Method: method, URL: u, Host: u.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	if body != nil {
		header["Content-Type"] = []string{"application/json"}
		r.ContentLength = int64(len(body.data))
		r.GetBody = body.open
		r.Body, _ = body.open()
	}
	return r
}

// refusal is the body of an error response.
type refusal struct {
	Error struct {
		Type    string `json:"type"`
		Message string `json:"message"`
	} `json:"error"`
}

func parseRefusal(data []byte) refusal {
	var r refusal
	// If the body does not parse, the status alone classifies the refusal.
	_ = json.Unmarshal(data, &r)
	if len(r.Error.Message) > maxMessageBytes {
		r.Error.Message = r.Error.Message[:maxMessageBytes]
	}
	return r
}

// notRun returns a NotRunError if the status means that nothing ran, and nil
// otherwise.
func (c *Client) notRun(address string, response *http.Response, r refusal) error {
	var reason port.NotRunReason
	switch response.StatusCode {
	case http.StatusPreconditionFailed:
		reason = port.NotRunIncarnationChanged
		if r.Error.Type == string(port.NotRunWeightsChanged) {
			reason = port.NotRunWeightsChanged
		}
	case http.StatusTooManyRequests:
		reason = port.NotRunOverloaded
	case http.StatusServiceUnavailable:
		reason = port.NotRunLoading
		if r.Error.Type == string(port.NotRunOverloaded) {
			reason = port.NotRunOverloaded
		}
	default:
		return nil
	}
	return &port.NotRunError{Target: address, Reason: reason, RetryAfter: c.pool.RetryAfter(response.Header)}
}

// refusalError classifies a response that is not a success.
func (c *Client) refusalError(address string, response *http.Response, data []byte) error {
	r := parseRefusal(data)
	if err := c.notRun(address, response, r); err != nil {
		return err
	}
	if response.StatusCode >= 400 && response.StatusCode < 500 && response.StatusCode != http.StatusRequestTimeout {
		message := r.Error.Message
		if message == "" {
			message = r.Error.Type
		}
		return &port.BadRequestError{Peer: address, Status: response.StatusCode, Message: message}
	}
	return &port.UnknownOutcomeError{Peer: address, Cause: eris.Wrapf(ErrUnexpectedStatus, "status %d", response.StatusCode)}
}
