// Package bootclock is a clock that neither steps nor stops: it goes on while
// the VM is suspended, which the monotonic clock of the runtime does not,
// and ignores changes of the time of day.
package bootclock

import (
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Clock reads the time since boot as a time.Time, for differences only.
type Clock struct{}

// Now returns the time since boot, counted from the Unix epoch.
func (Clock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux that Go supports has this clock.
		panic(eris.Wrap(err, "read the boot clock"))
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
