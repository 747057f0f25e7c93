package placement

import (
	"time"

	"mimosaseam.example/mimosaseam/internal/core/workload"
)

func (p *Policy) plainCost(now time.Time, req Request) workload.Cost {
	return p.services.Cost(now, req.Service, req.Route)
}

// plainLoad is what a plain request would meet on the target. The in-flight counts of the other
// routers and the load report tell the number of their requests.
func (t *targetState) plainLoad(now time.Time, cost workload.Cost, slots int) workload.Load {
	work := t.plain // a copy: what is known of others now is not to be averaged again
	work.Observe(now, workload.Report{Running: int(t.estimatedInFlight(now) + 0.5)}, slots)
	return work.Load(now, cost, slots)
}

// scorePlain computes the expected cost of a plain request on a candidate.
func (p *Policy) scorePlain(v *requestView, c *candidate, t *targetState, target Target) {
	l := t.plainLoad(v.now, v.cost, target.Slots)
	s := Score{Target: target.Name, Reason: c.reason, SpeedFactor: l.Factor, Slowness: l.Slowness,
		RemainingMs: l.RemainingMs, QueueMs: l.WaitMs + l.LateMs, ServiceMs: l.ServiceMs, LinkMs: 2 * p.linkMs(target)}
	if target.Region != p.cfg.Region {
		s.CrossRegionMs = v.req.Weights.CrossRegionMsPerMiB * float64(v.req.PromptBytes) / bytesPerMiB
	}
	if left := target.ColdUntil.Sub(v.now); left > 0 {
		s.ColdMs = 2 * l.ServiceMs * min(1, left.Seconds()/slowStart.Seconds())
	}
	s.CostMs = l.ExpectedMs(target.Slots) + s.LinkMs + s.ColdMs + s.CrossRegionMs + target.FailureCostMs
	c.state, c.score = t, s
}

// beginPlain records a plain request that is sent to the target.
func (p *Policy) beginPlain(now time.Time, req Request, t *targetState, a *attempt) {
	l := t.plain.Load(now, p.plainCost(now, req), 1)
	a.sent = l.Sent(now, 0)
	t.plain.Begin(a.sent)
}

// endPlain records its end.
func (p *Policy) endPlain(now time.Time, req Request, t *targetState, a *attempt, answered bool) {
	took := time.Duration(0)
	if answered {
		took = now.Sub(a.start)
	}
	p.services.Finished(req.Service, req.Route, t.plain.End(now, a.sent, took))
}
