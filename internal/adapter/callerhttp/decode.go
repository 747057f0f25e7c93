package callerhttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"iter"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"mimosaseam.example/mimosaseam/internal/adapter/clientconn"
	"mimosaseam.example/mimosaseam/internal/app/completions"
	"mimosaseam.example/mimosaseam/internal/core/membudget"
	"mimosaseam.example/mimosaseam/internal/core/prompt"
)

// completionBody is the body of /v1/completions and /v1/chat/completions.
// Fields that are not listed are accepted and ignored.
type completionBody struct {
	Model               string     `json:"model"`
	Prompt              singleText `json:"prompt"`
	Messages            chatPrompt `json:"messages"`
	MaxTokens           *int       `json:"max_tokens"`
	MaxCompletionTokens *int       `json:"max_completion_tokens"`
	N                   *int       `json:"n"`
	Stream              bool       `json:"stream"`
}

// singleText decodes a string or a list of one string.
type singleText string

// UnmarshalJSON implements json.Unmarshaler.
func (t *singleText) UnmarshalJSON(data []byte) error {
	if !isList(data) {
		return json.Unmarshal(data, (*string)(t))
	}
	n := 0
	for element := range elements(data) {
		if n++; n > 1 {
			break
		}
		if err := json.Unmarshal(element, (*string)(t)); err != nil {
			return err
		}
	}
	if n != 1 {
		return &InvalidError{Field: "prompt", Problem: "must hold exactly one text"}
	}
	return nil
}

// chatPrompt renders a list of messages one by one: the values of a list of many short messages
// take many times the size of the list.
type chatPrompt struct {
	text  strings.Builder
	count int
	// problem is what is wrong with the first message that is not valid. Those behind it are
	// not decoded.
	problem error
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *chatPrompt) UnmarshalJSON(data []byte) error {
	*p = chatPrompt{} // the field may come twice
	if !isList(data) {
		return json.Unmarshal(data, &[]struct{}{}) // null, or an error
	}
	for element := range elements(data) {
		var m struct {
			Role    string      `json:"role"`
			Content textContent `json:"content"`
		}
		if err := json.Unmarshal(element, &m); err != nil {
			return err
		}
		if m.Role == "" {
			p.problem = &InvalidError{Field: "messages[" + strconv.Itoa(p.count) + "].role", Problem: "is missing"}
			return nil
		}
		p.count++
		prompt.AppendMessage(&p.text, m.Role, string(m.Content))
	}
	return nil
}

// textContent decodes a string or a list of text parts.
type textContent string

// UnmarshalJSON implements json.Unmarshaler.
func (t *textContent) UnmarshalJSON(data []byte) error {
	if !isList(data) {
		return json.Unmarshal(data, (*string)(t))
	}
	var b strings.Builder
	for element := range elements(data) {
		var part struct {
			Type string `json:"type"`
			Text string `json:"text"`
		}
		if err := json.Unmarshal(element, &part); err != nil {
			return err
		}
		if part.Type != "text" {
			return &InvalidError{Field: "messages.content", Problem: "only parts of type text are supported"}
		}
		b.WriteString(part.Text)
	}
	*t = textContent(b.String())
	return nil
}

func isList(data []byte) bool { return len(data) > 0 && data[0] == '[' }

// elements returns the elements of a valid JSON list without copying them.
func elements(list []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		begin, depth := 1, 0
		for i := 1; i < len(list); i++ {
			switch list[i] {
			case '"':
				for i++; list[i] != '"'; i++ {
					if list[i] == '\\' {
						i++
					}
				}
				continue
			case '[', '{':
				depth++
				continue
			case ']', '}':
				depth--
			case ',':
			default:
				continue
			}
			if list[i] == ',' && depth > 0 || list[i] != ',' && depth >= 0 {
				continue
			}
			element := bytes.TrimSpace(list[begin:i])
			if len(element) > 0 && !yield(element) || depth < 0 {
				return
			}
			begin = i + 1
		}
	}
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
	if !utf8.Valid(data) { // each such byte would become three
		return completionInput{}, &InvalidError{Field: "body", Problem: "is not valid UTF-8"}
	}
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
	return in, in.setPrompt(&body, chat)
}

func (in *completionInput) setPrompt(body *completionBody, chat bool) error {
	if !chat {
		in.prompt = string(body.Prompt)
		if in.prompt == "" {
			return &InvalidError{Field: "prompt", Problem: "is missing"}
		}
		return nil
	}
	if body.Messages.problem != nil {
		return body.Messages.problem
	}
	if body.Messages.count == 0 {
		return &InvalidError{Field: "messages", Problem: "is missing"}
	}
	in.prompt = body.Messages.text.String()
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
