package engine

import (
	"container/heap"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/prompt"
	"mimosaseam.example/mimosaseam/internal/port"
)

// maxBodyBytes bounds the body of a request or of a response of the KV store.
const maxBodyBytes = 64 << 20

type completionRequest struct {
	Model     string         `json:"model"`
	Prompt    string         `json:"prompt"`
	MaxTokens int            `json:"max_tokens"`
	Stream    bool           `json:"stream"`
	Priority  int            `json:"priority"`
	Resume    *resumeRequest `json:"resume"`
}

type resumeRequest struct {
	From int    `json:"from"`
	Text string `json:"text"`
}

// refusal is an error response stating that the attempt did not run.
type refusal struct {
	status  int
	kind    string
	message string
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var body completionRequest
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", "body is not a completion request: "+err.Error())
		return
	}
	// The prompt is hashed here, without the lock, because hashing is expensive.
	a := e.newAttempt(r, body)
	if refused := e.admit(a, r, body); refused != nil {
		if refused.status == http.StatusTooManyRequests || refused.status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", "1")
		}
		writeError(w, refused.status, refused.kind, refused.message)
		return
	}
	w.Header().Set("X-Attempt-Id", a.run.AttemptID)
	w.Header().Set("X-Incarnation", a.run.Incarnation)
	w.Header().Set("X-Weights-Version", a.run.WeightsVersion)
	w.Header().Set("Content-Type", "text/event-stream")
	e.stream(w, r, a)
}

func (e *Engine) newAttempt(r *http.Request, body completionRequest) *attempt {
	scope := r.Header.Get("X-Cache-Scope")
	tokens := prompt.EstimateTokens(body.Prompt)
	a := &attempt{
		chain:    prompt.BlockHashes(parseScope(scope), body.Prompt, e.config.BlockBytes),
		total:    body.MaxTokens,
		priority: body.Priority,
		signal:   make(chan struct{}, 1),
		ended:    make(chan struct{}),
	}
	if a.total <= 0 {
		a.total = DefaultMaxTokens
	}
	if a.total >= e.config.StopAfter {
		a.total, a.stop = e.config.StopAfter, true
	}
	if body.Resume != nil {
		a.from = body.Resume.From
		tokens += prompt.EstimateTokens(body.Resume.Text)
	}
	a.emitted.Store(int64(a.from))
	a.run = &Run{
		AttemptID: r.Header.Get("X-Attempt-Id"), RequestID: r.Header.Get("X-Request-Id"),
		Scope: scope, PromptTokens: tokens, ResumeFrom: a.from, Outcome: OutcomeWaiting,
	}
	if ms, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64); err == nil {
		a.deadline = e.elapsed() + time.Duration(ms)*time.Millisecond
	}
	return a
}

// admit queues the attempt, or returns the reason it was refused.
func (e *Engine) admit(a *attempt, r *http.Request, body completionRequest) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if refused := e.checkLocked(a, r, body); refused != nil {
		return refused
	}
	a.text = NewText(body.Prompt, e.version)
	a.run.Incarnation, a.run.WeightsVersion = e.incarnation, e.version
	if body.Resume != nil {
		a.run.ResumeMismatch = body.Resume.Text != ResponseText(body.Prompt, e.version, 0, a.from)
	}
	a.crashesOnStart = e.faults.matchesMarker(body.Prompt)
	a.faults = e.faults.takeStreamFaults()
	e.arrivals++
	a.arrival = e.arrivals
	if a.run.AttemptID == "" {
		a.run.AttemptID = "unnamed-" + strconv.FormatUint(a.arrival, 10)
	}
	e.runs.add(a.run)
	e.attempts[a.run.AttemptID] = a
	heap.Push(&e.waiting, a)
	e.runLocked()
	e.recordLoadLocked()
	return nil
}

func (e *Engine) checkLocked(a *attempt, r *http.Request, body completionRequest) *refusal {
	expectIncarnation, expectWeights := r.Header.Get("X-Expect-Incarnation"), r.Header.Get("X-Expect-Weights")
	switch {
	case e.loadingLocked():
		return &refusal{http.StatusServiceUnavailable, "loading", "the engine is loading"}
	case expectIncarnation != "" && expectIncarnation != e.incarnation:
		return &refusal{http.StatusPreconditionFailed, "incarnation_changed", "this is incarnation " + e.incarnation}
	case expectWeights != "" && expectWeights != e.version:
		return &refusal{http.StatusPreconditionFailed, "weights_changed", "weights version is " + e.version}
	case e.model != "" && body.Model != e.model:
		return &refusal{http.StatusNotFound, "unknown_model", "the engine serves " + e.model}
	case !body.Stream:
		return &refusal{http.StatusBadRequest, "bad_request", "only streamed completions are served"}
	case a.from < 0 || a.from >= a.total:
		return &refusal{http.StatusBadRequest, "bad_request", "resume.from is outside of the answer"}
	case e.attempts[a.run.AttemptID] != nil:
		return &refusal{http.StatusConflict, "duplicate_attempt", "the attempt is already running"}
	case e.faults.takeRefusal() || len(e.waiting) >= e.config.MaxWaiting && e.running >= e.config.Slots:
		return &refusal{http.StatusTooManyRequests, "overloaded", "the waiting queue is full"}
	}
	return nil
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("attempt")
	e.mu.Lock()
	a := e.attempts[id]
	if a != nil {
		e.releaseLocked(a, OutcomeCancelled)
		e.runLocked()
	}
	e.mu.Unlock()
	if a == nil {
		writeError(w, http.StatusNotFound, "not_found", "no such attempt is running")
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// parseScope is the inverse of Scope.String. Any other string is taken as a
// client account.
func parseScope(s string) port.Scope {
	adapter := strings.LastIndexByte(s, '/')
	if adapter < 0 {
		return port.Scope{ClientAccount: s}
	}
	version := strings.LastIndexByte(s[:adapter], '/')
	if version < 0 {
		return port.Scope{ClientAccount: s}
	}
	return port.Scope{ClientAccount: s[:version], WeightsVersion: s[version+1 : adapter], Adapter: s[adapter+1:]}
}
