// Package address reserves addresses of simulated peers, so that no other socket of the
// machine gets the port of a peer that is down.
package address

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Free is an address of loopback whose port is chosen when it is reserved.
const Free = "127.0.0.1:0"

// Reserve binds an address, such as Free, without listening on it, and returns it with its
// port. Until ctx ends the kernel gives the port to no other socket that asks for a free one.
// Listening on the address still succeeds.
func Reserve(ctx context.Context, address string) (string, error) {
	resolved, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return "", errors.WithStack(err)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", errors.WithStack(err)
	}
	release := func() { _ = unix.Close(fd) }
	bound, err := bind(fd, &unix.SockaddrInet4{Port: resolved.Port, Addr: [4]byte(resolved.IP.To4())})
	if err != nil {
		release()
		return "", err
	}
	context.AfterFunc(ctx, release)
	return bound.String(), nil
}

// bind binds a socket so that others may listen on its address, and returns the address.
func bind(fd int, to *unix.SockaddrInet4) (*net.TCPAddr, error) {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := unix.Bind(fd, to); err != nil {
		return nil, errors.WithStack(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	bound, ok := name.(*unix.SockaddrInet4)
	if !ok {
		return nil, errors.Errorf("bind: unexpected address %v", name)
	}
	return &net.TCPAddr{IP: bound.Addr[:], Port: bound.Port}, nil
}
