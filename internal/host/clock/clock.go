// Package clock reads the clock that goes on while the host is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// Host is the clock of this host.
type Host struct{}

// SinceBoot returns the time since the host was started.
func (Host) SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		klog.ErrorS(err, "The host has no clock that counts suspended time")
		klog.FlushAndExit(klog.ExitFlushTimeout, 1)
	}
	return time.Duration(t.Nano())
}
