// Package link is a TCP relay on loopback that delays, resets, cuts and
// silences the connections through it, for tests of processes from outside.
package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
)

const (
	// dialTimeout bounds the opening of the second half of a connection.
	dialTimeout = time.Second
	// bufferSize is how many bytes are passed on at a time.
	bufferSize = 16 << 10
)

// Conditions are the faults of a link. The value is immutable.
type Conditions struct {
	// Delay holds up what is sent, in each direction.
	Delay time.Duration
	// CutThere and CutBack hold up all bytes to the target and from it. They
	// arrive once the cut has healed.
	CutThere, CutBack bool
}

// Link passes connections on to a target. Use New to make one.
type Link struct {
	target string
	tasks  *task.Group
	// address is where it listens.
	address string

	// mutex guards the fields below.
	mutex sync.Mutex
	// changed tells waiting bytes of new conditions.
	changed     *sync.Cond
	conditions  Conditions
	connections map[*connection]struct{}
	closed      bool
}

// connection is one connection through the link.
type connection struct {
	client, target net.Conn
	// blocked holds up all bytes for good. The link's mutex guards it.
	blocked bool
}

// New listens on a free port of loopback and passes connections on to the
// target until the context of the group ends.
func New(g *task.Group, target string) (*Link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	l := &Link{target: target, tasks: g, address: listener.Addr().String(), connections: map[*connection]struct{}{}}
	l.changed = sync.NewCond(&l.mutex)
	context.AfterFunc(g.Context(), func() {
		_ = listener.Close()
		l.close()
	})
	g.Detach("link", func(context.Context) {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			g.Detach("connection through a link", func(ctx context.Context) { l.serve(ctx, client) })
		}
	})
	return l, nil
}

// Address returns where the link listens.
func (l *Link) Address() string { return l.address }

// Set brings conditions into force for all connections, open and new.
func (l *Link) Set(c Conditions) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.conditions = c
	l.changed.Broadcast()
}

// Reset ends all open connections with a reset.
func (l *Link) Reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for conn := range l.connections {
		for _, c := range []net.Conn{conn.client, conn.target} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // a close without linger resets
			}
		}
		conn.close()
	}
}

// Silence holds up all bytes of the open connections for good; new ones work.
func (l *Link) Silence() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for conn := range l.connections {
		conn.blocked = true
	}
}

// close ends the link.
func (l *Link) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed = true
	for conn := range l.connections {
		conn.close()
	}
	l.changed.Broadcast()
}

// serve passes one connection on until it ends.
func (l *Link) serve(ctx context.Context, client net.Conn) {
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp4", l.target)
	if err != nil {
		_ = client.Close() // the target does not listen; its caller sees an end
		return
	}
	conn := &connection{client: client, target: target}
	l.mutex.Lock()
	l.connections[conn] = struct{}{}
	l.mutex.Unlock()
	backward := task.New(ctx)
	backward.Detach("backward", func(context.Context) { l.copyBytes(conn, target, client, false) })
	l.copyBytes(conn, client, target, true)
	_ = backward.Wait() // pass returns nothing
	l.mutex.Lock()
	delete(l.connections, conn)
	l.mutex.Unlock()
}

// copyBytes copies bytes in one direction until either side ends.
func (l *Link) copyBytes(conn *connection, from, to net.Conn, forward bool) {
	defer conn.close()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !l.waitUnblocked(conn, forward) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitUnblocked holds bytes up as long as the conditions say, and reports whether
// they may go on.
func (l *Link) waitUnblocked(conn *connection, forward bool) bool {
	l.mutex.Lock()
	delay := l.conditions.Delay
	l.mutex.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for !l.closed && (conn.blocked || (forward && l.conditions.CutThere) || (!forward && l.conditions.CutBack)) {
		l.changed.Wait()
	}
	return !l.closed
}

// close closes both halves.
func (c *connection) close() {
	_ = c.client.Close()
	_ = c.target.Close()
}
