// Package clock reads a monotonic clock that also advances while the host is
// suspended.
//
// Go's monotonic clock stops while the host is suspended, and the wall clock can
// be set forward or back. A lease measured by either of them can appear valid
// after it has expired. CLOCK_BOOTTIME includes suspended time and is never set.
//
// # Usage
//
//	expiresAt := clock.Now().Add(lease)
//	valid := clock.Now().Before(expiresAt)
//
// Values may only be compared with each other, and only on the same host and boot.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted, as an offset from the Unix epoch.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // Every Linux kernel that Go supports has this clock.
	}
	return time.Unix(ts.Unix())
}
