package allotment

import (
	"math"
	"time"
)

const (
	// grantSlots is the number of periods in which a bucket counts granted tokens that
	// can still be returned.
	grantSlots = 8
	// minWait is the shortest wait that is told to a router that gets no tokens, for each
	// router that shares the limits, within minWaitLow and minWaitHigh. It bounds the
	// messages of routers whose requests wait.
	minWait     = time.Millisecond
	minWaitLow  = 5 * time.Millisecond
	minWaitHigh = MaxWait / 2
	// pausePart is the part of the message interval for which a router is told to wait
	// while refused requests are expected to return, so that accounts over their limit
	// cause few messages. The pause is at most drainPart of the time in which the bucket
	// fills, so that it does not overflow meanwhile.
	pausePart = 0.25
	drainPart = 0.5
	// maxWaitTold is the longest one. It bounds the Retry-After of accounts that demand
	// many times their allotment.
	maxWaitTold = 30 * time.Second
	// aheadPart is the part of a bucket that is granted only for requests that are
	// waiting, so that advance grants do not take the tokens from other routers.
	aheadPart = 0.5
	// aheadShare is the part of the rest that one router gets in advance at once.
	aheadShare = 0.25
	// saveGrace is the time for which tokens are saved for a large request beyond the
	// time at which there are enough.
	saveGrace = 500 * time.Millisecond
	// maxDebt bounds the debt of a bucket to what accrues in this time.
	maxDebt = time.Minute
)

// bucket is the token bucket of one allotment at its allocator.
type bucket struct {
	limit Limit
	// level is negative while the account is in debt.
	level    float64
	integral float64
	at       time.Time

	// slots count the tokens that were granted in the last periods and not reported as
	// spent or returned. slot is the number of the last period.
	slots [grantSlots]float64
	slot  int64

	// large is the cost of the largest request that lately found too few tokens, until
	// largeUntil. passed are the tokens granted to smaller ones since one of that cost
	// was served. When they exceed the cost, tokens are saved for the next one, so that
	// requests of all sizes get a part.
	large      float64
	largeUntil time.Time
	passed     float64
	// promised is the cost of refused requests that were told to come back, less what
	// has accrued since.
	promised float64
}

// ledger is what a bucket needs to know of its allocator.
type ledger struct {
	*attachments
	settings Settings
}

// slotLength is chosen such that all slots together are at least as long as the time
// within which tokens can be returned.
func (l ledger) slotLength() time.Duration { return l.settings.returnable() / (grantSlots - 1) }

func (l ledger) slotOf(t time.Time) int64 { return t.UnixNano() / int64(l.slotLength()) }

// capacity is the share of the burst that the bucket holds at most. The tolerance of
// the burst lets the majority hold a whole burst while few routers are missing.
func (l ledger) capacity(burst, share float64) float64 {
	return min(burst, share*burst*(1+l.settings.over()))
}

// newBucket returns a bucket that has been empty when the router became allocator.
func newBucket(limit Limit, start time.Time) *bucket { return &bucket{limit: limit, at: start} }

// update accrues tokens up to now and applies the limit, which may have changed.
func (b *bucket) update(l ledger, limit Limit) {
	rate, burst := min(b.limit.Rate, limit.Rate), min(b.limit.Burst, limit.Burst)
	accrued := rate * (l.integral - b.integral)
	b.promised = max(0, b.promised-accrued)
	b.level = l.level(b.level, b.integral, b.at, rate, func(share float64) float64 { return l.capacity(burst, share) })
	b.limit, b.integral, b.at = limit, l.integral, l.at
	for slot := l.slotOf(l.at); b.slot < slot; {
		b.slot = max(b.slot+1, slot-grantSlots)
		b.slots[b.slot%grantSlots] = 0
	}
	if b.large > 0 && !l.at.Before(b.largeUntil) {
		b.large, b.passed = 0, 0
	}
}

// outstanding is an upper bound of the tokens that were granted and can still be spent
// or returned.
func (b *bucket) outstanding() float64 {
	sum := 0.0
	for _, s := range b.slots {
		sum += s
	}
	return sum
}

// settle records that tokens granted at the time of the ticket were spent or come
// back. Tokens that come back late, or while the bucket and the outstanding tokens
// fill the burst, are lost; otherwise routers could hoard more than a burst by
// returning and drawing tokens in turn.
func (b *bucket) settle(l ledger, w Want) {
	granted := time.Unix(0, int64(w.GrantTicket))
	slot := l.slotOf(granted)
	if w.GrantTicket == 0 || granted.After(l.at) || l.at.Sub(granted) > l.settings.returnable() || slot <= b.slot-grantSlots {
		return
	}
	counted := &b.slots[slot%grantSlots]
	*counted -= clamp(w.Spent, *counted)
	returned := clamp(w.Returned, *counted)
	*counted -= returned
	room := l.capacity(b.limit.Burst, l.share) - b.level - b.outstanding()
	b.level += clamp(returned, room)
}

// clamp returns v limited to [0, high], and 0 for anything else.
func clamp(v, high float64) float64 {
	if v > 0 && high > 0 {
		return min(v, high)
	}
	return 0
}

// grant takes tokens for the want, which was settled before.
func (b *bucket) grant(l ledger, w Want) Grant {
	if w.Charged > 0 {
		b.level = max(b.level-w.Charged, min(b.level, -b.limit.Rate*maxDebt.Seconds()))
	}
	if w.Refused > 0 {
		b.promised = min(b.promised+w.Refused, b.limit.Rate*maxWaitTold.Seconds())
	}
	g := Grant{Key: w.Key}
	if w.Least > 0 || w.Tokens > 0 {
		reserved := b.reserved(w.Least)
		if free := b.level - reserved; free >= w.Least && free > 0 {
			g.Tokens = w.Least + whole(min(w.Tokens, free)-w.Least, w.Unit)
			b.took(w.Least, g.Tokens)
		}
		if rest := max(w.Tokens, w.Least) - g.Tokens; rest > 0 {
			first := w.Least - g.Tokens
			if first <= 0 {
				first = min(rest, w.Unit)
			}
			g.Wait, g.Backlog = b.wait(l, reserved+first), b.backlog(l)
			if w.Least > 0 && g.Tokens == 0 {
				b.lacked(l, w.Least, g.Wait)
			}
		}
	}
	if g.Wait == 0 && w.Ahead > 0 {
		keep := aheadPart*l.capacity(b.limit.Burst, l.share) + b.reserved(0)
		ahead := whole(clamp(w.Ahead, aheadShare*(b.level-keep)), w.Unit)
		g.Tokens += ahead
		b.level -= ahead
		b.slots[b.slot%grantSlots] += ahead
	}
	return g
}

// whole returns the largest multiple of the unit that is at most v, or v without a unit.
func whole(v, unit float64) float64 {
	if v <= 0 || unit <= 0 {
		return max(v, 0)
	}
	// Rounding errors must not lose a unit.
	return min(v, math.Floor(v/unit+1e-6)*unit)
}

// took removes granted tokens from the bucket.
func (b *bucket) took(least, tokens float64) {
	b.level -= tokens
	b.slots[b.slot%grantSlots] += tokens
	if least >= b.large {
		b.passed = 0
	} else {
		b.passed += tokens
	}
}

// reserved returns the tokens that are saved for a larger request.
func (b *bucket) reserved(least float64) float64 {
	if least >= b.large || b.passed < b.large {
		return 0
	}
	return b.large
}

// lacked records that a request found too few tokens.
func (b *bucket) lacked(l ledger, least float64, wait time.Duration) {
	if least < b.large || least > l.capacity(b.limit.Burst, l.share) {
		return
	}
	b.large, b.largeUntil = least, l.at.Add(wait+saveGrace)
}

// backlog returns the time in which the tokens of the refused requests accrue.
func (b *bucket) backlog(l ledger) time.Duration {
	rate := b.limit.Rate * l.share
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(b.promised/rate, maxWaitTold.Seconds()) * float64(time.Second))
}

// wait returns the time until the bucket holds the tokens.
func (b *bucket) wait(l ledger, tokens float64) time.Duration {
	rate := b.limit.Rate * l.share
	if rate <= 0 {
		return Interval(l.count.count)
	}
	seconds := (tokens - b.level) / rate
	shortest := min(max(time.Duration(l.count.count)*minWait, minWaitLow), minWaitHigh)
	pause := min(pausePart*Interval(l.count.count).Seconds(), drainPart*b.limit.Burst/b.limit.Rate, b.backlog(l).Seconds())
	shortest = max(shortest, time.Duration(pause*float64(time.Second)))
	return max(shortest, time.Duration(min(seconds, maxWaitTold.Seconds())*float64(time.Second)))
}

// idle reports whether the bucket is in the state that a new one would have.
func (b *bucket) idle(l ledger) bool {
	return b.level >= l.capacity(b.limit.Burst, l.share) && b.outstanding() == 0 && b.promised == 0 && b.large == 0
}
