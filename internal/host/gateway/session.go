package gateway

import (
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/policy/placement"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// rollbackTime bounds the rollback of a transaction that its client has left.
const rollbackTime = time.Second

// Session is the session of one client. One goroutine at a time uses it.
type Session struct {
	gateway  *Gateway
	database string
	// values are what the client has set.
	values statement.Values
	// prepared holds shapes by the client's names.
	prepared map[string]statement.Prepared
	// written covers the commits of the session.
	written position.Position
	// open is the open transaction; nil outside of one.
	open *transaction
}

// transaction is an open transaction of a client.
type transaction struct {
	// route is the route that was in force at its start.
	route route.Route
	// version is the version of that route.
	version uint64
	// begin is the client's statement; it is sent before the first one that
	// an endpoint runs.
	begin statement.Statement
	// endpoint is where it runs; empty until its first statement has run.
	endpoint topology.Endpoint
	// connection is the transaction's until it ends; nil before the first
	// statement and after a failure.
	connection eelgrassladder.Connection
	// primary is true if the endpoint was chosen as the primary.
	primary bool
	// wrote is true once a write was sent.
	wrote bool
	// broken is true once a statement has failed.
	broken bool
}

// State returns the state that the client is told.
func (s *Session) State() statement.State {
	switch {
	case s.open == nil:
		return statement.Idle
	case s.open.broken:
		return statement.InFailedTransaction
	default:
		return statement.InTransaction
	}
}

// TransactionIdle is how long the client may leave an open transaction idle;
// zero means without limit.
func (s *Session) TransactionIdle() time.Duration {
	if s.open == nil || s.open.connection == nil {
		return 0
	}
	return s.gateway.routes.Routes().Limits.TransactionIdle
}

// Do runs one statement and returns the reply for the client.
func (s *Session) Do(st statement.Statement) statement.Reply {
	if s.open != nil && s.open.broken && st.Kind != statement.Commit && st.Kind != statement.Rollback {
		return s.reply(statement.Fail(statement.Malformed, "the transaction has failed; roll it back"))
	}
	switch st.Kind {
	case statement.Begin, statement.BeginRead:
		return s.reply(s.begin(st))
	case statement.Commit:
		return s.reply(s.commit(st))
	case statement.Rollback:
		return s.reply(s.rollback(st))
	case statement.Set:
		s.values = s.values.With(st.Name, st.Value)
		return s.reply(statement.Reply{})
	case statement.Prepare:
		s.prepared[st.Name] = st.Prepared
		return s.reply(statement.Reply{})
	case statement.Deallocate:
		delete(s.prepared, st.Name)
		return s.reply(statement.Reply{})
	case statement.Execute:
		shape, ok := s.prepared[st.Name]
		if !ok {
			return s.reply(s.fail(statement.NoStatement, "no statement is prepared under the name "+st.Name))
		}
		return s.reply(s.run(st.WithPrepared(shape)))
	case statement.Read, statement.Write:
		return s.reply(s.run(st))
	default:
		return s.reply(s.fail(statement.Malformed, "the statement is not known"))
	}
}

// Expire rolls back a transaction that its client has left idle for too long.
func (s *Session) Expire() {
	if s.open != nil && !s.open.broken {
		s.abandon("")
		s.open.broken = true
	}
}

// Close ends the session and rolls back an open transaction.
func (s *Session) Close() {
	if s.open != nil {
		s.abandon("")
		s.open = nil
	}
}

// reply completes a reply with the state of the session.
func (s *Session) reply(r statement.Reply) statement.Reply { return r.WithState(s.State()) }

// fail is an error that breaks an open transaction.
func (s *Session) fail(c statement.Code, detail string) statement.Reply {
	s.Expire()
	return statement.Fail(c, detail)
}

// begin opens a transaction. It takes a connection with its first statement.
func (s *Session) begin(st statement.Statement) statement.Reply {
	if s.open != nil {
		return s.fail(statement.Malformed, "a transaction is already open")
	}
	routes := s.gateway.routes.Routes()
	r, ok := routes.Route(s.database)
	if !ok {
		return statement.Fail(statement.NoDatabase, "no route leads to database "+s.database)
	}
	s.open = &transaction{
		route: r, version: routes.Version, begin: st,
	}
	return statement.Reply{}
}

// rollback ends the open transaction and keeps nothing.
func (s *Session) rollback(st statement.Statement) statement.Reply {
	if s.open == nil {
		return statement.Fail(statement.Malformed, "no transaction is open")
	}
	s.abandon(st.ID)
	s.open = nil
	return statement.Reply{}
}

// commit ends the open transaction.
func (s *Session) commit(st statement.Statement) statement.Reply {
	if s.open == nil {
		return statement.Fail(statement.Malformed, "no transaction is open")
	}
	if s.open.broken {
		s.abandon("")
		s.open = nil
		return statement.Fail(statement.Aborted, "the transaction had failed and was rolled back")
	}
	return s.run(st)
}

// abandon rolls back the open transaction and gives up its connection. The
// identifier is that of the client's rollback, if it has asked for it.
func (s *Session) abandon(id string) {
	t := s.open
	c := t.connection
	if c == nil {
		return
	}
	t.connection = nil
	g := s.gateway
	g.table.BeginStatement(t.endpoint.ID)
	reply, err := c.Rollback(g.timer.Now().Add(rollbackTime), id)
	if err != nil || reply.State != statement.Idle {
		g.table.Discard(t.endpoint.ID, c, scheduler.Outcome{Answered: err == nil})
		return
	}
	g.table.Return(t.endpoint.ID, c, scheduler.Outcome{Answered: true})
}

// need is what a statement outside of a connection asks of its endpoint.
func (s *Session) need(r route.Route, st statement.Statement) placement.Need {
	n := placement.Need{
		Group: r.Group, Write: st.Writes(), Consistency: r.Consistency, Staleness: r.Staleness,
	}
	if s.open != nil {
		n.Write, n.Reads = s.open.begin.Kind == statement.Begin, true
	}
	if r.Consistency == route.ReadYourWrites {
		n.Required = s.written
	}
	return n
}
