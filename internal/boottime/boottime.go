// Package boottime reads a clock that goes on while the machine is suspended.
// The clock of package time stands still then: a lease that is counted on it
// looks valid after a suspension that has outlived it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since the machine started, suspensions included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every kernel since 2.6.39 has the clock.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
