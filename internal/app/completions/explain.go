package completions

import (
	"context"
	"errors"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/retry"
)

// Explain returns how a completion request would be placed now. It neither runs
// the request nor counts it against any limit.
func (r *Router) Explain(_ context.Context, req CompletionRequest) (Explanation, error) {
	p, err := r.planCompletion(req)
	if err != nil {
		return Explanation{}, err
	}
	now := r.Clock.Now()
	f := filter{weights: p.placement.Scope.WeightsVersion,
		fingerprint: retry.FingerprintOf(req.Account.String(), req.Model, req.Prompt), segments: retry.PrefixSegments(req.Prompt)}
	ranked := r.rank(now, p, f)
	e := Explanation{Route: p.routeRef.String(), Pool: p.poolRef.String(), WeightsVersion: f.weights,
		PromptTokens: p.placement.PromptTokens, Excluded: ranked.reasons(), Refused: r.quarantined(now, f)}
	for _, s := range ranked.scores {
		e.Candidates = append(e.Candidates, Candidate{Target: ranked.target(s.Target).Name, Reason: s.Reason, CostMs: s.CostMs,
			QueueMs: s.QueueMs, PrefillMs: s.PrefillMs, LinkMs: s.LinkMs, ColdMs: s.ColdMs,
			ServiceMs: s.ServiceMs, SpeedFactor: s.SpeedFactor, Slowness: s.Slowness,
			RecomputeMs: s.RecomputeMs, CrossRegionMs: s.CrossRegionMs, CachedTokens: s.CachedTokens})
	}
	return e, nil
}

// Status is the state of the router as reported to operators.
type Status struct {
	Draining bool
	// OpenRequests includes queued requests.
	OpenRequests int
	// Circuits maps the addresses of the targets in the configuration to the
	// state of their circuits.
	Circuits map[string]retry.State
	// BudgetTokens maps routes to the number of attempts left in their retry
	// budgets.
	BudgetTokens map[string]float64
	// Quarantined is the number of request fingerprints that are rejected because
	// they crashed targets.
	Quarantined int
}

// Status returns the current status.
func (r *Router) Status() Status {
	now := r.Clock.Now()
	s := Status{Circuits: map[string]retry.State{}, BudgetTokens: map[string]float64{},
		Quarantined: r.CrashTracker.QuarantinedCount(now)}
	r.requests.mu.Lock()
	s.Draining, s.OpenRequests = r.requests.draining, r.requests.openRequests
	r.requests.mu.Unlock()
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
		s.BudgetTokens[ref.String()] = r.budget(ref).Tokens(now, budgetReserve(pool))
	}
	return s
}

// Demand returns the recent demand of each client account in requests per second.
// Peers use it to compute their shares.
func (r *Router) Demand() map[string]float64 { return r.limits.Demand() }

// count updates the counters of refused and failed requests when a request ends.
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
