package placement

import (
	"math"
	"time"
)

// minMissed bounds the usual missed tokens from below when a queue is turned
// into a number of requests.
const minMissed = 400

// overflowShare is the share of the miss weight on the target next to the home
// targets in the order: routers agree on it, so a copy there is of some use to all.
const overflowShare = 0.5

// slowStart is the time over which a cold target's penalty fades.
const slowStart = 30 * time.Second

// score fills in the expected cost of a candidate.
func (p *Policy) score(v *view, c *candidate, target Target) {
	t := p.target(target.Name)
	t.adopt(v.now, target.Incarnation)
	cached := p.expectedCached(v, t, c.order)
	if exact, known := v.req.Exact[target.Name]; known {
		cached = float64(exact)
	}
	missed := max(0, float64(v.req.PromptTokens)-cached)
	perMs := max(target.PrefillTokensPerSecond, 1) / 1000
	s := Score{Target: target.Name, CachedTokens: int(cached), Reason: c.reason}
	s.PrefillMs = missed / perMs
	s.QueueMs = p.queueMs(v.now, t, target, perMs)
	s.RecomputeMs = (p.missWeight(v, c.order, s.QueueMs*perMs) + v.req.Weights.Recompute) * s.PrefillMs
	s.LinkMs = 2 * p.linkMs(target)
	if target.Region != p.cfg.Region {
		s.CrossMs = v.req.Weights.CrossRegionMsPerMiB * float64(v.req.PromptBytes) / bytesPerMiB
	}
	if left := target.ColdUntil.Sub(v.now); left > 0 {
		s.ColdMs = 2 * (s.PrefillMs + s.QueueMs) * min(1, left.Seconds()/slowStart.Seconds())
	}
	s.CostMs = s.QueueMs + s.PrefillMs + s.LinkMs + s.ColdMs + s.RecomputeMs + s.CrossMs + target.RiskMs
	c.state, c.score = t, s
}

// missWeight is the weight of a miss on others. What a home target computes
// serves the requests of all routers; a copy elsewhere has to be computed once
// more and takes room from other prefixes.
func (p *Policy) missWeight(v *view, order int, queuedTokens float64) float64 {
	if order < v.spread {
		return 0
	}
	weight := p.cfg.MissWeight
	if order == v.spread {
		weight *= overflowShare
	}
	return weight * (1 + queuedTokens/max(p.missed, minMissed))
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

// queueMs is the expected wait for a slot and for prefill work ahead.
func (p *Policy) queueMs(now time.Time, t *targetState, target Target, perMs float64) float64 {
	running := t.running(now)
	others := running - float64(len(t.attempts))
	ms := (t.pendingTokens(now) + t.foreignTokens(now) + others*p.pendingPerRequest()) / perMs
	if slots := float64(max(target.Slots, 1)); running >= slots {
		ms += (running - slots + 1) / slots * p.service * 1000
	}
	return ms + t.hiddenMs(now)
}

// expectedCached is the expected number of cached prompt tokens on a target.
func (p *Policy) expectedCached(v *view, t *targetState, order int) float64 {
	blocks, sure := 0.0, 1.0
	for i, st := range v.path {
		q, part := p.present(v, t, i, order)
		sure = min(sure, q)
		n := min(float64(st.matched), part)
		blocks += sure * n
		if n < float64(st.matched) || sure < 0.01 {
			break
		}
	}
	return blocks * float64(v.req.BlockTokens)
}

// present returns the probability that the target holds step i of the path,
// and how many of its blocks.
func (p *Policy) present(v *view, t *targetState, i, order int) (probability, blocks float64) {
	s := v.path[i].segment
	own, part := 0.0, 0.0
	if h := s.holder(t.id); t.valid(h) {
		part = float64(h.blocks)
		own = p.retained.survival(h.age(v.now))
		if t.eventsCover(v.now, h.last) {
			own = 1
		}
	}
	others := p.othersHold(v, t, s, i, order)
	if others > 0 && float64(s.length) > part {
		if own*part < others*float64(s.length) {
			return others, float64(s.length)
		}
		return own, part
	}
	return 1 - (1-own)*(1-others), part
}

// othersHold is the probability that requests of other routers brought the
// segment to the target within the retention time: those of a home prefix go
// to its home targets, those above it to all targets.
func (p *Policy) othersHold(v *view, t *targetState, s *segment, i, order int) float64 {
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
	span := min(p.retained.d, v.now.Sub(s.born), v.now.Sub(t.emptySince))
	return 1 - math.Exp(-rate*share*max(0, span.Seconds()))
}
