package placement

import (
	"math"
	"time"
)

// holder records that a target has the first blocks of a segment cached. The
// scope is part of the segment's keys; the epoch represents the target's
// incarnation and weights version.
type holder struct {
	target int32
	epoch  uint32
	blocks int32
	// eventGeneration is the generation of the cache events that it comes from, 0 if
	// it was derived from this router's requests.
	eventGeneration uint32
	// last is the time of the last use, as Unix time in ns.
	last int64
}

func (h holder) age(now time.Time) time.Duration { return time.Duration(now.UnixNano() - h.last) }

// splitHolders divides the holders of a segment that is cut after n blocks.
func splitHolders(all []holder, n int) (front, rest []holder) {
	for _, h := range all {
		first := h
		first.blocks = min(h.blocks, int32(n))
		front = append(front, first)
		if h.blocks > int32(n) {
			h.blocks -= int32(n)
			rest = append(rest, h)
		}
	}
	return front, rest
}

func (s *segment) holder(target int32) *holder {
	for i := range s.holders {
		if s.holders[i].target == target {
			return &s.holders[i]
		}
	}
	return nil
}

// setHolder stores h; at the limit it replaces the least recently used holder.
func (s *segment) setHolder(h holder, limit int) {
	if old := s.holder(h.target); old != nil {
		*old = h
		return
	}
	if len(s.holders) < limit {
		s.holders = append(s.holders, h)
		return
	}
	oldest := 0
	for i := range s.holders {
		if s.holders[i].last < s.holders[oldest].last {
			oldest = i
		}
	}
	s.holders[oldest] = h
}

func (s *segment) dropHolder(target int32) {
	for i := range s.holders {
		if s.holders[i].target == target {
			s.holders = append(s.holders[:i], s.holders[i+1:]...)
			return
		}
	}
}

const (
	initialRetention = 60 * time.Second
	minRetention     = 500 * time.Millisecond
	maxRetention     = 30 * time.Minute
	// retentionGain is the gain of the retention estimate. At 0.1, ten mispredicted
	// outcomes in a row change it by a factor of e.
	retentionGain = 0.1
)

// retention estimates how long engines cache unused blocks. It is updated from
// the cached token counts of responses.
type retention struct{ d time.Duration }

// survival is the probability that a block last used age ago is still cached.
func (r retention) survival(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	x := age.Seconds() / r.d.Seconds()
	return math.Exp(-x * x)
}

// update moves the estimate towards the outcome of a prediction.
func (r *retention) update(predicted float64, hit bool) {
	outcome := 0.0
	if hit {
		outcome = 1
	}
	next := r.d.Seconds() * math.Exp(retentionGain*(outcome-predicted))
	r.d = min(max(time.Duration(next*float64(time.Second)), minRetention), maxRetention)
}
