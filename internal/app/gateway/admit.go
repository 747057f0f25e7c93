package gateway

import (
	"context"
	"log/slog"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/balance"
	"mimosaseam.example/mimosaseam/internal/core/gatewayconfig"
	"mimosaseam.example/mimosaseam/internal/core/limits"
	"mimosaseam.example/mimosaseam/internal/core/workload"
)

const (
	// rankingTTL is how long a ranking is reused. Ranking takes more CPU time than the
	// rest of the queue, and little changes in this time.
	rankingTTL = time.Millisecond
	// minLoggedWait is the shortest queue wait that is logged.
	minLoggedWait = 10 * time.Millisecond
	// yieldingQueue is the wait on a plain target, as a part of the objective, up to which it
	// takes requests of an account that got much more than others.
	yieldingQueue = 0.4
)

// ranking orders the usable targets of a request.
type ranking struct {
	at      time.Time
	targets []Target
	order   []int
	// queueMs is the queue wait on the best target, unloadedMs the request's own time to the
	// first byte of the answer there, and occupancyMs the time for which it keeps others
	// waiting: its prefill on an engine, its service time on a plain target.
	queueMs, unloadedMs, occupancyMs float64
	// best is the estimate for the best target.
	best workload.Estimate
	// plain holds the plain targets in the order of their rank.
	plain []balance.Candidate
}

// admit queues the request until a target has capacity for it. It refuses at once a request
// that cannot be served before its deadline.
func (x *exchange) admit(ctx context.Context) (*limits.Permit, error) {
	_, span := x.g.Tracer.Start(ctx, "admit")
	defer span.End()
	start := x.g.Clock.Now()
	k := x.rank(start, x.engine == nil)
	if k == nil && x.busy(start).wait == 0 {
		return nil, nil // choose waits for a target
	}
	x.ranking = k
	request := limits.Request{Weight: 1, Pool: x.service, Kind: x.route.Name, Fingerprint: uint64(x.fingerprint),
		Priority: -gatewayconfig.Rank(x.route, x.account), PromptTokens: x.r.PromptTokens, OutputTokens: x.r.MaxOutputTokens}
	if x.account != nil {
		request.Account = x.account.Name
	}
	x.setGate(start, &request, k)
	permit, err := x.g.limits.Acquire(ctx, request)
	x.queued = x.g.Clock.Now().Sub(start)
	x.g.Metrics.Observe(MetricQueueWait, x.queued)
	if err == nil && x.queued >= minLoggedWait {
		x.g.Metrics.Add(MetricQueued, 1)
		attrs := []slog.Attr{slog.String("request", x.r.ID), slog.Float64("ms", ms(x.queued)), slog.Int("rank", -request.Priority)}
		if k != nil {
			attrs = append(attrs, slog.Float64("queue_ms", k.queueMs), slog.Float64("need_ms", k.unloadedMs))
		}
		x.g.Log.LogAttrs(ctx, slog.LevelInfo, "queued", attrs...)
	}
	return permit, err
}

// setGate sets what keeps the request in the queue, and until when. Without a ranking, all
// targets have just refused requests.
func (x *exchange) setGate(start time.Time, request *limits.Request, k *ranking) {
	gate := &x.gate
	gate.Delay, gate.Yield, gate.Servers, gate.Concurrent = x.admissionDelay, x.yieldingDelay, 1, x.engine == nil
	request.Gate = gate
	var unloaded time.Duration
	if k != nil {
		unloaded, gate.ServiceTime, gate.Servers = duration(k.unloadedMs), duration(k.occupancyMs), x.servers(k)
	}
	if x.route.Objective > 0 {
		request.OnTime = x.r.Received.Add(x.route.Objective - unloaded)
	}
	if x.engine == nil || k == nil {
		var answer time.Duration
		if k == nil {
			answer = x.busy(start).answer
		} else {
			answer = fullAnswer(&k.targets[k.order[0]])
		}
		request.Deadline = x.deadline.Add(-unloaded - x.decodeTime())
		if held := x.latestHeld(start, answer); held.Before(request.Deadline) {
			request.Deadline = held
		}
		return
	}
	budget := x.latencyBudget(k)
	request.Deadline = x.deadline.Add(-budget.UnloadedLatency - budget.MaxLateBacklog() - x.decodeTime())
}

// servers returns how many requests the ranked targets serve at a time: engines prefill one
// prompt after the other.
func (x *exchange) servers(k *ranking) int {
	if x.engine != nil {
		return len(k.targets)
	}
	sum := 0
	for i := range k.targets {
		sum += max(k.targets[i].Slots, 1)
	}
	return sum
}

func (x *exchange) latencyBudget(k *ranking) limits.LatencyBudget {
	return limits.LatencyBudget{Objective: x.route.Objective, UnloadedLatency: duration(k.unloadedMs), Rank: gatewayconfig.Rank(x.route, x.account)}
}

// admissionDelay returns the time until the best target has capacity. It stores the
// ranking for the attempt that follows.
func (x *exchange) admissionDelay() time.Duration {
	return x.delay(gatewayconfig.Rank(x.route, x.account))
}

// yieldingDelay is admissionDelay for a request that leaves room to others: on engines, it
// counts as one of the lowest rank, and it goes to a plain target only if that has a free slot.
func (x *exchange) yieldingDelay() time.Duration {
	wait := x.delay(gatewayconfig.MaxRank)
	if k := x.ranking; wait == 0 && x.engine == nil && k != nil {
		return max(0, duration(k.queueMs)-time.Duration(yieldingQueue*float64(x.route.Objective)))
	}
	return wait
}

func (x *exchange) delay(rank int) time.Duration {
	k, now := x.ranking, x.g.Clock.Now()
	if k == nil || now.Sub(k.at) > rankingTTL {
		k = x.rank(now, x.engine == nil)
		x.ranking = k
	}
	switch {
	case k == nil:
		return x.busy(now).wait
	case x.engine == nil:
		return x.plainDelay(now, k)
	}
	budget := x.latencyBudget(k)
	budget.Rank = rank
	return budget.Delay(duration(k.queueMs), now.Sub(x.r.Received))
}

// rank ranks the usable targets and returns nil if there are none. With probe, it also
// admits targets whose circuit breakers are due for a probe.
func (x *exchange) rank(now time.Time, probe bool) *ranking {
	usable := x.usable(now, probe)
	if len(usable) == 0 {
		return nil
	}
	k := &ranking{at: now, targets: usable}
	if x.engine != nil {
		k.order = x.rankEngines(now, usable)
		s := x.scores[0]
		k.unloadedMs, k.occupancyMs = s.PrefillMs+s.LinkMs+s.ColdMs, s.PrefillMs
		k.queueMs = max(s.QueueMs, x.reportedQueueMs(now, usable[k.order[0]]))
		k.best.Deviation = x.g.work.Deviation(x.service)
	} else {
		k.order, k.plain = x.rankPlain(now, usable)
		best := &k.plain[0]
		k.occupancyMs = best.Load.ServiceMs
		k.queueMs, k.unloadedMs = best.Load.WaitMs+best.Load.LateMs, best.LinkMs+best.Load.ServiceMs
		k.best.Deviation = duration(best.Load.DeviationMs)
	}
	k.best.Wait, k.best.Service = duration(k.queueMs), duration(k.unloadedMs)
	return k
}

// reportedQueueMs estimates the queue wait from the target's own count of waiting
// requests. It includes requests that other routers sent without announcing them.
func (x *exchange) reportedQueueMs(now time.Time, t Target) float64 {
	age := now.Sub(t.Load.MeasuredAt)
	if t.Load.Waiting == 0 || age > loadReportTTL {
		return 0
	}
	return max(0, float64(t.Load.Waiting)*x.g.meanOccupancy(x.service)-float64(age)/float64(time.Millisecond))
}

// decodeTime estimates the time from the first token to the last.
func (x *exchange) decodeTime() time.Duration {
	return duration(float64(x.r.MaxOutputTokens) * x.g.work.DecodeMsPerToken(x.service))
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// occupancyGain is the weight of a new sample in the moving average that observeOccupancy
// updates.
const occupancyGain = 0.05

// observeOccupancy updates the moving average of the time in ms for which a request of the
// service occupies a target.
func (g *Gateway) observeOccupancy(service string, ms float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	mean, known := g.meanOccupancyMs[service]
	if !known {
		mean = ms
	}
	g.meanOccupancyMs[service] = mean + occupancyGain*(ms-mean)
}

func (g *Gateway) meanOccupancy(service string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.meanOccupancyMs[service]
}

// routerCount provides the queue with the number of routers only. Counts of their
// requests in flight would be older than most requests, and are not exchanged.
type routerCount struct{ routers func() int }

func (c routerCount) Routers() limits.Routers {
	return limits.Routers{Count: max(1, c.routers()), AllReachable: true}
}
func (routerCount) PeerDemand(string) float64 { return 0 }
func (routerCount) PeerInFlight(string) int   { return 0 }
