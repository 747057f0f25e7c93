package completions

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/limits"
	"mimosaseam.example/mimosaseam/internal/core/retry"
)

// minLoggedWait is the shortest queue wait that is logged.
const minLoggedWait = 10 * time.Millisecond

// retrySpread is the part of a refused caller's Retry-After by which it may grow, so that
// refused callers do not return together.
const retrySpread = 0.5

// admissionRequest describes a request to admit.
type admissionRequest struct {
	requestID                  string
	fingerprint                retry.Fingerprint
	promptTokens, outputTokens int
	// generates is set for requests that generate output.
	generates bool
}

// admission is what a request was given to run.
type admission struct {
	permit  *limits.Permit
	charges charges
}

// admit charges the request to its account and queues it until it may run. Requests that
// generate output are charged their first token.
func (r *Router) admit(ctx context.Context, p *plan, a admissionRequest) (*admission, error) {
	_, span := r.Tracer.Start(ctx, "admit")
	defer span.End()
	start := r.Clock.Now()
	charged, err := r.charge(ctx, p, a.promptTokens, a.generates)
	if err != nil {
		return nil, err
	}
	view := r.poolView(p)
	permit, err := r.limits.Acquire(ctx, limits.Request{
		Account: p.accountRef.String(), Limits: p.account.Limits, Weight: p.account.Share,
		Pool: p.poolRef.String(), Targets: view.available, Members: view.availableIndex, Unavailable: r.openCircuits(view), Slots: p.pool.Slots,
		Priority: p.route.Priority, Kind: p.routeRef.String(), Fingerprint: uint64(a.fingerprint),
		PromptTokens: a.promptTokens, OutputTokens: a.outputTokens, Deadline: p.deadline,
	})
	waited := r.Clock.Now().Sub(start)
	r.Metrics.Observe(MetricQueueWait, waited)
	var refused *limits.RefusedError
	switch {
	case err == nil && waited >= minLoggedWait:
		r.Metrics.Add(MetricQueued, 1)
		r.Logger.LogAttrs(ctx, slog.LevelInfo, "queued", slog.String("request_id", a.requestID),
			slog.String("account", p.accountRef.String()), slog.Int64("ms", waited.Milliseconds()), slog.Int("priority", p.route.Priority))
	case errors.As(err, &refused):
		r.Metrics.Add(MetricNotAdmitted+"_"+refused.Cause(), 1)
		refused.RetryAfter += time.Duration(retrySpread * r.Random.Float64() * float64(refused.RetryAfter))
		r.Logger.LogAttrs(ctx, slog.LevelInfo, "not admitted", append(refused.Attrs(), slog.String("request_id", a.requestID),
			slog.String("account", p.accountRef.String()))...)
	}
	if err != nil {
		r.refund(charged)
		return nil, err
	}
	return &admission{permit: permit, charges: charged}, nil
}
