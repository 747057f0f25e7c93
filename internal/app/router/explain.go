package router

import (
	"context"
	"errors"

	"mimosaseam.example/mimosaseam/internal/core/config"
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
	ranked := r.rank(now, p, f)
	e := Explanation{Route: p.routeRef.String(), Pool: p.poolRef.String(), WeightsVersion: f.weights,
		PromptTokens: p.place.PromptTokens, Excluded: ranked.reasons(), Refused: r.Fingerprints.Quarantined(now, f.fingerprint)}
	for _, s := range ranked.scores {
		e.Candidates = append(e.Candidates, Candidate{Target: ranked.target(s.Target).Name, Reason: s.Reason, CostMs: s.CostMs,
			QueueMs: s.QueueMs, PrefillMs: s.PrefillMs, LinkMs: s.LinkMs, ColdMs: s.ColdMs,
			RecomputeMs: s.RecomputeMs, CrossMs: s.CrossRegionMs, CachedTokens: s.CachedTokens})
	}
	return e, nil
}

// Status is what the router tells operators of itself.
type Status struct {
	Draining bool
	// OpenRequests includes queued ones.
	OpenRequests int
	// Circuits maps the addresses of the targets in the configuration to the
	// state of their circuits.
	Circuits map[string]retry.State
	// BudgetTokens is what each route's retry budget holds, in attempts.
	BudgetTokens map[string]float64
	// Quarantined counts the requests that are refused for crashing targets.
	Quarantined int
}

// Status returns the current status.
func (r *Router) Status() Status {
	now := r.Clock.Now()
	s := Status{Circuits: map[string]retry.State{}, BudgetTokens: map[string]float64{},
		Quarantined: r.Fingerprints.QuarantinedCount(now)}
	r.drain.mu.Lock()
	s.Draining, s.OpenRequests = r.drain.begun, r.drain.open
	r.drain.mu.Unlock()
	snap := r.Source.Current()
	if snap == nil {
		return s
	}
	for _, pool := range snap.Pools {
		for _, t := range pool.Targets {
			s.Circuits[t.Address] = r.circuits.State(t.Address)
		}
	}
	for ref, route := range snap.Routes {
		pool := snap.Pools[config.Ref{Team: ref.Team, Name: route.Pool}]
		s.BudgetTokens[ref.String()] = r.budget(ref).Tokens(now, reserve(pool))
	}
	return s
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
