package completions

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/panics"
)

// Reasons why a target of the pool is excluded from placement.
const (
	excludedLeaving = "leaving"
	excludedCircuit = "circuit open"
	excludedBusy    = "refused for lack of capacity"
	excludedFull    = "at its concurrency limit"
	excludedWeights = "other weights"
	excludedSuspect = "runs another crash suspect"
	excludedTried   = "tried before"
)

// filter holds the constraints of one request on the choice of its target.
type filter struct {
	tried       map[string]bool
	fingerprint retry.Fingerprint
	segments    []retry.SegmentHash
	weights     string
}

// ranking is the usable targets of a request in order of preference.
type ranking struct {
	p       *plan
	view    *poolView
	weights string
	scores  []placement.Score
	// excluded maps the addresses of temporarily excluded targets to the reasons.
	// Leaving targets and those with other weights are not listed.
	excluded map[string]string
}

// target returns the target with the address, in the state used for the ranking.
func (k ranking) target(address string) target {
	i := k.view.index[address]
	return target{Name: k.p.pool.Targets[i].Name, Address: address, Incarnation: k.view.states[i].Incarnation}
}

// reasons maps the names of all excluded targets to the reasons.
func (k ranking) reasons() map[string]string {
	out := map[string]string{}
	for i, t := range k.p.pool.Targets {
		if reason := k.view.excluded(i, k.weights); reason != "" {
			out[t.Name] = reason
		} else if reason := k.excluded[t.Address]; reason != "" {
			out[t.Name] = reason
		}
	}
	return out
}

// targetBuffers reuses buffers for filtered target lists, which are large in large
// pools.
var targetBuffers = sync.Pool{New: func() any { return new([]placement.Target) }}

// rank orders the usable targets. Targets that the request already tried are ranked
// only if no other is usable. For crash suspects, the targets are partitioned
// between the routers, so that suspects of different routers do not run on the same
// target.
func (r *Router) rank(now time.Time, p *plan, f filter) ranking {
	view := r.poolView(p)
	k := ranking{p: p, view: view, weights: f.weights, excluded: r.exclude(now, p, view, f)}
	serving := view.serving(f.weights)
	usable := serving.targets
	suspect := r.CrashTracker.Suspect(now, f.fingerprint)
	if len(k.excluded) > 0 || len(f.tried) > 0 || suspect {
		buffer := targetBuffers.Get().(*[]placement.Target)
		defer targetBuffers.Put(buffer)
		*buffer = r.filterTargets((*buffer)[:0], k, serving, f, suspect)
		usable = *buffer
	}
	if len(usable) > 0 {
		k.scores = r.Placer.Rank(now, p.placement, usable)
	}
	return k
}

// exclude returns the temporarily excluded targets. It iterates over the targets
// with a reason for exclusion, which are few in a large pool, except for crash
// suspects.
func (r *Router) exclude(now time.Time, p *plan, view *poolView, f filter) map[string]string {
	var excluded map[string]string
	add := func(address, reason string) {
		if _, member := view.index[address]; !member || excluded[address] != "" {
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
	if r.CrashTracker.Suspect(now, f.fingerprint) {
		for _, t := range p.pool.Targets {
			if !r.CrashTracker.MayRun(now, f.fingerprint, t.Address) {
				add(t.Address, excludedSuspect)
			}
		}
	}
	return excluded
}

// filterTargets appends to dst the targets that are not excluded. Of these, it
// prefers the ones that the request has not tried and, for a crash suspect, the ones
// in this router's partition, if there are any.
func (r *Router) filterTargets(dst []placement.Target, k ranking, serving targetList, f filter, suspect bool) []placement.Target {
	skip := make([]int, 0, len(k.excluded)+len(f.tried))
	for address := range k.excluded {
		skip = append(skip, k.view.index[address])
	}
	excludedCount := len(skip)
	for address := range f.tried {
		if position, member := k.view.index[address]; member {
			skip = append(skip, position)
		}
	}
	dst = serving.appendExcept(dst, slices.Clone(skip))
	if len(dst) == 0 && len(f.tried) > 0 {
		dst = serving.appendExcept(dst, skip[:excludedCount])
	}
	if routers := r.Shares.Routers(); suspect && routers.Count > 1 {
		dst = preferMatching(dst, func(t *placement.Target) bool {
			return int(xxhash.Sum64String(t.Address)%uint64(routers.Count)) == routers.Index
		})
	}
	return dst
}

// preferMatching filters the targets in place to those that match. If none matches,
// it returns all of them.
func preferMatching(targets []placement.Target, match func(*placement.Target) bool) []placement.Target {
	n := 0
	for i := range targets {
		if match(&targets[i]) {
			// Swapping keeps all targets in case none matches. The matching ones
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

// Limits on the wait for a usable target.
const (
	// maxPlacementWait applies to requests without a delivered chunk: their caller
	// can retry on another router.
	maxPlacementWait = 3 * time.Second
	// maxResumeWait applies to open streams, which cannot move to another router.
	// It covers the restart of all engines in a rack.
	maxResumeWait         = 15 * time.Second
	placementPollInterval = 50 * time.Millisecond
)

// claim is a target with which an attempt is registered in the crash tracker.
type claim struct {
	attemptID string
	target    target
	score     placement.Score
}

// claimTarget claims the best target and waits for one to become usable. It waits
// until the deadline instead of the given time if a target is only at its
// concurrency limit, or if the request is a crash suspect, which may be harmless and
// needs a target without other suspects.
func (r *Router) claimTarget(ctx context.Context, p *plan, f filter, attempt string, wait time.Duration) (claim, error) {
	_, span := r.Tracer.Start(ctx, "place")
	defer span.End()
	start := r.Clock.Now()
	for {
		now := r.Clock.Now()
		if r.refused(now, f) {
			return claim{}, ErrQuarantined
		}
		ranked := r.rank(now, p, f)
		r.probeOpenCircuits(ctx, ranked)
		for _, s := range ranked.scores {
			if t := ranked.target(s.Target); r.start(now, f, t, attempt) {
				return claim{attemptID: attempt, target: t, score: s}, nil
			}
		}
		queued := r.CrashTracker.Suspect(now, f.fingerprint) || anyFull(ranked.excluded)
		if now.Sub(start) >= wait && !queued {
			return claim{}, &NoTargetError{Pool: p.poolRef.String(), Excluded: ranked.reasons()}
		}
		if err := ctxtime.Sleep(ctx, placementPollInterval); err != nil {
			return claim{}, err
		}
	}
}

// start registers an attempt with the trackers of crashes. It returns false if the attempt must
// not run there now.
func (r *Router) start(now time.Time, f filter, t target, attempt string) bool {
	if !r.CrashTracker.Start(now, f.fingerprint, t.Address, attempt) {
		return false
	}
	if r.SegmentTracker.Start(now, t.Address, string(t.Incarnation), attempt, f.fingerprint, f.segments) {
		return true
	}
	r.CrashTracker.Ended(t.Address, attempt)
	return false
}

// quarantined reports whether the request, or a segment of its prompt, crashes targets.
func (r *Router) quarantined(now time.Time, f filter) bool {
	if r.CrashTracker.Quarantined(now, f.fingerprint) {
		return true
	}
	_, found := r.SegmentTracker.Quarantined(now, f.fingerprint, f.segments)
	return found
}

// refused reports whether the request is quarantined and may not run as a trial.
func (r *Router) refused(now time.Time, f filter) bool {
	return r.quarantined(now, f) && (r.CrashTracker.Quarantined(now, f.fingerprint) || !r.SegmentTracker.Try(now, f.fingerprint, f.segments))
}

// anyFull reports whether a target is excluded only for its concurrency limit.
func anyFull(excluded map[string]string) bool {
	for _, reason := range excluded {
		if reason == excludedFull {
			return true
		}
	}
	return false
}

// probeOpenCircuits probes the targets whose circuits have been open for their full
// period. Requests are not used as probes, because an unresponsive target would fail
// them.
func (r *Router) probeOpenCircuits(ctx context.Context, k ranking) {
	now := r.Clock.Now()
	pool := k.p.pool
	for address, reason := range k.excluded {
		if reason != excludedCircuit || k.view.excluded(k.view.index[address], k.weights) != "" ||
			!r.circuits.ClaimProbe(now, address) {
			continue
		}
		t := k.target(address)
		go func() {
			defer panics.Catch(r.Logger, "probe", "target", address)
			h := r.probe(ctx, pool, t, "")
			if h.reachable {
				r.observeTarget(pool, address, h)
			}
			r.circuits.RecordProbe(r.Clock.Now(), address, h.reachable)
		}()
	}
}
