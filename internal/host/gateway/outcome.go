package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/policy/placement"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// handleReply finishes the execution with the endpoint's reply. It retries if the
// statement has not run, or if a read has failed at the first attempt.
func (e *execution) handleReply(a scheduler.Assignment, reply statement.Reply) {
	switch {
	case reply.Code == statement.OK:
		e.gateway.budget.CountFinal(e.gateway.timer.Now())
		if e.statement.Writes() {
			e.session.written = e.session.written.Covering(reply.Position)
			e.committed = e.gateway.replicated(e.route.Group)
		}
		e.finish(reply)
	case reply.Code.NotRun():
		e.retry(a, reply, reply.Code.String(), false)
	case !e.statement.Writes() && e.attempts == 1 && reply.Code == statement.Failed:
		e.retry(a, reply, reply.Code.String(), true)
	default:
		e.finish(reply)
	}
}

// handleError handles an attempt that got no complete answer: a read is retried, and the
// outcome of a write is unknown. Took is the time of the attempt.
func (e *execution) handleError(a scheduler.Assignment, c eelgrassladder.Connection, reply statement.Reply, err error, took time.Duration) {
	g := e.gateway
	if control.TimedOut(err) {
		e.awaitLate(a, c)
	} else {
		g.table.Discard(a.Endpoint.ID, c, outcomeOf(a, reply, err))
	}
	if e.statement.Writes() {
		e.finishUnknown(a, err, took)
		return
	}
	if eelgrassladder.IsMemoryRefusal(err) {
		e.finish(e.session.fail(statement.Overload, "the answer: "+err.Error()))
		return
	}
	e.retry(a, statement.Reply{}, err.Error(), true)
}

// handleForeignTransaction handles an answer to a statement outside of a transaction that
// shows that one is open on the connection, which was discarded. A read may have seen what is
// not committed, and a write may be rolled back. Took is the time of the attempt.
func (e *execution) handleForeignTransaction(a scheduler.Assignment, reply statement.Reply, took time.Duration) {
	const reason = "a transaction was open on the connection"
	switch {
	case reply.Code != statement.OK:
		e.handleReply(a, reply)
	case e.statement.Writes():
		e.finishUnknown(a, errors.New(reason), took)
	default:
		e.retry(a, statement.Reply{}, reason, true)
	}
}

// handleTooLong handles an attempt whose message was not sent because it would be too long.
// After is the position that was part of the message; zero for none. It makes another attempt
// if the statement can run without the position, and otherwise refuses the statement.
func (e *execution) handleTooLong(a scheduler.Assignment, c eelgrassladder.Connection, after position.Position) {
	e.gateway.table.Return(a.Endpoint.ID, c, scheduler.Outcome{Answered: true})
	if n, ok := placement.Shorten(e.need, after); ok {
		e.need = n
		e.retry(a, statement.Reply{}, eelgrassladder.ErrTooLong.Error(), false)
		return
	}
	e.refuseTooLong(a.Endpoint.ID)
}

// refuseTooLong finishes the execution of a statement that is too long for endpoints, after
// its connection was given back. The reply says that nothing was run: the proxy's own names
// make the message longer than the client's, so the client can't know.
func (e *execution) refuseTooLong(endpoint string) {
	e.gateway.observer.AttemptFailed(FailedAttempt{
		Statement: e.statement, Endpoint: endpoint, Reason: eelgrassladder.ErrTooLong.Error(), Took: e.gateway.timer.Now().Sub(e.arrived),
	})
	e.finish(e.session.fail(statement.Aborted, eelgrassladder.ErrTooLong.Error()))
}

// finishUnknown finishes the execution with a reply that says that the outcome is
// unknown. Took is the time of the attempt.
func (e *execution) finishUnknown(a scheduler.Assignment, err error, took time.Duration) {
	code := statement.InDoubt
	if control.TimedOut(err) {
		code = statement.TimedOut
	}
	e.gateway.observer.AttemptFailed(FailedAttempt{
		Statement: e.statement, Endpoint: a.Endpoint.ID, Reason: err.Error(), Sent: true, Took: took,
	})
	e.finish(statement.ErrorReply(code, "the endpoint did not answer"))
}

// retry reports the failed attempt a and makes another one, at another endpoint if
// possible, unless the deadline is too near. Only statements that have not run, or that
// only read, may be retried. Reason says why the attempt failed, and sent is true if
// the statement may have run there.
func (e *execution) retry(a scheduler.Assignment, r statement.Reply, reason string, sent bool) {
	now := e.gateway.timer.Now()
	e.gateway.observer.AttemptFailed(FailedAttempt{
		Statement: e.statement, Endpoint: a.Endpoint.ID, Reply: r, After: a.After, Reason: reason, Sent: sent,
		Took: now.Sub(e.arrived),
	})
	if !now.Add(retryPause).Before(e.deadline) {
		e.finish(e.session.fail(statement.Busy, "no endpoint answered in time"))
		return
	}
	if e.attempts%3 != 0 {
		e.submit(a.Endpoint.ID)
		return
	}
	e.gateway.tasks.GoIsolated("pause before a retry", func(ctx context.Context) {
		timer.Pause(ctx, e.gateway.timer, retryPause)
		e.submit(a.Endpoint.ID)
	})
}

// outcomeOf returns what a reply, or the error if there is none, shows about the
// endpoint. A reply that may belong to another statement shows it too.
func outcomeOf(a scheduler.Assignment, r statement.Reply, err error) scheduler.Outcome {
	if err != nil && !errors.Is(err, eelgrassladder.ErrUnclearAnswer) {
		return control.Failure(err)
	}
	o := scheduler.Outcome{Answered: true, Busy: r.Code == statement.Busy}
	if r.Code == statement.Lagging {
		o.MissingPosition = a.After
	}
	return o
}

// failureText returns the text of the error, or the code of the reply if there is no
// error.
func failureText(r statement.Reply, err error) string {
	if err != nil {
		return err.Error()
	}
	return r.Code.String()
}
