package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"mimosaseam.example/mimosaseam/internal/adapter/httpconn"
	"mimosaseam.example/mimosaseam/internal/port"
)

type wireCompletion struct {
	Model     string      `json:"model"`
	Prompt    string      `json:"prompt"`
	MaxTokens int         `json:"max_tokens,omitempty"`
	Stream    bool        `json:"stream"`
	Priority  int         `json:"priority,omitempty"`
	Resume    *wireResume `json:"resume,omitempty"`
}

type wireResume struct {
	From int    `json:"from"`
	Text string `json:"text"`
}

// Generate starts an attempt and returns once the engine has accepted or
// refused it. The returned stream must be closed.
func (c *Client) Generate(ctx context.Context, address string, g port.Generation) (port.ChunkStream, error) {
	ctx, cancel, leftMs := c.pool.WithDeadline(ctx, g.Deadline)
	stream, err := c.generate(ctx, cancel, leftMs, address, g)
	if err != nil {
		cancel()
		return nil, err
	}
	return stream, nil
}

func (c *Client) generate(
	ctx context.Context, cancel context.CancelFunc, leftMs int64, address string, g port.Generation,
) (port.ChunkStream, error) {
	if leftMs < 0 {
		return nil, &port.NotRunError{Target: address, Reason: port.NotRunUnreachable, Cause: ErrDeadlinePassed}
	}
	body, err := encodeCompletion(g)
	if err != nil {
		return nil, &port.BadRequestError{Peer: address, Status: http.StatusBadRequest, Message: err.Error()}
	}
	u := c.url(address, "/v1/completions", "")
	response, err := c.pool.Send(ctx, func(ctx context.Context) (*http.Request, error) {
		return newRequest(ctx, http.MethodPost, u, completionHeader(g, leftMs), body), nil
	})
	if err != nil {
		return nil, attemptFailure(address, err)
	}
	if response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return newStream(address, response, cancel, c.maxEvent), nil
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		return nil, &port.UnknownOutcomeError{Peer: address, Cause: ErrNotEventStream}
	}
	// The status alone classifies the refusal; its body may be cut short.
	data, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return nil, c.refused(address, response, data)
}

// encodeCompletion leaves HTML characters as they are: escaping them makes
// large prompts larger and slower to encode.
func encodeCompletion(g port.Generation) ([]byte, error) {
	in := wireCompletion{
		Model: g.Model, Prompt: g.Prompt, MaxTokens: g.MaxTokens, Stream: true, Priority: g.Priority,
	}
	if g.ResumeFrom > 0 {
		in.Resume = &wireResume{From: g.ResumeFrom, Text: g.ResumeText}
	}
	var b bytes.Buffer
	b.Grow(len(g.Prompt) + len(g.Prompt)/16 + 256)
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(in)
	return b.Bytes(), err
}

func completionHeader(g port.Generation, leftMs int64) http.Header {
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
	if leftMs > 0 {
		set("X-Deadline-Ms", strconv.FormatInt(leftMs, 10))
	}
	return h
}

// attemptFailure classifies an attempt without an answer.
func attemptFailure(address string, err error) error {
	if failure := (*httpconn.Failure)(nil); errors.As(err, &failure) && failure.NothingSent {
		return &port.NotRunError{Target: address, Reason: port.NotRunUnreachable, Cause: failure.Cause}
	}
	return &port.UnknownOutcomeError{Peer: address, Cause: err}
}
