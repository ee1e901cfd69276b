// Package opening observes the opening of connections to endpoints. Each opening holds a slot
// of its endpoint for a while, whether or not a statement runs on the connection.
package opening

import (
	"context"
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

// Result is what became of an attempt to open a connection.
type Result string

// The results of attempts.
const (
	// Opened means that the connection is open.
	Opened Result = "Opened"
	// Full means that the endpoint has too many connections.
	Full Result = "Full"
	// Busy means that the endpoint had no slot, and no place in its queue.
	Busy Result = "Busy"
	// Late means that the endpoint did not answer in time.
	Late Result = "Late"
	// Failed means another refusal or error.
	Failed Result = "Failed"
)

// Attempt is an attempt to open a connection that has ended. It is immutable.
type Attempt struct {
	// Endpoint is the ID of the endpoint.
	Endpoint string
	Result   Result
	// Took is the time from the attempt's begin to its end.
	Took time.Duration
}

// Observer is told of attempts. Its methods must not block.
type Observer interface {
	// ConnectionAttempted is called for each attempt that has ended.
	ConnectionAttempted(Attempt)
}

// Connector is an eelgrassladder.Connector that reports the attempts of another one. Use
// NewConnector to make one.
type Connector struct {
	next      eelgrassladder.Connector
	clock     eelgrassladder.Clock
	observers []Observer
}

// NewConnector returns a Connector that opens connections with next.
func NewConnector(next eelgrassladder.Connector, c eelgrassladder.Clock, observers ...Observer) Connector {
	return Connector{next: next, clock: c, observers: observers}
}

// Connect opens a connection, as the method of eelgrassladder.Connector.
func (c Connector) Connect(ctx context.Context, e topology.Endpoint, team string) (eelgrassladder.Connection, statement.Reply, error) {
	began := c.clock.SinceBoot()
	connection, reply, err := c.next.Connect(ctx, e, team)
	a := Attempt{Endpoint: e.ID, Result: resultOf(reply, err), Took: c.clock.SinceBoot() - began}
	for _, o := range c.observers {
		o.ConnectionAttempted(a)
	}
	return connection, reply, err
}

// resultOf returns the result of an attempt that ended with a reply or an error.
func resultOf(r statement.Reply, err error) Result {
	switch {
	case control.TimedOut(err):
		return Late
	case err != nil:
		return Failed
	case r.Code == statement.OK:
		return Opened
	case r.Code == statement.Overload:
		return Full
	case r.Code == statement.Busy:
		return Busy
	default:
		return Failed
	}
}
