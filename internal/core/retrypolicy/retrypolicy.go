// Package fate decides what becomes of a request after an attempt failed: it
// goes to another target, is refused as not run, or fails. It answers the load
// of failing and leaving targets.
package retrypolicy

import "mimosaseam.example/mimosaseam/internal/core/gatewayconfig"

// Outcome is what an attempt showed.
type Outcome int

// The kinds of evidence, from the least to the most that may have happened.
const (
	// NotRun: the target stated that the request did not run, or never got it.
	NotRun Outcome = iota
	// Unknown: the request may have run and its answer is lost.
	Unknown
	// Failed: the request ran and was answered with a failure.
	Failed
)

// History is what happened to a request so far.
type History struct {
	// PossibleRuns counts the attempts that may have run, Refusals those that did not.
	PossibleRuns int
	Refusals     int
	// Delivered says that a part of the answer has reached the client.
	Delivered bool
}

// Add counts a failed attempt.
func (h *History) Add(e Outcome) {
	if e == NotRun {
		h.Refusals++
		return
	}
	h.PossibleRuns++
}

// maxRefusals bounds the targets asked in vain for one request: more refusals
// mean that the service is full, and the client should come back later.
const maxRefusals = 3

// MayRetry reports whether the request may be sent again after the evidence.
// A request that may have run is repeated only where the route allows it, on at
// most as many targets as the route says.
func MayRetry(r *gatewayconfig.Route, h History, last Outcome) bool {
	if h.Refusals > maxRefusals {
		return false
	}
	if last != NotRun && !r.Retryable() {
		return false
	}
	return h.PossibleRuns < r.MaxAttempts
}

// FinalAction is the final answer to a request that is given up.
type FinalAction int

// The verdicts.
const (
	// Refuse promises that the request has not run and will not run.
	Refuse FinalAction = iota
	// Fail promises nothing.
	Fail
	// ForwardFailure hands the target's own failure to the client.
	ForwardFailure
	// Abort ends an answer visibly of which a part was delivered.
	Abort
)

// ChooseFinalAction decides the answer of a request that is not sent again.
func ChooseFinalAction(h History, last Outcome) FinalAction {
	switch {
	case h.Delivered:
		return Abort
	case last == Failed:
		return ForwardFailure
	case h.PossibleRuns > 0:
		return Fail
	}
	return Refuse
}
