package router

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

// health is what a probe over a fresh connection showed of a target.
type health struct {
	reachable   bool
	incarnation port.Incarnation
	weights     string
	// waiting says that the target has work that it has not started.
	waiting bool
}

// restarted reports whether the incarnation that ran an attempt is gone.
func (h health) restarted(before port.Incarnation) bool {
	return before != "" && h.incarnation != "" && h.incarnation != before
}

// ask probes the target over a fresh connection. Requests that broke together
// share one probe, which outlives the request that began it.
func (r *Router) ask(ctx context.Context, pool config.Pool, t target, before port.Incarnation) health {
	return r.shared.do(t.Address+"@"+string(before), func() health {
		ctx, cancel := context.WithTimeout(port.WithFreshConnection(context.WithoutCancel(ctx)), probeTimeout)
		defer cancel()
		if pool.Kind == config.PoolService {
			return healthOf(r.serviceLoad(ctx, t.Address))
		}
		return healthOf(r.Engine.Load(ctx, t.Address))
	})
}

// maxLoadBytes bounds a load report.
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
		return health{}
	}
	return health{reachable: true, incarnation: report.Incarnation, weights: report.WeightsVersion,
		waiting: report.Waiting > 0 || report.Slots > 0 && report.Running >= report.Slots}
}

// examine probes the target of a broken attempt and records what it shows. A
// target that lost its connections and no longer answers counts as crashed.
func (r *Router) examine(ctx context.Context, pool config.Pool, t target, before port.Incarnation) {
	h := r.ask(ctx, pool, t, before)
	r.judge(pool, t, before, h, !h.reachable)
}

// observe learns the state of a target that refused an outdated expectation.
func (r *Router) observe(ctx context.Context, pool config.Pool, t target) {
	if h := r.ask(ctx, pool, t, ""); h.reachable {
		r.Targets.Observe(t.Address, h.incarnation, h.weights, coldStart(pool))
	} else {
		r.Targets.Forget(t.Address)
	}
}

// identify learns the incarnation of a target that this router has not used yet:
// without it, a target that crashes before it answers and is back at once looks like
// a lost connection, and a request that crashes targets is never suspected.
func (r *Router) identify(ctx context.Context, pool config.Pool, t target) port.Incarnation {
	r.observe(ctx, pool, t)
	return r.Targets.State(t.Address).Incarnation
}

// judge records what a probe says of a target after a broken or stalled
// attempt.
func (r *Router) judge(pool config.Pool, t target, before port.Incarnation, h health, crashed bool) {
	now := r.Clock.Now()
	if h.reachable {
		r.circuits.Failure(now, t.Address, retry.AttemptFailed)
	} else {
		r.circuits.Failure(now, t.Address, retry.TargetDown)
		r.Placer.Drop(t.Address)
	}
	if (crashed || h.restarted(before)) && r.Fingerprints.Crashed(now, t.Address, string(before)) {
		r.Metrics.Add(MetricCrashes, 1)
	}
	if h.reachable {
		r.Targets.Observe(t.Address, h.incarnation, h.weights, coldStart(pool))
	}
}

// silentFor is the time for which new attempts on a target use new connections
// after an open one went silent. Pooled connections that are not used are closed
// within it.
const silentFor = 2 * time.Minute

// silent remembers the targets whose pooled connections may be silent.
type silent struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (s *silent) mark(now time.Time, target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[string]time.Time{}
	}
	s.until[target] = now.Add(silentFor)
}

func (s *silent) is(now time.Time, target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[target])
}

// stalled records what a probe says of a target whose answer made no progress.
// A frozen or unreachable target is no proof of a crash; a restart is. A target
// that answers the probe has left a connection silent.
func (r *Router) stalled(pool config.Pool, t target, before port.Incarnation, h health) {
	r.judge(pool, t, before, h, false)
	if h.reachable {
		r.silent.mark(r.Clock.Now(), t.Address)
	}
}

// connection returns the context for an attempt: on a new connection when the
// attempt must not risk one that is silent.
func (r *Router) connection(ctx context.Context, target string, fresh bool) context.Context {
	if fresh || r.silent.is(r.Clock.Now(), target) {
		return port.WithFreshConnection(ctx)
	}
	return ctx
}

// flights lets concurrent callers with the same key share one result.
type flights struct {
	mu  sync.Mutex
	all map[string]*flight
}

type flight struct {
	done   chan struct{}
	result health
}

func (f *flights) do(key string, fn func() health) health {
	f.mu.Lock()
	if running := f.all[key]; running != nil {
		f.mu.Unlock()
		<-running.done
		return running.result
	}
	mine := &flight{done: make(chan struct{})}
	if f.all == nil {
		f.all = map[string]*flight{}
	}
	f.all[key] = mine
	f.mu.Unlock()
	mine.result = fn()
	f.mu.Lock()
	delete(f.all, key)
	f.mu.Unlock()
	close(mine.done)
	return mine.result
}
