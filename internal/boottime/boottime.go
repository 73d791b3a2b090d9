// Package boottime reads the clock CLOCK_BOOTTIME, which goes on while a VM is suspended. The monotonic clock that package time
// uses stands still meanwhile.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM has booted. It never goes back.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The call fails only on kernels without the clock, before Linux 2.6.39. Any time returned here would be wrong.
		panic("boottime: " + err.Error())
	}
	return time.Duration(now.Nano())
}
