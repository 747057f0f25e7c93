package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
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

// ranking is the order in which a request prefers the usable targets.
type ranking struct {
	p       *plan
	members *members
	weights string
	scores  []placement.Score
	// excluded maps the addresses of targets that are out of use for now to the
	// reasons. Leaving targets and those with other weights are not listed.
	excluded map[string]string
}

// target returns the pool member with the address as placement saw it.
func (k ranking) target(address string) target {
	i := k.members.index[address]
	return target{Name: k.p.pool.Targets[i].Name, Address: address, Incarnation: k.members.states[i].Incarnation}
}

// reasons maps the names of all members that are no candidates to the reasons.
func (k ranking) reasons() map[string]string {
	out := map[string]string{}
	for i, t := range k.p.pool.Targets {
		if reason := k.members.excluded(i, k.weights); reason != "" {
			out[t.Name] = reason
		} else if reason := k.excluded[t.Address]; reason != "" {
			out[t.Name] = reason
		}
	}
	return out
}

// scratch holds copies of target lists, which are large in large pools.
var scratch = sync.Pool{New: func() any { return new([]placement.Target) }}

// rank orders the usable targets. Targets that the request tried before are
// ranked only when no other will do. The targets for a crash suspect are divided
// between the routers, so that two suspects of different routers do not meet.
func (r *Router) rank(now time.Time, p *plan, f filter) ranking {
	m := r.members(p)
	k := ranking{p: p, members: m, weights: f.weights, excluded: r.exclude(now, p, m, f)}
	serving := m.serving(f.weights)
	usable := serving.targets
	suspect := r.Fingerprints.Suspect(now, f.fingerprint)
	if len(k.excluded) > 0 || len(f.tried) > 0 || suspect {
		kept := scratch.Get().(*[]placement.Target)
		defer scratch.Put(kept)
		*kept = r.filter((*kept)[:0], k, serving, f, suspect)
		usable = *kept
	}
	if len(usable) > 0 {
		k.scores = r.Placer.Rank(now, p.place, usable)
	}
	return k
}

// exclude finds the members that are out of use for now. It looks only at
// targets with something against them, which are few in a large pool.
func (r *Router) exclude(now time.Time, p *plan, m *members, f filter) map[string]string {
	var excluded map[string]string
	add := func(address, reason string) {
		if _, member := m.index[address]; !member || excluded[address] != "" {
			return
		}
		if excluded == nil {
			excluded = map[string]string{}
		}
		excluded[address] = reason
	}
	for address, reason := range r.circuits.Unusable(now) {
		if reason == retry.ReasonOpen {
			add(address, excludedCircuit)
		} else {
			add(address, excludedBusy)
		}
	}
	for _, address := range r.limits.FullTargets(p.pool.Slots) {
		add(address, excludedFull)
	}
	if r.Fingerprints.Suspect(now, f.fingerprint) {
		for _, t := range p.pool.Targets {
			if !r.Fingerprints.MayRun(now, f.fingerprint, t.Address) {
				add(t.Address, excludedSuspect)
			}
		}
	}
	return excluded
}

// filter appends to kept the targets that are not excluded and that the request
// should use: of those, where there are any, the ones that it did not try and,
// when it is a crash suspect, the ones that are this router's.
func (r *Router) filter(kept []placement.Target, k ranking, serving roster, f filter, suspect bool) []placement.Target {
	out := make([]int, 0, len(k.excluded)+len(f.tried))
	for address := range k.excluded {
		out = append(out, k.members.index[address])
	}
	excluded := len(out)
	for address := range f.tried {
		if position, member := k.members.index[address]; member {
			out = append(out, position)
		}
	}
	kept = serving.without(kept, slices.Clone(out))
	if len(kept) == 0 && len(f.tried) > 0 {
		kept = serving.without(kept, out[:excluded])
	}
	if routers := r.Shares.Routers(); suspect && routers.Count > 1 {
		kept = prefer(kept, func(t *placement.Target) bool {
			return int(xxhash.Sum64String(t.Address)%uint64(routers.Count)) == routers.Index
		})
	}
	return kept
}

// prefer keeps the targets that satisfy want, in place, or all when none does.
func prefer(targets []placement.Target, want func(*placement.Target) bool) []placement.Target {
	n := 0
	for i := range targets {
		if want(&targets[i]) {
			// A swap, so that all are left when none satisfies want. Those wanted
			// stay in order.
			targets[n], targets[i] = targets[i], targets[n]
			n++
		}
	}
	if n == 0 {
		return targets
	}
	return targets[:n]
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
	target  target
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
		ranked := r.rank(now, p, f)
		r.probeDue(ctx, ranked)
		for _, s := range ranked.scores {
			if r.Fingerprints.Start(now, f.fingerprint, s.Target, attempt) {
				return claim{attempt: attempt, target: ranked.target(s.Target), score: s}, nil
			}
		}
		queued := r.Fingerprints.Suspect(now, f.fingerprint) || anyFull(ranked.excluded)
		if now.Sub(start) >= wait && !queued {
			return claim{}, &NoTargetError{Pool: p.poolRef.String(), Excluded: ranked.reasons()}
		}
		if err := ctxtime.Sleep(ctx, placePoll); err != nil {
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
func (r *Router) probeDue(ctx context.Context, k ranking) {
	now := r.Clock.Now()
	pool := k.p.pool
	for address, reason := range k.excluded {
		if reason != excludedCircuit || k.members.excluded(k.members.index[address], k.weights) != "" ||
			!r.circuits.ClaimProbe(now, address) {
			continue
		}
		t := k.target(address)
		go func() {
			h := r.ask(ctx, pool, t, "")
			if h.reachable {
				r.Targets.Observe(address, h.incarnation, h.weights, coldStart(pool))
			}
			r.circuits.RecordProbe(r.Clock.Now(), address, h.reachable)
		}()
	}
}
