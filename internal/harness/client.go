package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/standin/engine"
)

// InitialWeightsVersion is the weights version that engines serve at the start.
const InitialWeightsVersion = "v1"

// ErrControl means that a control call was refused.
var ErrControl = eris.New("control call refused")

// Response is what a caller received.
type Response struct {
	Status int
	Text   string
	// NextIndex is the index that the next chunk must have; Gap says that one did not.
	NextIndex int
	Gap       bool
	// Done says that the terminal mark arrived, Broken an error event.
	Done, Broken         bool
	Cached, PromptTokens int
	TTFT                 time.Duration
	Body                 string
	Outcome              string
	Err                  error
}

// IsComplete reports whether the answer is the whole answer to the prompt by engines
// with one of the weights versions.
func (a Response) IsComplete(prompt string, tokens int, weights ...string) bool {
	if a.Status != http.StatusOK || !a.Done || a.Gap || a.Broken || a.Err != nil {
		return false
	}
	for _, w := range weights {
		if a.Text == engine.AnswerText(prompt, w, 0, tokens) {
			return true
		}
	}
	return false
}

// IsPrefix reports whether the text received is the start of an answer to the prompt.
func (a Response) IsPrefix(prompt string, tokens int, weights ...string) bool {
	for _, w := range weights {
		if strings.HasPrefix(engine.AnswerText(prompt, w, 0, tokens), a.Text) {
			return true
		}
	}
	return false
}

// client opens a connection for each request, so that no fault of an earlier
// connection acts on a later request.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Completion is a request for a streamed completion.
type Completion struct {
	Address, Key, ID, Model, Prompt string
	Tokens                          int
	// OnChunk is called with the number of chunks received. Optional.
	OnChunk func(int)
}

// Stream sends a streamed completion and reads it to its end.
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
	begun := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return Response{Err: err}
	}
	defer response.Body.Close()
	a := Response{Status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		a.readBody(response.Body)
		return a
	}
	a.readEvents(response.Body, begun, c.OnChunk)
	return a
}

func (a *Response) readBody(r io.Reader) {
	text, err := io.ReadAll(r)
	a.Body, a.Err = string(text), err
	var failure struct {
		Outcome string `json:"outcome"`
	}
	if json.Unmarshal(text, &failure) == nil {
		a.Outcome = failure.Outcome
	}
}

func (a *Response) readEvents(r io.Reader, begun time.Time, onChunk func(int)) {
	scanner := bufio.NewScanner(r)
	scanner.Split(wholeLines)
	for scanner.Scan() {
		line := scanner.Text()
		if line == "event: error" {
			a.Broken = true
		}
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			n, err := strconv.Atoi(id)
			a.Gap = a.Gap || err != nil || n != a.NextIndex
			a.NextIndex++
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			a.Done = true
		case a.Broken:
			a.Body = data
		default:
			a.chunk(data, begun, onChunk)
		}
	}
	a.Err = scanner.Err()
}

// wholeLines splits at line ends and drops what comes after the last: a line within
// which the connection broke is no event.
func wholeLines(data []byte, atEOF bool) (advance int, line []byte, err error) {
	if bytes.IndexByte(data, '\n') < 0 && atEOF {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

func (a *Response) chunk(data string, begun time.Time, onChunk func(int)) {
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
		a.Gap = true
		return
	}
	for _, c := range event.Choices {
		if a.Text == "" {
			a.TTFT = time.Since(begun)
		}
		a.Text += c.Text
		if onChunk != nil {
			onChunk(a.NextIndex)
		}
	}
	if event.Usage != nil {
		a.PromptTokens, a.Cached = event.Usage.PromptTokens, event.Usage.Details.Cached
	}
}

// Call sends a plain service call.
func Call(ctx context.Context, address, key, method, path, idempotencyKey, body string) Response {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return Response{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	begun := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return Response{Err: err}
	}
	defer response.Body.Close()
	a := Response{Status: response.StatusCode, TTFT: time.Since(begun)}
	a.readBody(response.Body)
	return a
}

// GetJSON reads a control or admin answer.
func GetJSON(ctx context.Context, url string, into any) error {
	return control(ctx, http.MethodGet, url, nil, into)
}

// Control sends a control call to a stand-in.
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
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return eris.Wrap(ErrControl, url+": "+response.Status)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(into)
}
