// Package placement ranks the targets that could serve a request by expected
// cost.
package placement

import (
	"time"

	"mimosaseam.example/mimosaseam/internal/core/workload"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Target describes a candidate target at the time of a placement decision.
type Target struct {
	Name             string
	Address          string
	Region           string
	AvailabilityZone string
	// Incarnation is the last one observed, empty until the first response.
	Incarnation            port.Incarnation
	Slots                  int
	CacheBlocks            int
	PrefillTokensPerSecond float64
	DecodeMsPerToken       float64
	// ColdUntil is the end of the target's slow-start period.
	ColdUntil time.Time
	// CacheExpires is set if the target will soon drop what it has cached.
	CacheExpires bool
	// FailureCostMs is the expected cost of failures on the target, in ms.
	FailureCostMs float64
}

// Weights are the cost weights of a route; see config.PlacementWeights.
type Weights struct {
	Recompute           float64
	CrossRegionMsPerMiB float64
}

// Request holds the request properties that placement uses.
type Request struct {
	Scope        port.Scope
	Blocks       []port.BlockHash
	BlockTokens  int
	PromptTokens int
	OutputTokens int
	PromptBytes  int
	Weights      Weights
	// CanFetch is set if the targets can fetch from each other what they have cached.
	CanFetch bool
	// KnownCachedTokens maps target names to the number of prompt tokens that they
	// are known to have cached. For targets not in the map the number is estimated.
	KnownCachedTokens map[string]int
	// Fetched is set if the target fetches a part of the prompt from another cache, so that
	// the time to the first token tells nothing of its speed.
	Fetched bool
	// Service and Route name the plain service of a request without a prompt and its route.
	// Such a request goes where it is expected to be answered first.
	Service, Route string
}

// plain reports whether the request is one without a prompt.
func (r *Request) plain() bool { return r.Service != "" }

// Score is the expected cost of a target and its components, in ms.
type Score struct {
	Target        string
	CostMs        float64
	QueueMs       float64
	PrefillMs     float64
	LinkMs        float64
	ColdMs        float64
	RecomputeMs   float64
	CrossRegionMs float64
	CachedTokens  int
	// ServiceMs is the expected service time of a plain request.
	ServiceMs float64
	// SpeedFactor is how long work takes on the target now as a multiple of the usual time,
	// Slowness the momentary part of it. QueueMs and PrefillMs contain it.
	SpeedFactor float64
	Slowness    float64
	// RemainingMs is the prefill work that remains on an engine, or the work of all requests
	// on a plain target, own and others'.
	RemainingMs float64
	// Reason is why the target became a candidate: "home", "holder" or "idle".
	Reason string
}

// Placer ranks targets and learns from the outcome of requests.
// Implementations are safe for concurrent use.
type Placer interface {
	// Rank returns the candidates, best first. The caller leaves out of targets
	// those that are not eligible (open circuit breaker, leaving, already tried).
	Rank(now time.Time, req Request, targets []Target) []Score
	// Started records that an attempt was sent to the target.
	Started(now time.Time, req Request, target string)
	// FirstToken records the time from Started to the first token.
	FirstToken(now time.Time, req Request, target string, ttft time.Duration)
	// Finished records the end of an attempt. cachedTokens is what the engine
	// reported, or -1 when it reported nothing. For a plain request it is 0 after an answer
	// and -1 after a failure.
	Finished(now time.Time, req Request, target string, inc port.Incarnation, cachedTokens int)
	// ObserveLoad processes a load report, which may lag behind the actual load.
	ObserveLoad(now time.Time, target string, report port.LoadReport)
	// ObserveResponse processes the load that a target reported with a response. Without
	// slowness it tells nothing.
	ObserveResponse(now time.Time, target string, r workload.Report)
	// ObserveEvents applies the cache events that follow sequence number after.
	ObserveEvents(now time.Time, target string, after uint64, events port.CacheEvents)
	// ObservePeerInFlight replaces the in-flight counts reported by a peer.
	ObservePeerInFlight(now time.Time, peer string, inFlight map[string]int)
	// ObservePeerRequest records a request that another router sent to the target:
	// the number of tokens to prefill and the rate at which a target of usual speed prefills them.
	ObservePeerRequest(now time.Time, target string, tokens int, tokensPerSecond float64)
	// InFlight returns the router's own in-flight count for each target.
	InFlight() map[string]int
	// DropCache discards all cache knowledge about the target (crash, restart, new
	// weights).
	DropCache(target string)
	// Summary encodes in at most maxBytes the state with which a restarted router
	// makes good decisions; Restore merges such a summary.
	Summary(now time.Time, maxBytes int) []byte
	Restore(now time.Time, summary []byte) error
}
