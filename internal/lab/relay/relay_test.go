package relay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/relay"
)

// quietTime is how long a test waits for a reply that must not arrive.
const quietTime = 60 * time.Millisecond

// start returns a relay to an echo server.
func start(t *testing.T) *relay.Relay {
	t.Helper()
	g := task.New(context.Background())
	t.Cleanup(func() {
		g.Stop()
		_ = g.Wait()
	})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	g.GoIsolated("echo", func(context.Context) {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			g.GoIsolated("echo connection", func(context.Context) { _, _ = io.Copy(c, c) })
		}
	})
	r, err := relay.New(g, listener.Addr().String())
	assert.NilError(t, err)
	return r
}

// caller is a client's connection through a relay.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, r *relay.Relay) caller {
	t.Helper()
	c, err := net.Dial("tcp4", r.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return caller{c, bufio.NewReader(c)}
}

// exchange sends a line and returns the reply. The error is a timeout if no reply comes
// within the limit.
func (c caller) exchange(t *testing.T, line string, limit time.Duration) (string, error) {
	t.Helper()
	_, err := c.Write([]byte(line + "\n"))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(limit)))
	return c.reader.ReadString('\n')
}

func TestBytesAreDelayedAndBlocked(t *testing.T) {
	r := start(t)
	c := dial(t, r)
	reply, err := c.exchange(t, "one", time.Second)
	assert.NilError(t, err)
	assert.Equal(t, reply, "one\n")

	r.SetConditions(relay.Conditions{Delay: 30 * time.Millisecond})
	began := time.Now()
	_, err = c.exchange(t, "two", time.Second)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) >= 60*time.Millisecond, "the delay was not added in both directions")

	for _, blocked := range []relay.Conditions{{BlockForward: true}, {BlockBackward: true}} {
		r.SetConditions(blocked)
		_, err = c.exchange(t, "three", quietTime)
		assert.Assert(t, err != nil, "%+v", blocked)
		r.SetConditions(relay.Conditions{})
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
		reply, err = c.reader.ReadString('\n')
		assert.NilError(t, err, "blocked bytes did not arrive although the direction is no longer blocked")
		assert.Equal(t, reply, "three\n")
	}
}

func TestOpenConnectionsAreBlockedWhileNewOnesWork(t *testing.T) {
	r := start(t)
	c := dial(t, r)
	_, err := c.exchange(t, "one", time.Second)
	assert.NilError(t, err)
	r.BlockOpen()
	_, err = c.exchange(t, "two", quietTime)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	_, err = dial(t, r).exchange(t, "three", time.Second)
	assert.NilError(t, err)
}

func TestAResetEndsOpenConnections(t *testing.T) {
	r := start(t)
	c := dial(t, r)
	_, err := c.exchange(t, "one", time.Second)
	assert.NilError(t, err)
	r.ResetOpen()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = c.reader.ReadByte()
	assert.ErrorContains(t, err, "reset")
	_, err = dial(t, r).exchange(t, "two", time.Second)
	assert.NilError(t, err)
}
