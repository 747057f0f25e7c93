package callerhttp

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"mimosaseam.example/mimosaseam/internal/app/completions"
	"mimosaseam.example/mimosaseam/internal/port"
)

func isTooLarge(err error) bool {
	var large *http.MaxBytesError
	return errors.As(err, &large)
}

// usage is the usual account of tokens.
type usage struct {
	PromptTokens        int          `json:"prompt_tokens"`
	CompletionTokens    int          `json:"completion_tokens"`
	TotalTokens         int          `json:"total_tokens"`
	PromptTokensDetails cachedTokens `json:"prompt_tokens_details"`
}

type cachedTokens struct {
	CachedTokens int `json:"cached_tokens"`
}

func usageOf(u port.Usage) usage {
	return usage{PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens,
		TotalTokens: u.PromptTokens + u.CompletionTokens, PromptTokensDetails: cachedTokens{CachedTokens: u.CachedTokens}}
}

// response is a whole, not streamed answer. Text is set for completions and
// Message for chats.
type response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index        int               `json:"index"`
	Text         *string           `json:"text,omitempty"`
	Message      *message          `json:"message,omitempty"`
	FinishReason port.FinishReason `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (x *exchange) completion(chat bool) {
	req, streamed := x.readCompletion(chat)
	switch {
	case req == nil:
	case streamed:
		x.stream(req, chat)
	default:
		x.whole(req, chat)
	}
}

// readCompletion reads the request; nil when it has refused it.
func (x *exchange) readCompletion(chat bool) (req *completions.CompletionRequest, streamed bool) {
	data, ok := x.readBody()
	if !ok {
		return nil, false
	}
	in, err := decodeCompletion(data, chat, x.s.Limits)
	var deadline time.Time
	if err == nil {
		deadline, err = x.deadline()
	}
	if err != nil {
		x.refuse(http.StatusBadRequest, string(completions.KindInvalid), err.Error(), 0)
		return nil, false
	}
	return &completions.CompletionRequest{RequestID: x.id, Account: x.account, Model: in.model, Prompt: in.prompt,
		MaxTokens: in.maxTokens, Deadline: deadline}, in.stream
}

// whole answers when the response is complete.
func (x *exchange) whole(req *completions.CompletionRequest, chat bool) {
	var text collector
	end, err := x.s.Router.Completion(x.r.Context(), *req, &text)
	if err != nil {
		x.fail(err)
		return
	}
	body := response{ID: x.id, Object: "text_completion", Created: x.started.Unix(), Model: req.Model,
		Choices: []choice{{FinishReason: end.FinishReason}}, Usage: usageOf(end.Usage)}
	content := text.String()
	if chat {
		body.Object = "chat.completion"
		body.Choices[0].Message = &message{Role: "assistant", Content: content}
	} else {
		body.Choices[0].Text = &content
	}
	out, _ := json.Marshal(body) // plain values only: cannot fail
	x.writeBody(http.StatusOK, "application/json", out)
	x.doneCompletion(end)
}

func (x *exchange) doneCompletion(end completions.Completion) {
	x.done("ok", slog.String("target", end.Target), slog.Int("attempts", end.Attempts),
		slog.Int("prompt_tokens", end.Usage.PromptTokens), slog.Int("cached_tokens", end.Usage.CachedTokens),
		slog.Int("completion_tokens", end.Usage.CompletionTokens))
}

// collector is the sink of answers that are not streamed.
type collector struct{ strings.Builder }

// Chunk implements router.Sink.
func (c *collector) Chunk(_ context.Context, chunk port.Chunk) error {
	c.WriteString(chunk.Text)
	return nil
}
