package gateway

import (
	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// beginAt opens the session's transaction at the assigned endpoint and runs
// its first statement there.
func (a *attempt) beginAt(w scheduler.Assignment, c eelgrassladder.Connection) {
	g, t := a.gateway, a.session.open
	reply, err := c.Begin(a.deadline, t.begin, w.After)
	if err != nil || reply.Code != statement.OK {
		o := seen(w, reply, err)
		if err != nil || reply.State != statement.Idle {
			g.table.Discard(w.Endpoint.ID, c, o)
		} else {
			g.table.Return(w.Endpoint.ID, c, o)
		}
		a.again(w, reply, describe(reply, err), false)
		return
	}
	if !a.current(w) {
		g.table.Discard(w.Endpoint.ID, c, scheduler.Outcome{Answered: true})
		a.again(w, statement.Reply{}, "the primary may have been replaced before the transaction began", false)
		return
	}
	t.endpoint, t.connection, t.primary = w.Endpoint, c, w.Primary
	a.inTransaction()
}

// inTransaction runs a statement on the connection of the open transaction.
func (a *attempt) inTransaction() {
	g, t := a.gateway, a.session.open
	c := t.connection
	w := scheduler.Assignment{Endpoint: t.endpoint, Primary: t.primary}
	a.at, a.asPrimary = t.endpoint.ID, t.primary
	a.tries = max(a.tries, 1)
	if reply, err := c.ApplySession(a.deadline, a.session.values, a.statement); err != nil || reply.Code != statement.OK {
		a.abort(c, scheduler.Outcome{Answered: err == nil}, describe(reply, err))
		return
	}
	asked, began := g.clock.SinceBoot(), g.timer.Now()
	if a.statement.Writes() {
		t.wrote = true
	}
	commits := a.statement.Kind == statement.Commit && t.wrote
	if commits && g.table.Leader(t.route.Group).BeingReplaced(t.endpoint.ID, asked) {
		a.abort(c, scheduler.Outcome{Answered: true}, "the primary is being replaced")
		return
	}
	reply, err := a.send(c, t.endpoint.ID, a.deadline, position.Position{}, commits)
	took := g.timer.Now().Sub(began)
	if err != nil {
		a.broken(c, err)
		return
	}
	o := seen(w, reply, nil)
	o.Applied = reply.Position
	if reply.Code == statement.OK {
		o.Took = took
		g.learn(w, t.route.Group, asked, reply, commits)
	}
	if a.statement.Kind == statement.Commit {
		a.committed(c, o, reply)
		return
	}
	if reply.State != statement.InTransaction {
		a.stopped(o, reply)
		return
	}
	g.table.EndStatement(t.endpoint.ID, o)
	a.finish(reply)
}

// committed ends the transaction after an answer to its commit.
func (a *attempt) committed(c eelgrassladder.Connection, o scheduler.Outcome, reply statement.Reply) {
	g, t := a.gateway, a.session.open
	a.session.open = nil
	if reply.State == statement.Idle {
		g.table.Return(t.endpoint.ID, c, o)
	} else {
		g.table.Discard(t.endpoint.ID, c, o)
	}
	if reply.Code == statement.OK && t.wrote {
		a.session.written = a.session.written.Later(reply.Position)
		if a.superseded(t.endpoint.ID) {
			reply = statement.Fail(statement.InDoubt, beingReplaced)
		}
	}
	a.finish(reply)
}

// stopped breaks the transaction after an answer that ended it at the
// endpoint.
func (a *attempt) stopped(o scheduler.Outcome, reply statement.Reply) {
	t := a.session.open
	a.gateway.table.EndStatement(t.endpoint.ID, o)
	a.session.Expire()
	if reply.Code == statement.OK {
		reply = statement.Fail(statement.Aborted, "the endpoint ended the transaction")
	}
	a.finish(reply)
}

// broken decides what the client is told when a statement of a transaction
// has no answer. Closing the connection rolls the transaction back, unless
// its commit was sent.
func (a *attempt) broken(c eelgrassladder.Connection, err error) {
	t := a.session.open
	o := scheduler.Outcome{Refused: control.Refused(err)}
	if a.statement.Kind != statement.Commit || !t.wrote {
		a.abort(c, o, err.Error())
		return
	}
	a.gateway.table.Discard(t.endpoint.ID, c, o)
	a.session.open = nil
	a.lost(scheduler.Assignment{Endpoint: t.endpoint}, err, 0)
}

// abort gives up the transaction; nothing of it is kept.
func (a *attempt) abort(c eelgrassladder.Connection, o scheduler.Outcome, reason string) {
	t := a.session.open
	a.gateway.table.Discard(t.endpoint.ID, c, o)
	t.connection = nil
	t.broken = true
	if a.statement.Kind == statement.Commit {
		a.session.open = nil
	}
	a.gateway.observer.AttemptFailed(FailedAttempt{
		Statement: a.statement, Endpoint: t.endpoint.ID, Reason: reason, Sent: true,
		Took: a.gateway.timer.Now().Sub(a.arrived),
	})
	a.finish(statement.Fail(statement.Aborted, "the transaction was rolled back: "+reason))
}
