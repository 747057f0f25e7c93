package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/balance"
	"mimosaseam.example/mimosaseam/internal/core/limits"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retrypolicy"
	"mimosaseam.example/mimosaseam/internal/core/rollout"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
)

const (
	// targetWaitShare is the share of a route's latency objective for which a request
	// waits for a usable target: after that, another router or a later retry serves the
	// client better.
	targetWaitShare = 0.5
	// minTargetWait covers the busy backoff of a target on routes with short objectives.
	minTargetWait = 50 * time.Millisecond
	// targetPollInterval is short compared with minTargetWait.
	targetPollInterval = 10 * time.Millisecond

	// sameZoneMs, sameRegionMs and otherRegionMs are the round-trip times of typical links.
	sameZoneMs    = 0.3
	sameRegionMs  = 2.0
	otherRegionMs = 24.0
)

// choose picks the target of the next attempt. While none is usable, it polls for a short
// time and calls wait after each failed poll.
func (x *exchange) choose(ctx context.Context, wait func()) (Target, error) {
	_, span := x.g.Tracer.Start(ctx, "place")
	defer span.End()
	maxWait, start := x.maxTargetWait(), x.g.Clock.Now()
	for {
		if err := x.checkQuarantine(); err != nil {
			return Target{}, err
		}
		if t, ok := x.best(x.g.Clock.Now()); ok {
			x.g.Metrics.Observe(MetricPlacement, x.g.Clock.Now().Sub(start))
			return t, nil
		}
		wait()
		if x.fullTooLong(ctx, start.Add(maxWait)) {
			return Target{}, errors.Join(ErrNoTarget, x.lastCause)
		}
		if waited := x.g.Clock.Now().Sub(start); waited >= maxWait || x.blocked.wait >= maxWait-waited || x.blocked.stated && x.refusable() {
			if !x.blocked.stated {
				x.retryAfter = max(x.retryAfter, min(x.blocked.wait, longRetryAfter))
			}
			return Target{}, errors.Join(ErrNoTarget, x.lastCause)
		}
		if err := ctxtime.Sleep(ctx, targetPollInterval); err != nil {
			return Target{}, errors.Join(context.Cause(ctx), x.lastCause)
		}
	}
}

// maxTargetWait is how long the request waits while no target may take it.
func (x *exchange) maxTargetWait() time.Duration {
	return max(minTargetWait, time.Duration(targetWaitShare*float64(x.route.Objective)))
}

// refusable reports whether the client can be told that the request has not run.
func (x *exchange) refusable() bool {
	return !x.committed && retrypolicy.ChooseFinalAction(x.history, retrypolicy.NotRun) == retrypolicy.Refuse
}

// block is what keeps all targets of a request from use: waits that they named, and rates.
type block struct {
	// wait is the time until the first of them may be used, 0 if not all are kept from use.
	wait time.Duration
	// stated is set if the wait is one that the target named.
	stated bool
}

// best returns the highest-ranked target that may run the request's fingerprint.
func (x *exchange) best(now time.Time) (Target, bool) {
	k := x.ranking
	if x.ranking = nil; k == nil {
		k = x.rank(now, true)
	}
	if k == nil {
		return Target{}, false
	}
	for rank, i := range k.order {
		t := k.targets[i]
		if !x.g.Directory.accepts(&t) || !x.g.rates.Take(now, string(t.Incarnation())) {
			continue
		}
		if x.g.CrashTracker.Start(now, x.fingerprint, t.Address, x.attemptID()) {
			if x.g.SegmentTracker.Start(now, t.Address, string(t.Incarnation()), x.attemptID(), x.fingerprint, x.segments) {
				x.plain = balance.Candidate{}
				if rank < len(k.plain) {
					x.plain = k.plain[rank]
				}
				return t, true
			}
			x.g.CrashTracker.Ended(t.Address, x.attemptID())
		}
		x.g.rates.Return(string(t.Incarnation()))
	}
	return Target{}, false
}

// usable lists the targets that may be tried now. It leaves out those that were tried
// before while others remain.
func (x *exchange) usable(now time.Time, probe bool) []Target {
	unusable := x.g.circuits.Unusable(now)
	eligible := x.eligible(x.g.Directory.Service(x.service))
	untried, tried := eligible[:0], []Target(nil) // filtered in place: targets are large
	count, blocked, first := len(eligible), 0, block{wait: limits.Never}
	for i := range eligible {
		t := &eligible[i]
		if left := t.statements.WaitLeft(now); left > 0 {
			if blocked++; left < first.wait {
				first = block{left, true}
			}
			continue
		}
		if _, out := unusable[t.ID]; out {
			if probe && x.g.circuits.ClaimProbe(now, t.ID) {
				// The next real request is the probe: connecting to a target that is gone
				// fails at once, and the request has not run.
				x.g.circuits.RecordProbe(now, t.ID, true)
			}
			continue
		}
		if now.Before(t.PausedUntil) {
			continue
		}
		if rateWait := x.g.rates.Wait(now, string(t.Incarnation())); rateWait > 0 {
			if blocked++; rateWait < first.wait {
				first = block{rateWait, false}
			}
			continue
		}
		if x.tried[t.ID] {
			tried = append(tried, *t)
		} else {
			untried = append(untried, *t)
		}
	}
	x.blocked = block{}
	if blocked > 0 && blocked == count {
		x.blocked = first
	}
	if len(untried) == 0 {
		return tried
	}
	return untried
}

// eligible leaves out engines whose weights are older than the bound allows, and sets the
// versions that the attempt requires.
func (x *exchange) eligible(targets []Target) []Target {
	x.expectWeights, x.minWeights = 0, 0
	if x.engine == nil || x.g.DesiredVersion == nil {
		return targets
	}
	if x.g.MinVersion != nil {
		x.minWeights = x.g.MinVersion(x.r.Model, x.g.settings().WeightsBound)
		targets = slices.DeleteFunc(targets, func(t Target) bool { return t.Weights[x.r.Model] < x.minWeights })
	}
	desired, announced := x.g.DesiredVersion(x.r.Model)
	if desired == 0 {
		return targets
	}
	requirement := rollout.RequirementAt(x.g.BootClock.Now().Sub(announced), x.g.settings().WeightsBound)
	if requirement == rollout.AnyVersion {
		return targets
	}
	versions := make([]int, len(targets))
	for i, t := range targets {
		versions[i] = t.Weights[x.r.Model]
	}
	var out []Target
	for _, i := range rollout.EligibleTargets(versions, desired, requirement) {
		out = append(out, targets[i])
	}
	if requirement == rollout.RequireNewest {
		// The target checks the version too, because the known one may be out of date.
		x.expectWeights = desired
	}
	return out
}

func (x *exchange) rankEngines(now time.Time, targets []Target) []int {
	candidates := make([]placement.Target, len(targets))
	byAddress := make(map[string]int, len(targets))
	request := x.placementRequest
	request.KnownCachedTokens = make(map[string]int, len(targets))
	scope, weights := "", -1
	x.prefillPerSecond = x.g.prefillRate(x.service)
	for i := range targets {
		t := &targets[i]
		byAddress[t.Address] = i
		candidates[i] = x.placementTarget(now, t)
		if version := t.Weights[x.r.Model]; version != weights {
			scope, weights = x.cacheScope(*t), version // mostly the same for all
		}
		if tokens, known := x.g.CacheContents.CachedTokens(now, t.Address, scope, x.r.Prompt); known {
			request.KnownCachedTokens[t.Address] = tokens
		}
	}
	x.scores = x.g.Placer.Rank(now, request, candidates)
	order := make([]int, 0, len(x.scores))
	for _, s := range x.scores {
		order = append(order, byAddress[s.Target])
	}
	return order
}

func (x *exchange) placementTarget(now time.Time, t *Target) placement.Target {
	return placement.Target{Name: t.Address, Address: t.Address, Region: x.g.settings().Regions[t.AvailabilityZone],
		AvailabilityZone: t.AvailabilityZone, Incarnation: t.Incarnation(), Slots: max(t.Slots, x.engine.Slots),
		FailureCostMs:          x.failureCostMs(now, t),
		CacheBlocks:            x.engine.CacheTokens / placement.PartBlockTokens,
		ColdUntil:              t.ColdUntil,
		CacheExpires:           x.outdated(*t),
		PrefillTokensPerSecond: x.prefillPerSecond}
}

// failureCostMs is the expected cost in ms of failures of the target.
func (x *exchange) failureCostMs(now time.Time, t *Target) float64 {
	return balance.FailureCostMs(t.Reliability.FailureShare(now), x.route.Objective, x.route.Retryable())
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
