package gateway

import (
	"context"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/gatewayconfig"
	"mimosaseam.example/mimosaseam/internal/panics"
)

const (
	// livenessInterval is the time between two checks of a target with an attempt in
	// progress.
	livenessInterval = 200 * time.Millisecond
	// unresponsiveAfter is how long an engine may send nothing, beyond twice the expected
	// time to the first token, before it is probed.
	unresponsiveAfter = 800 * time.Millisecond
	// slowFactor is the multiple of an idempotent route's latency objective after which
	// the request is retried on another target.
	slowFactor = 2
)

// watchLiveness cancels the attempt of a retryable request when its target stops
// responding. An attempt that must not be retried is left to its deadline, because it is
// unknown whether it ran.
func (x *exchange) watchLiveness(ctx context.Context, cancel context.CancelCauseFunc, t Target) (stop func()) {
	if !x.route.Retryable() {
		return func() {}
	}
	done := make(chan struct{})
	// The check may still run when the next attempt replaces the score.
	expected := time.Duration((x.score.QueueMs + x.score.PrefillMs) * float64(time.Millisecond))
	go func() {
		defer panics.Catch(x.g.Log, "liveness check", "request", x.r.ID, "target", t.ID)
		ticker := time.NewTicker(livenessInterval)
		defer ticker.Stop()
		since := x.g.Clock.Now()
		for {
			select {
			case <-done:
				return
			case <-ctx.Done():
				return
			case <-ticker.C:
				if x.g.unresponsive(ctx, x, t, expected, &since) {
					cancel(ErrUnresponsive)
					return
				}
			}
		}
	}()
	return func() { close(done) }
}

// unresponsive reports whether the target has stopped responding. expected is the time to
// the first token that was expected of it, since the time of its last activity.
func (g *Gateway) unresponsive(ctx context.Context, x *exchange, t Target, expected time.Duration, since *time.Time) bool {
	now := g.Clock.Now()
	if x.route.Kind == gatewayconfig.Idempotent {
		// A response that is being relayed can no longer be retried: it has until the
		// deadline.
		return !x.relaying.Load() && now.Sub(*since) > slowFactor*x.route.Objective && g.Directory.hasOther(x.service, map[string]bool{t.ID: true})
	}
	if active := g.Directory.lastActivity(t.ID); active.After(*since) {
		*since = active
	}
	if now.Sub(*since) < unresponsiveAfter+2*expected {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := g.Control.Status(ctx, t.Address, t.ID)
	*since = g.Clock.Now()
	if err == nil {
		g.Directory.update(t.ID, func(t *Target) { t.exchange.received(*since) })
	}
	return err != nil && ctx.Err() == nil || ctx.Err() == context.DeadlineExceeded
}

// hasOther reports whether the service has a target that is not excluded and takes requests.
func (d *Directory) hasOther(service string, excluded map[string]bool) bool {
	now := d.clock.Now()
	for _, t := range d.Service(service) {
		if !excluded[t.ID] && t.statements.WaitLeft(now) == 0 {
			return true
		}
	}
	return false
}
