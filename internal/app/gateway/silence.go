package gateway

import (
	"context"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/gatewayconfig"
)

const (
	// silenceTick is the time between two looks at a target that owes an answer.
	silenceTick = 200 * time.Millisecond
	// silentAfter is how long an engine may send nothing at all, beyond twice the
	// time expected for the prompt, before it is asked whether it lives.
	silentAfter = 800 * time.Millisecond
	// slowAnswer is the multiple of a plain route's objective after which a
	// repeatable request is tried elsewhere.
	slowAnswer = 2
)

// watchSilence ends the attempt of a request that may be repeated when its target
// falls silent. Other requests wait: nobody can tell whether they ran.
func (x *exchange) watchSilence(ctx context.Context, cancel context.CancelCauseFunc, t Target) (stop func()) {
	if !x.route.Retryable() {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(silenceTick)
		defer ticker.Stop()
		since := x.g.Clock.Now()
		for {
			select {
			case <-done:
				return
			case <-ctx.Done():
				return
			case <-ticker.C:
				if x.g.silent(ctx, x, t, &since) {
					cancel(ErrSilent)
					return
				}
			}
		}
	}()
	return func() { close(done) }
}

// silent reports whether the target has fallen silent. since is when it last
// gave a sign.
func (g *Gateway) silent(ctx context.Context, x *exchange, t Target, since *time.Time) bool {
	now := g.Clock.Now()
	if x.route.Kind == gatewayconfig.Idempotent {
		return now.Sub(*since) > slowAnswer*x.route.Objective && g.Directory.otherThan(x.service, map[string]bool{t.ID: true})
	}
	if heard := g.Directory.lastHeard(t.ID); heard.After(*since) {
		*since = heard
	}
	expected := time.Duration((x.score.QueueMs + x.score.PrefillMs) * float64(time.Millisecond))
	if now.Sub(*since) < silentAfter+2*expected {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := g.Control.Status(ctx, t.Address, t.ID)
	*since = g.Clock.Now()
	return err != nil && ctx.Err() == nil || ctx.Err() == context.DeadlineExceeded
}

// otherThan reports whether the service has a target that is not among those.
func (d *Directory) otherThan(service string, those map[string]bool) bool {
	for _, t := range d.Service(service) {
		if !those[t.ID] {
			return true
		}
	}
	return false
}
