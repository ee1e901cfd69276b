package listener_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/listener"
)

// TestANewConnectionClosesTheOneThatIsIdleForLongest guards against connections that are left
// open and keep others out, and against closing one that is in use.
func TestANewConnectionClosesTheOneThatIsIdleForLongest(t *testing.T) {
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	var closed []string
	bounded := listener.NewBounded(raw, 2, func(address string) { closed = append(closed, address) })
	defer func() { _ = bounded.Close() }()
	open := func() (near, far net.Conn) {
		near, err := net.Dial("tcp4", raw.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = near.Close() })
		far, err = bounded.Accept()
		assert.NilError(t, err)
		t.Cleanup(func() { _ = far.Close() })
		return near, far
	}
	first, firstFar := open()
	second, _ := open()
	_, err = first.Write([]byte("x"))
	assert.NilError(t, err)
	_, err = firstFar.Read(make([]byte, 1))
	assert.NilError(t, err)
	_, third := open()
	assert.DeepEqual(t, closed, []string{second.LocalAddr().String()})
	assert.NilError(t, second.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = second.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
	assert.NilError(t, third.Close())
	open()
	assert.Equal(t, len(closed), 1, "a connection was closed although another one had ended")
}
