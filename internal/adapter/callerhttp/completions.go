package callerhttp

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"mimosaseam.example/mimosaseam/internal/adapter/clientconn"
	"mimosaseam.example/mimosaseam/internal/app/completions"
	"mimosaseam.example/mimosaseam/internal/core/membudget"
	"mimosaseam.example/mimosaseam/internal/port"
)

func isTooLarge(err error) bool {
	var large *http.MaxBytesError
	return errors.As(err, &large)
}

// usage is the token usage in the common completions format.
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

// response is the body of a non-streamed response. Its choice has Text for
// completions and Message for chat completions.
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
		x.respondBuffered(req, chat)
	}
}

// decodedFactor is how many times the size of its body a completion takes besides: the decoded
// texts, the prompt made of them, and the request to the engine.
const decodedFactor = 3

// readCompletion reads and decodes the request. It returns nil if it refused it.
func (x *exchange) readCompletion(chat bool) (req *completions.CompletionRequest, streamed bool) {
	data, ok := x.readBody()
	if !ok {
		return nil, false
	}
	if !x.takeMemory(decodedFactor * len(data)) {
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

// respondBuffered responds once the completion has ended.
func (x *exchange) respondBuffered(req *completions.CompletionRequest, chat bool) {
	text := textBuffer{holder: clientconn.HolderOf(x.r.Context())}
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
	x.logCompletion(end)
}

func (x *exchange) logCompletion(end completions.Completion) {
	x.logRequest("ok", slog.String("target", end.Target), slog.Int("attempts", end.Attempts),
		slog.Int("prompt_tokens", end.Usage.PromptTokens), slog.Int("cached_tokens", end.Usage.CachedTokens),
		slog.Int("completion_tokens", end.Usage.CompletionTokens))
}

// textBuffer is the sink of responses that are not streamed.
type textBuffer struct {
	strings.Builder
	holder *membudget.Holder
}

// textFactor is how many times its size the text of a response takes: in a buffer that grows, as
// JSON, and with room to grow.
const textFactor = 3

// Chunk implements completions.Sink.
func (b *textBuffer) Chunk(_ context.Context, chunk port.Chunk) error {
	b.holder.Charge(membudget.KindReply, int64(textFactor*len(chunk.Text)))
	b.WriteString(chunk.Text)
	return nil
}
