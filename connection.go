package eelgrassladder

import (
	"context"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

// Connector opens connections to endpoints.
type Connector interface {
	// Connect returns a connection to the instance that e names. A reply
	// whose code is not OK is the endpoint's refusal; there is then no
	// connection. An error means that the endpoint did not answer.
	Connect(ctx context.Context, e topology.Endpoint) (Connection, statement.Reply, error)
}

// Connection is one connection to an endpoint. One goroutine at a time uses
// it. After an error it is of no further use, and what was sent on it may
// have run.
type Connection interface {
	// ApplySession brings session values into force and prepares the shape of s, if
	// it has one, where the connection does not have them yet.
	ApplySession(deadline time.Time, v statement.Values, s statement.Statement) (statement.Reply, error)
	// Begin sends the start of a client's transaction, whose log must hold
	// after.
	Begin(deadline time.Time, s statement.Statement, after position.Position) (statement.Reply, error)
	// Run sends a client's statement and returns its whole answer.
	Run(deadline time.Time, s statement.Statement, after position.Position) (statement.Reply, error)
	// Rollback ends the open transaction. The identifier is that of the
	// client's statement; empty if the proxy rolls back by itself.
	Rollback(deadline time.Time, id string) (statement.Reply, error)
	// Status asks for the endpoint's status. A reply whose code is not OK is
	// a refusal, such as Busy.
	Status(deadline time.Time) (topology.Status, statement.Reply, error)
	// Suspend stops a replica from receiving before the term.
	Suspend(deadline time.Time, term uint64) (topology.Status, statement.Reply, error)
	// Resume ends a suspension.
	Resume(deadline time.Time) (topology.Status, statement.Reply, error)
	// Demote makes a primary of a lower term a replica.
	Demote(deadline time.Time, term uint64) (topology.Status, statement.Reply, error)
	// Await goes on waiting for the answer that Run gave up waiting for.
	Await(deadline time.Time) (statement.Reply, error)
	// Close ends the connection; an open transaction is rolled back.
	Close()
}

// Promoter makes a member the primary of its group.
type Promoter interface {
	// Promote names the member that leads from now on. The token must never
	// be lower than one that was used before. An error says nothing about
	// whether the member leads.
	Promote(ctx context.Context, group, endpoint string, token uint64) error
}

// Clock tells the time since the host was started, the time that it was
// suspended included. It never jumps.
type Clock interface {
	SinceBoot() time.Duration
}
