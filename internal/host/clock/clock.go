// Package clock reads the host's boot-time clock, which also counts the time during
// which the host is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// Host is the eelgrassladder.Clock of this host.
type Host struct{}

// SinceBoot returns the time since the host was started. It exits the process if the host
// has no boot-time clock.
func (Host) SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		klog.ErrorS(err, "Could not read the host's boot-time clock")
		klog.FlushAndExit(klog.ExitFlushTimeout, 1)
	}
	return time.Duration(t.Nano())
}
