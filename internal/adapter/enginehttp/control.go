package enginehttp

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/adapter/httpconn"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Cancel cancels an attempt. It succeeds if the engine no longer runs the attempt
// or does not know it.
func (c *Client) Cancel(ctx context.Context, address, attemptID string) error {
	u := c.url(address, "/v1/attempts/"+attemptID, "")
	u.RawPath = "/v1/attempts/" + url.PathEscape(attemptID)
	response, data, err := c.exchange(ctx, http.MethodDelete, u, nil)
	if err != nil {
		return effectFailure(address, err)
	}
	if response.StatusCode/100 == 2 || response.StatusCode == http.StatusNotFound {
		return nil
	}
	return c.refusalError(address, response, data)
}

// Load reads the engine's lagging load report.
func (c *Client) Load(ctx context.Context, address string) (port.LoadReport, error) {
	var out port.LoadReport
	return out, c.read(ctx, address, c.url(address, "/v1/load", ""), &out)
}

// State reads what the engine currently serves: model, weights version, adapters
// and role.
func (c *Client) State(ctx context.Context, address string) (port.EngineState, error) {
	var out port.EngineState
	return out, c.read(ctx, address, c.url(address, "/v1/state", ""), &out)
}

type wireEvents struct {
	Incarnation port.Incarnation `json:"incarnation"`
	FirstSeq    uint64           `json:"first_seq"`
	Events      []struct {
		Seq    uint64       `json:"seq"`
		Op     port.CacheOp `json:"op"`
		Scope  string       `json:"scope"`
		Blocks []string     `json:"blocks"`
	} `json:"events"`
}

// Events reads the cache events after a sequence number and waits at most wait for
// the first one.
func (c *Client) Events(ctx context.Context, address string, after uint64, wait time.Duration) (port.CacheEvents, error) {
	query := "after=" + strconv.FormatUint(after, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	var wire wireEvents
	if err := c.read(ctx, address, c.url(address, "/v1/cache/events", query), &wire); err != nil {
		return port.CacheEvents{}, err
	}
	out := port.CacheEvents{Incarnation: wire.Incarnation, FirstSeq: wire.FirstSeq}
	for _, e := range wire.Events {
		event := port.CacheEvent{Seq: e.Seq, Op: e.Op, Scope: e.Scope, Blocks: make([]port.BlockHash, len(e.Blocks))}
		for i, text := range e.Blocks {
			hash, err := strconv.ParseUint(text, 16, 64)
			if err != nil {
				return port.CacheEvents{}, &port.UnavailableError{Peer: address, Cause: eris.Wrap(ErrMalformed, "block hash")}
			}
			event.Blocks[i] = port.BlockHash(hash)
		}
		out.Events = append(out.Events, event)
	}
	return out, nil
}

// Order sends an order. It fails with a StaleFencingError if the engine has seen a
// newer fencing token.
func (c *Client) Order(ctx context.Context, address string, o port.Order) error {
	response, data, err := c.exchange(ctx, http.MethodPost, c.url(address, "/v1/orders", ""), o)
	if err != nil {
		return effectFailure(address, err)
	}
	if response.StatusCode == http.StatusConflict && parseRefusal(data).Error.Type == "stale_fencing" {
		return &port.StaleFencingError{Target: address, FencingToken: o.FencingToken}
	}
	return c.checkEffect(address, response, data)
}

type wireTransfer struct {
	Scope       string           `json:"scope"`
	Blocks      []string         `json:"blocks"`
	StoreKey    string           `json:"store_key"`
	Incarnation port.Incarnation `json:"incarnation,omitempty"`
}

// ExportKV makes the engine write cached blocks to the KV store.
func (c *Client) ExportKV(ctx context.Context, address string, t port.KVTransfer) error {
	t.Incarnation = ""
	return c.transfer(ctx, address, "/v1/kv/export", t)
}

// ImportKV makes the engine read blocks from the KV store into its cache.
func (c *Client) ImportKV(ctx context.Context, address string, t port.KVTransfer) error {
	return c.transfer(ctx, address, "/v1/kv/import", t)
}

func (c *Client) transfer(ctx context.Context, address, path string, t port.KVTransfer) error {
	in := wireTransfer{Scope: t.Scope.String(), StoreKey: t.StoreKey, Incarnation: t.Incarnation}
	in.Blocks = make([]string, len(t.Blocks))
	for i, b := range t.Blocks {
		in.Blocks[i] = hashText(b)
	}
	response, data, err := c.exchange(ctx, http.MethodPost, c.url(address, path, ""), in)
	if err != nil {
		return effectFailure(address, err)
	}
	if response.StatusCode == http.StatusNotFound {
		return &port.NotFoundError{Peer: address, Name: t.StoreKey}
	}
	return c.checkEffect(address, response, data)
}

// hashText renders a block hash as 16 hex digits.
func hashText(b port.BlockHash) string {
	text := strconv.FormatUint(uint64(b), 16)
	return "0000000000000000"[len(text):] + text
}

func (c *Client) checkEffect(address string, response *http.Response, data []byte) error {
	if response.StatusCode/100 == 2 {
		return nil
	}
	return c.refusalError(address, response, data)
}

// read gets a JSON response. Reads have no side effects, so every failure to get a
// response is an UnavailableError.
func (c *Client) read(ctx context.Context, address string, u *url.URL, out any) error {
	response, data, err := c.exchange(ctx, http.MethodGet, u, nil)
	if err != nil {
		return &port.UnavailableError{Peer: address, Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		err := c.refusalError(address, response, data)
		if bad := (*port.BadRequestError)(nil); errors.As(err, &bad) {
			return err
		}
		return &port.UnavailableError{Peer: address, Cause: err}
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &port.UnavailableError{Peer: address, Cause: eris.Wrap(ErrMalformed, err.Error())}
	}
	return nil
}

// effectFailure classifies the failure of a call that may have had side effects.
func effectFailure(address string, err error) error {
	if failure := (*httpconn.Failure)(nil); errors.As(err, &failure) && failure.NothingSent {
		return &port.UnavailableError{Peer: address, Cause: failure.Cause}
	}
	return &port.UnknownOutcomeError{Peer: address, Cause: err}
}
