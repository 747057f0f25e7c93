package placement

import (
	"math"
	"time"
)

// minUncachedTokens is the lower bound of the average uncached tokens of a
// request when a queue is converted to a number of requests.
const minUncachedTokens = 400

// overflowShare is the fraction of the miss weight that applies to the first
// target after the home targets in rendezvous order. All routers overflow to the
// same target, so a copy there is useful to all of them.
const overflowShare = 0.5

// slowStart is the time over which the penalty of a cold target falls to zero.
const slowStart = 30 * time.Second

// toleratedMs is how much longer than usual the request's own prefill may take before that counts
// against the target, where engines cannot fetch what others have cached: half of the shortest
// objectives for the first token. With the whole difference in the cost, prompts left their home
// for a faster engine, and the load driver read 1.9 times as many prompt parts again for a tenth
// of the time to the first token at p99.
const toleratedMs = 200

// score computes the expected cost of a candidate.
func (p *Policy) score(v *requestView, c *candidate, target Target) {
	t := p.target(target.Name)
	t.observeIncarnation(v.now, target.Incarnation)
	if v.req.plain() {
		p.scorePlain(v, c, t, target)
		return
	}
	cached := p.expectedCachedTokens(v, t, c.order)
	if exact, known := v.req.KnownCachedTokens[target.Name]; known {
		cached = float64(exact)
	}
	uncached := max(0, float64(v.req.PromptTokens)-cached)
	usualPerMs := max(target.PrefillTokensPerSecond, 1) / 1000
	factor := t.speed.Factor(v.now)
	perMs := usualPerMs / factor
	s := Score{Target: target.Name, CachedTokens: int(cached), Reason: c.reason, SpeedFactor: factor, Slowness: t.speed.Slowness(v.now)}
	s.PrefillMs = uncached / perMs
	s.RemainingMs = p.remainingMs(v.now, t, perMs)
	s.QueueMs = p.queueMs(v.now, t, target, s.RemainingMs, factor)
	usualMs := uncached / usualPerMs
	s.RecomputeMs = (p.missWeight(v, c.order, s.QueueMs*perMs) + v.req.Weights.Recompute) * usualMs
	if target.CacheExpires {
		s.RecomputeMs += p.cfg.MissWeight * usualMs
	}
	s.LinkMs = 2 * p.linkMs(target)
	if target.Region != p.cfg.Region {
		s.CrossRegionMs = v.req.Weights.CrossRegionMsPerMiB * float64(v.req.PromptBytes) / bytesPerMiB
	}
	if left := target.ColdUntil.Sub(v.now); left > 0 {
		s.ColdMs = 2 * (s.PrefillMs + s.QueueMs) * min(1, left.Seconds()/slowStart.Seconds())
	}
	s.CostMs = s.QueueMs + ownPrefillMs(s.PrefillMs, usualMs, v.req.CanFetch) + s.LinkMs + s.ColdMs + s.RecomputeMs + s.CrossRegionMs + target.FailureCostMs
	c.state, c.score, c.usualPerMs = t, s, usualPerMs
}

// ownPrefillMs is what the prefill of the request itself counts in the cost of an engine, which
// takes usualMs on one of the usual speed. An engine that can fetch does not read again what the
// home of a prompt has, so a faster one is worth leaving it.
func ownPrefillMs(prefillMs, usualMs float64, canFetch bool) float64 {
	if canFetch {
		return prefillMs
	}
	return usualMs + max(0, prefillMs-usualMs-toleratedMs)
}

// missWeight is the weight of the cost that a cache miss causes to other
// requests. Blocks computed on a home target are reused by all routers; a copy
// elsewhere is computed again and takes cache space from other prefixes.
func (p *Policy) missWeight(v *requestView, order int, queuedTokens float64) float64 {
	if order < v.spread {
		return 0
	}
	weight := p.cfg.MissWeight
	if order == v.spread {
		weight *= overflowShare
	}
	return weight * (1 + queuedTokens/max(p.uncached, minUncachedTokens))
}

func (p *Policy) linkMs(target Target) float64 {
	switch {
	case target.Region != p.cfg.Region:
		return p.cfg.InterRegionMs
	case target.AvailabilityZone != p.cfg.AvailabilityZone:
		return p.cfg.InterZoneMs
	}
	return 0
}

// remainingMs is the queued prefill work, own and others'.
func (p *Policy) remainingMs(now time.Time, t *targetState, perMs float64) float64 {
	others := t.estimatedInFlight(now) - float64(len(t.attempts))
	return (t.pendingPrefillTokens(now) + t.othersPendingTokens(now, perMs) + others*p.pendingPerRequest()) / perMs
}

// queueMs is the expected wait for a slot and for queued prefill work.
func (p *Policy) queueMs(now time.Time, t *targetState, target Target, remainingMs, factor float64) float64 {
	inFlight, ms := t.estimatedInFlight(now), remainingMs
	if slots := float64(max(target.Slots, 1)); inFlight >= slots {
		ms += (inFlight - slots + 1) / slots * p.decodeSeconds * 1000 * factor
	}
	return ms + t.unattributedWaitMs(now)
}

// expectedCachedTokens is the expected number of cached prompt tokens on a target.
func (p *Policy) expectedCachedTokens(v *requestView, t *targetState, order int) float64 {
	blocks, sure := 0.0, 1.0
	for i, st := range v.path {
		q, part := p.cacheProbability(v, t, i, order)
		sure = min(sure, q)
		n := min(float64(st.matched), part)
		blocks += sure * n
		if n < float64(st.matched) || sure < 0.01 {
			break
		}
	}
	return blocks * float64(v.req.BlockTokens)
}

// cacheProbability returns the probability that the target has step i of the
// path cached, and how many blocks of it.
func (p *Policy) cacheProbability(v *requestView, t *targetState, i, order int) (probability, blocks float64) {
	s := v.path[i].segment
	own, part := 0.0, 0.0
	if h := s.holder(t.id); t.valid(h) {
		part = float64(h.blocks)
		own = p.retained.survival(h.age(v.now))
		if t.eventsCover(v.now, h.last) {
			own = 1
		}
	}
	others := p.peerCacheProbability(v, t, s, i, order)
	if others > 0 && float64(s.length) > part {
		if own*part < others*float64(s.length) {
			return others, float64(s.length)
		}
		return own, part
	}
	return 1 - (1-own)*(1-others), part
}

// peerCacheProbability is the probability that a request of another router
// loaded the segment into the target's cache within the retention time. Requests
// of a home prefix go to its home targets, those of the segments above it to all
// targets.
func (p *Policy) peerCacheProbability(v *requestView, t *targetState, s *segment, i, order int) float64 {
	share := 0.0
	switch {
	case i < v.homeStep:
		share = 1 / float64(v.targets)
	case i > v.homeStep && order > 0:
		return 0
	case i > v.homeStep:
		share = 1
	case order < v.spread:
		share = 1 / float64(v.spread)
	default:
		return 0
	}
	rate := s.rateAt(v.now, p.cfg.rateWindow()) * float64(p.routers-1)
	span := min(p.retained.d, v.now.Sub(s.firstUsed), v.now.Sub(t.emptySince))
	return 1 - math.Exp(-rate*share*max(0, span.Seconds()))
}
