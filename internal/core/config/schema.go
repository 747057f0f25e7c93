// Package config defines the schema and validation of the configuration that
// operators publish under paths on the platform log, and the state that results
// from applying the log's records.
package config

import "mimosaseam.example/mimosaseam/internal/port"

// PoolKind is the kind of the targets of a pool.
type PoolKind string

// The kinds of pools.
const (
	PoolEngine  PoolKind = "engine"
	PoolService PoolKind = "service"
)

// Team is the value under /system/teams/<team>.
type Team struct {
	// PublicKey is the team's ed25519 public key in base64.
	PublicKey string `json:"public_key"`
}

// PoolTarget is one target of a pool.
type PoolTarget struct {
	Name             string `json:"name"`
	Address          string `json:"address"` // host:port
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
}

// Pool is the value under /<team>/pools/<name>.
type Pool struct {
	Kind           PoolKind `json:"kind"`
	Model          string   `json:"model,omitempty"`
	WeightsVersion string   `json:"weights_version,omitempty"`
	Adapter        string   `json:"adapter,omitempty"`
	// Targets lists the targets of the pool; at least one.
	Targets []PoolTarget `json:"targets"`
	// Slots is the number of requests a target runs concurrently. Default 32.
	Slots int `json:"slots,omitempty"`
	// PrefillTokensPerSecond is the prefill speed of a target. Default 20000.
	PrefillTokensPerSecond int `json:"prefill_tokens_per_second,omitempty"`
	// DecodeMsPerToken is the time between tokens in ms. Default 25.
	DecodeMsPerToken int `json:"decode_ms_per_token,omitempty"`
	// CacheBlocks is the number of blocks a target's prefix cache holds. Default 2000.
	CacheBlocks int `json:"cache_blocks,omitempty"`
	// BlockBytes is the size of a prompt block in bytes. Default 256.
	BlockBytes int `json:"block_bytes,omitempty"`
	// ColdStartS is the time from the start of a target to full speed in s.
	// Default 30.
	ColdStartS int `json:"cold_start_s,omitempty"`
	// ChecksFencing is true if the targets refuse stale fencing tokens. Default false.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// DeduplicatesKeys is true if the targets run each idempotency key at most once. Default false.
	DeduplicatesKeys bool `json:"deduplicates_keys,omitempty"`
}

// Repeat states whether a route's calls may be repeated.
type Repeat string

// The values of Repeat.
const (
	// RepeatAny marks idempotent calls.
	RepeatAny Repeat = "any"
	// RepeatNever marks non-idempotent calls, which are recorded in the ledger.
	RepeatNever Repeat = "never"
)

// PlacementWeights are the weights of cost terms in the placement of one route.
type PlacementWeights struct {
	// Recompute is the weight of the expected prefill time of uncached tokens, in
	// addition to its part in the TTFT. 0 considers the TTFT only. Default 0.
	Recompute float64 `json:"recompute"`
	// CrossRegionMsPerMiB is the cost of a MiB sent to another region, in ms.
	// Default 5.
	CrossRegionMsPerMiB float64 `json:"cross_region_ms_per_mib"`
}

// Route is the value under /<team>/routes/<name>. An engine route serves
// completions for Model; a service route serves /svc/<name>/.
type Route struct {
	// Pool is the name of a pool of the same team.
	Pool string `json:"pool"`
	// Model is the model name in requests; engine routes only.
	Model string `json:"model,omitempty"`
	// Repeat is "any" or "never". Default "any" for engine routes; required for
	// service routes.
	Repeat Repeat `json:"repeat,omitempty"`
	// TimeoutMs bounds a whole request in ms. Default 60000.
	TimeoutMs int `json:"timeout_ms,omitempty"`
	// StallTimeoutMs is the time without progress in ms after which an attempt
	// counts as stalled. Default 2000.
	StallTimeoutMs int `json:"stall_timeout_ms,omitempty"`
	// RetryBudgetPercent is the share of requests that may be retried, hedged or
	// resumed, in percent. Default 10.
	RetryBudgetPercent int `json:"retry_budget_percent,omitempty"`
	// HedgeAfterMs is the time without a first token in ms after which a second
	// attempt is started. 0 disables hedging. Default 0.
	HedgeAfterMs int `json:"hedge_after_ms,omitempty"`
	// Priority orders queued requests, higher first. Default 0.
	Priority int `json:"priority,omitempty"`
	// KeyRetentionS is how long an outcome is retained to answer repeated requests
	// with its idempotency key, in s. Default 86400.
	KeyRetentionS int `json:"key_retention_s,omitempty"`
	// Weights apply to the placement of the route's requests.
	Weights PlacementWeights `json:"weights"`
}

// Limits bound one client account across all routers. 0 means no limit.
type Limits struct {
	RequestsPerSecond     float64 `json:"requests_per_second,omitempty"`
	PromptTokensPerSecond float64 `json:"prompt_tokens_per_second,omitempty"`
	OutputTokensPerSecond float64 `json:"output_tokens_per_second,omitempty"`
	Concurrency           int     `json:"concurrency,omitempty"`
}

// Account is the value under /<team>/accounts/<name>.
type Account struct {
	// KeySHA256 lists the hex SHA-256 hashes of the account's API keys.
	KeySHA256 []string `json:"key_sha256"`
	// Routes lists the routes of the same team that the account may use.
	Routes []string `json:"routes"`
	Limits Limits   `json:"limits"`
	// Share is the account's weight in fair queueing. Default 1.
	Share int `json:"share,omitempty"`
}

// Ref identifies a pool, route or account by team and name.
type Ref struct {
	Team string
	Name string
}

// String renders the reference as "<team>/<name>".
func (r Ref) String() string { return r.Team + "/" + r.Name }

// Snapshot is a compiled, immutable state of the configuration. All defaults are
// filled in and all references are valid.
type Snapshot struct {
	// Applied is the offset of the last applied record.
	Applied  port.Offset
	Teams    map[string]Team
	Pools    map[Ref]Pool
	Routes   map[Ref]Route
	Accounts map[Ref]Account
	// Revisions maps each path to the offset of its last accepted change.
	Revisions map[string]port.Offset
}

// Source returns the configuration in force. Implementations swap whole
// snapshots, so that a request uses one consistent state throughout.
type Source interface {
	Current() *Snapshot
}
