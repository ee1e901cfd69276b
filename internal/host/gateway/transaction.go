package gateway

import (
	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/table/work"
	"eelgrassladder.example/eelgrassladder/internal/trade/position"
	"eelgrassladder.example/eelgrassladder/internal/trade/statement"
)

// beginAt opens the session's transaction at the assigned endpoint and runs
// its first statement there.
func (e *execution) beginAt(w work.Assignment, c eelgrassladder.Connection) {
	g, t := e.gateway, e.session.transaction
	reply, err := c.Begin(e.deadline, t.begin, w.After)
	if err != nil || reply.Code != statement.OK {
		o := outcomeOf(w, reply, err)
		if err != nil || reply.State != statement.Idle {
			g.table.Discard(w.Endpoint.ID, c, o)
		} else {
			g.table.Return(w.Endpoint.ID, c, o)
		}
		e.retry(w, reply, failureText(reply, err), false)
		return
	}
	if !e.primaryProven(w) {
		g.table.Discard(w.Endpoint.ID, c, work.Outcome{Answered: true})
		e.retry(w, statement.Reply{}, "the primary may have been replaced before the transaction began", false)
		return
	}
	t.endpoint, t.connection, t.primary = w.Endpoint, c, w.Primary
	e.runInTransaction()
}

// inTransaction runs a statement on the connection of the open transaction.
func (e *execution) runInTransaction() {
	g, t := e.gateway, e.session.transaction
	c := t.connection
	w := work.Assignment{Endpoint: t.endpoint, Primary: t.primary}
	e.endpointID, e.asPrimary = t.endpoint.ID, t.primary
	e.attempts = max(e.attempts, 1)
	if reply, err := c.Adopt(e.deadline, e.session.values, e.statement); err != nil || reply.Code != statement.OK {
		e.abort(c, work.Outcome{Answered: err == nil}, failureText(reply, err))
		return
	}
	asked, began := g.clock.Boot(), g.timer.Now()
	if e.statement.Writes() {
		t.wrote = true
	}
	commits := e.statement.Kind == statement.Commit && t.wrote
	if commits && g.table.Lead(t.route.Group).Replaced(t.endpoint.ID, asked) {
		e.abort(c, work.Outcome{Answered: true}, "the primary is being replaced")
		return
	}
	reply, err := e.send(c, t.endpoint.ID, e.deadline, position.Position{}, commits)
	took := g.timer.Now().Sub(began)
	if err != nil {
		e.failInTransaction(c, err)
		return
	}
	o := outcomeOf(w, reply, nil)
	o.Applied = reply.Position
	if reply.Code == statement.OK {
		o.Took = took
		g.learn(w, t.route.Group, asked, reply, commits)
	}
	if e.statement.Kind == statement.Commit {
		e.finishCommit(c, o, reply)
		return
	}
	if reply.State != statement.InTransaction {
		e.endedByEndpoint(o, reply)
		return
	}
	g.table.Keep(t.endpoint.ID, o)
	e.finish(reply)
}

// committed ends the transaction after an answer to its commit.
func (e *execution) finishCommit(c eelgrassladder.Connection, o work.Outcome, reply statement.Reply) {
	g, t := e.gateway, e.session.transaction
	e.session.transaction = nil
	if reply.State == statement.Idle {
		g.table.Return(t.endpoint.ID, c, o)
	} else {
		g.table.Discard(t.endpoint.ID, c, o)
	}
	if reply.Code == statement.OK && t.wrote {
		e.session.written = e.session.written.Later(reply.Position)
		if e.mayBeLost(t.endpoint.ID) {
			reply = statement.Fail(statement.InDoubt, primaryReplaced)
		}
	}
	e.finish(reply)
}

// stopped breaks the transaction after an answer that ended it at the
// endpoint.
func (e *execution) endedByEndpoint(o work.Outcome, reply statement.Reply) {
	t := e.session.transaction
	e.gateway.table.Keep(t.endpoint.ID, o)
	e.session.Expire()
	if reply.Code == statement.OK {
		reply = statement.Fail(statement.Aborted, "the endpoint ended the transaction")
	}
	e.finish(reply)
}

// broken decides what the client is told when a statement of a transaction
// has no answer. Closing the connection rolls the transaction back, unless
// its commit was sent.
func (e *execution) failInTransaction(c eelgrassladder.Connection, err error) {
	t := e.session.transaction
	o := work.Outcome{Refused: control.Refused(err)}
	if e.statement.Kind != statement.Commit || !t.wrote {
		e.abort(c, o, err.Error())
		return
	}
	e.gateway.table.Discard(t.endpoint.ID, c, o)
	e.session.transaction = nil
	e.finishUnknown(work.Assignment{Endpoint: t.endpoint}, err, 0)
}

// abort gives up the transaction; nothing of it is kept.
func (e *execution) abort(c eelgrassladder.Connection, o work.Outcome, reason string) {
	t := e.session.transaction
	e.gateway.table.Discard(t.endpoint.ID, c, o)
	t.connection = nil
	t.broken = true
	if e.statement.Kind == statement.Commit {
		e.session.transaction = nil
	}
	e.gateway.observer.Tried(Tried{
		Statement: e.statement, Endpoint: t.endpoint.ID, Reason: reason, Sent: true,
		Took: e.gateway.timer.Now().Sub(e.arrived),
	})
	e.finish(statement.Fail(statement.Aborted, "the transaction was rolled back: "+reason))
}
