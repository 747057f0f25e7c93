package completions

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/port"
)

// health is the result of probing a target over a fresh connection.
type health struct {
	reachable bool
	// ended is set if the probe shows that the target's process has ended.
	ended       bool
	incarnation port.Incarnation
	weights     string
	// waiting is set if requests are queued on the target or all its slots are in
	// use.
	waiting bool
}

// restarted reports whether the target runs another incarnation than prior, which
// ran an attempt.
func (h health) restarted(prior port.Incarnation) bool {
	return prior != "" && h.incarnation != "" && h.incarnation != prior
}

// probe reads the load report of the target over a fresh connection. Requests that
// failed at the same time share one probe, which is not cancelled with the request
// that started it.
func (r *Router) probe(ctx context.Context, pool config.Pool, t target, prior port.Incarnation) health {
	return r.probes.do(t.Address+"@"+string(prior), func() health {
		ctx, cancel := context.WithTimeout(port.WithFreshConnection(context.WithoutCancel(ctx)), probeTimeout)
		defer cancel()
		if pool.Kind == config.PoolService {
			return healthOf(r.serviceLoad(ctx, t.Address))
		}
		return healthOf(r.Engine.Load(ctx, t.Address))
	})
}

// maxLoadBytes limits the size of a load report.
const maxLoadBytes = 64 << 10

func (r *Router) serviceLoad(ctx context.Context, address string) (port.LoadReport, error) {
	var report port.LoadReport
	reply, err := r.Service.Call(ctx, address, port.Call{RequestID: r.newID(), AttemptID: r.newID(),
		Method: http.MethodGet, Path: "/v1/load", Deadline: r.Clock.Now().Add(probeTimeout)})
	if err != nil {
		return report, err
	}
	defer func() { _ = reply.Body.Close() }()
	err = json.NewDecoder(io.LimitReader(reply.Body, maxLoadBytes)).Decode(&report)
	return report, err
}

func healthOf(report port.LoadReport, err error) health {
	if err != nil {
		return health{ended: port.ProvesRestart(err)}
	}
	return health{reachable: true, incarnation: report.Incarnation, weights: report.WeightsVersion,
		waiting: report.Waiting > 0 || report.Slots > 0 && report.Running >= report.Slots}
}

// probeAfterFailure probes the target of a failed attempt and records the result.
// A target that dropped the connection and is unreachable counts as crashed.
func (r *Router) probeAfterFailure(ctx context.Context, pool config.Pool, t target, prior port.Incarnation) {
	h := r.probe(ctx, pool, t, prior)
	r.recordProbe(pool, t, prior, h, !h.reachable)
}

// refreshTarget probes a target whose recorded state is missing or outdated and
// updates that state.
func (r *Router) refreshTarget(ctx context.Context, pool config.Pool, t target) {
	if h := r.probe(ctx, pool, t, ""); h.reachable {
		r.observeTarget(pool, t.Address, h)
	} else {
		r.Targets.Forget(t.Address)
	}
}

// observeTarget records the incarnation and weights that a probe read.
func (r *Router) observeTarget(pool config.Pool, address string, h health) {
	r.SegmentTracker.IncarnationObserved(r.Clock.Now(), address, string(h.incarnation))
	r.Targets.Observe(address, h.incarnation, h.weights, coldStart(pool))
}

// learnIncarnation returns the incarnation of a target that this router has not used
// yet. Without it, a target that crashes before it responds and restarts at once
// looks like a lost connection, and the request that crashed it is never suspected.
func (r *Router) learnIncarnation(ctx context.Context, pool config.Pool, t target) port.Incarnation {
	r.refreshTarget(ctx, pool, t)
	return r.Targets.State(t.Address).Incarnation
}

// recordProbe updates the circuit breaker, the crash tracker and the state of a
// target from a probe after a failed or stalled attempt.
func (r *Router) recordProbe(pool config.Pool, t target, prior port.Incarnation, h health, crashed bool) {
	now := r.Clock.Now()
	if h.reachable {
		r.circuits.Failure(now, t.Address, retry.AttemptFailed)
	} else {
		r.circuits.Failure(now, t.Address, retry.TargetDown)
		r.Placer.DropCache(t.Address)
	}
	if (crashed || h.restarted(prior)) && r.CrashTracker.Crashed(now, t.Address, string(prior)) {
		r.Metrics.Add(MetricCrashes, 1)
	}
	if h.ended || h.restarted(prior) {
		r.recordEnd(t, prior)
	}
	if h.reachable {
		r.observeTarget(pool, t.Address, h)
	}
}

// recordEnd records that an incarnation of the target has ended unannounced.
func (r *Router) recordEnd(t target, ended port.Incarnation) {
	if n, first := r.SegmentTracker.TargetEnded(r.Clock.Now(), t.Address, string(ended), true); first {
		r.Logger.Info("target ended", "target", t.Name, "incarnation", string(ended), "unanswered", n)
	}
}

// freshConnPeriod is how long new attempts on a target use fresh connections after
// an open connection became unresponsive. Pooled connections that stay idle are
// closed within this time.
const freshConnPeriod = 2 * time.Minute

// freshConns records the targets whose pooled connections may be unresponsive, so
// that attempts must use fresh ones.
type freshConns struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (s *freshConns) require(now time.Time, target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[string]time.Time{}
	}
	s.until[target] = now.Add(freshConnPeriod)
}

func (s *freshConns) required(now time.Time, target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[target])
}

// recordStall records a probe of a target whose response made no progress. Only a
// restart proves a crash; a frozen or unreachable target does not. If the target
// responds to the probe, the connection of the attempt was unresponsive.
func (r *Router) recordStall(pool config.Pool, t target, prior port.Incarnation, h health) {
	r.recordProbe(pool, t, prior, h, false)
	if h.reachable {
		r.freshConns.require(r.Clock.Now(), t.Address)
	}
}

// connectionContext returns the context for an attempt. It requests a fresh
// connection if fresh is set or pooled connections may be unresponsive.
func (r *Router) connectionContext(ctx context.Context, target string, fresh bool) context.Context {
	if fresh || r.freshConns.required(r.Clock.Now(), target) {
		return port.WithFreshConnection(ctx)
	}
	return ctx
}

// probeGroup lets concurrent callers with the same key share one probe.
type probeGroup struct {
	mu      sync.Mutex
	running map[string]*sharedProbe
}

type sharedProbe struct {
	done   chan struct{}
	result health
}

func (g *probeGroup) do(key string, fn func() health) health {
	g.mu.Lock()
	if shared := g.running[key]; shared != nil {
		g.mu.Unlock()
		<-shared.done
		return shared.result
	}
	own := &sharedProbe{done: make(chan struct{})}
	if g.running == nil {
		g.running = map[string]*sharedProbe{}
	}
	g.running[key] = own
	g.mu.Unlock()
	own.result = fn()
	g.mu.Lock()
	delete(g.running, key)
	g.mu.Unlock()
	close(own.done)
	return own.result
}
