package allotment

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant of the moving average of an account's demand on
	// this router.
	demandTime = 2 * time.Second
	// sizeWeight is the weight of a request in the moving average of the sizes.
	sizeWeight = 0.2
	// minDemandPart is the part of the rate below which demand counts as none.
	minDemandPart = 1e-3
	// sureDeviations is the number of standard deviations below the expected number of
	// requests for whose tokens a router asks in advance whatever the level. With one,
	// 300 routers left 7% of an allotment unspent when its grants expired.
	sureDeviations = 1.5
	// settlePart is the part of the burst that is returned at once when it expires.
	settlePart = 0.02
)

// held are unspent tokens of one grant.
type held struct {
	tokens float64
	// spent tokens are reported when the grant is settled.
	spent   float64
	expires time.Time
	from    string
	of      uint64
	ticket  uint64
	// returnable is when the allocator no longer takes the tokens back.
	returnable time.Time
}

// waiting is a pending request.
type waiting struct {
	id       uint64
	tokens   float64
	limit    Limit
	deadline time.Time
}

// need returns the tokens without which the request is not admitted. Of limits that
// allow debt, half a burst is enough, because an allocator whose majority is not
// complete never holds a whole one.
func need(limit Limit, tokens float64) float64 {
	if limit.Debt {
		return min(tokens, limit.Burst/2)
	}
	return tokens
}

// account is the state of one allotment on this router.
type account struct {
	key   Key
	limit Limit
	// grants holds unspent tokens, in the order of expiry.
	grants []held
	// own are the tokens of this router's own part, accrued until ownAt under the given
	// binding.
	own      float64
	ownAt    time.Time
	bindings int

	// debt was charged without tokens; charging is the part that a message in flight
	// reports.
	debt, charging float64
	// refused is the cost of the requests refused since the last message.
	refused float64

	queue []waiting
	// asked is the cost of the first request for which the last message asked.
	asked float64
	// waitFor is the cost for which the allocator told to wait until waitUntil. Until
	// askAgain, which is an interval later at most, that is taken for certain; then the
	// share of the allocator may have risen.
	waitFor             float64
	waitUntil, askAgain time.Time
	// backlog is the time that the refused requests take that were told to come back.
	backlog time.Duration

	// demand is in tokens per second, size in tokens.
	demand, size float64
	used         time.Time
}

// arrived adds a request to the demand.
func (a *account) arrived(now time.Time, tokens float64) {
	a.demand = a.demandAt(now) + tokens/demandTime.Seconds()
	if a.size == 0 {
		a.size = tokens
	}
	a.size += sizeWeight * (tokens - a.size)
	a.used = now
}

func (a *account) demandAt(now time.Time) float64 {
	if a.used.IsZero() || !now.After(a.used) {
		return a.demand
	}
	return a.demand * math.Exp(-now.Sub(a.used).Seconds()/demandTime.Seconds())
}

// apply sets the limit. Unspent tokens above a lowered burst are void.
func (a *account) apply(limit Limit) {
	if limit.Burst < a.limit.Burst || limit.Rate < a.limit.Rate {
		excess := a.granted() - limit.Burst
		for i := range a.grants {
			cut := clamp(a.grants[i].tokens, excess)
			a.grants[i].tokens -= cut
			excess -= cut
		}
	}
	a.limit = limit
}

// granted returns the unspent tokens of all grants.
func (a *account) granted() float64 {
	sum := 0.0
	for i := range a.grants {
		sum += a.grants[i].tokens
	}
	return sum
}

// expire removes the grants of which nothing can be spent or returned any more.
func (a *account) expire(now time.Time) {
	kept := a.grants[:0]
	for _, g := range a.grants {
		if now.Before(g.returnable) && (g.tokens > 0 || g.spent > 0) {
			kept = append(kept, g)
		}
	}
	a.grants = kept
}

// spendable returns the tokens of unexpired grants.
func (a *account) spendable(now time.Time) float64 {
	sum := 0.0
	for i := range a.grants {
		if now.Before(a.grants[i].expires) {
			sum += a.grants[i].tokens
		}
	}
	return sum
}

// fillOwn accrues this router's own part of the limit while it is not bound. The
// tokens that it accrued before its last binding are void.
func (a *account) fillOwn(now time.Time, at *Attachment, free time.Time, part float64) {
	if a.bindings != at.bindings || a.ownAt.Before(free) {
		a.own, a.ownAt, a.bindings = 0, free, at.bindings
	}
	if now.Before(free) {
		a.own = 0
		return
	}
	accrued := 0.0
	if now.After(a.ownAt) {
		accrued = part * a.limit.Rate * now.Sub(a.ownAt).Seconds()
		a.ownAt = now
	}
	paid := clamp(a.debt, accrued)
	a.debt -= paid
	a.own = min(a.own+accrued-paid, part*a.limit.Burst)
}

// spend takes the tokens from the grants that expire first, and then from the own
// part. It takes nothing if there are too few.
func (a *account) spend(now time.Time, tokens float64) (Charge, bool) {
	const rounding = 1e-6
	if a.debt > 0 || a.spendable(now)+a.own < tokens*(1-rounding) {
		return Charge{}, false
	}
	charge := Charge{Key: a.key, Tokens: tokens}
	for i := range a.grants {
		g := &a.grants[i]
		if !now.Before(g.expires) || tokens <= 0 {
			continue
		}
		part := min(g.tokens, tokens)
		g.tokens -= part
		g.spent += part
		tokens -= part
		charge.granted += part
		if charge.ticket == 0 && part > 0 {
			charge.from, charge.of, charge.ticket, charge.until = g.from, g.of, g.ticket, g.returnable
		}
	}
	a.own = max(0, a.own-tokens)
	return charge, true
}

// refund gives back tokens of a request that did not run, as part of the oldest grant
// from which they came. If that has been settled, they were reported as spent.
func (a *account) refund(c Charge) {
	for i := range a.grants {
		g := &a.grants[i]
		if g.ticket == c.ticket && g.from == c.from && g.of == c.of {
			back := min(c.granted, g.spent)
			g.tokens += back
			g.spent -= back
			return
		}
	}
}

// wants returns what the next message asks for the account and what it settles.
// Horizon is the time that the tokens have to last. Grants that expire within early are
// settled already.
func (a *account) wants(now time.Time, horizon, early time.Duration, to string, of uint64) []Want {
	settled := a.settle(now, early, to, of)
	w := Want{Key: a.key, Charged: a.debt, Refused: a.refused, Limit: a.limit}
	usable := a.spendable(now)
	for _, q := range a.queue {
		w.Tokens += need(q.limit, q.tokens)
	}
	if len(a.queue) > 0 {
		w.Least = max(0, need(a.queue[0].limit, a.queue[0].tokens)-usable)
	}
	if demand := a.demandAt(now); demand > minDemandPart*a.limit.Rate {
		expected := demand * horizon.Seconds()
		sure := max(0, expected-sureDeviations*math.Sqrt(expected*a.size))
		sure = whole(sure, a.size)
		w.Tokens += sure
		w.Ahead = max(0, expected+a.size-sure)
		w.Unit = a.size
	}
	surplus := usable - w.Tokens
	w.Tokens = max(0, min(-surplus, a.limit.Burst))
	w.Ahead = min(max(0, w.Ahead-max(0, surplus)), a.limit.Burst)
	if len(settled) > 0 {
		w.Returned, w.Spent, w.GrantTicket = settled[0].Returned, settled[0].Spent, settled[0].GrantTicket
		settled[0] = w
		return settled
	}
	if w.Tokens > 0 || w.Ahead > 0 || w.Charged > 0 || w.Refused > 0 {
		return []Want{w}
	}
	return nil
}

// settle returns the unspent tokens of the grants of an allocator that expire within
// early, and reports the spent ones. If the message gets lost, its tokens are too.
func (a *account) settle(now time.Time, early time.Duration, to string, of uint64) []Want {
	var wants []Want
	kept := a.grants[:0]
	for _, g := range a.grants {
		if !now.Before(g.returnable) {
			continue
		}
		if g.expires.Sub(now) > early || g.from != to || g.of != of {
			kept = append(kept, g)
			continue
		}
		wants = append(wants, Want{Key: a.key, Returned: g.tokens, Spent: g.spent, GrantTicket: g.ticket, Limit: a.limit})
	}
	a.grants = kept
	return wants
}

// unsettled returns when the next grant of which much is unspent expires, if any can
// be returned to the current allocator.
func (a *account) unsettled(now time.Time, at *Attachment) (time.Time, bool) {
	for i := range a.grants {
		g := &a.grants[i]
		if g.tokens > settlePart*a.limit.Burst && now.Before(g.returnable) && g.from == at.target && at.ticket.of == g.of {
			return g.expires, true
		}
	}
	return time.Time{}, false
}

// pressing reports whether the account cannot wait for the next regular message.
func (a *account) pressing(now time.Time, at *Attachment) bool {
	expires, ok := a.unsettled(now, at)
	return len(a.queue) > 0 || ok && !expires.After(now)
}

// forgettable reports whether a new account would be in the same state: nothing needs
// to be kept, and the own part has accrued to its burst again.
func (a *account) forgettable(now time.Time) bool {
	refilled := time.Duration(min(a.limit.Burst/a.limit.Rate, maxDebt.Seconds())*float64(time.Second)) + MaxWait
	return a.idle(now) && now.Sub(a.used) > refilled
}

// idle reports whether nothing of the account needs to be asked or reported.
func (a *account) idle(now time.Time) bool {
	return len(a.queue) == 0 && len(a.grants) == 0 && a.debt == 0 && a.charging == 0 && a.refused == 0 &&
		a.demandAt(now) <= minDemandPart*a.limit.Rate
}
