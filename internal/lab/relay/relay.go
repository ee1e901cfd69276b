// Package relay provides a TCP relay on loopback that injects faults into the
// connections through it: delays, resets and blocked directions. It serves tests of
// processes into which no fault can be injected from inside.
package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
)

const (
	// dialTimeout bounds the opening of a connection to the target.
	dialTimeout = time.Second
	// bufferSize is how many bytes are copied at a time.
	bufferSize = 16 << 10
)

// Conditions are the injected faults. The value is immutable.
type Conditions struct {
	// Delay is added to each read of up to bufferSize bytes, in both directions.
	Delay time.Duration
	// BlockForward and BlockBackward block all bytes to the target and from it. The bytes
	// arrive once the direction is no longer blocked.
	BlockForward, BlockBackward bool
}

// Relay relays connections to a target. Create it with New.
type Relay struct {
	target string
	tasks  *task.Group
	// address is the address that the relay listens on.
	address string

	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// changed is signalled when conditions change or the relay closes.
	changed     *sync.Cond
	conditions  Conditions
	connections map[*connection]struct{}
	closed      bool
}

// connection is one relayed connection.
type connection struct {
	client, target net.Conn
	// blocked blocks both directions for good. The relay's mutex guards it.
	blocked bool
}

// New starts a relay that listens on a free port of loopback. It relays connections
// to the target's address until the context of the group ends.
func New(g *task.Group, target string) (*Relay, error) {
	r := &Relay{target: target, tasks: g, connections: map[*connection]struct{}{}}
	r.changed = sync.NewCond(&r.mutex)
	context.AfterFunc(g.Context(), r.close)
	var err error
	r.address, err = Listen(g, r.serve)
	return r, err
}

// Listen accepts connections on a free port of loopback until the context of the group ends,
// and serves each in a task of the group. It returns the address that it listens on.
func Listen(g *task.Group, serve func(ctx context.Context, client net.Conn)) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.WithStack(err)
	}
	context.AfterFunc(g.Context(), func() { _ = listener.Close() })
	g.GoIsolated("relay", func(context.Context) {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			g.GoIsolated("relayed connection", func(ctx context.Context) { serve(ctx, client) })
		}
	})
	return listener.Addr().String(), nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.address }

// SetConditions replaces the injected faults of all connections, open and new.
func (r *Relay) SetConditions(c Conditions) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.conditions = c
	r.changed.Broadcast()
}

// ResetOpen closes all open connections with a TCP reset.
func (r *Relay) ResetOpen() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for conn := range r.connections {
		for _, c := range []net.Conn{conn.client, conn.target} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // closing without lingering sends a reset
			}
		}
		conn.close()
	}
}

// BlockOpen blocks both directions of all open connections for good. New connections
// are not blocked.
func (r *Relay) BlockOpen() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for conn := range r.connections {
		conn.blocked = true
	}
}

// close closes all connections and ends the relay.
func (r *Relay) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	for conn := range r.connections {
		conn.close()
	}
	r.changed.Broadcast()
}

// serve relays one connection until it ends.
func (r *Relay) serve(ctx context.Context, client net.Conn) {
	if !r.waitWhile(func() bool { return r.conditions.BlockForward }) { // nothing reaches the target, the connection neither
		_ = client.Close()
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp4", r.target)
	if err != nil {
		_ = client.Close() // the target does not listen; the client sees a close
		return
	}
	conn := &connection{client: client, target: target}
	r.mutex.Lock()
	r.connections[conn] = struct{}{}
	r.mutex.Unlock()
	backward := task.New(ctx)
	backward.GoIsolated("backward", func(context.Context) { r.copyBytes(conn, target, client, false) })
	r.copyBytes(conn, client, target, true)
	_ = backward.Wait() // copyBytes returns no error
	r.mutex.Lock()
	delete(r.connections, conn)
	r.mutex.Unlock()
}

// copyBytes copies bytes in one direction until a side or the relay closes, and then
// closes both sides. forward is true for the direction to the target.
func (r *Relay) copyBytes(conn *connection, from, to net.Conn, forward bool) {
	defer conn.close()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !r.waitUnblocked(conn, forward) {
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

// waitUnblocked waits for the delay, and then until the direction is not blocked. It
// returns false if the relay has been closed.
func (r *Relay) waitUnblocked(conn *connection, forward bool) bool {
	r.mutex.Lock()
	delay := r.conditions.Delay
	r.mutex.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return r.waitWhile(func() bool {
		return conn.blocked || (forward && r.conditions.BlockForward) || (!forward && r.conditions.BlockBackward)
	})
}

// waitWhile waits while a condition holds, which is called with the mutex. It returns false if
// the relay has been closed.
func (r *Relay) waitWhile(blocked func() bool) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for !r.closed && blocked() {
		r.changed.Wait()
	}
	return !r.closed
}

// close closes both sides of the connection.
func (c *connection) close() {
	_ = c.client.Close()
	_ = c.target.Close()
}
