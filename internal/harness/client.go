package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/standin/engine"
)

// InitialWeightsVersion is the weights version that the engines serve after Start.
const InitialWeightsVersion = "v1"

// ErrControl is returned when a control call is rejected.
var ErrControl = eris.New("control call rejected")

// Response is the response that a caller received.
type Response struct {
	Status int
	Text   string
	// NextIndex is the expected index of the next chunk. Gap is set when a chunk has
	// another index or is malformed.
	NextIndex int
	Gap       bool
	// Done is set when the terminal marker arrived, Broken when an error event did.
	Done, Broken         bool
	Cached, PromptTokens int
	TTFT                 time.Duration
	Body                 string
	Outcome              string
	Err                  error
}

// IsComplete reports whether the response is the complete completion of the prompt
// under one of the weights versions.
func (resp Response) IsComplete(prompt string, tokens int, weights ...string) bool {
	return resp.Done && !resp.Gap && !resp.Broken && resp.Err == nil && resp.HasAllText(prompt, tokens, weights...)
}

// HasAllText reports whether the received text is the text of the complete completion,
// whether or not it was interrupted afterwards.
func (resp Response) HasAllText(prompt string, tokens int, weights ...string) bool {
	if resp.Status != http.StatusOK {
		return false
	}
	for _, w := range weights {
		if resp.Text == engine.ResponseText(prompt, w, 0, tokens) {
			return true
		}
	}
	return false
}

// Interrupted reports whether the connection broke or the caller canceled before the end
// of the response, as opposed to a malformed or missing end.
func (resp Response) Interrupted() bool {
	return errors.Is(resp.Err, io.ErrUnexpectedEOF) || errors.Is(resp.Err, syscall.ECONNRESET) || errors.Is(resp.Err, context.Canceled)
}

// IsPrefix reports whether the received text is a prefix of the completion of the
// prompt under one of the weights versions.
func (resp Response) IsPrefix(prompt string, tokens int, weights ...string) bool {
	for _, w := range weights {
		if strings.HasPrefix(engine.ResponseText(prompt, w, 0, tokens), resp.Text) {
			return true
		}
	}
	return false
}

// client opens a new connection for each request, so that a fault injected into an
// earlier connection does not affect a later request.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Completion is a request for a streamed completion.
type Completion struct {
	Address, Key, ID, Model, Prompt string
	Tokens                          int
	// OnChunk, if set, is called for each chunk with the number of chunks received.
	OnChunk func(int)
}

// Stream sends a streaming completion request and reads the response to its end.
func Stream(ctx context.Context, c Completion) Response {
	body, _ := json.Marshal(map[string]any{"model": c.Model, "prompt": c.Prompt, "max_tokens": c.Tokens, "stream": true,
		"stream_options": map[string]bool{"include_usage": true}})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return Response{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", c.ID)
	start := time.Now()
	httpResponse, err := client.Do(request)
	if err != nil {
		return Response{Err: err}
	}
	defer httpResponse.Body.Close()
	resp := Response{Status: httpResponse.StatusCode}
	if httpResponse.StatusCode != http.StatusOK {
		resp.readBody(httpResponse.Body)
		return resp
	}
	resp.readEvents(httpResponse.Body, start, c.OnChunk)
	return resp
}

func (resp *Response) readBody(r io.Reader) {
	text, err := io.ReadAll(r)
	resp.Body, resp.Err = string(text), err
	var failure struct {
		Outcome string `json:"outcome"`
	}
	if json.Unmarshal(text, &failure) == nil {
		resp.Outcome = failure.Outcome
	}
}

func (resp *Response) readEvents(r io.Reader, start time.Time, onChunk func(int)) {
	scanner := bufio.NewScanner(r)
	scanner.Split(completeLines)
	for scanner.Scan() {
		line := scanner.Text()
		if line == "event: error" {
			resp.Broken = true
		}
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			n, err := strconv.Atoi(id)
			resp.Gap = resp.Gap || err != nil || n != resp.NextIndex
			resp.NextIndex++
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			resp.Done = true
		case resp.Broken:
			resp.Body = data
		default:
			resp.addChunk(data, start, onChunk)
		}
	}
	resp.Err = scanner.Err()
}

// completeLines is a bufio.SplitFunc that drops a trailing line without a line end: a
// line truncated by a broken connection is not an event.
func completeLines(data []byte, atEOF bool) (advance int, line []byte, err error) {
	if bytes.IndexByte(data, '\n') < 0 && atEOF {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

func (resp *Response) addChunk(data string, start time.Time, onChunk func(int)) {
	var event struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Usage *struct {
			PromptTokens int `json:"prompt_tokens"`
			Details      struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		resp.Gap = true
		return
	}
	for _, c := range event.Choices {
		if resp.Text == "" {
			resp.TTFT = time.Since(start)
		}
		resp.Text += c.Text
		if onChunk != nil {
			onChunk(resp.NextIndex)
		}
	}
	if event.Usage != nil {
		resp.PromptTokens, resp.Cached = event.Usage.PromptTokens, event.Usage.Details.Cached
	}
}

// Call sends a non-streaming request to a service route.
func Call(ctx context.Context, address, key, method, path, idempotencyKey, body string) Response {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return Response{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	start := time.Now()
	httpResponse, err := client.Do(request)
	if err != nil {
		return Response{Err: err}
	}
	defer httpResponse.Body.Close()
	resp := Response{Status: httpResponse.StatusCode, TTFT: time.Since(start)}
	resp.readBody(httpResponse.Body)
	return resp
}

// GetJSON decodes the JSON response of a control or admin endpoint.
func GetJSON(ctx context.Context, url string, into any) error {
	return control(ctx, http.MethodGet, url, nil, into)
}

// Control sends a control request to a stand-in.
func Control(ctx context.Context, method, url string, body any) error {
	return control(ctx, method, url, body, nil)
}

func control(ctx context.Context, method, url string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	data, _ := json.Marshal(body)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	httpResponse, err := client.Do(request)
	if err != nil {
		return err
	}
	defer httpResponse.Body.Close()
	if httpResponse.StatusCode >= http.StatusMultipleChoices {
		return eris.Wrap(ErrControl, url+": "+httpResponse.Status)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(httpResponse.Body).Decode(into)
}
