// Package control opens control connections to endpoints. They carry status
// requests and commands, such as Suspend and Demote, rather than clients'
// statements.
package control

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

const (
	// dialTimeout is the timeout of opening a connection.
	dialTimeout = 200 * time.Millisecond
	// borrowAttempts is how often DialUrgent tries to borrow a connection, with a pause
	// of borrowPause after each attempt. Most statements take less than 40 ms.
	borrowAttempts = 10
	borrowPause    = 10 * time.Millisecond
)

// errAllInUse is returned when all connections to an endpoint that this proxy may open are
// in use.
var errAllInUse = errors.New("this proxy's share of the connections to the endpoint is in use")

// Dialer opens control connections. Use NewDialer to make one.
type Dialer struct {
	timer     eelgrassladder.Timer
	table     *scheduler.Table
	connector eelgrassladder.Connector
}

// NewDialer returns a dialer that borrows the table's connections where it can.
func NewDialer(t eelgrassladder.Timer, table *scheduler.Table, c eelgrassladder.Connector) *Dialer {
	return &Dialer{timer: t, table: table, connector: c}
}

// Connection is a control connection. Call Release after use.
type Connection struct {
	eelgrassladder.Connection
	dialer   *Dialer
	endpoint topology.Endpoint
	// notConnected is what an attempt to replace the connection has shown of the endpoint.
	// It is valid if Connection is nil.
	notConnected scheduler.Outcome
	// borrowed is true if the connection counts towards this proxy's share of the
	// endpoint's connections, and was borrowed from the table.
	borrowed bool
}

// DialWithinShare returns a connection within this proxy's share of the endpoint's
// connections, for requests that can be made later. It returns an error at once if the
// whole share is in use.
func (d *Dialer) DialWithinShare(ctx context.Context, e topology.Endpoint) (*Connection, error) {
	c, ok := d.table.Borrow(e.ID)
	if !ok {
		return nil, errAllInUse
	}
	return d.open(ctx, e, c, true)
}

// DialUrgent returns a connection for requests that must be made now. It waits up to
// borrowAttempts times borrowPause for one within this proxy's share, and then opens one
// beyond the share.
func (d *Dialer) DialUrgent(ctx context.Context, e topology.Endpoint) (*Connection, error) {
	c, borrowed := d.borrow(ctx, e.ID)
	return d.open(ctx, e, c, borrowed)
}

// Probe asks an endpoint for its status on a connection from DialUrgent, to see that it
// answers. The timeout is that of the request; opening the connection has its own.
func (d *Dialer) Probe(ctx context.Context, e topology.Endpoint, timeout time.Duration) (statement.Reply, error) {
	conn, err := d.DialUrgent(ctx, e)
	if err != nil {
		return statement.Reply{}, err
	}
	_, reply, err := conn.LastStatus(d.timer.Now().Add(timeout))
	conn.Release(err, reply.Position)
	return reply, err
}

// Status asks an endpoint for its status on a connection from DialUrgent. The status is not
// older than the call. The timeout is that of the request; opening the connection has its own.
func (d *Dialer) Status(ctx context.Context, e topology.Endpoint, timeout time.Duration) (topology.Status, statement.Reply, error) {
	conn, err := d.DialUrgent(ctx, e)
	if err != nil {
		return topology.Status{}, statement.Reply{}, err
	}
	s, reply, err := conn.Status(d.timer.Now().Add(timeout))
	conn.Release(err, reply.Position)
	return s, reply, err
}

// open returns c as a control connection. If c is nil, it opens a connection; it tells
// the table if that fails.
func (d *Dialer) open(ctx context.Context, e topology.Endpoint, c eelgrassladder.Connection, borrowed bool) (*Connection, error) {
	wrapped := &Connection{Connection: c, dialer: d, endpoint: e, borrowed: borrowed}
	if c != nil {
		return wrapped, nil
	}
	if err := wrapped.connect(ctx); err != nil {
		wrapped.discard(wrapped.notConnected)
		return nil, err
	}
	return wrapped, nil
}

// connect opens a connection. If that fails, it sets notConnected.
func (c *Connection) connect(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	began := c.dialer.timer.Now()
	conn, reply, err := c.dialer.connector.Connect(ctx, c.endpoint, "")
	if err == nil && conn == nil {
		err = errors.Errorf("endpoint %s refused the connection: %v %s", c.endpoint.ID, reply.Code, reply.Detail)
		c.notConnected = NotConnected(reply, nil)
		return err
	}
	if err != nil {
		c.notConnected = NotConnected(reply, err)
		return err
	}
	c.Connection = conn
	c.dialer.table.Opened(c.endpoint.ID, c.dialer.timer.Now().Sub(began))
	return nil
}

// replace closes the connection and opens another one in its place.
func (c *Connection) replace(deadline time.Time) error {
	c.Close()
	c.Connection = nil
	ctx, cancel := context.WithTimeout(context.Background(), deadline.Sub(c.dialer.timer.Now()))
	defer cancel()
	return c.connect(ctx)
}

// borrow borrows a connection from the table. It waits briefly if all are in use, but not
// if the endpoint is failing. The connection is nil if it has yet to be opened. It returns
// false if nothing was borrowed.
func (d *Dialer) borrow(ctx context.Context, id string) (eelgrassladder.Connection, bool) {
	for range borrowAttempts {
		if conn, ok := d.table.Borrow(id); ok {
			return conn, true
		}
		if d.table.Health(id).Failures > 0 {
			break
		}
		timer.Pause(ctx, d.timer, borrowPause)
	}
	return nil, false
}

// Status asks the endpoint for its status. The status is not older than the call.
func (c *Connection) Status(deadline time.Time) (topology.Status, statement.Reply, error) {
	return c.send(deadline, true, func() (topology.Status, statement.Reply, error) { return c.Connection.Status(deadline) })
}

// LastStatus asks the endpoint for its status. The status may be older than the call, but not
// than the connection: an endpoint may answer an earlier request a second time.
func (c *Connection) LastStatus(deadline time.Time) (topology.Status, statement.Reply, error) {
	return c.send(deadline, false, func() (topology.Status, statement.Reply, error) { return c.Connection.Status(deadline) })
}

// Suspend suspends a replica, as that of eelgrassladder.Connection. The status is not older
// than the suspension.
func (c *Connection) Suspend(deadline time.Time, term uint64) (topology.Status, statement.Reply, error) {
	return c.send(deadline, true, func() (topology.Status, statement.Reply, error) { return c.Connection.Suspend(deadline, term) })
}

// Resume ends a suspension. The status is not older than that.
func (c *Connection) Resume(deadline time.Time) (topology.Status, statement.Reply, error) {
	return c.send(deadline, true, func() (topology.Status, statement.Reply, error) { return c.Connection.Resume(deadline) })
}

// Demote makes a primary of a lower term a replica. The status is not older than that.
func (c *Connection) Demote(deadline time.Time, term uint64) (topology.Status, statement.Reply, error) {
	return c.send(deadline, true, func() (topology.Status, statement.Reply, error) { return c.Connection.Demote(deadline, term) })
}

// send sends a status request or command. If the connection was not fit, or if the answer has
// to be confirmed and is doubtful, it sends it again on a new connection, which takes the place
// of the other one: no answer there is older.
func (c *Connection) send(deadline time.Time, confirm bool, request func() (topology.Status, statement.Reply, error)) (topology.Status, statement.Reply, error) {
	s, reply, err := request()
	doubtful := confirm && err == nil && reply.Code == statement.OK && reply.Doubtful
	if !doubtful && !errors.Is(err, eelgrassladder.ErrUnfit) {
		return s, reply, err
	}
	if err := c.replace(deadline); err != nil {
		return topology.Status{}, statement.Reply{}, err
	}
	return request()
}

// Release returns the connection to the table after a use that ended with err. It closes
// the connection if err is not nil or if the connection is beyond the share. Applied is
// the position up to which reads at the endpoint see all entries, as the answer reported
// it; zero if it reported none.
func (c *Connection) Release(err error, applied position.Position) {
	o := scheduler.Outcome{Answered: true, Applied: applied}
	switch {
	case c.Connection == nil:
		c.discard(c.notConnected)
	case err != nil:
		c.discard(Failure(err))
	case c.borrowed:
		c.dialer.table.Return(c.endpoint.ID, c.Connection, o)
	default:
		c.Close()
		c.dialer.table.Observe(c.endpoint.ID, o)
	}
}

// discard closes the connection, if it is open, and tells the table what its use has
// shown of the endpoint.
func (c *Connection) discard(o scheduler.Outcome) {
	if c.borrowed {
		c.dialer.table.Discard(c.endpoint.ID, c.Connection, o)
		return
	}
	if c.Connection != nil {
		c.Close()
	}
	c.dialer.table.Observe(c.endpoint.ID, o)
}

// Refused reports whether an error says that a connection was refused, which proves that
// no process listens at the address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Reset reports whether an error says that a connection was reset. The process has ended,
// or it lives and has closed only this connection, as at its limit of connections.
func Reset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

// TimedOut reports whether an error says that a deadline has passed.
func TimedOut(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// NotConnected returns the outcome of an attempt to open a connection that failed with an
// error, or that the endpoint refused with a reply.
func NotConnected(r statement.Reply, err error) scheduler.Outcome {
	switch {
	case Reset(err):
		// An endpoint at its limit may reset a new connection before its refusal is read.
		return scheduler.Outcome{ConnectionsFull: true}
	case err != nil:
		return Failure(err)
	case r.Code == statement.Misrouted:
		// Another instance has the address, so the endpoint's process has ended.
		return scheduler.Outcome{Refused: true}
	default:
		return scheduler.Outcome{
			Answered: true, ConnectionsFull: r.Code == statement.Overload || r.Code == statement.Busy,
		}
	}
}

// Failure returns the outcome of a use that ended with an error instead of an answer.
func Failure(err error) scheduler.Outcome {
	return scheduler.Outcome{
		Unused:   errors.Is(err, eelgrassladder.ErrUnfit),
		Answered: errors.Is(err, eelgrassladder.ErrUnclearAnswer) || eelgrassladder.IsMemoryRefusal(err), Refused: Refused(err), Reset: Reset(err),
	}
}
