package gatewayconfig

import "time"

// Freshness tells how old the knowledge is that a configuration is the newest.
// A client account's key may be taken away at any time, so a router that
// cannot tell whether this happened stops serving keys after a bound. Times
// must come from a clock that goes on while the VM is suspended.
type Freshness struct {
	// verified is the latest moment at which the configuration was known to be
	// the newest.
	verified time.Time
}

// Verify records that the configuration was the newest at the moment.
func (f *Freshness) Verify(at time.Time) {
	if at.After(f.verified) {
		f.verified = at
	}
}

// Age is the time since the last verification.
func (f *Freshness) Age(now time.Time) time.Duration {
	if f.verified.IsZero() {
		return 1<<63 - 1
	}
	return now.Sub(f.verified)
}
