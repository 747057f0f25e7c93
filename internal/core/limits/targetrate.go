package limits

import (
	"math"
	"sync"
	"time"
)

const (
	// extraSenders is the number of routers that share a target's rate beyond one for
	// each request per second. More of them would each have a token too rarely, and
	// their bursts would add up to more than the rate.
	extraSenders = 4
	// burstTime is the time for which a router may save up its part of a rate.
	burstTime = 500 * time.Millisecond
	// chosenTTL is how long the choice of the routers that share a rate is reused.
	chosenTTL = 500 * time.Millisecond
	// announceInterval is the mean time between announcements of an unchanged rate.
	announceInterval = 15 * time.Second
	// announcedChange is the relative change of a rate that is announced at once.
	announcedChange = 0.2
	// maxPeerRate is above the rate of any target.
	maxPeerRate = 1e9
	// rateTTL is how long a rate holds that is not named again. A router that does not use
	// the target may have missed the news of the rate's end.
	rateTTL = 10 * time.Minute
)

// Fleet describes the routers that share the rates of targets.
type Fleet struct {
	// Count returns their number.
	Count func() int
	// Chosen reports whether this router is one of the n that serve a key.
	Chosen func(key string, n int) bool
}

// TargetRates keeps to the rates that targets name: the requests per second that they take
// from all routers together. A few routers, the same in the view of all, share the rate of
// a target; the others do not use it until it names no rate any more. It is safe for
// concurrent use.
type TargetRates struct {
	fleet Fleet

	mu    sync.Mutex
	rates map[string]*targetRate // by incarnation
}

// targetRate is the rate of one incarnation of a target.
type targetRate struct {
	perSecond float64
	// observed is when the target named the rate, to this router or to another one.
	observed  time.Time
	announced time.Time
	// tokens are the requests that this router may send now, as of refilled.
	tokens   float64
	refilled time.Time
	// senders is the number of routers that share the rate, as of chosenAt. chosen is set
	// if this router is one of them.
	senders  int
	chosen   bool
	chosenAt time.Time
}

// NewTargetRates returns a TargetRates without any rate.
func NewTargetRates(fleet Fleet) *TargetRates {
	return &TargetRates{fleet: fleet, rates: map[string]*targetRate{}}
}

// RateChange tells how an observation changed what is known.
type RateChange struct {
	// Changed is set if a rate was named for the first time, changed by more than a
	// little, or was lifted.
	Changed bool
	// Announce is set if the other routers should be told.
	Announce bool
}

// Observe records the rate that a target named in its response to a request sent at the
// time; 0: it named none. A response to an earlier request than the one whose response
// named the rate does not lift it.
func (t *TargetRates) Observe(now, sent time.Time, target string, perSecond float64) RateChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rates[target]
	if perSecond <= 0 {
		if r == nil || r.perSecond == 0 || !sent.After(r.observed) {
			return RateChange{}
		}
		r.lift(now)
		return RateChange{Changed: true, Announce: true}
	}
	changed := t.set(now, now, target, perSecond)
	r = t.rates[target]
	announce := changed || r.chosen && now.Sub(r.announced) >= announceInterval
	if announce {
		r.announced = now
	}
	return RateChange{Changed: changed, Announce: announce}
}

// ObservePeer records the rate that a target named to another router some time ago, 0 if
// it named none any more. Older knowledge than this router's own is ignored, and so are
// values that are no rates.
func (t *TargetRates) ObservePeer(now time.Time, target string, perSecond float64, age time.Duration) RateChange {
	if math.IsNaN(perSecond) || perSecond < 0 || perSecond > maxPeerRate {
		return RateChange{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	observed := now.Add(-max(age, 0))
	r := t.rates[target]
	switch {
	case r != nil && !observed.After(r.observed):
		return RateChange{}
	case perSecond > 0:
		changed := t.set(now, observed, target, perSecond)
		return RateChange{Changed: changed, Announce: changed}
	case r == nil || r.perSecond == 0:
		return RateChange{}
	}
	r.lift(observed)
	return RateChange{Changed: true, Announce: true}
}

// lift keeps the record, so that older news of the rate is ignored.
func (r *targetRate) lift(observed time.Time) { r.perSecond, r.observed = 0, observed }

// set stores a rate and reports whether it changed by more than a little.
func (t *TargetRates) set(now, observed time.Time, target string, perSecond float64) bool {
	r := t.rates[target]
	if r == nil {
		t.prune(now)
		r = &targetRate{}
		t.rates[target] = r
	}
	before := r.perSecond
	if before == 0 {
		r.tokens, r.refilled, r.chosenAt = 0, now, time.Time{}
	} else {
		t.refill(now, target, r)
	}
	r.perSecond, r.observed = perSecond, observed
	return before == 0 || math.Abs(perSecond-before) > announcedChange*before
}

func (t *TargetRates) prune(now time.Time) {
	for target, r := range t.rates {
		if now.Sub(r.observed) >= rateTTL {
			delete(t.rates, target)
		}
	}
}

// refill adds the tokens of the time since the last call.
func (t *TargetRates) refill(now time.Time, target string, r *targetRate) {
	if r.chosenAt.IsZero() || now.Sub(r.chosenAt) >= chosenTTL {
		before := r.chosen && !r.chosenAt.IsZero()
		r.senders = min(max(t.fleet.Count(), 1), int(r.perSecond)+extraSenders)
		r.chosen, r.chosenAt = t.fleet.Chosen(target, r.senders), now
		if !before {
			r.tokens, r.refilled = 0, now
		}
	}
	if !r.chosen {
		return
	}
	share := r.perSecond / float64(r.senders)
	most := max(1, share*burstTime.Seconds())
	r.tokens = min(most, r.tokens+share*now.Sub(r.refilled).Seconds())
	r.refilled = now
}

// current returns the rate that holds for the target, nil if there is none.
func (t *TargetRates) current(now time.Time, target string) *targetRate {
	r := t.rates[target]
	if r == nil || r.perSecond == 0 || now.Sub(r.observed) >= rateTTL {
		return nil
	}
	return r
}

// Never is the wait of a router that does not share a target's rate.
const Never = time.Duration(math.MaxInt64)

// Wait returns the time until this router may send a request to the target: 0 if it may
// now, and the maximum if other routers share the target's rate.
func (t *TargetRates) Wait(now time.Time, target string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.current(now, target)
	if r == nil {
		return 0
	}
	t.refill(now, target, r)
	switch {
	case !r.chosen:
		return Never
	case r.tokens >= 1:
		return 0
	}
	return time.Duration((1 - r.tokens) * float64(r.senders) / r.perSecond * float64(time.Second))
}

// Take reports whether a request may be sent to the target now, and if so counts it.
func (t *TargetRates) Take(now time.Time, target string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.current(now, target)
	if r == nil {
		return true
	}
	t.refill(now, target, r)
	if !r.chosen || r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// Return gives back what Take counted for a request that was not sent.
func (t *TargetRates) Return(target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rates[target]; r != nil && r.perSecond > 0 {
		r.tokens++
	}
}

// PerSecond returns the rate that the target named, 0 if it named none.
func (t *TargetRates) PerSecond(target string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rates[target]; r != nil {
		return r.perSecond
	}
	return 0
}
