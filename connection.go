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
	// Connect opens a connection to the instance whose ID e has, on behalf of the team with
	// a name; empty for none. If the endpoint refuses it, the connection is nil and the
	// reply's code is not OK. An error means that the endpoint did not answer.
	Connect(ctx context.Context, e topology.Endpoint, team string) (Connection, statement.Reply, error)
}

// Connection is one connection to an endpoint. Only one goroutine at a time may use it.
// If a method returns an error other than ErrTooLong, what it sent may have run, and the
// connection must not be used again, except by Await and Close. The deadline of a method is
// that of the answer.
type Connection interface {
	// Team returns the name of the team for which the connection was opened; empty for
	// none. Endpoints attribute all that runs on a connection to one team.
	Team() string
	// Charge sets the account that is charged for the answers to Run and Await from now on.
	// They return ErrMemoryShort or ErrDisplaced if it may not hold an answer; the connection
	// must then not be used again, and the statement has run.
	Charge(a Account)
	// Retained returns how many bytes the connection keeps of the sessions that used it.
	Retained() int
	// ApplySession sets the session values, and prepares the statement if s executes a
	// prepared one. It sends only what the connection does not have yet. After a reply whose
	// code is not OK, the connection has some of the values only, and must not be used again.
	ApplySession(deadline time.Time, v statement.Values, s statement.Statement) (statement.Reply, error)
	// Begin begins a client's transaction with its statement s. The endpoint refuses it
	// unless its log holds the position after.
	Begin(deadline time.Time, s statement.Statement, after position.Position) (statement.Reply, error)
	// Run runs a client's statement and returns the whole answer. The endpoint refuses
	// the statement unless its log holds the position after.
	Run(deadline time.Time, s statement.Statement, after position.Position) (statement.Reply, error)
	// Rollback rolls back the open transaction. The id is that of the client's rollback
	// statement; empty if the proxy rolls back by itself.
	Rollback(deadline time.Time, id string) (statement.Reply, error)
	// Status asks the endpoint for its status. If the reply's code is not OK, the
	// endpoint has refused to answer, for example because it is busy.
	Status(deadline time.Time) (topology.Status, statement.Reply, error)
	// Suspend stops a replica from receiving the log of any primary whose term is
	// lower than the given one.
	Suspend(deadline time.Time, term uint64) (topology.Status, statement.Reply, error)
	// Resume ends the suspension of a replica, for whichever term it is suspended.
	Resume(deadline time.Time) (topology.Status, statement.Reply, error)
	// Demote makes a primary of a lower term a replica.
	Demote(deadline time.Time, term uint64) (topology.Status, statement.Reply, error)
	// Await continues to wait for the answer to a Run whose deadline has passed.
	Await(deadline time.Time) (statement.Reply, error)
	// Close closes the connection. The endpoint rolls back an open transaction.
	Close()
}

// ErrUnclearAnswer is returned when an endpoint has sent an answer that cannot be assigned to
// a statement, such as an error that repeats an earlier one. Whether the statement that waited
// has run is unknown. The reply that comes with it must not be used, except as a hint on the
// endpoint's load.
const ErrUnclearAnswer = constantError("the endpoint sent an answer that may belong to another statement")

// ErrUnfit is returned when a statement should be given another connection: an answer has
// arrived for which none waits, or a write might be left in doubt. Nothing was sent, and the
// endpoint has shown nothing new.
const ErrUnfit = constantError("the connection is not fit for the statement")

// ErrTooLong is returned if a message would be longer than endpoints accept. Nothing was
// sent, and the connection can be used again. A message may be longer than the client's, by
// the position that the endpoint's log must hold, or by a name.
const ErrTooLong = constantError("the message would be longer than an endpoint accepts")

// Promoter makes a member the primary of its group.
type Promoter interface {
	// Ping returns nil if the platform answers this proxy now. What is sent while it does not
	// may be kept on the way, and arrive whenever the path works again.
	Ping(ctx context.Context) error
	// Promote orders the promotion of a member, and waits for the answer until ctx ends. It
	// sends the order only on a connection on which the platform has just answered. It
	// returns nil if the platform answered that it executes the order. It returns
	// ErrPromotionRefused if the platform refused the order, or if no byte of it was sent.
	// After another error the platform may still see the order, up to some seconds after
	// SendBy, and the member may or may not be promoted, even long after that.
	Promote(ctx context.Context, o PromotionOrder) error
}

// PromotionOrder is an order to promote a member of a group. It is immutable.
type PromotionOrder struct {
	// Group is the name of the group, and Endpoint the ID of the member.
	Group, Endpoint string
	// Token is the fencing token. It is never lower than any token that the platform has
	// seen, for any group.
	Token uint64
	// SendBy is the boot time (see Clock) after which the order is no longer sent. What
	// was sent before is not called back.
	SendBy time.Duration
}

// ErrPromotionRefused is returned when the call for a promotion was refused or not sent.
// Nothing was done, and this call will have no effect later.
const ErrPromotionRefused = constantError("the promotion was refused")

// Clock is a clock that never jumps and does not stop while the host is suspended.
type Clock interface {
	// SinceBoot returns the time since the host was started.
	SinceBoot() time.Duration
}
