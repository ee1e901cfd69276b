// Package control opens connections to endpoints for questions and orders,
// beside those that serve clients.
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
	// dialTime bounds the opening of a connection.
	dialTime = 200 * time.Millisecond
	// borrowTries and borrowPause bound the wait for a connection that is in
	// use; most statements take less than 40 ms.
	borrowTries = 10
	borrowPause = 10 * time.Millisecond
)

// errCrowded is returned when all connections of an endpoint are in use.
var errCrowded = errors.New("all connections to the endpoint are in use")

// Dialer opens connections for control. Use NewDialer to make one.
type Dialer struct {
	timer     eelgrassladder.Timer
	table     *scheduler.Table
	connector eelgrassladder.Connector
}

// NewDialer returns a dialer that shares the connections of the table.
func NewDialer(t eelgrassladder.Timer, table *scheduler.Table, c eelgrassladder.Connector) *Dialer {
	return &Dialer{timer: t, table: table, connector: c}
}

// Connection is a connection for control. It ends with Release.
type Connection struct {
	eelgrassladder.Connection
	table    *scheduler.Table
	endpoint string
	// borrowed is true if the connection counts in the table.
	borrowed bool
}

// DialWithinShare returns a connection within this proxy's share, for questions that
// can wait.
func (d *Dialer) DialWithinShare(ctx context.Context, e topology.Endpoint) (*Connection, error) {
	c, ok := d.table.Borrow(e.ID)
	if !ok {
		return nil, errCrowded
	}
	return d.open(ctx, e, c, true)
}

// DialUrgent returns a connection for what must not wait. It waits a moment for
// one within the share, and then goes beyond.
func (d *Dialer) DialUrgent(ctx context.Context, e topology.Endpoint) (*Connection, error) {
	c, borrowed := d.borrow(ctx, e.ID)
	return d.open(ctx, e, c, borrowed)
}

// Status asks an endpoint for its status, on a connection for what must not
// wait. The limit bounds the question once the connection is open.
func (d *Dialer) Status(ctx context.Context, e topology.Endpoint, limit time.Duration) (topology.Status, statement.Reply, error) {
	c, err := d.DialUrgent(ctx, e)
	if err != nil {
		return topology.Status{}, statement.Reply{}, err
	}
	s, reply, err := c.Status(d.timer.Now().Add(limit))
	c.Release(err, reply.Position)
	return s, reply, err
}

// open returns the connection, which is opened if c is nil. A failure is
// noted in the table.
func (d *Dialer) open(ctx context.Context, e topology.Endpoint, c eelgrassladder.Connection, borrowed bool) (*Connection, error) {
	made := &Connection{Connection: c, table: d.table, endpoint: e.ID, borrowed: borrowed}
	if c != nil {
		return made, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTime)
	defer cancel()
	opened, reply, err := d.connector.Connect(ctx, e)
	if err != nil {
		made.discard(scheduler.Outcome{Refused: Refused(err)})
		return nil, err
	}
	if opened == nil {
		misrouted := reply.Code == statement.Misrouted
		made.discard(scheduler.Outcome{
			Answered: !misrouted, Refused: misrouted, ConnectionsFull: reply.Code == statement.Overload,
		})
		return nil, errors.Errorf("endpoint refused the connection: %v %s", reply.Code, reply.Detail)
	}
	made.Connection = opened
	return made, nil
}

// borrow takes a connection from the table, and waits a moment for one that
// is in use.
func (d *Dialer) borrow(ctx context.Context, id string) (eelgrassladder.Connection, bool) {
	for range borrowTries {
		if c, ok := d.table.Borrow(id); ok {
			return c, true
		}
		if d.table.Health(id).Failures > 0 {
			break
		}
		timer.Pause(ctx, d.timer, borrowPause)
	}
	return nil, false
}

// Release gives the connection back after a use that ended with err and, if
// that is nil, told the position that reads at the endpoint can see.
func (c *Connection) Release(err error, applied position.Position) {
	o := scheduler.Outcome{Answered: true, Applied: applied}
	switch {
	case err != nil:
		c.discard(scheduler.Outcome{Refused: Refused(err)})
	case c.borrowed:
		c.table.Return(c.endpoint, c.Connection, o)
	default:
		c.Close()
		c.table.Observe(c.endpoint, o)
	}
}

// discard closes the connection.
func (c *Connection) discard(o scheduler.Outcome) {
	if c.borrowed {
		c.table.Discard(c.endpoint, c.Connection, o)
		return
	}
	if c.Connection != nil {
		c.Close()
	}
	c.table.Observe(c.endpoint, o)
}

// Refused reports whether an error proves that no process listens.
func Refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
