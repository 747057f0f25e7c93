package limits

import "time"

const (
	// maxReturns is the number of refused requests of a pool that are remembered: those of a
	// few seconds on the busiest router.
	maxReturns = 4096
	// earliestReturn is the part of the time after which a client was told to return from
	// which on it is not early: callers spread the time from half of it on.
	earliestReturn = 0.5
)

// promise is the time at which the client of a refused request was told to return.
type promise struct{ earliest, due time.Time }

// returns remembers refused requests, so that one that comes back before its time gains
// nothing by it.
type returns struct{ byFingerprint map[uint64]promise }

// early reports whether the request was refused before and returns too early.
func (r *returns) early(now time.Time, fingerprint uint64) bool {
	if len(r.byFingerprint) == 0 || fingerprint == 0 {
		return false
	}
	p, found := r.byFingerprint[fingerprint]
	if found && !now.Before(p.earliest) {
		delete(r.byFingerprint, fingerprint)
	}
	return found && now.Before(p.earliest)
}

// refuse remembers a refusal and returns the time after which the client is to return. The
// time of a request that returned too early stays what it was.
func (r *returns) refuse(now time.Time, fingerprint uint64, wait time.Duration) time.Duration {
	if fingerprint == 0 {
		return wait
	}
	if p, found := r.byFingerprint[fingerprint]; found && now.Before(p.earliest) {
		return max(wait, p.due.Sub(now))
	}
	if r.byFingerprint == nil {
		r.byFingerprint = map[uint64]promise{}
	}
	if len(r.byFingerprint) >= maxReturns {
		r.prune(now)
	}
	if len(r.byFingerprint) < maxReturns {
		r.byFingerprint[fingerprint] = promise{now.Add(time.Duration(earliestReturn * float64(wait))), now.Add(wait)}
	}
	return wait
}

func (r *returns) prune(now time.Time) {
	for f, p := range r.byFingerprint {
		if !now.Before(p.due) {
			delete(r.byFingerprint, f)
		}
	}
}
