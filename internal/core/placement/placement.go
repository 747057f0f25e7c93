// Package placement ranks the targets that could serve a request by expected
// cost.
package placement

import (
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Target is a candidate as the router knows it when it decides.
type Target struct {
	Name             string
	Address          string
	Region           string
	AvailabilityZone string
	// Incarnation is the last one seen; empty until the target answered once.
	Incarnation            port.Incarnation
	Slots                  int
	CacheBlocks            int
	PrefillTokensPerSecond float64
	DecodeMsPerToken       float64
	// ColdUntil is the end of the target's slow start.
	ColdUntil time.Time
	// RiskMs is the expected loss by failures of the target.
	RiskMs float64
}

// Weights steer the cost of one route; see config.PlacementWeights.
type Weights struct {
	Recompute           float64
	CrossRegionMsPerMiB float64
}

// Request is what placement needs to know of a request.
type Request struct {
	Scope        port.Scope
	Blocks       []port.BlockHash
	BlockTokens  int
	PromptTokens int
	OutputTokens int
	PromptBytes  int
	Weights      Weights
	// Exact maps the names of targets to the tokens of the prompt that they are
	// known to hold. Targets that it lacks are estimated. Nil: none is known.
	Exact map[string]int
}

// Score is the expected cost of one target, in ms, with its parts.
type Score struct {
	Target       string
	CostMs       float64
	QueueMs      float64
	PrefillMs    float64
	LinkMs       float64
	ColdMs       float64
	RecomputeMs  float64
	CrossMs      float64
	CachedTokens int
	// Reason says why the target is a candidate: "home", "holder" or "idle".
	Reason string
}

// Placer decides and learns. Implementations are safe for concurrent use.
type Placer interface {
	// Rank returns the candidates, best first. Targets already excluded by the
	// caller (open circuit, leaving, tried before) are not in targets.
	Rank(now time.Time, req Request, targets []Target) []Score
	// Started records that an attempt was sent to the target.
	Started(now time.Time, req Request, target string)
	// FirstToken records the time from Started to the first token.
	FirstToken(now time.Time, req Request, target string, ttft time.Duration)
	// Finished records the end of an attempt. cachedTokens is what the engine
	// reported, or -1 when it reported nothing.
	Finished(now time.Time, req Request, target string, inc port.Incarnation, cachedTokens int)
	// ObserveLoad takes a lagging load report.
	ObserveLoad(now time.Time, target string, report port.LoadReport)
	// ObserveEvents takes cache events read after sequence number after.
	ObserveEvents(now time.Time, target string, after uint64, events port.CacheEvents)
	// ObservePeer takes the in-flight counts that a peer reported.
	ObservePeer(now time.Time, peer string, inFlight map[string]int)
	// ObserveStarted takes a request that another router sent to the target, which
	// has to read the tokens at the given rate.
	ObserveStarted(now time.Time, target string, tokens int, tokensPerSecond float64)
	// InFlight returns the router's own in-flight count for each target.
	InFlight() map[string]int
	// Drop forgets all cached blocks of the target (crash, restart, new weights).
	Drop(target string)
	// Summary returns at most maxBytes of what a restarted router needs to make
	// good choices; Restore merges such a summary.
	Summary(now time.Time, maxBytes int) []byte
	Restore(now time.Time, summary []byte) error
}
