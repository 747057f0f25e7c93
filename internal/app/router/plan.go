package router

import (
	"time"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/prompt"
	"mimosaseam.example/mimosaseam/internal/port"
)

// plan is what the configuration says of one request. It is taken from one
// snapshot, so a request sees one configuration from start to end.
type plan struct {
	snapshot   *config.Snapshot
	accountRef config.Ref
	account    config.Account
	routeRef   config.Ref
	route      config.Route
	poolRef    config.Ref
	pool       config.Pool
	deadline   time.Time
	place      placement.Request
}

// planRoute finds a route of the account that match accepts.
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

// setDeadline applies the route's timeout and the caller's own deadline.
func (p *plan) setDeadline(now, own time.Time) {
	p.deadline = now.Add(time.Duration(p.route.TimeoutMs) * time.Millisecond)
	if !own.IsZero() && own.Before(p.deadline) {
		p.deadline = own
	}
}

func (r *Router) planCompletion(req CompletionRequest) (*plan, error) {
	p, err := r.planRoute(req.Account, func(_ string, route config.Route) bool {
		return route.Model != "" && route.Model == req.Model
	})
	if err != nil {
		return nil, err
	}
	p.setDeadline(r.Clock.Now(), req.Deadline)
	r.setScope(p, req)
	return p, nil
}

// setScope derives what placement needs from the weights that the pool serves
// now.
func (r *Router) setScope(p *plan, req CompletionRequest) {
	scope := port.Scope{
		ClientAccount: req.Account.String(), Model: p.pool.Model,
		WeightsVersion: r.servedWeights(p), Adapter: p.pool.Adapter,
	}
	blockBytes := p.pool.BlockBytes
	if blockBytes <= 0 {
		blockBytes = prompt.DefaultBlockBytes
	}
	p.place = placement.Request{
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

// servedWeights returns the weights version to ask for: the configured one,
// or, while none of the targets serves that yet, the one that most of them
// serve.
func (r *Router) servedWeights(p *plan) string { return r.members(p).served }

// defaultStallTimeout stands in for a route that sets none.
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
