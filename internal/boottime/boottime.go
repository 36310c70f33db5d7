// Package boottime reads CLOCK_BOOTTIME, which keeps running while the machine is
// suspended. The monotonic clock of package time stops during a suspension: a lease timed
// by it would look valid after a suspension that outlasted it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, suspensions included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
