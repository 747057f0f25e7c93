package router

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
)

// Reasons for which a pool member is no candidate.
const (
	excludedLeaving = "leaving"
	excludedCircuit = "circuit open"
	excludedBusy    = "refused for lack of capacity"
	excludedFull    = "at its concurrency limit"
	excludedWeights = "other weights"
	excludedSuspect = "runs another crash suspect"
	excludedTried   = "tried before"
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
// ranked only when no other will do. The targets for a crash suspect are divided
// between the routers, so that two suspects of different routers do not meet.
func (r *Router) rank(now time.Time, p *plan, f filter) ([]placement.Score, map[string]placement.Target, map[string]string) {
	usable, excluded := r.candidates(now, p, f)
	usable = prefer(usable, func(t placement.Target) bool { return !f.tried[t.Name] })
	if routers := r.Shares.Routers(); routers.Count > 1 && r.Fingerprints.Suspect(now, f.fingerprint) {
		usable = prefer(usable, func(t placement.Target) bool {
			return int(xxhash.Sum64String(t.Name)%uint64(routers.Count)) == routers.Index
		})
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

// prefer keeps the targets that satisfy want, or all when none does.
func prefer(targets []placement.Target, want func(placement.Target) bool) []placement.Target {
	kept := targets[:0:0]
	for _, t := range targets {
		if want(t) {
			kept = append(kept, t)
		}
	}
	if len(kept) == 0 {
		return targets
	}
	return kept
}

// Waits for a usable target.
const (
	// placeWait bounds the wait of a request of which nothing was delivered yet:
	// its caller can go to another router.
	placeWait = 3 * time.Second
	// resumeWait bounds the wait of an open stream, which cannot go elsewhere; it
	// covers the restart of a rack's engines.
	resumeWait = 15 * time.Second
	placePoll  = 50 * time.Millisecond
)

// claim is a target chosen for an attempt that is already registered as running
// there.
type claim struct {
	attempt string
	target  placement.Target
	score   placement.Score
}

// choose claims the best target, waiting for one to become usable. It waits
// until the deadline for a place on a target that is full, and for a target
// without other suspects when the request is a crash suspect itself, because it
// may be innocent.
func (r *Router) choose(ctx context.Context, p *plan, f filter, attempt string, wait time.Duration) (claim, error) {
	_, span := r.Tracer.Start(ctx, "place")
	defer span.End()
	start := r.Clock.Now()
	for {
		now := r.Clock.Now()
		if r.Fingerprints.Quarantined(now, f.fingerprint) {
			return claim{}, ErrQuarantined
		}
		scores, byName, excluded := r.rank(now, p, f)
		r.probeDue(ctx, p, excluded)
		for _, s := range scores {
			if r.Fingerprints.Start(now, f.fingerprint, s.Target, attempt) {
				return claim{attempt: attempt, target: byName[s.Target], score: s}, nil
			}
		}
		queued := r.Fingerprints.Suspect(now, f.fingerprint) || anyFull(excluded)
		if now.Sub(start) >= wait && !queued {
			return claim{}, &NoTargetError{Pool: p.poolRef.String(), Excluded: excluded}
		}
		if err := sleep(ctx, placePoll); err != nil {
			return claim{}, err
		}
	}
}

// anyFull reports whether a target only lacks a free place.
func anyFull(excluded map[string]string) bool {
	for _, reason := range excluded {
		if reason == excludedFull {
			return true
		}
	}
	return false
}

// probeDue probes targets whose circuits have been open for their time. No
// request is risked on a target that does not answer.
func (r *Router) probeDue(ctx context.Context, p *plan, excluded map[string]string) {
	now := r.Clock.Now()
	for _, t := range p.pool.Targets {
		if excluded[t.Name] != excludedCircuit || !r.circuits.ClaimProbe(now, t.Name) {
			continue
		}
		go func() {
			h := r.ask(ctx, p.pool, r.target(p.pool, t), "")
			if h.reachable {
				r.Targets.Observe(t.Name, h.incarnation, h.weights, coldStart(p.pool))
			}
			r.circuits.Probed(r.Clock.Now(), t.Name, h.reachable)
		}()
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
