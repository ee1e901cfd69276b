package listener

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder"
)

// startedMessage is how many bytes without an answer count as the start of a message. Fewer may
// follow the answer to a call.
const startedMessage = 4 << 10

// Bounds are what the connections of a Charged listener may take.
type Bounds struct {
	// Copies is how often each byte that was read and not answered is counted, as it is
	// copied.
	Copies int
	// Started bounds the wait for the next byte of a message that has begun, or for its
	// answer. Idle bounds the wait for a message, and Write the writing of an answer. All are
	// zero for a server that sets deadlines itself.
	Started, Idle, Write time.Duration
}

// Charged is a listener whose connections are charged for what was read and not answered, and
// whose waits are bounded. Use NewCharged to make one.
type Charged struct {
	net.Listener
	budget eelgrassladder.Budget
	bounds Bounds
}

// NewCharged returns a listener that accepts from l, within a budget.
func NewCharged(l net.Listener, b eelgrassladder.Budget, bounds Bounds) *Charged {
	return &Charged{Listener: l, budget: b, bounds: bounds}
}

// Accept waits for a connection for which the budget has an account.
func (l *Charged) Accept() (net.Conn, error) {
	for {
		stream, err := l.Listener.Accept()
		if err != nil {
			return nil, errors.WithStack(err)
		}
		account, ok := l.budget.Open(func() { _ = stream.Close() })
		if ok {
			return &chargedConnection{Conn: stream, bounds: l.bounds, account: account}, nil
		}
		_ = stream.Close()
	}
}

// chargedConnection is a connection of a Charged listener.
type chargedConnection struct {
	net.Conn
	bounds Bounds

	// mutex guards the fields below. The lock of the table of accounts is taken while it is
	// held.
	mutex   sync.Mutex
	account eelgrassladder.Account
	// unanswered is how many bytes were read since the last answer.
	unanswered int
}

// Read reads from the connection.
func (c *chargedConnection) Read(p []byte) (int, error) {
	if c.bounds.Idle > 0 {
		if err := c.Conn.SetReadDeadline(time.Now().Add(c.timeout())); err != nil {
			return 0, errors.WithStack(err)
		}
	}
	n, err := c.Conn.Read(p)
	if held := c.hold(n); held != nil {
		return 0, held
	}
	return n, err
}

// timeout returns how long the next read may take.
func (c *chargedConnection) timeout() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.unanswered > startedMessage {
		return c.bounds.Started
	}
	return c.bounds.Idle
}

// hold charges the connection for bytes that were read.
func (c *chargedConnection) hold(n int) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unanswered += n
	return c.account.Hold(eelgrassladder.MessageMemory, c.unanswered*c.bounds.Copies)
}

// Write writes an answer, or a part of it.
func (c *chargedConnection) Write(p []byte) (int, error) {
	if c.bounds.Write > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.bounds.Write)); err != nil {
			return 0, errors.WithStack(err)
		}
	}
	c.mutex.Lock()
	c.unanswered = 0
	err := c.account.Hold(eelgrassladder.MessageMemory, 0)
	c.mutex.Unlock()
	if err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes the connection and its account.
func (c *chargedConnection) Close() error {
	err := c.Conn.Close()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.account.Close()
	return err
}
