// Package bootclock provides a clock that neither steps nor stops: unlike the
// monotonic clock of the Go runtime, it advances while the VM is suspended, and it
// is not affected by changes of the wall clock.
package bootclock

import (
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Clock returns the time since boot as a time.Time, which is only meaningful for
// computing differences.
type Clock struct{}

// Now returns the time since boot, counted from the Unix epoch.
func (Clock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// All Linux versions supported by Go provide this clock.
		panic(eris.Wrap(err, "read the boot clock"))
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
