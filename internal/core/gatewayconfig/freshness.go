package gatewayconfig

import "time"

// Freshness tracks when a configuration was last verified to be the newest one.
// A client account's key may be revoked at any time, so a router that cannot
// detect this stops accepting keys after a time limit. Times must come from a
// clock that keeps running while the VM is suspended.
type Freshness struct {
	// verified is the latest time at which the configuration was known to be the
	// newest.
	verified time.Time
}

// MarkVerified records that the configuration was the newest at the given time. Times
// before the last verification have no effect.
func (f *Freshness) MarkVerified(at time.Time) {
	if at.After(f.verified) {
		f.verified = at
	}
}

// Age returns the time since the last verification.
func (f *Freshness) Age(now time.Time) time.Duration {
	if f.verified.IsZero() {
		return 1<<63 - 1
	}
	return now.Sub(f.verified)
}
