package router

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/placement"
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

// crashed reports whether the incarnation that ran an attempt is gone.
func (h health) crashed(before port.Incarnation) bool {
	return !h.reachable || before != "" && h.incarnation != "" && h.incarnation != before
}

// probe asks the target for its load over a fresh connection. Requests that
// broke together share one probe.
func (r *Router) probe(ctx context.Context, t placement.Target, before port.Incarnation) health {
	return r.shared.do(t.Name+"@"+string(before), func() health {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()
		report, err := r.Engine.Load(ctx, t.Address)
		return healthOf(report, err)
	})
}

// probeService is probe for plain services.
func (r *Router) probeService(ctx context.Context, t placement.Target, before port.Incarnation) health {
	return r.shared.do(t.Name+"@"+string(before), func() health {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()
		return healthOf(r.serviceLoad(ctx, t.Address))
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

// examine probes the target of a broken attempt and records what it shows.
func (r *Router) examine(ctx context.Context, pool config.Pool, t placement.Target, before port.Incarnation) {
	var h health
	if pool.Kind == config.PoolService {
		h = r.probeService(ctx, t, before)
	} else {
		h = r.probe(ctx, t, before)
	}
	r.judge(pool, t, before, h)
}

// observe learns the state of a target that refused an outdated expectation.
func (r *Router) observe(ctx context.Context, pool config.Pool, t placement.Target) {
	if h := r.probe(ctx, t, ""); h.reachable {
		r.Targets.Observe(t.Name, h.incarnation, h.weights, coldStart(pool))
	}
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
