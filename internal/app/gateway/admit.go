package gateway

import (
	"context"
	"log/slog"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/gatewayconfig"
	"mimosaseam.example/mimosaseam/internal/core/limits"
)

const (
	// rankFreshFor is how long a ranking is used again: it costs more processor time
	// than all else that the queue does, and little changes meanwhile.
	rankFreshFor = time.Millisecond
	// toldWait is the wait from which on a request gets a log line of its own.
	toldWait = 10 * time.Millisecond
)

// ranked is an order of the targets that may take a request.
type ranked struct {
	at      time.Time
	targets []Target
	order   []int
	// Of engines: queueMs is the wait on the best one, needMs what the request takes
	// there to its first token, and workMs how long it keeps the engine busy.
	queueMs, needMs, workMs float64
}

// admit waits until the engine that the request would go to has room. What cannot be
// served before the client gives up is refused at once.
//
// Plain targets are not held back from: their requests take milliseconds, less than
// what a router knows of the others' is old, and full ones refuse at once.
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
	x.next = k
	account := ""
	if x.account != nil {
		account = x.account.Name
	}
	aim := x.aim(k)
	permit, err := x.g.limits.Acquire(ctx, limits.Request{Account: account, Weight: 1, Pool: x.service,
		Priority: -aim.Rank, PromptTokens: x.r.PromptTokens, OutputTokens: x.r.MaxOutputTokens,
		Deadline: x.deadline.Add(-aim.UnloadedLatency - aim.MaxLateBacklog() - x.answerTime()),
		Gate:     &limits.Gate{Delay: x.room, ServiceTime: duration(k.workMs), Servers: len(k.targets)}})
	x.queued = x.g.Clock.Now().Sub(start)
	x.g.Metrics.Observe(MetricQueueWait, x.queued)
	if err == nil && x.queued >= toldWait {
		x.g.Log.LogAttrs(ctx, slog.LevelInfo, "queued", slog.String("request", x.r.ID), slog.Float64("ms", ms(x.queued)),
			slog.Float64("queue_ms", k.queueMs), slog.Float64("need_ms", k.needMs), slog.Int("rank", aim.Rank))
	}
	return permit, err
}

func (x *exchange) aim(k *ranked) limits.LatencyBudget {
	return limits.LatencyBudget{Objective: x.route.Objective, UnloadedLatency: duration(k.needMs), Rank: gatewayconfig.Urgency(x.route, x.account)}
}

// room returns the time until the best target has room. The ranking is kept for the
// attempt that follows.
func (x *exchange) room() time.Duration {
	k, now := x.next, x.g.Clock.Now()
	if k == nil || now.Sub(k.at) > rankFreshFor {
		k = x.rank(now, false)
		x.next = k
	}
	if k == nil {
		return 0
	}
	return x.aim(k).Delay(duration(k.queueMs), now.Sub(x.r.Received))
}

// rank orders the usable targets; nil when there are none. With probe it also tries
// targets whose circuits are due.
func (x *exchange) rank(now time.Time, probe bool) *ranked {
	usable := x.usable(now, probe)
	if len(usable) == 0 {
		return nil
	}
	k := &ranked{at: now, targets: usable}
	if x.engine != nil {
		k.order = x.rankEngines(now, usable)
		s := x.scores[0]
		k.needMs, k.workMs = s.PrefillMs+s.LinkMs+s.ColdMs, s.PrefillMs
		k.queueMs = max(s.QueueMs, x.toldQueueMs(now, usable[k.order[0]]))
		return k
	}
	k.order = x.rankPlain(now, usable)
	return k
}

// toldQueueMs is the wait that the target's own count of waiting requests makes
// likely. It also covers what other routers sent without telling.
func (x *exchange) toldQueueMs(now time.Time, t Target) float64 {
	age := now.Sub(t.Load.MeasuredAt)
	if t.Load.Waiting == 0 || age > loadFreshFor {
		return 0
	}
	return max(0, float64(t.Load.Waiting)*x.g.usualWork(x.service)-float64(age)/float64(time.Millisecond))
}

// answerTime is the time from the first token to the last.
func (x *exchange) answerTime() time.Duration {
	return duration(float64(x.r.MaxOutputTokens) * decodeMsPerToken)
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// workWeight is the weight of a new sample in the usual work of a service.
const workWeight = 0.05

// noteWork learns how long requests of a service keep a target busy.
func (g *Gateway) noteWork(service string, ms float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	usual, known := g.work[service]
	if !known {
		usual = ms
	}
	g.work[service] = usual + workWeight*(ms-usual)
}

func (g *Gateway) usualWork(service string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.work[service]
}

// shares tells the queue how many routers there are. What they have in flight is
// older than most requests, and is not exchanged.
type shares struct{ routers func() int }

func (s shares) Routers() limits.Routers {
	return limits.Routers{Count: max(1, s.routers()), AllReachable: true}
}
func (shares) PeerDemand(string) float64 { return 0 }
func (shares) PeerInFlight(string) int   { return 0 }
