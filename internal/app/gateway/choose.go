package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/balance"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/rollout"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
)

const (
	// holdShare is the part of a route's objective for which a request waits for a
	// target: after it another router or a later time serves the client better.
	holdShare = 0.5
	// minHold covers the busy time of a target where routes have short objectives.
	minHold = 50 * time.Millisecond
	// holdPoll is the time between two looks for a usable target: short against minHold.
	holdPoll = 10 * time.Millisecond

	// decodeMsPerToken stands in for a figure that engines do not tell.
	decodeMsPerToken = 10

	// Round trips in ms, of the order that deployments state for their links.
	sameZoneMs    = 0.3
	sameRegionMs  = 2.0
	otherRegionMs = 24.0
)

// choose picks the target of the next attempt, waiting a moment when none is usable.
// wait is called before it waits.
func (x *exchange) choose(ctx context.Context, wait func()) (Target, error) {
	_, span := x.g.Tracer.Start(ctx, "place")
	defer span.End()
	hold := max(minHold, time.Duration(holdShare*float64(x.route.Objective)))
	start := x.g.Clock.Now()
	for {
		if t, ok := x.best(x.g.Clock.Now()); ok {
			x.g.Metrics.Observe(MetricPlacement, x.g.Clock.Now().Sub(start))
			return t, nil
		}
		wait()
		if x.g.Clock.Now().Sub(start) >= hold {
			return Target{}, errors.Join(ErrNoTarget, x.lastCause)
		}
		if err := ctxtime.Sleep(ctx, holdPoll); err != nil {
			return Target{}, errors.Join(context.Cause(ctx), x.lastCause)
		}
	}
}

// best returns the preferred usable target.
func (x *exchange) best(now time.Time) (Target, bool) {
	k := x.next
	if x.next = nil; k == nil {
		k = x.rank(now, true)
	}
	if k == nil {
		return Target{}, false
	}
	for _, i := range k.order {
		t := k.targets[i]
		if x.g.Fingerprints.Start(now, x.fingerprint, t.Address, x.attemptID()) {
			return t, true
		}
	}
	return Target{}, false
}

// usable lists the targets that may be tried now. Those that were tried before
// are left out while others remain.
func (x *exchange) usable(now time.Time, probe bool) []Target {
	unusable := x.g.circuits.Unusable(now)
	var fresh, tried []Target
	for _, t := range x.suitable(x.g.Directory.Service(x.service)) {
		if _, out := unusable[t.ID]; out {
			if probe && x.g.circuits.ClaimProbe(now, t.ID) {
				// The next real request is the probe: connecting fails at once on a
				// target that is gone, and leaves the request not run.
				x.g.circuits.RecordProbe(now, t.ID, true)
			}
			continue
		}
		if now.Before(t.OrderedUntil) {
			continue
		}
		if x.tried[t.ID] {
			tried = append(tried, t)
		} else {
			fresh = append(fresh, t)
		}
	}
	if len(fresh) == 0 {
		return tried
	}
	return fresh
}

// suitable leaves out engines whose weights are too old by now.
func (x *exchange) suitable(targets []Target) []Target {
	x.expectWeights, x.floor = 0, 0
	if x.engine == nil || x.g.Wanted == nil {
		return targets
	}
	if x.g.Floor != nil {
		x.floor = x.g.Floor(x.r.Model, x.g.settings().WeightsBound)
		targets = slices.DeleteFunc(targets, func(t Target) bool { return t.Weights[x.r.Model] < x.floor })
	}
	newest, named := x.g.Wanted(x.r.Model)
	if newest == 0 {
		return targets
	}
	need := rollout.NeedAt(x.g.BootClock.Now().Sub(named), x.g.settings().WeightsBound)
	if need == rollout.AnyWeights {
		return targets
	}
	versions := make([]int, len(targets))
	for i, t := range targets {
		versions[i] = t.Weights[x.r.Model]
	}
	var out []Target
	for _, i := range rollout.Suitable(versions, newest, need) {
		out = append(out, targets[i])
	}
	if need == rollout.OnlyNewest {
		// The target checks as well: what is believed of it may be old.
		x.expectWeights = newest
	}
	return out
}

func (x *exchange) rankEngines(now time.Time, targets []Target) []int {
	candidates := make([]placement.Target, len(targets))
	byAddress := make(map[string]int, len(targets))
	request := x.place
	request.Exact = make(map[string]int, len(targets))
	for i, t := range targets {
		byAddress[t.Address] = i
		candidates[i] = x.placementTarget(t)
		if tokens, known := x.g.Holdings.Cached(now, t.Address, x.cacheScope(t), x.r.Prompt); known {
			request.Exact[t.Address] = tokens
		}
	}
	x.scores = x.g.Placer.Rank(now, request, candidates)
	order := make([]int, 0, len(x.scores))
	for _, s := range x.scores {
		order = append(order, byAddress[s.Target])
	}
	return order
}

func (x *exchange) placementTarget(t Target) placement.Target {
	return placement.Target{Name: t.Address, Address: t.Address, Region: x.g.settings().Regions[t.AvailabilityZone],
		AvailabilityZone: t.AvailabilityZone, Incarnation: t.Incarnation(), Slots: max(t.Slots, x.engine.Slots),
		RiskMs:                 x.riskMs(t),
		CacheBlocks:            x.engine.CacheTokens / placement.PartBlockTokens,
		ColdUntil:              t.ColdUntil,
		PrefillTokensPerSecond: x.g.prefillRate(x.service), DecodeMsPerToken: decodeMsPerToken}
}

// riskMs is the expected loss by failures of the target.
func (x *exchange) riskMs(t Target) float64 {
	return balance.RiskMs(t.Reliability.FailureShare(x.g.Clock.Now()), x.route.Objective, x.route.Retryable())
}

// scoreOf returns the score of the target in the last ranking.
func (x *exchange) scoreOf(t Target) placement.Score {
	for _, s := range x.scores {
		if s.Target == t.Address {
			return s
		}
	}
	return placement.Score{}
}

func (x *exchange) rankPlain(now time.Time, targets []Target) []int {
	candidates := make([]balance.Candidate, len(targets))
	byAddress := make(map[string]int, len(targets))
	for i, t := range targets {
		byAddress[t.Address] = i
		c := balance.Candidate{Address: t.Address, Slots: t.Slots, InFlight: t.InFlight, ServiceMs: t.ServiceMs,
			LinkMs: x.g.linkMs(t.AvailabilityZone), RiskMs: x.riskMs(t)}
		if now.Sub(t.Load.MeasuredAt) < loadFreshFor {
			c.Reported, c.Explained = t.Load.Running+t.Load.Waiting, t.ExplainedLoad
		}
		candidates[i] = c
	}
	balance.Rank(candidates)
	order := make([]int, len(candidates))
	for i, c := range candidates {
		order[i] = byAddress[c.Address]
	}
	return order
}

func (g *Gateway) linkMs(zone string) float64 {
	own := g.settings().AvailabilityZone
	switch {
	case zone == own:
		return sameZoneMs
	case g.settings().Regions[zone] == g.settings().Regions[own]:
		return sameRegionMs
	}
	return otherRegionMs
}
