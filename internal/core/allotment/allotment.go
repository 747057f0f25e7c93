// Package allotment enforces the rate limits of client accounts over all routers.
//
// One allocator per account group keeps a token bucket for each account and grants
// tokens to the routers, which spend them on requests. See docs/design/allotments.md
// for the argument that the limits hold.
//
// The package has no clock and no network. Every method takes the reading of a boot
// clock, which also advances while the VM is suspended. No type is safe for
// concurrent use; a Client and the Allocators of one router share one lock.
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
