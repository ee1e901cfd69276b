package gateway

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/policy/placement"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

const (
	// replyMargin is the part of a statement's timeout that is left for sending the
	// reply to the client.
	replyMargin = 15 * time.Millisecond
	// retryShare is the part of a route's target after which an unanswered read is
	// tried at another endpoint.
	retryShare = 0.6
	// primaryRetryShare is the part of a route's timeout after which an unanswered
	// read that only the primary can serve is tried again. An earlier retry would
	// add to the primary's load.
	primaryRetryShare = 0.5
	// retryPause is the pause after every third attempt of a statement. A statement
	// with no more time than that left is not retried.
	retryPause = 8 * time.Millisecond
)

// execution runs one statement of a session. It makes as many attempts at endpoints as
// are needed and the deadline allows.
type execution struct {
	operation
	gateway   *Gateway
	session   *Session
	statement statement.Statement
	// arrived is when the statement arrived.
	arrived time.Time
	// deadline is when the reply must be ready to be sent to the client.
	deadline time.Time
	// need is what the statement requires of its endpoint, without Avoid. It is not set for
	// a statement of a transaction that has an endpoint.
	need placement.Need
	// job is the latest request to the table for an endpoint.
	job scheduler.Job
	// attempts counts the endpoints that were assigned, one for each attempt.
	attempts int
	// endpointID is the endpoint of the last attempt; asPrimary is true if it was
	// chosen as the primary.
	endpointID string
	asPrimary  bool
	// pooler is the name of the proxy that was asked last to run the statement; empty for none.
	pooler string
	// committed is true if the reply says that a commit is acknowledged, and the group
	// is replicated.
	committed bool
	// done receives the reply. It has room for it, so that finish does not block.
	done chan statement.Reply
}

// run runs a statement at an endpoint and returns the reply for the client.
func (s *Session) run(st statement.Statement) statement.Reply {
	g := s.gateway
	e := &execution{
		gateway: g, session: s, statement: st, arrived: g.timer.Now(),
		done: make(chan statement.Reply, 1),
	}
	single := s.transaction == nil
	if !single {
		e.operation = s.transaction.operation
	} else {
		var refusal statement.Reply
		if e.operation, refusal = s.admit(st); refusal.Code != statement.OK {
			return refusal
		}
	}
	e.deadline = e.arrived.Add(e.route.Timeout - replyMargin)
	if s.origin != nil {
		s.origin.begin(e)
	}
	if reply, ok := e.runDelegated(); ok {
		if single && e.attempts == 0 && (reply.Code == statement.Busy || reply.Code == statement.Lagging) {
			s.giveBack(e.operation) // the pooler has sent nothing to an endpoint
		}
		e.observe(reply)
		return reply
	}
	if t := s.transaction; t != nil && t.connection != nil {
		g.table.BeginStatement(t.endpoint.ID)
		e.runInTransaction()
	} else {
		e.need = s.need(e.route, st)
		e.submit("")
	}
	reply, ok := e.await()
	if !ok {
		s.abandoned = true
		g.observer.Answered(Answered{
			Statement: st, Route: e.route, RoutesVersion: e.routesVersion, Team: e.team.Name, Reply: reply, Took: g.timer.Now().Sub(e.arrived),
			Leader: g.table.Leader(e.route.Group), Now: g.clock.SinceBoot(), Pooler: e.pooler, Asker: s.asker(),
		})
		return reply
	}
	if single && e.attempts == 0 && reply.Code != statement.OK {
		s.giveBack(e.operation)
	}
	e.observe(reply)
	return reply
}

// observe reports the reply to the observer.
func (e *execution) observe(reply statement.Reply) {
	g := e.gateway
	g.observer.Answered(Answered{
		Statement: e.statement, Route: e.route, RoutesVersion: e.routesVersion, Team: e.team.Name, Reply: reply, Endpoint: e.endpointID, Primary: e.asPrimary,
		Took: g.timer.Now().Sub(e.arrived), Attempts: e.attempts, Committed: e.committed, Leader: g.table.Leader(e.route.Group), Now: g.clock.SinceBoot(),
		Pooler: e.pooler, Asker: e.session.asker(),
	})
}

// await waits for the reply. If the process stops first, it returns false, and the reply
// says that the outcome of the statement is in doubt; a worker may still be using the
// execution, its session and the session's connection then.
func (e *execution) await() (statement.Reply, bool) {
	select {
	case reply := <-e.done:
		return reply, true
	case <-e.gateway.tasks.Context().Done():
	}
	select {
	case reply := <-e.done:
		return reply, true
	default:
		return statement.ErrorReply(statement.InDoubt, "the proxy stops"), false
	}
}

// submit asks the table for an endpoint, preferably another one than that with the ID
// avoid, which may be empty.
func (e *execution) submit(avoid string) {
	need := e.need
	need.Avoid = avoid
	e.job = scheduler.Job{
		Need: need, Team: e.team.Name, Priority: e.route.Priority, Arrived: e.arrived, Timeout: e.deadline.Sub(e.arrived),
		Target: e.route.Target, Run: e.runAssigned,
	}
	e.gateway.table.Submit(&e.job)
}

// runAssigned runs one attempt. If it panics, the outcome of the statement is in doubt, and
// only this statement is affected.
func (e *execution) runAssigned(a scheduler.Assignment) {
	defer func() {
		if r := recover(); r != nil {
			klog.ErrorS(nil, "Running a statement panicked", "Request", shortened(e.statement.ID), "Reason", r, "Stack", string(debug.Stack()))
			e.finish(statement.ErrorReply(statement.InDoubt, "internal error"))
		}
	}()
	e.assigned(a)
}

// assigned runs one attempt. A worker calls it when the table has assigned an
// endpoint to the statement, or has refused it.
func (e *execution) assigned(a scheduler.Assignment) {
	if a.Refused {
		e.refuse(a)
		return
	}
	e.attempts++
	e.endpointID, e.asPrimary = a.Endpoint.ID, a.Primary
	c, ok := e.prepareConnection(a)
	if !ok {
		return
	}
	var refusal statement.Reply
	if e.operation, refusal = e.gateway.recharge(e.operation); refusal.Code != statement.OK {
		e.gateway.table.Return(a.Endpoint.ID, c, scheduler.Outcome{Answered: true})
		e.finish(e.session.fail(refusal.Code, refusal.Detail))
		return
	}
	if !e.choiceIsFresh(a) {
		renewed, ok := e.gateway.table.Renew(a, e.job.Need)
		if !ok {
			e.gateway.table.Return(a.Endpoint.ID, c, scheduler.Outcome{Answered: true})
			e.retry(a, statement.Reply{}, "the choice of the endpoint is too old", false)
			return
		}
		a = renewed
	}
	if e.session.transaction != nil {
		e.beginAt(a, c)
		return
	}
	e.runSingle(a, c)
}

// choiceIsFresh reports whether the endpoint was chosen recently enough to send it the
// statement. A statement that reads relies on a proof that the primary was still the only
// one; the proof must not expire before the endpoint has received the statement. Other
// statements need the proof when they are answered.
func (e *execution) choiceIsFresh(a scheduler.Assignment) bool {
	return !e.job.Need.ReadsData() || e.gateway.clock.SinceBoot()-a.Chosen <= placement.MaxSendDelay
}

// primaryProven reports whether an answer that has just arrived may be used: true unless
// the primary answered a statement that reads, and no proof shows that it was
// still the only primary. An answer of a replica needs none, because it carries the
// position that it covers.
func (e *execution) primaryProven(a scheduler.Assignment) bool {
	if !a.Primary || !e.job.Need.ReadsData() {
		return true
	}
	// The answer must include every commit acknowledged before coveredUntil.
	coveredUntil := e.gateway.clock.SinceBoot()
	if e.route.Consistency != route.Primary {
		coveredUntil -= e.route.Staleness
	}
	known := e.gateway.table.Leader(e.route.Group)
	return known.Endpoint == a.Endpoint.ID && known.Term == a.Term && known.ProvenAt(coveredUntil)
}

// refuse finishes the execution of a statement for which the table found no endpoint.
// The reply says that nothing was run.
func (e *execution) refuse(a scheduler.Assignment) {
	code, reason := statement.Busy, a.Reason.String()
	if a.Reason == scheduler.NoProof && !e.statement.Writes() {
		code = statement.Lagging
	}
	if a.Shortage != scheduler.NoShortage {
		reason += ", " + a.Shortage.String()
	}
	e.finish(e.session.fail(code, "waited for an endpoint: "+reason))
}

// finish passes the reply to await. Only the first call has an effect.
func (e *execution) finish(r statement.Reply) {
	select {
	case e.done <- r:
	default:
	}
}

// prepareConnection returns the assignment's connection. It opens the connection if
// necessary, and applies the session values and the prepared statement to it. If it
// returns false, it has retried or finished the execution.
func (e *execution) prepareConnection(a scheduler.Assignment) (eelgrassladder.Connection, bool) {
	g, c := e.gateway, a.Connection
	if c == nil {
		opened, reply, err := g.connect(a, e.team.Name, e.deadline)
		if opened == nil {
			g.table.Discard(a.Endpoint.ID, nil, control.NotConnected(reply, err))
			e.retry(a, reply, failureText(reply, err), false)
			return nil, false
		}
		c = opened
	}
	reply, err := c.ApplySession(e.deadline, e.session.values, e.statement)
	if errors.Is(err, eelgrassladder.ErrTooLong) {
		e.handleTooLong(a, c, position.Position{})
		return nil, false
	}
	if err != nil || reply.Code != statement.OK {
		g.table.Discard(a.Endpoint.ID, c, outcomeOf(a, reply, err))
		e.retry(a, reply, failureText(reply, err), false)
		return nil, false
	}
	return c, true
}

// runSingle runs a statement outside of a transaction. A read without an answer is
// retried elsewhere only if the retry budget allows it; otherwise the attempt continues
// until the deadline.
func (e *execution) runSingle(a scheduler.Assignment, c eelgrassladder.Connection) {
	g := e.gateway
	sentSinceBoot, sentAt := g.clock.SinceBoot(), g.timer.Now()
	reply, err := e.send(c, a.Endpoint.ID, e.attemptDeadline(sentAt), a.After, e.statement.Writes())
	if control.TimedOut(err) && !e.statement.Writes() && !g.budget.Spend(g.timer.Now()) {
		c.Charge(e.session.account)
		reply, err = c.Await(e.deadline)
		c.Charge(eelgrassladder.UnlimitedMemory{})
	}
	took := g.timer.Now().Sub(sentAt)
	if errors.Is(err, eelgrassladder.ErrTooLong) {
		e.handleTooLong(a, c, a.After)
		return
	}
	if err != nil {
		e.handleError(a, c, reply, err, took)
		return
	}
	o := outcomeOf(a, reply, nil)
	o.Applied = reply.Position
	if reply.State != statement.Idle {
		g.table.Discard(a.Endpoint.ID, c, o)
		e.handleForeignTransaction(a, reply, took)
		return
	}
	if reply.Code == statement.OK {
		o.Took = took
		g.learn(a, e.route.Group, sentSinceBoot, reply, e.statement.Writes())
	}
	g.table.Return(a.Endpoint.ID, c, o)
	if reply.Code == statement.OK && !e.primaryProven(a) {
		e.retry(a, statement.Reply{}, "the primary may have been replaced before it answered", true)
		return
	}
	if reply.Code == statement.OK && e.statement.Writes() && !e.commitConfirmed(a.Endpoint.ID) {
		reply = statement.ErrorReply(statement.InDoubt, unconfirmedDetail)
	}
	e.handleReply(a, reply)
}

// send runs the statement on a connection and returns the answer, for which the session's
// account is charged. It tells the table
// when a write is sent and when its answer or error has come, so that the table can
// detect a primary that stalls.
func (e *execution) send(c eelgrassladder.Connection, id string, deadline time.Time, after position.Position,
	writes bool,
) (statement.Reply, error) {
	c.Charge(e.session.account)
	// Others use the connection next, or wait for the answer in the background.
	defer c.Charge(eelgrassladder.UnlimitedMemory{})
	if !writes {
		return c.Run(deadline, e.statement, after)
	}
	sent := e.gateway.timer.Now()
	e.gateway.table.WriteSent(id, sent)
	reply, err := c.Run(deadline, e.statement, after)
	e.gateway.table.WriteDone(id, sent, err == nil || errors.Is(err, eelgrassladder.ErrUnclearAnswer))
	return reply, err
}

// attemptDeadline returns the time at which an attempt that begins now is given up.
func (e *execution) attemptDeadline(now time.Time) time.Time {
	if e.statement.Writes() {
		return e.deadline
	}
	limit := now.Add(time.Duration(retryShare * float64(e.route.Target)))
	if e.job.Need.Consistency == route.Primary {
		limit = now.Add(time.Duration(primaryRetryShare * float64(e.route.Timeout)))
	}
	if limit.After(e.deadline) {
		return e.deadline
	}
	return limit
}

// connect opens a connection for a team to the endpoint of an assignment.
func (g *Gateway) connect(a scheduler.Assignment, team string, deadline time.Time) (eelgrassladder.Connection, statement.Reply, error) {
	ctx, cancel := context.WithDeadline(g.tasks.Context(), deadline)
	defer cancel()
	began := g.clock.SinceBoot()
	c, reply, err := g.connector.Connect(ctx, a.Endpoint, team)
	if c != nil {
		g.table.Opened(a.Endpoint.ID, g.clock.SinceBoot()-began)
	}
	return c, reply, err
}

// awaitLate waits in the background for an answer that did not come in time, so that
// the connection can be reused and the endpoint's work is not interrupted.
func (e *execution) awaitLate(a scheduler.Assignment, c eelgrassladder.Connection) {
	g := e.gateway
	g.tasks.GoIsolated("late answer", func(context.Context) {
		reply, err := c.Await(e.deadline.Add(lateAnswerTime))
		if err != nil {
			g.table.Discard(a.Endpoint.ID, c, control.Failure(err))
			return
		}
		if e.statement.Writes() {
			g.learnLate(e.route.Group, reply)
		}
		if reply.State != statement.Idle {
			g.table.Discard(a.Endpoint.ID, c, scheduler.Outcome{Answered: true})
			return
		}
		g.table.Return(a.Endpoint.ID, c, scheduler.Outcome{Answered: true})
	})
}

// lateAnswerTime is how long after a statement's deadline awaitLate waits for its
// answer.
const lateAnswerTime = 500 * time.Millisecond
