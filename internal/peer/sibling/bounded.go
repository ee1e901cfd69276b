package sibling

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/listener"
)

const (
	// maxMessage is the longest message that is read. The longest one holds the
	// configuration.
	maxMessage = 1 << 20
	// maxConnections is the highest number of connections. Each of 41 other proxies has one
	// for heartbeats and may open some for notices and loans.
	maxConnections = 256
	// startedMessage is how many bytes without an answer count as the start of a message.
	// Fewer may follow the answer to a call.
	startedMessage = 4 << 10
	// startedTimeout bounds the wait for the next byte of a message that has begun, or for its
	// answer.
	startedTimeout = 10 * time.Second
	// idleTimeout bounds the wait for a message. Among many proxies, two exchange heartbeats
	// at random times, minutes apart at most.
	idleTimeout = 10 * time.Minute
	// writeTimeout bounds the writing of an answer.
	writeTimeout = 5 * time.Second
	// copies is how often each byte of a message is counted: the library holds a message in
	// two buffers that grow by doubling.
	copies = 4
)

// boundedListener opens an account for each connection that it accepts.
type boundedListener struct {
	*listener.Bounded
	budget eelgrassladder.Budget
}

// Accept waits for a connection for which the budget has an account.
func (l boundedListener) Accept() (net.Conn, error) {
	for {
		stream, err := l.Bounded.Accept()
		if err != nil {
			return nil, err
		}
		account, ok := l.budget.Open(func() { _ = stream.Close() })
		if !ok {
			_ = stream.Close()
			continue
		}
		return &boundedConnection{Conn: stream, account: account}, nil
	}
}

// boundedConnection charges what it reads, until an answer is written, and bounds each wait.
type boundedConnection struct {
	net.Conn

	// mutex guards the fields below. The lock of the table of accounts is taken while it is
	// held.
	mutex   sync.Mutex
	account eelgrassladder.Account
	// unanswered is how many bytes were read since the last answer.
	unanswered int
}

// Read reads from the connection.
func (c *boundedConnection) Read(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(c.timeout())); err != nil {
		return 0, errors.WithStack(err)
	}
	n, err := c.Conn.Read(p)
	if held := c.hold(n); held != nil {
		return 0, held
	}
	return n, err
}

// timeout returns how long the next read may take.
func (c *boundedConnection) timeout() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.unanswered > startedMessage {
		return startedTimeout
	}
	return idleTimeout
}

// hold charges the connection for bytes that were read.
func (c *boundedConnection) hold(n int) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unanswered += n
	return c.account.Hold(eelgrassladder.MessageMemory, c.unanswered*copies)
}

// Write writes an answer, or a part of it.
func (c *boundedConnection) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, errors.WithStack(err)
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
func (c *boundedConnection) Close() error {
	err := c.Conn.Close()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.account.Close()
	return err
}
