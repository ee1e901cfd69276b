package gateway

import (
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/policy/placement"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// rollbackTimeout is how long the proxy waits for an endpoint to confirm a rollback. After
// that it closes the connection, which also rolls back.
const rollbackTimeout = time.Second

// ranOutsideDetail is the detail of the reply to the end of a transaction that may not undo
// one of its writes.
const ranOutsideDetail = "the transaction had failed, and a write may have run outside of it"

// Session is the session of one client. One goroutine at a time uses it.
type Session struct {
	gateway  *Gateway
	database string
	// key is what the client identifies itself with; may be empty.
	key string
	// values are the session values that the client has set.
	values statement.Values
	// prepared holds the prepared statements by the names that the client gave them, and
	// preparedSize is what they take in memory.
	prepared     map[string]statement.Prepared
	preparedSize int
	// preparedPeak is the largest number of them since the map was made.
	preparedPeak int
	// account is charged for what the session keeps.
	account eelgrassladder.Account
	// written is a position that covers all commits of the session; zero for none.
	written position.Position
	// transaction is the open transaction; nil if there is none.
	transaction *transaction
	// origin is set in the session of an operation that another proxy delegates to this one.
	origin *origin
	// abandoned is true once a statement was replied to because the process stops, while
	// a worker may still run it. The fields above, except gateway and database, must not
	// be used any more.
	abandoned bool
}

// transaction is an open transaction of a client.
type transaction struct {
	operation
	// begin is the client's statement that opened the transaction. It is sent to the
	// endpoint right before the first statement that runs there.
	begin statement.Statement
	// endpoint is where the transaction runs; zero before the first statement that needs
	// an endpoint.
	endpoint topology.Endpoint
	// connection is reserved for the transaction until it ends; nil before the first
	// statement that needs an endpoint, and after a failure.
	connection eelgrassladder.Connection
	// delegated is set while the transaction is open at a pooler, in place of connection.
	delegated *delegated
	// primary is true if the endpoint was chosen as the primary.
	primary bool
	// wrote is true once a write was sent to the endpoint, or is about to be.
	wrote bool
	// sent is true once something was sent to an endpoint, or is about to be.
	sent bool
	// confirmed is true once the answer to a statement has shown that the transaction is
	// open at the endpoint.
	confirmed bool
	// ranOutside is true once a write may have run while no transaction was open at the
	// endpoint. The transaction has then failed, and rolling it back may not undo the write.
	ranOutside bool
	// failed is true once a statement has failed; the transaction can then only be
	// rolled back.
	failed bool
}

// State returns the state of the session that replies report to the client.
func (s *Session) State() statement.State {
	switch {
	case s.abandoned || s.transaction == nil:
		return statement.Idle
	case s.transaction.failed:
		return statement.InFailedTransaction
	default:
		return statement.InTransaction
	}
}

// TransactionIdleLimit returns how long the client may leave the open transaction idle;
// zero means no limit, or no transaction that holds a connection.
func (s *Session) TransactionIdleLimit() time.Duration {
	if s.abandoned || s.transaction == nil || (s.transaction.connection == nil && s.transaction.delegated == nil) {
		return 0
	}
	return s.gateway.routes.Routes().Limits.TransactionIdleLimit
}

// Do runs one statement and returns the reply for the client.
func (s *Session) Do(st statement.Statement) statement.Reply {
	if s.abandoned {
		return statement.ErrorReply(statement.Busy, "the proxy stops")
	}
	if s.transaction != nil && s.transaction.failed && st.Kind != statement.Commit && st.Kind != statement.Rollback {
		return s.withState(statement.ErrorReply(statement.Malformed, "the transaction has failed; roll it back"))
	}
	switch st.Kind {
	case statement.Begin, statement.BeginRead:
		return s.withState(s.begin(st))
	case statement.Commit:
		return s.withState(s.commit(st))
	case statement.Rollback:
		return s.withState(s.rollback(st))
	case statement.Set:
		return s.withState(s.set(st))
	case statement.Prepare:
		return s.withState(s.prepare(st))
	case statement.Deallocate:
		return s.withState(s.deallocate(st))
	case statement.Execute:
		prepared, ok := s.prepared[st.Name]
		if !ok {
			return s.withState(s.fail(statement.NoStatement, "no statement is prepared under the name "+shortened(st.Name)))
		}
		return s.withState(s.run(st.WithPrepared(prepared)))
	case statement.Read, statement.Write:
		return s.withState(s.run(st))
	default:
		return s.withState(s.fail(statement.Malformed, "the statement is not known"))
	}
}

// Abandoned reports whether a statement was replied to because the process stops. The session's
// account may then still be in use.
func (s *Session) Abandoned() bool { return s.abandoned }

// FailTransaction rolls back the open transaction and marks it as failed, for example
// after an error, or if it was idle for too long. It does nothing if there is none.
func (s *Session) FailTransaction() {
	if !s.abandoned && s.transaction != nil && !s.transaction.failed {
		s.rollBackAtEndpoint("")
		s.transaction.failed = true
	}
}

// Close ends the session and rolls back an open transaction. The end of the process, which
// closes the connection, rolls back that of an abandoned session.
func (s *Session) Close() {
	if !s.abandoned && s.transaction != nil {
		s.rollBackAtEndpoint("")
		s.endTransaction()
	}
}

// withState returns the reply with the state of the session.
func (s *Session) withState(r statement.Reply) statement.Reply { return r.WithState(s.State()) }

// fail returns an error reply and marks an open transaction as failed.
func (s *Session) fail(c statement.Code, detail string) statement.Reply {
	s.FailTransaction()
	return statement.ErrorReply(c, detail)
}

// begin opens a transaction. The transaction gets a connection only with its first
// statement that needs an endpoint.
func (s *Session) begin(st statement.Statement) statement.Reply {
	if s.transaction != nil {
		return s.fail(statement.Malformed, "a transaction is already open")
	}
	o, refusal := s.admit(st)
	if refusal.Code != statement.OK {
		return refusal
	}
	if err := s.hold(s.values.Size(), s.preparedSize, len(st.ID)); err != nil {
		s.giveBack(o)
		return s.refuseMemory(err)
	}
	s.transaction = &transaction{operation: o, begin: st}
	return statement.Reply{}
}

// endTransaction forgets the open transaction, which has ended at its endpoint. The right to
// run it is given back if nothing of it was sent.
func (s *Session) endTransaction() {
	if !s.transaction.sent {
		s.giveBack(s.transaction.operation)
	}
	s.transaction = nil
	s.release()
}

// rollback ends the open transaction without effect.
func (s *Session) rollback(st statement.Statement) statement.Reply {
	if s.transaction == nil {
		return statement.ErrorReply(statement.Malformed, "no transaction is open")
	}
	s.rollBackAtEndpoint(st.ID)
	ranOutside := s.transaction.ranOutside
	s.endTransaction()
	if ranOutside {
		return statement.ErrorReply(statement.InDoubt, ranOutsideDetail)
	}
	return statement.Reply{}
}

// commit commits the open transaction. It rolls back one that has failed, and replies
// with the code Aborted.
func (s *Session) commit(st statement.Statement) statement.Reply {
	if s.transaction == nil {
		return statement.ErrorReply(statement.Malformed, "no transaction is open")
	}
	if t := s.transaction; t.failed {
		s.rollBackAtEndpoint("")
		s.endTransaction()
		if t.ranOutside {
			return statement.ErrorReply(statement.InDoubt, ranOutsideDetail)
		}
		return statement.ErrorReply(statement.Aborted, "the transaction had failed and was rolled back")
	}
	reply := s.run(st)
	if !s.abandoned {
		s.release()
	}
	return reply
}

// rollBackAtEndpoint rolls back the open transaction at its endpoint and returns its
// connection to the table. If the endpoint does not confirm the rollback, it discards the
// connection. The id is that of the client's rollback statement; empty if the proxy rolls
// back by itself.
func (s *Session) rollBackAtEndpoint(id string) {
	t := s.transaction
	if t.delegated != nil {
		t.rollBackDelegated(s.gateway, id)
		return
	}
	c := t.connection
	if c == nil {
		return
	}
	t.connection = nil
	g := s.gateway
	g.table.BeginStatement(t.endpoint.ID)
	reply, err := c.Rollback(g.timer.Now().Add(rollbackTimeout), id)
	if err != nil || reply.State != statement.Idle {
		o := scheduler.Outcome{Answered: true}
		if err != nil {
			o = control.Failure(err)
		}
		g.table.Discard(t.endpoint.ID, c, o)
		return
	}
	g.table.Return(t.endpoint.ID, c, scheduler.Outcome{Answered: true})
}

// need returns what a statement requires of its endpoint. For the first statement
// of a transaction it returns what the transaction requires.
func (s *Session) need(r route.Route, st statement.Statement) placement.Need {
	need := placement.Need{
		Group: r.Group, Write: st.Writes(), Consistency: r.Consistency, Staleness: r.Staleness,
	}
	if s.transaction != nil {
		need.Write, need.Reads = s.transaction.begin.Kind == statement.Begin, true
	}
	if r.Consistency == route.ReadYourWrites {
		need.Required = s.written
	}
	return need
}
