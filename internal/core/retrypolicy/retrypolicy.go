// Package retrypolicy decides what happens to a request after a failed attempt: it
// is retried on another target, refused as not run, or fails. It covers targets
// that fail and targets that are leaving.
package retrypolicy

import "mimosaseam.example/mimosaseam/internal/core/gatewayconfig"

// Outcome is the outcome of a failed attempt.
type Outcome int

// The outcomes, ordered by how far the request may have been processed.
const (
	// NotRun means that the target reported that the request did not run, or never
	// received it.
	NotRun Outcome = iota
	// Unknown means that the request may have run and its response was lost.
	Unknown
	// Failed means that the request ran and the target returned a failure.
	Failed
)

// History summarizes the failed attempts of a request.
type History struct {
	// PossibleRuns counts the attempts that may have run, Refusals those that did not
	// run.
	PossibleRuns int
	Refusals     int
	// Delivered reports whether a part of the response has been sent to the client.
	Delivered bool
}

// Add counts a failed attempt.
func (h *History) Add(o Outcome) {
	if o == NotRun {
		h.Refusals++
		return
	}
	h.PossibleRuns++
}

// maxRefusals limits the refusals after which a request is still retried: more of
// them mean that the service is at capacity, and the client should retry later.
const maxRefusals = 3

// MayRetry reports whether the request may be retried after the last outcome.
// A request that may have run is retried only if the route allows it, and runs on
// at most the number of targets that the route allows.
func MayRetry(r *gatewayconfig.Route, h History, last Outcome) bool {
	if h.Refusals > maxRefusals {
		return false
	}
	if last != NotRun && !r.Retryable() {
		return false
	}
	return h.PossibleRuns < r.MaxAttempts
}

// FinalAction is the response to a request that is not retried again.
type FinalAction int

// The final actions.
const (
	// Refuse guarantees that the request has not run and will not run.
	Refuse FinalAction = iota
	// Fail makes no guarantee: the request may have run.
	Fail
	// ForwardFailure forwards the target's failure response to the client.
	ForwardFailure
	// Abort ends a partly delivered response in a way that the client can detect.
	Abort
)

// ChooseFinalAction returns the response to a request that is not retried again.
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
