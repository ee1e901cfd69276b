package succession

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/table/work"
	"eelgrassladder.example/eelgrassladder/internal/trade/roster"
	"eelgrassladder.example/eelgrassladder/internal/trade/statement"
)

const (
	// dialTime bounds the opening of a control connection.
	dialTime = 200 * time.Millisecond
	// borrowTries and borrowPause bound the wait for a connection that is in
	// use; most statements take less than 40 ms.
	borrowTries = 10
	borrowPause = 10 * time.Millisecond
)

// control is a connection for questions and orders. It is borrowed from the
// table if one is free there.
type control struct {
	table      *work.Table
	endpoint   string
	connection eelgrassladder.Connection
	// borrowed is true if the connection goes back to the table.
	borrowed bool
}

// dial returns a control connection to an endpoint. Its failure is noted in
// the table.
func (k *Keeper) dial(ctx context.Context, e roster.Endpoint) (*control, error) {
	c, borrowed := k.borrow(ctx, e.ID)
	made := &control{table: k.table, endpoint: e.ID, connection: c, borrowed: borrowed}
	if c != nil {
		return made, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTime)
	defer cancel()
	opened, reply, err := k.connector.Connect(ctx, e)
	if err == nil && opened == nil {
		err = errors.Errorf("endpoint refused the connection: %v %s", reply.Code, reply.Detail)
		made.discard(work.Outcome{
			Answered: reply.Code != statement.Misrouted, Full: reply.Code == statement.Overload,
			Refused: reply.Code == statement.Misrouted,
		})
		return nil, err
	}
	if err != nil {
		made.discard(work.Outcome{Refused: errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)})
		return nil, err
	}
	made.connection = opened
	return made, nil
}

// borrow takes a connection from the table, and waits a moment for one that
// is in use.
func (k *Keeper) borrow(ctx context.Context, id string) (eelgrassladder.Connection, bool) {
	for range borrowTries {
		if c, ok := k.table.Borrow(id); ok {
			return c, true
		}
		if k.table.Health(id).Failures > 0 {
			break
		}
		timer.Pause(ctx, k.timer, borrowPause)
	}
	return nil, false
}

// release gives the connection back after a use that ended with err.
func (c *control) release(err error) {
	if err != nil {
		c.discard(work.Outcome{})
		return
	}
	if !c.borrowed {
		c.connection.Close()
		c.table.Note(c.endpoint, work.Outcome{Answered: true})
		return
	}
	c.table.Return(c.endpoint, c.connection, work.Outcome{Answered: true})
}

// discard closes the connection.
func (c *control) discard(o work.Outcome) {
	if c.borrowed {
		c.table.Discard(c.endpoint, c.connection, o)
		return
	}
	if c.connection != nil {
		c.connection.Close()
	}
	c.table.Note(c.endpoint, o)
}
