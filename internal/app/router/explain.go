package router

import (
	"context"
	"errors"

	"mimosaseam.example/mimosaseam/internal/core/retry"
)

// Explain tells how a completion request would be placed now, without running
// it and without spending any limit.
func (r *Router) Explain(_ context.Context, req CompletionRequest) (Explanation, error) {
	p, err := r.planCompletion(req)
	if err != nil {
		return Explanation{}, err
	}
	now := r.Clock.Now()
	f := filter{weights: p.place.Scope.WeightsVersion,
		fingerprint: retry.FingerprintOf(req.Account.String(), req.Model, req.Prompt)}
	scores, _, excluded := r.rank(now, p, f)
	return Explanation{Route: p.routeRef, Pool: p.poolRef, Candidates: scores, Excluded: excluded,
		Refused: r.Fingerprints.Convicted(now, f.fingerprint)}, nil
}

// Status is what the router tells operators of itself.
type Status struct {
	Draining bool `json:"draining"`
	// OpenRequests includes queued ones.
	OpenRequests int      `json:"open_requests"`
	OpenCircuits []string `json:"open_circuits"`
}

// Status returns the current status.
func (r *Router) Status() Status {
	r.drain.mu.Lock()
	defer r.drain.mu.Unlock()
	return Status{Draining: r.drain.begun, OpenRequests: r.drain.open, OpenCircuits: r.circuits.Open()}
}

// Demand returns each account's recent demand in requests per second, which
// peers take into account when they compute their shares.
func (r *Router) Demand() map[string]float64 { return r.limits.Demand() }

// count counts the end of a request.
func (r *Router) count(err error) {
	var f *Failure
	switch {
	case !errors.As(err, &f):
	case f.Outcome == OutcomeNotRun:
		r.Metrics.Add(MetricRefused, 1)
	default:
		r.Metrics.Add(MetricFailed, 1)
	}
}
