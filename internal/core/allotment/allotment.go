// Package allotment enforces the rate limits of client accounts over all routers.
//
// One allocator per account group keeps a token bucket for each account and grants
// tokens to the routers, which spend them on requests. In any window W, the requests of
// an account cost at most (rate x W + burst) x (1 + over) when they are admitted,
// whatever messages are lost, late or reordered, and whichever routers stop, restart, are
// suspended or cut off, because:
//
//   - A router is counted by one allocator at a time. An allocator counts it until the
//     time of a ticket, its own clock reading, plus a term. The router commits itself
//     before it sends the ticket back, and until a term after it received it.
//   - The shares of all allocators, and the parts that routers spend that are not bound,
//     sum to at most 1. Tokens accrue, and buckets hold, in proportion to the share.
//   - Grants expire soon after the request for them was sent. What can still be spent or
//     returned counts against the capacity of the bucket when tokens come back.
//
// See docs/design/allotments.md for the whole argument, and for what it does not cover.
//
// The package has no clock and no network. Every method takes the reading of a boot
// clock, which also advances while the VM is suspended. No type is safe for
// concurrent use; a Client and the Allocators of one router share one lock. The caller
// reads the clock while it holds the lock, and for an answer after that has arrived:
// with an older reading, a router that was suspended in between would spend expired
// tokens, or be bound for too short a time. After a change of state, the caller calls
// Client.Draws, and again at Client.NextDraw; it calls Client.Expire at the deadlines
// of pending requests.
package allotment

import (
	"time"
)

// Key identifies an allotment: an account, or an account and the kind of tokens that
// are limited.
type Key string

// Limit is the token bucket of one allotment.
type Limit struct {
	// Rate is in tokens per second; 0 means no limit.
	Rate float64
	// Burst is the capacity of the bucket in tokens. Requests that cost more are refused
	// unless Debt is set.
	Burst float64
	// Debt admits requests that cost more than the burst: they take a full bucket and
	// the rest becomes debt, which is paid back before new admissions. Without it, they
	// are refused with ReasonTooLarge. The upper bound of a window then grows by the
	// debt.
	Debt bool
}

// unlimited reports whether nothing has to be charged.
func (l Limit) unlimited() bool { return l.Rate <= 0 }

// Default settings.
const (
	// DefaultWindow is the length of the sliding window of the upper bound.
	DefaultWindow = 8 * time.Second
	// DefaultOverRatio is the part by which a window may exceed rate x window + burst.
	DefaultOverRatio = 0.1
)

// Settings are the tolerances of the upper bound: in any sliding window, the requests
// of an account cost at most (rate x Window + burst) x (1 + OverRatio) + OverSlack.
// Zero values mean the defaults.
type Settings struct {
	Window    time.Duration
	OverRatio float64
	// OverSlack is in tokens. It is part of the bound but not used up on purpose.
	OverSlack float64
}

// Parts of the tolerance of the upper bound.
const (
	// maxValidity bounds the validity of grants when the tolerance is large, so that
	// unspent tokens soon become available to other routers.
	maxValidity = 600 * time.Millisecond
	// validityPart is the part of OverRatio x Window for which a grant is valid.
	validityPart = 0.7
	// returnPart is the part of OverRatio x Window for which unspent tokens can be
	// returned. The rest covers clock rates that differ.
	returnPart = 0.9
)

// over returns the part by which a window may exceed the limit.
func (s Settings) over() float64 {
	if s.OverRatio <= 0 {
		return DefaultOverRatio
	}
	return s.OverRatio
}

// tolerance returns the time whose accrual may exceed rate x Window + burst.
func (s Settings) tolerance() time.Duration {
	window := s.Window
	if window <= 0 {
		window = DefaultWindow
	}
	return time.Duration(s.over() * float64(window))
}

// Validity returns E, the time for which granted tokens can be spent. It counts from
// the moment at which the request for them was sent.
func (s Settings) Validity() time.Duration {
	return min(maxValidity, time.Duration(validityPart*float64(s.tolerance())))
}

// returnable returns the time after a grant within which its unspent tokens can be
// returned to the allocator.
func (s Settings) returnable() time.Duration {
	return time.Duration(returnPart * float64(s.tolerance()))
}
