// Package limits implements admission control: concurrency limits for each client
// account, concurrency limits for each target, and a queue in front of each pool.
// Every router enforces its own share of these limits. Rate limits are shared by all
// routers, see Rates and package allotment.
package limits

import (
	"log/slog"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/config"
)

// PeerState provides the state last reported by the router's peers.
// Implementations are safe for concurrent use and do not block.
type PeerState interface {
	// Routers describes the routers that share the limits.
	Routers() Routers
	// PeerDemand is the sum of the demand that peers reported for the account,
	// in requests per second.
	PeerDemand(account string) float64
	// PeerInFlight is the number of requests that peers reported in flight on
	// the target.
	PeerInFlight(target string) int
}

// Routers describes the routers that share the limits.
type Routers struct {
	// Count is the number of routers believed to be alive, this one included.
	Count int
	// Index is the position of this router among them in name order.
	Index int
	// AllReachable reports whether all of them have responded recently. A router
	// that no longer responds but is still listed as alive remains in Count and
	// makes this false.
	AllReachable bool
}

// SingleRouter is the PeerState of a router without peers.
type SingleRouter struct{}

// Routers describes a single router.
func (SingleRouter) Routers() Routers { return Routers{Count: 1, AllReachable: true} }

// PeerDemand is always 0.
func (SingleRouter) PeerDemand(string) float64 { return 0 }

// PeerInFlight is always 0.
func (SingleRouter) PeerInFlight(string) int { return 0 }

// Request describes a request for admission.
type Request struct {
	Account string
	Limits  config.Limits
	// Weight is the weight of the account in fair queuing.
	Weight int
	// Pool names the pool. Targets are its targets, each of which runs up to Slots
	// concurrent requests from all routers together; Unavailable lists those of
	// them that cannot be used now.
	Pool        string
	Targets     []string
	Unavailable []string
	// Members is the set of Targets. It is optional and speeds up large pools.
	Members  map[string]int
	Slots    int
	Priority int
	// Kind names requests that are alike, such as those of one route. No kind is starved.
	Kind string
	// Fingerprint identifies a request that was refused when it returns; 0: it is not
	// recognised.
	Fingerprint  uint64
	PromptTokens int
	OutputTokens int
	// Deadline is the latest time at which the request may start.
	Deadline time.Time
	// OnTime is the latest start with which the request meets its latency objective; zero:
	// it has none.
	OnTime time.Time
	// Gate replaces Targets, Unavailable, Members and Slots in pools whose capacity
	// is limited by time; nil in pools that are limited by slots.
	Gate *Gate
}

// Reason is the reason for which a request was refused.
type Reason string

// The reasons for refusals.
const (
	ReasonRequestRate Reason = "request_rate"
	ReasonPromptRate  Reason = "prompt_token_rate"
	ReasonOutputRate  Reason = "output_token_rate"
	ReasonConcurrency Reason = "concurrency"
	ReasonQueueFull   Reason = "queue_full"
	ReasonDeadline    Reason = "deadline"
	// ReasonShed: the request waited, and is no longer expected to be served in time.
	ReasonShed      Reason = "shed"
	ReasonNoTargets Reason = "no_targets"
)

// Estimate is the expected wait of a request and what it was computed from.
type Estimate struct {
	// Wait is the expected wait, Left the time after which the request can no longer start.
	Wait, Left time.Duration
	// Drain is the part of Wait for the work that was there already: after it, there is
	// capacity for requests like this one.
	Drain time.Duration
	// Ahead is the number of requests that are served before it from the queue of this
	// router, and Work the time for which they occupy their servers; 0 in pools with slots.
	Ahead int
	Work  time.Duration
	// Servers is the number of usable servers or slots.
	Servers int
}

// RefusedError reports that the request was not admitted and not sent to a target.
type RefusedError struct {
	Reason Reason
	// RetryAfter is when capacity is expected. Callers spread it between half of it and more.
	RetryAfter time.Duration
	Estimate   Estimate
	// Waited is how long the request waited before it was refused, 0 if that was on arrival.
	Waited time.Duration
	// Early is set if the request was refused before and returned too early.
	Early bool
}

func (e *RefusedError) Error() string {
	return "request not admitted: " + string(e.Reason) + ", retry after " + e.RetryAfter.String()
}

// Cause returns the name of the refusal in counters: its reason, and whether the request
// waited or returned too early.
func (e *RefusedError) Cause() string {
	switch {
	case e.Waited > 0:
		return string(e.Reason) + "_waited"
	case e.Early:
		return string(e.Reason) + "_early"
	}
	return string(e.Reason)
}

// Attrs returns log attributes with the reason and the inputs of the estimate.
func (e *RefusedError) Attrs() []slog.Attr {
	ms := func(d time.Duration) float64 {
		return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
	}
	return []slog.Attr{slog.String("why", e.Cause()), slog.Float64("wait_ms", ms(e.Estimate.Wait)), slog.Float64("drain_ms", ms(e.Estimate.Drain)), slog.Float64("left_ms", ms(e.Estimate.Left)),
		slog.Int("ahead", e.Estimate.Ahead), slog.Float64("ahead_work_ms", ms(e.Estimate.Work)), slog.Int("servers", e.Estimate.Servers),
		slog.Float64("waited_ms", ms(e.Waited)), slog.Float64("retry_after_ms", ms(e.RetryAfter))}
}
