package member_test

import (
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/lab/member"
)

// TestTheAddressOfAMemberThatIsDownStaysItsOwn guards against a port that the kernel gives
// to another socket while its member is down. Proxies that still ask that member then reach
// an unknown caller, and take a crashed primary for one that lives.
func TestTheAddressOfAMemberThatIsDownStaysItsOwn(t *testing.T) {
	_, members, _ := start(t, 2)
	m := members[1]
	m.SetFault(member.Fault{Down: true})
	_, err := net.Dial("tcp4", m.Address)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	own, err := net.ResolveTCPAddr("tcp4", m.Address)
	assert.NilError(t, err)
	from := net.Dialer{LocalAddr: own}
	stranger, err := from.Dial("tcp4", members[0].Address)
	if err == nil {
		_ = stranger.Close()
	}
	assert.ErrorIs(t, err, syscall.EADDRINUSE)
	m.SetFault(member.Fault{})
	do(t, m, "READ x")
}
