package callerhttp

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

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

// readBody reads the whole body within the size and time limits.
func (x *exchange) readBody() ([]byte, bool) {
	_ = x.rc.SetReadDeadline(time.Now().Add(x.s.Limits.BodyTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, x.s.Limits.BodyBytes))
	if err == nil {
		// Without a read deadline, background reads of the server still detect that the
		// caller disconnects, but no longer time out. After a failure the deadline stays:
		// the server reads the rest of the body before it closes the connection.
		_ = x.rc.SetReadDeadline(time.Time{})
		return data, true
	}
	status, message := http.StatusBadRequest, "the body could not be read"
	if isTooLarge(err) {
		status, message = http.StatusRequestEntityTooLarge, "the body is larger than "+strconv.FormatInt(x.s.Limits.BodyBytes, 10)+" bytes"
	}
	x.refuse(status, "invalid_request", message, 0)
	return nil, false
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
