package enginehttp

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"mimosaseam.example/mimosaseam/internal/adapter/httpconn"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Generate starts an attempt and returns once the engine has accepted or
// refused it. The returned stream must be closed.
func (c *Client) Generate(ctx context.Context, address string, g port.Generation) (port.ChunkStream, error) {
	ctx, cancel, remainingMs := c.pool.WithDeadline(ctx, g.Deadline)
	stream, err := c.generate(ctx, cancel, remainingMs, address, g)
	if err != nil {
		cancel()
		return nil, err
	}
	return stream, nil
}

func (c *Client) generate(
	ctx context.Context, cancel context.CancelFunc, remainingMs int64, address string, g port.Generation,
) (port.ChunkStream, error) {
	if remainingMs < 0 {
		return nil, &port.NotRunError{Target: address, Reason: port.NotRunUnreachable, Cause: ErrDeadlinePassed}
	}
	body := &payload{data: encodeCompletion(g)}
	u := c.url(address, "/v1/completions", "")
	response, err := c.pool.Send(ctx, func(ctx context.Context) (*http.Request, error) {
		return newRequest(ctx, http.MethodPost, u, completionHeader(g, remainingMs), body), nil
	})
	body.release()
	if err != nil {
		return nil, attemptFailure(address, err)
	}
	if httpconn.OfAnotherAttempt(response, g.AttemptID) {
		_ = response.Body.Close() // closes the connection, since it was not read
		return nil, &port.UnknownOutcomeError{Peer: address, Cause: httpconn.ErrAnotherAttempt}
	}
	if response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return newStream(address, response, cancel, c.maxEvent), nil
	}
	defer httpconn.Retire(response)
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		return nil, &port.UnknownOutcomeError{Peer: address, Cause: ErrNotEventStream}
	}
	// The status alone classifies the refusal; its body may be cut short.
	data, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return nil, c.refusalError(address, response, data)
}

func completionHeader(g port.Generation, remainingMs int64) http.Header {
	h := make(http.Header, 8)
	set := func(name, value string) {
		if value != "" {
			h[name] = []string{value}
		}
	}
	set("X-Request-Id", g.RequestID)
	set("X-Attempt-Id", g.AttemptID)
	set("X-Cache-Scope", g.Scope.String())
	set("X-Expect-Incarnation", string(g.ExpectIncarnation))
	set("X-Expect-Weights", g.ExpectWeights)
	if remainingMs > 0 {
		set("X-Deadline-Ms", strconv.FormatInt(remainingMs, 10))
	}
	return h
}

// attemptFailure classifies an attempt without a response.
func attemptFailure(address string, err error) error {
	if failure := (*httpconn.Failure)(nil); errors.As(err, &failure) && failure.NothingSent {
		return &port.NotRunError{Target: address, Reason: port.NotRunUnreachable, Cause: failure.Cause}
	}
	return &port.UnknownOutcomeError{Peer: address, Cause: err}
}
