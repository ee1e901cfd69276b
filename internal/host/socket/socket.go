// Package socket sets options of TCP connections, and tells their state, in ways that the
// standard library does not offer.
package socket

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// SetUserTimeout sets how long sent bytes may stay unacknowledged before the kernel closes a
// connection and sends them no more. It is precise to the millisecond.
func SetUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(optionErr)
}

// Readable reports whether a read would return at once: bytes have arrived, or the peer has
// closed the connection, or it has failed. It reads nothing and does not wait.
func Readable(raw syscall.RawConn) bool {
	readable := false
	// Read of the raw connection would fail after the deadline of an earlier read.
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		readable = !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
	})
	return err != nil || readable
}
