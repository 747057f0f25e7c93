package callerhttp

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mimosaseam.example/mimosaseam/internal/adapter/clientconn"
	"mimosaseam.example/mimosaseam/internal/app/completions"
	"mimosaseam.example/mimosaseam/internal/core/membudget"
	"mimosaseam.example/mimosaseam/internal/core/prompt"
)

// completionBody is the body of /v1/completions and /v1/chat/completions.
// Fields that are not listed are accepted and ignored.
type completionBody struct {
	Model               string        `json:"model"`
	Prompt              textOrList    `json:"prompt"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	N                   *int          `json:"n"`
	Stream              bool          `json:"stream"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content textContent `json:"content"`
}

// textOrList decodes a string or a list of one string.
type textOrList string

// UnmarshalJSON implements json.Unmarshaler.
func (t *textOrList) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '[' {
		var list []string
		if err := json.Unmarshal(data, &list); err != nil {
			return err
		}
		if len(list) != 1 {
			return &InvalidError{Field: "prompt", Problem: "must hold exactly one text"}
		}
		*t = textOrList(list[0])
		return nil
	}
	return json.Unmarshal(data, (*string)(t))
}

// textContent decodes a string or a list of text parts.
type textContent string

// UnmarshalJSON implements json.Unmarshaler.
func (t *textContent) UnmarshalJSON(data []byte) error {
	if len(data) == 0 || data[0] != '[' {
		return json.Unmarshal(data, (*string)(t))
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return &InvalidError{Field: "messages.content", Problem: "only parts of type text are supported"}
		}
		b.WriteString(p.Text)
	}
	*t = textContent(b.String())
	return nil
}

// InvalidError names the invalid field of a request and its problem.
type InvalidError struct {
	Field   string
	Problem string
}

func (e *InvalidError) Error() string { return e.Field + " " + e.Problem }

// completionInput is a decoded completion request.
type completionInput struct {
	model     string
	prompt    string
	maxTokens int
	stream    bool
}

func decodeCompletion(data []byte, chat bool, l Limits) (completionInput, error) {
	var body completionBody
	if err := json.Unmarshal(data, &body); err != nil {
		return completionInput{}, &InvalidError{Field: "body", Problem: "is not valid: " + err.Error()}
	}
	in := completionInput{model: body.Model, stream: body.Stream, maxTokens: l.DefaultTokens}
	if body.Model == "" {
		return in, &InvalidError{Field: "model", Problem: "is missing"}
	}
	if body.N != nil && *body.N != 1 {
		return in, &InvalidError{Field: "n", Problem: "must be 1"}
	}
	tokens := body.MaxTokens
	if tokens == nil {
		tokens = body.MaxCompletionTokens
	}
	if tokens != nil {
		if *tokens < 1 || *tokens > l.MaxTokens {
			return in, &InvalidError{Field: "max_tokens", Problem: "must be between 1 and " + strconv.Itoa(l.MaxTokens)}
		}
		in.maxTokens = *tokens
	}
	return in, in.setPrompt(body, chat)
}

func (in *completionInput) setPrompt(body completionBody, chat bool) error {
	if !chat {
		in.prompt = string(body.Prompt)
		if in.prompt == "" {
			return &InvalidError{Field: "prompt", Problem: "is missing"}
		}
		return nil
	}
	if len(body.Messages) == 0 {
		return &InvalidError{Field: "messages", Problem: "is missing"}
	}
	messages := make([]prompt.Message, len(body.Messages))
	for i, m := range body.Messages {
		if m.Role == "" {
			return &InvalidError{Field: "messages[" + strconv.Itoa(i) + "].role", Problem: "is missing"}
		}
		messages[i] = prompt.Message{Role: m.Role, Content: string(m.Content)}
	}
	in.prompt = prompt.RenderChat(messages)
	return nil
}

// memoryRetryAfter is when callers that were refused for lack of memory should come back:
// stalled requests have given way by then.
const memoryRetryAfter = 2 * time.Second

// readBody reads the whole body within the size and time limits.
func (x *exchange) readBody() ([]byte, bool) {
	x.bodyRead = true
	data, err := clientconn.ReadBody(x.w, x.r, x.s.Limits.BodyBytes, x.s.Limits.BodyTimeout)
	if err == nil {
		return data, true
	}
	x.refuseUnread(err)
	return nil, false
}

// takeMemory takes memory for the request, or refuses it.
func (x *exchange) takeMemory(bytes int) bool {
	err := clientconn.Take(x.r.Context(), membudget.KindBody, int64(bytes))
	if err != nil {
		x.refuseUnread(err)
	}
	return err == nil
}

// refuseUnread refuses a request that could not be read or for which there is no memory.
func (x *exchange) refuseUnread(err error) {
	status, kind, message, retryAfter := http.StatusBadRequest, completions.KindInvalid, "the body could not be read", time.Duration(0)
	var gaveWay *clientconn.GaveWayError
	switch {
	case isTooLarge(err):
		status, message = http.StatusRequestEntityTooLarge, "the body is larger than "+strconv.FormatInt(x.s.Limits.BodyBytes, 10)+" bytes"
	case errors.As(err, &gaveWay) && gaveWay.Short:
		status, kind, message, retryAfter = http.StatusServiceUnavailable, completions.KindOverloaded, gaveWay.Error(), memoryRetryAfter
	case errors.As(err, &gaveWay):
		status, message = http.StatusRequestTimeout, "the body did not arrive in time"
	}
	x.refuse(status, string(kind), message, retryAfter)
}

// deadline reads the deadline that the caller set, or returns zero if it set none.
func (x *exchange) deadline() (time.Time, error) {
	text := x.r.Header.Get("X-Deadline-Ms")
	if text == "" {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return time.Time{}, &InvalidError{Field: "X-Deadline-Ms", Problem: "must be a positive number of milliseconds"}
	}
	return x.started.Add(time.Duration(ms) * time.Millisecond), nil
}
