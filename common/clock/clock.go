// Package clock reads the clock that goes on while a host is suspended.
//
// Go's monotonic time stands still while the host sleeps, and the time of day
// may jump. A lease that is measured by either can look valid after it has run
// out. CLOCK_BOOTTIME counts suspended time and never jumps.
//
// # Usage
//
//	expiresAt := clock.Now().Add(lease)
//	valid := clock.Now().Before(expiresAt)
//
// The values are only good for comparing with each other on one host.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted, as a time after the Unix epoch.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // Every kernel that Go runs on has this clock.
	}
	return time.Unix(ts.Unix())
}
