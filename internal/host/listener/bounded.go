// Package listener bounds the number of connections of a listener.
package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Bounded is a listener with a highest number of open connections. Beyond it, it closes the one
// from which nothing was read for the longest time, so that connections that are left open
// can't keep others out. Use NewBounded to make one.
type Bounded struct {
	net.Listener
	limit int
	// closed is called with the remote address of each connection that is closed for another.
	closed func(address string)

	// mutex guards open. No other lock is taken while it is held.
	mutex sync.Mutex
	open  map[*connection]struct{}
}

// connection is an open connection.
type connection struct {
	net.Conn
	listener *Bounded
	// lastRead is when bytes were last read, in nanoseconds since the Unix epoch.
	lastRead atomic.Int64
}

// NewBounded returns a listener that accepts from l. It calls closed with the remote address of
// each connection that it closes for another one.
func NewBounded(l net.Listener, limit int, closed func(address string)) *Bounded {
	return &Bounded{Listener: l, limit: limit, closed: closed, open: map[*connection]struct{}{}}
}

// Accept waits for a connection, and closes another one at the limit.
func (b *Bounded) Accept() (net.Conn, error) {
	stream, err := b.Listener.Accept()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	c := &connection{Conn: stream, listener: b}
	c.lastRead.Store(time.Now().UnixNano())
	if oldest := b.add(c); oldest != nil {
		b.closed(oldest.RemoteAddr().String())
		_ = oldest.Close()
	}
	return c, nil
}

// add adds a connection, and returns the one to be closed for it; nil if there is none.
func (b *Bounded) add(c *connection) *connection {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var oldest *connection
	if len(b.open) >= b.limit {
		for other := range b.open {
			if oldest == nil || other.lastRead.Load() < oldest.lastRead.Load() {
				oldest = other
			}
		}
		delete(b.open, oldest)
	}
	b.open[c] = struct{}{}
	return oldest
}

// Read reads from the connection.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close closes the connection.
func (c *connection) Close() error {
	c.listener.mutex.Lock()
	delete(c.listener.open, c)
	c.listener.mutex.Unlock()
	return errors.WithStack(c.Conn.Close())
}
