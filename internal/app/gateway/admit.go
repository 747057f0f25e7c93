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

// admit queues the request until its best engine has capacity. It refuses at once a
// request that cannot be served before its deadline.
//
// Requests to plain targets are not queued: they take milliseconds, less than the age of
// what a router knows about the other routers' requests, and a full target refuses at
// once.
func (x *exchange) admit(ctx context.Context) (*limits.Permit, error) {
	if x.engine == nil {
		return nil, nil
	}
	_, span := x.g.Tracer.Start(ctx, "admit")
	defer span.End()
	start := x.g.Clock.Now()
	k := x.rank(start, false)
	if k == nil {
		return nil, nil // choose waits for a target
	}
	x.ranking = k
	account := ""
	if x.account != nil {
		account = x.account.Name
	}
	budget := x.latencyBudget(k)
	permit, err := x.g.limits.Acquire(ctx, limits.Request{Account: account, Weight: 1, Pool: x.service,
		Priority: -budget.Rank, PromptTokens: x.r.PromptTokens, OutputTokens: x.r.MaxOutputTokens,
		Deadline: x.deadline.Add(-budget.UnloadedLatency - budget.MaxLateBacklog() - x.decodeTime()),
		Gate:     &limits.Gate{Delay: x.admissionDelay, ServiceTime: duration(k.occupancyMs), Servers: len(k.targets)}})
	x.queued = x.g.Clock.Now().Sub(start)
	x.g.Metrics.Observe(MetricQueueWait, x.queued)
	if err == nil && x.queued >= minLoggedWait {
		x.g.Log.LogAttrs(ctx, slog.LevelInfo, "queued", slog.String("request", x.r.ID), slog.Float64("ms", ms(x.queued)),
			slog.Float64("queue_ms", k.queueMs), slog.Float64("need_ms", k.unloadedMs), slog.Int("rank", budget.Rank))
	}
	return permit, err
}

func (x *exchange) latencyBudget(k *ranking) limits.LatencyBudget {
	return limits.LatencyBudget{Objective: x.route.Objective, UnloadedLatency: duration(k.unloadedMs), Rank: gatewayconfig.Rank(x.route, x.account)}
}

// admissionDelay returns the time until the best target has capacity. It stores the
// ranking for the attempt that follows.
func (x *exchange) admissionDelay() time.Duration {
	k, now := x.ranking, x.g.Clock.Now()
	if k == nil || now.Sub(k.at) > rankingTTL {
		k = x.rank(now, false)
		x.ranking = k
	}
	if k == nil {
		return 0
	}
	return x.latencyBudget(k).Delay(duration(k.queueMs), now.Sub(x.r.Received))
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
