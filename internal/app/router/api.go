package router

import (
	"context"
	"net/http"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/config"
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
	// Deadline is the caller's own; zero leaves the route's timeout.
	Deadline time.Time
}

// Sink takes the chunks of one response in order, each once. Chunk blocks
// while the caller is slow; an error means that the caller is gone.
type Sink interface {
	Chunk(ctx context.Context, c port.Chunk) error
}

// Completion is the end of a whole response.
type Completion struct {
	FinishReason port.FinishReason
	Usage        port.Usage
	// Attempts is the number of attempts sent.
	Attempts int
	// Target is the target that ended the response.
	Target string
}

// ServiceRequest is a caller's request to a plain service.
type ServiceRequest struct {
	RequestID string
	Account   config.Ref
	// Route is the name of a service route of the account's team.
	Route  string
	Method string
	// Path is the path and query behind /svc/{route}, with its leading slash.
	Path   string
	Header http.Header
	Body   []byte
	// IdempotencyKey, KeyCreated and First are required by routes whose calls
	// may not be repeated; see atmostonce.
	IdempotencyKey string
	KeyCreated     time.Time
	First          bool
	Deadline       time.Time
}

// ServiceReply is the whole reply of a plain service.
type ServiceReply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Explanation tells how a request would be placed.
type Explanation struct {
	Route string `json:"route"`
	Pool  string `json:"pool"`
	// WeightsVersion is the version that the targets would be asked for.
	WeightsVersion string `json:"weights_version"`
	PromptTokens   int    `json:"prompt_tokens"`
	// Candidates are in the order of preference.
	Candidates []Candidate `json:"candidates"`
	// Excluded maps targets that are no candidates to the reason.
	Excluded map[string]string `json:"excluded"`
	// Refused says that the request would be refused for crashing targets.
	Refused bool `json:"refused"`
}

// Candidate is a target with its expected cost; see placement.Score.
type Candidate struct {
	Target       string  `json:"target"`
	Reason       string  `json:"reason"`
	CostMs       float64 `json:"cost_ms"`
	QueueMs      float64 `json:"queue_ms"`
	PrefillMs    float64 `json:"prefill_ms"`
	LinkMs       float64 `json:"link_ms"`
	ColdMs       float64 `json:"cold_ms"`
	RecomputeMs  float64 `json:"recompute_ms"`
	CrossMs      float64 `json:"cross_region_ms"`
	CachedTokens int     `json:"cached_tokens"`
}
