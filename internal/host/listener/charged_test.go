package listener

import (
	"bytes"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
)

// noted is an account that notes what is held.
type noted struct {
	eelgrassladder.UnlimitedMemory
	held   int
	refuse bool
}

func (n *noted) Hold(_ eelgrassladder.MemoryUse, bytes int) error {
	if n.refuse && bytes > n.held {
		return eelgrassladder.ErrMemoryShort
	}
	n.held = bytes
	return nil
}

// stream is a connection that gives some bytes and takes any.
type stream struct {
	net.Conn
	from bytes.Reader
}

func (s *stream) Read(p []byte) (int, error)       { return s.from.Read(p) }
func (s *stream) Write(p []byte) (int, error)      { return len(p), nil }
func (s *stream) SetReadDeadline(time.Time) error  { return nil }
func (s *stream) SetWriteDeadline(time.Time) error { return nil }

// TestABegunMessageIsChargedUntilItsAnswer guards against peers that hold memory without a
// limit, or for long, with messages of which they send only a part.
func TestABegunMessageIsChargedUntilItsAnswer(t *testing.T) {
	account := &noted{}
	bounds := Bounds{Copies: 4, Started: 10 * time.Second, Idle: time.Minute}
	c := &chargedConnection{Conn: &stream{from: *bytes.NewReader(make([]byte, 30_000))}, bounds: bounds, account: account}
	assert.Equal(t, c.timeout(), bounds.Idle)
	_, err := c.Read(make([]byte, 10_000))
	assert.NilError(t, err)
	assert.Equal(t, account.held, 10_000*bounds.Copies)
	assert.Equal(t, c.timeout(), bounds.Started)
	_, err = c.Write([]byte("answer"))
	assert.NilError(t, err)
	assert.Equal(t, account.held, 0)
	assert.Equal(t, c.timeout(), bounds.Idle)
	account.refuse = true
	_, err = c.Read(make([]byte, 10_000))
	assert.ErrorIs(t, err, eelgrassladder.ErrMemoryShort)
}
