package router

import (
	"context"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
)

// Reasons for which a pool member is no candidate.
const (
	excludedLeaving  = "leaving"
	excludedCircuit  = "circuit open"
	excludedBusy     = "refused for lack of capacity"
	excludedFull     = "at its concurrency limit"
	excludedWeights  = "other weights"
	excludedSuspect  = "runs another crash suspect"
	excludedTried    = "tried before"
	excludedHalfOpen = "circuit half-open"
)

// filter is what a request knows of targets beside the shared state.
type filter struct {
	tried       map[string]bool
	fingerprint retry.Fingerprint
	weights     string
}

// candidates splits the pool's members into usable targets and the reasons
// for which the others are not usable.
func (r *Router) candidates(now time.Time, p *plan, f filter) ([]placement.Target, map[string]string) {
	usable := make([]placement.Target, 0, len(p.pool.Targets))
	excluded := map[string]string{}
	for _, t := range p.pool.Targets {
		if reason := r.exclude(now, p, f, t.Name); reason != "" {
			excluded[t.Name] = reason
			continue
		}
		usable = append(usable, r.target(p.pool, t))
	}
	return usable, excluded
}

func (r *Router) exclude(now time.Time, p *plan, f filter, name string) string {
	state := r.Targets.State(name)
	switch {
	case state.Leaving:
		return excludedLeaving
	case !r.circuits.Available(now, name):
		return excludedCircuit
	case r.circuits.Busy(now, name):
		return excludedBusy
	case f.weights != "" && state.WeightsVersion != "" && state.WeightsVersion != f.weights:
		return excludedWeights
	case !r.limits.TargetFree(name, p.pool.Slots):
		return excludedFull
	case !r.Fingerprints.MayRun(now, f.fingerprint, name):
		return excludedSuspect
	}
	return ""
}

// rank orders the usable targets. Targets that the request tried before are
// ranked only when no other will do, and targets whose circuit is half-open
// only when the request can afford a probe, that is when it comes first.
func (r *Router) rank(now time.Time, p *plan, f filter) ([]placement.Score, map[string]placement.Target, map[string]string) {
	usable, excluded := r.candidates(now, p, f)
	fresh := usable[:0:0]
	for _, t := range usable {
		if !f.tried[t.Name] {
			fresh = append(fresh, t)
		}
	}
	if len(fresh) > 0 {
		usable = fresh
	}
	byName := make(map[string]placement.Target, len(usable))
	for _, t := range usable {
		byName[t.Name] = t
	}
	if len(usable) == 0 {
		return nil, byName, excluded
	}
	return r.Placer.Rank(now, p.place, usable), byName, excluded
}

// Waits for a usable target.
const (
	// placeWait bounds the wait of a request of which nothing was sent yet. The
	// caller can go to another router; a stream that is already open cannot and
	// waits until its deadline.
	placeWait = 3 * time.Second
	placePoll = 50 * time.Millisecond
)

// choose returns the best target, waiting for one to become usable.
func (r *Router) choose(ctx context.Context, p *plan, f filter, wait time.Duration) (placement.Target, placement.Score, error) {
	_, span := r.Tracer.Start(ctx, "place")
	defer span.End()
	until := r.Clock.Now().Add(wait)
	for {
		now := r.Clock.Now()
		scores, byName, excluded := r.rank(now, p, f)
		if len(scores) > 0 {
			return byName[scores[0].Target], scores[0], nil
		}
		if !now.Before(until) {
			return placement.Target{}, placement.Score{}, &NoTargetError{Pool: p.poolRef.String(), Excluded: excluded}
		}
		if err := sleep(ctx, min(placePoll, until.Sub(now))); err != nil {
			return placement.Target{}, placement.Score{}, err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
