// Package limits implements admission control: concurrency limits for each client
// account, concurrency limits for each target, and a queue in front of each pool.
// Every router enforces its own share of these limits. Rate limits are shared by all
// routers, see Rates and package allotment.
package limits

import (
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
	Members      map[string]int
	Slots        int
	Priority     int
	PromptTokens int
	OutputTokens int
	// Deadline is the latest time at which the request may start.
	Deadline time.Time
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
	ReasonNoTargets   Reason = "no_targets"
)

// RefusedError reports that the request was not admitted and not sent to a target.
type RefusedError struct {
	Reason     Reason
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return "request not admitted: " + string(e.Reason) + ", retry after " + e.RetryAfter.String()
}
