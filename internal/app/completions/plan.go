package completions

import (
	"time"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/prompt"
	"mimosaseam.example/mimosaseam/internal/port"
)

// plan holds the configuration of one request. It is taken from a single snapshot,
// so the configuration does not change during the request.
type plan struct {
	snapshot   *config.Snapshot
	requestID  string
	accountRef config.Ref
	account    config.Account
	routeRef   config.Ref
	route      config.Route
	poolRef    config.Ref
	pool       config.Pool
	// arrived is when the request was read.
	arrived   time.Time
	deadline  time.Time
	placement placement.Request
}

// planRoute returns a plan for the first route of the account that match accepts.
func (r *Router) planRoute(account config.Ref, match func(name string, route config.Route) bool) (*plan, error) {
	snap := r.Source.Current()
	if snap == nil {
		return nil, &Failure{Kind: KindUnavailable, Message: "no configuration is in force yet", Outcome: OutcomeNotRun}
	}
	acc, ok := snap.Accounts[account]
	if !ok {
		return nil, &Failure{Kind: KindNotFound, Message: "client account does not exist", Outcome: OutcomeNotRun}
	}
	for _, name := range acc.Routes {
		ref := config.Ref{Team: account.Team, Name: name}
		route, ok := snap.Routes[ref]
		if !ok || !match(name, route) {
			continue
		}
		poolRef := config.Ref{Team: account.Team, Name: route.Pool}
		return &plan{snapshot: snap, accountRef: account, account: acc, routeRef: ref, route: route, poolRef: poolRef,
			pool: snap.Pools[poolRef]}, nil
	}
	return nil, &Failure{Kind: KindNotFound, Message: "the account has no such route", Outcome: OutcomeNotRun}
}

// setDeadline sets the earlier of the route's timeout and the deadline requested by
// the caller.
func (p *plan) setDeadline(now, requested time.Time) {
	p.arrived = now
	p.deadline = now.Add(time.Duration(p.route.TimeoutMs) * time.Millisecond)
	if !requested.IsZero() && requested.Before(p.deadline) {
		p.deadline = requested
	}
}

func (r *Router) planCompletion(req CompletionRequest) (*plan, error) {
	p, err := r.planRoute(req.Account, func(_ string, route config.Route) bool {
		return route.Model != "" && route.Model == req.Model
	})
	if err != nil {
		return nil, err
	}
	p.requestID = req.RequestID
	p.setDeadline(r.Clock.Now(), req.Deadline)
	r.setPlacement(p, req)
	return p, nil
}

// setPlacement sets the placement request for the weights version that the pool
// serves now.
func (r *Router) setPlacement(p *plan, req CompletionRequest) {
	scope := port.Scope{
		ClientAccount: req.Account.String(), Model: p.pool.Model,
		WeightsVersion: r.servedWeights(p), Adapter: p.pool.Adapter,
	}
	blockBytes := p.pool.BlockBytes
	if blockBytes <= 0 {
		blockBytes = prompt.DefaultBlockBytes
	}
	p.placement = placement.Request{
		Scope:        scope,
		Blocks:       prompt.BlockHashes(scope, req.Prompt, blockBytes),
		BlockTokens:  blockBytes / prompt.BytesPerToken,
		PromptTokens: prompt.EstimateTokens(req.Prompt),
		OutputTokens: req.MaxTokens,
		PromptBytes:  len(req.Prompt),
		Weights: placement.Weights{Recompute: p.route.Weights.Recompute,
			CrossRegionMsPerMiB: p.route.Weights.CrossRegionMsPerMiB},
	}
}

// servedWeights returns the weights version that the request requires: the
// configured one or, while no target serves it yet, the one that most targets serve.
func (r *Router) servedWeights(p *plan) string { return r.poolView(p).weightsVersion }

// defaultStallTimeout applies to routes without a stall timeout.
const defaultStallTimeout = 2 * time.Second

func (p *plan) stallTimeout() time.Duration {
	if p.route.StallTimeoutMs <= 0 {
		return defaultStallTimeout
	}
	return time.Duration(p.route.StallTimeoutMs) * time.Millisecond
}

func coldStart(pool config.Pool) time.Duration {
	return time.Duration(pool.ColdStartS) * time.Second
}
