package gateway

import (
	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// beginAt begins the session's transaction at the assigned endpoint and runs its first
// statement there.
func (e *execution) beginAt(a scheduler.Assignment, c eelgrassladder.Connection) {
	g, t := e.gateway, e.session.transaction
	t.sent = true
	reply, err := c.Begin(e.deadline, t.begin, a.After)
	if errors.Is(err, eelgrassladder.ErrTooLong) {
		e.handleTooLong(a, c, a.After)
		return
	}
	if err != nil || reply.Code != statement.OK {
		o := outcomeOf(a, reply, err)
		if err != nil || reply.State != statement.Idle {
			g.table.Discard(a.Endpoint.ID, c, o)
		} else {
			g.table.Return(a.Endpoint.ID, c, o)
		}
		e.retry(a, reply, failureText(reply, err), false)
		return
	}
	if reply.State != statement.InTransaction {
		g.table.Discard(a.Endpoint.ID, c, scheduler.Outcome{Answered: true})
		e.retry(a, statement.Reply{}, "the answer to BEGIN shows no open transaction", false)
		return
	}
	if !e.primaryProven(a) {
		g.table.Discard(a.Endpoint.ID, c, scheduler.Outcome{Answered: true})
		e.retry(a, statement.Reply{}, "the primary may have been replaced before the transaction began", false)
		return
	}
	t.endpoint, t.connection, t.primary = a.Endpoint, c, a.Primary
	e.runInTransaction()
}

// runInTransaction runs the statement on the connection of the open transaction. It does
// not send a commit to a primary that is being replaced or not proven to be the only one,
// because the commit might be lost or never be acknowledged; it rolls the transaction back.
func (e *execution) runInTransaction() {
	g, t := e.gateway, e.session.transaction
	c := t.connection
	a := scheduler.Assignment{Endpoint: t.endpoint, Primary: t.primary}
	e.endpointID, e.asPrimary = t.endpoint.ID, t.primary
	e.attempts = max(e.attempts, 1)
	reply, err := c.ApplySession(e.deadline, e.session.values, e.statement)
	if errors.Is(err, eelgrassladder.ErrTooLong) {
		g.table.EndStatement(t.endpoint.ID, scheduler.Outcome{Answered: true})
		e.refuseTooLong(t.endpoint.ID)
		return
	}
	if err != nil || reply.Code != statement.OK {
		e.abort(c, outcomeOf(a, reply, err), failureText(reply, err))
		return
	}
	if e.statement.Writes() {
		t.wrote = true
	}
	commitsWrites := e.statement.Kind == statement.Commit && t.wrote
	if commitsWrites && !e.mayCommit(t.endpoint.ID) {
		e.abort(c, scheduler.Outcome{Answered: true}, "the primary is being replaced, or is not known to be the only one")
		return
	}
	asked, began := g.clock.SinceBoot(), g.timer.Now()
	reply, err = e.send(c, t.endpoint.ID, e.deadline, position.Position{}, commitsWrites)
	took := g.timer.Now().Sub(began)
	if err != nil {
		e.failInTransaction(c, err)
		return
	}
	o := outcomeOf(a, reply, nil)
	o.Applied = reply.Position
	if reply.Code == statement.OK {
		t.confirmed = t.confirmed || reply.State == statement.InTransaction
		o.Took = took
		g.learn(a, t.route.Group, asked, reply, commitsWrites)
	}
	if e.statement.Kind == statement.Commit {
		e.finishCommit(c, o, reply)
		return
	}
	if reply.Code == statement.NoStatement {
		// The session has the statement; only the endpoint lacks it.
		reply = statement.ErrorReply(statement.Aborted, "the endpoint forgot a prepared statement").WithState(statement.InFailedTransaction)
	}
	if reply.State != statement.InTransaction {
		e.handleEndedByEndpoint(o, reply)
		return
	}
	g.table.EndStatement(t.endpoint.ID, o)
	e.finish(reply)
}

// finishCommit ends the transaction after the reply to its commit, and finishes the
// execution.
func (e *execution) finishCommit(c eelgrassladder.Connection, o scheduler.Outcome, reply statement.Reply) {
	g, t := e.gateway, e.session.transaction
	e.session.transaction = nil
	if reply.State == statement.Idle {
		g.table.Return(t.endpoint.ID, c, o)
	} else {
		g.table.Discard(t.endpoint.ID, c, o)
	}
	if reply.Code == statement.OK && t.wrote {
		e.session.written = e.session.written.Covering(reply.Position)
		if e.commitConfirmed(t.endpoint.ID) {
			e.committed = g.replicated(t.route.Group)
		} else {
			reply = statement.ErrorReply(statement.InDoubt, unconfirmedDetail)
		}
	}
	e.finish(reply)
}

// handleEndedByEndpoint marks the transaction as failed after a reply that shows that
// the endpoint has ended it, and finishes the execution. A write that has succeeded nevertheless
// ran outside the transaction.
func (e *execution) handleEndedByEndpoint(o scheduler.Outcome, reply statement.Reply) {
	t := e.session.transaction
	e.gateway.table.EndStatement(t.endpoint.ID, o)
	e.session.FailTransaction()
	if reply.Code == statement.OK && e.statement.Writes() {
		t.ranOutside = true
		reply = statement.ErrorReply(statement.InDoubt, "the write ran while no transaction was open")
	} else if reply.Code == statement.OK {
		reply = statement.ErrorReply(statement.Aborted, "the endpoint ended the transaction")
	}
	e.finish(reply)
}

// failInTransaction handles a statement of the transaction that got no answer. The
// transaction is rolled back by closing the connection, unless its commit was sent, or a write
// while the answer to BEGIN may have been that of another statement: then the outcome is
// unknown.
func (e *execution) failInTransaction(c eelgrassladder.Connection, err error) {
	t := e.session.transaction
	o := control.Failure(err)
	commitSent := e.statement.Kind == statement.Commit && t.wrote
	t.ranOutside = e.statement.Writes() && !t.confirmed && errors.Is(err, eelgrassladder.ErrUnclearAnswer)
	if !commitSent && !t.ranOutside {
		e.abort(c, o, err.Error())
		return
	}
	e.gateway.table.Discard(t.endpoint.ID, c, o)
	t.connection, t.failed = nil, true
	if commitSent {
		e.session.transaction = nil
	}
	e.finishUnknown(scheduler.Assignment{Endpoint: t.endpoint}, err, 0)
}

// abort closes the transaction's connection, which rolls the transaction back, and
// finishes the execution. Nothing of the transaction takes effect.
func (e *execution) abort(c eelgrassladder.Connection, o scheduler.Outcome, reason string) {
	t := e.session.transaction
	e.gateway.table.Discard(t.endpoint.ID, c, o)
	t.connection = nil
	t.failed = true
	if e.statement.Kind == statement.Commit {
		e.session.transaction = nil
	}
	e.gateway.observer.AttemptFailed(FailedAttempt{
		Statement: e.statement, Endpoint: t.endpoint.ID, Reason: reason, Sent: true,
		Took: e.gateway.timer.Now().Sub(e.arrived),
	})
	e.finish(statement.ErrorReply(statement.Aborted, "the transaction was rolled back: "+reason))
}
