// Package limits admits requests: rates and concurrency for each client
// account, concurrency for each target, and a queue in front of each pool.
// Every router enforces its own share of the limits.
package limits

import (
	"time"

	"mimosaseam.example/mimosaseam/internal/core/config"
)

// PeerState tells what the router knows of its peers. Implementations are
// safe for concurrent use and return at once.
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
	// AllReachable says that every one of them answered lately. A router that is
	// silent but still listed as live keeps its place in Count and makes this
	// false.
	AllReachable bool
}

// SingleRouter is the ShareSource of a router without peers.
type SingleRouter struct{}

// Routers describes a single router.
func (SingleRouter) Routers() Routers { return Routers{Count: 1, AllReachable: true} }

// PeerDemand is always 0.
func (SingleRouter) PeerDemand(string) float64 { return 0 }

// PeerInFlight is always 0.
func (SingleRouter) PeerInFlight(string) int { return 0 }

// Request describes a request that wants to run.
type Request struct {
	Account string
	Limits  config.Limits
	// Weight weighs the account against others in the queue.
	Weight int
	// Pool names the pool; Targets are its targets, each of which runs Slots
	// requests at once for all routers together, and Without those of them that
	// cannot be used now.
	Pool        string
	Targets     []string
	Unavailable []string
	// Members is the set of Targets. It may be nil; it saves time in large pools.
	Members      map[string]int
	Slots        int
	Priority     int
	PromptTokens int
	OutputTokens int
	// Deadline is the time until which the request may wait.
	Deadline time.Time
	// Gate replaces Targets, Without, Members and Slots where room is time; nil: the
	// pool's places decide.
	Gate *Gate
}

// Reason says why a request was refused.
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

// RefusedError says that the request was not admitted; nothing was sent.
type RefusedError struct {
	Reason     Reason
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return "request not admitted: " + string(e.Reason) + ", retry after " + e.RetryAfter.String()
}
