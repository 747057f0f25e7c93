package completions

import (
	"context"
	"net/http"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/limits"
	"mimosaseam.example/mimosaseam/internal/port"
)

// CompletionRequest is a caller's request for a completion.
type CompletionRequest struct {
	RequestID string
	// Account is the authenticated client account.
	Account   config.Ref
	Model     string
	Prompt    string
	MaxTokens int
	// Deadline is set by the caller; if zero, only the route's timeout applies.
	Deadline time.Time
}

// Sink receives each chunk of one response exactly once and in order. Chunk
// blocks while the caller reads slowly; an error means that the caller has
// disconnected.
type Sink interface {
	Chunk(ctx context.Context, c port.Chunk) error
}

// Completion is the result of a fully delivered response.
type Completion struct {
	FinishReason port.FinishReason
	Usage        port.Usage
	// Attempts is the number of attempts sent to targets.
	Attempts int
	// Target is the name of the target that sent the last chunk.
	Target string
}

// ServiceRequest is a caller's request to a plain service.
type ServiceRequest struct {
	RequestID string
	Account   config.Ref
	// Route is the name of a service route in the account's team.
	Route  string
	Method string
	// Path is the path and query after /svc/{route}, with a leading slash.
	Path   string
	Header http.Header
	Body   []byte
	// IdempotencyKey, KeyCreated and First apply to routes whose calls must run at
	// most once; see atmostonce. First means that the caller has not sent the
	// key before.
	IdempotencyKey string
	KeyCreated     time.Time
	First          bool
	Deadline       time.Time
	// Memory is what the reply may take. It is taken until the owner of the memory gives it
	// back. Nil: what the calls without one share while they read their replies.
	Memory limits.Allowance
}

// ServiceReply is the complete reply of a plain service.
type ServiceReply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Explanation describes how a request would be placed.
type Explanation struct {
	Route string `json:"route"`
	Pool  string `json:"pool"`
	// WeightsVersion is the version that the request would require.
	WeightsVersion string `json:"weights_version"`
	PromptTokens   int    `json:"prompt_tokens"`
	// Candidates are sorted by preference, best first.
	Candidates []Candidate `json:"candidates"`
	// Excluded maps the names of excluded targets to the reason.
	Excluded map[string]string `json:"excluded"`
	// Refused is set if the request is quarantined because it crashed targets.
	Refused bool `json:"refused"`
}

// Candidate is a target with its estimated cost; see placement.Score.
type Candidate struct {
	Target        string  `json:"target"`
	Reason        string  `json:"reason"`
	CostMs        float64 `json:"cost_ms"`
	QueueMs       float64 `json:"queue_ms"`
	PrefillMs     float64 `json:"prefill_ms"`
	ServiceMs     float64 `json:"service_ms,omitempty"`
	SpeedFactor   float64 `json:"speed_factor,omitempty"`
	Slowness      float64 `json:"slowness,omitempty"`
	LinkMs        float64 `json:"link_ms"`
	ColdMs        float64 `json:"cold_ms"`
	RecomputeMs   float64 `json:"recompute_ms"`
	CrossRegionMs float64 `json:"cross_region_ms"`
	CachedTokens  int     `json:"cached_tokens"`
}
