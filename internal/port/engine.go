package port

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Incarnation identifies one run of a process, to distinguish it from later ones
// at the same address.
type Incarnation string

// Scope isolates cached blocks: blocks are shared only by requests of the same
// client account, model, weights version and adapter.
type Scope struct {
	ClientAccount string
	// Model separates the pools of one client account. Empty: a single pool.
	Model          string
	WeightsVersion string
	Adapter        string
}

// String returns the scope in the opaque form that is sent to engines.
func (s Scope) String() string {
	account := s.ClientAccount
	if s.Model != "" {
		account += "/" + s.Model
	}
	return account + "/" + s.WeightsVersion + "/" + s.Adapter
}

// Generation is one attempt to generate a completion on a model engine.
type Generation struct {
	RequestID string
	AttemptID string
	Model     string
	Prompt    string
	MaxTokens int
	Priority  int
	Scope     Scope
	// Deadline bounds the whole attempt; the engine is sent the remaining time.
	Deadline time.Time
	// ExpectIncarnation and ExpectWeights make the engine reject the attempt when it
	// has another incarnation or serves another weights version. Empty: any.
	ExpectIncarnation Incarnation
	ExpectWeights     string
	// ResumeFrom is the index of the first chunk to send; ResumeText holds the text
	// of the chunks before it.
	ResumeFrom int
	ResumeText string
}

// FinishReason is the reason why a stream ended. It is empty on all chunks but the
// last.
type FinishReason string

// The finish reasons.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// Usage is the token usage of one attempt, as reported by the engine.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	CachedTokens     int
}

// Chunk is one numbered part of a streamed response. Index counts from 0 over the
// whole response and continues across resumes.
type Chunk struct {
	Index        int
	Text         string
	FinishReason FinishReason
	// Usage is set on the last chunk only.
	Usage *Usage
}

// ChunkStream is an open response stream of an engine.
type ChunkStream interface {
	// Next returns the next chunk as the engine sent it. After the terminal marker
	// it returns io.EOF; a stream that ends without one fails with a
	// BrokenStreamError.
	Next() (Chunk, error)
	Incarnation() Incarnation
	WeightsVersion() string
	// Close releases the stream and abandons an attempt that is still running.
	Close() error
}

// LoadReport is the load that an engine or a service reports, with a lag.
type LoadReport struct {
	Incarnation    Incarnation `json:"incarnation"`
	WeightsVersion string      `json:"weights_version"`
	Running        int         `json:"running"`
	Waiting        int         `json:"waiting"`
	Slots          int         `json:"slots"`
	CachedBlocks   int         `json:"cached_blocks"`
	CapacityBlocks int         `json:"capacity_blocks"`
	MeasuredAt     time.Time   `json:"measured_at"`
	// SlownessPercent is how long work takes on the target now, 100 as usual; 0: unknown.
	SlownessPercent float64 `json:"slowness_percent,omitempty"`
}

// BlockHash is the chain hash of a prompt block.
type BlockHash uint64

// CacheOp is the kind of a cache event.
type CacheOp string

// The kinds of cache events.
const (
	CacheStore CacheOp = "store"
	CacheEvict CacheOp = "evict"
)

// CacheEvent is one entry of an engine's cache event stream.
type CacheEvent struct {
	Seq    uint64
	Op     CacheOp
	Scope  string
	Blocks []BlockHash
}

// CacheEvents is one read of an engine's cache event stream. FirstSeq is the oldest
// retained sequence number; a jump in Seq means that events are missing.
type CacheEvents struct {
	Incarnation Incarnation
	FirstSeq    uint64
	Events      []CacheEvent
}

// OrderKind is the kind of an order.
type OrderKind string

// The orders that engines accept.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderLoadVersion OrderKind = "load_version"
	OrderSetRole     OrderKind = "set_role"
)

// Order instructs an engine to change its model, adapter, weights version or role.
// FencingToken is the offset of the lease record under which the order is given.
type Order struct {
	ID           string    `json:"id"`
	Kind         OrderKind `json:"kind"`
	Model        string    `json:"model,omitempty"`
	Adapter      string    `json:"adapter,omitempty"`
	Version      string    `json:"version,omitempty"`
	Role         string    `json:"role,omitempty"`
	FencingToken Offset    `json:"fencing"`
}

// EngineState is the state that an engine reports.
type EngineState struct {
	Incarnation    Incarnation `json:"incarnation"`
	Model          string      `json:"model"`
	WeightsVersion string      `json:"weights_version"`
	Adapters       []string    `json:"adapters"`
	Role           string      `json:"role"`
	Loading        bool        `json:"loading"`
}

// Engine is one model engine, addressed by its target address (host:port).
type Engine interface {
	// Generate starts an attempt. It fails with a NotRunError when the engine
	// reports that the attempt did not run, and with an UnknownOutcomeError when it
	// is unknown whether it ran.
	Generate(ctx context.Context, address string, g Generation) (ChunkStream, error)
	Cancel(ctx context.Context, address, attemptID string) error
	Load(ctx context.Context, address string) (LoadReport, error)
	Events(ctx context.Context, address string, after uint64, wait time.Duration) (CacheEvents, error)
	Order(ctx context.Context, address string, o Order) error
	State(ctx context.Context, address string) (EngineState, error)
	ExportKV(ctx context.Context, address string, t KVTransfer) error
	ImportKV(ctx context.Context, address string, t KVTransfer) error
}

// KVTransfer identifies cached blocks to copy between an engine and the KV store.
// Only imports check Incarnation.
type KVTransfer struct {
	Scope       Scope
	Blocks      []BlockHash
	StoreKey    string
	Incarnation Incarnation
}

// Call is one attempt to run a plain service call.
type Call struct {
	RequestID      string
	AttemptID      string
	Method         string
	Path           string
	Header         http.Header
	Body           []byte
	IdempotencyKey string
	// FencingToken is the offset of the intent record of a call that must not be
	// repeated; 0 for other calls.
	FencingToken Offset
	Deadline     time.Time
}

// Reply is the response of a plain service. The receiver closes Body.
type Reply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Service is a plain service, addressed by its target address (host:port).
type Service interface {
	// Call runs one attempt. A NotRunError means that the call did not run; an
	// UnknownOutcomeError means that it may have run.
	Call(ctx context.Context, address string, c Call) (Reply, error)
}

// KVStore stores exported KV cache blocks.
type KVStore interface {
	Put(ctx context.Context, key string, data []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
}

// WeightStore serves model weights under a rate limit.
type WeightStore interface {
	// Fetch starts a download; it fails with a RateLimitedError, which states when to
	// retry, when the limit is reached.
	Fetch(ctx context.Context, version string) error
}
