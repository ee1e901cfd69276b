package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/table/work"
	"eelgrassladder.example/eelgrassladder/internal/trade/statement"
)

// judge decides what the endpoint's answer means for the client.
func (e *execution) handleReply(w work.Assignment, reply statement.Reply) {
	switch {
	case reply.Code == statement.OK:
		e.gateway.budget.Succeeded(e.gateway.timer.Now())
		if e.statement.Writes() {
			e.session.written = e.session.written.Later(reply.Position)
		}
		e.finish(reply)
	case reply.Code.NotRun():
		e.retry(w, reply, reply.Code.String(), false)
	case !e.statement.Writes() && e.attempts == 1 && reply.Code == statement.Failed:
		e.retry(w, reply, reply.Code.String(), true)
	default:
		e.finish(reply)
	}
}

// unanswered decides what follows when no whole answer came.
func (e *execution) handleError(w work.Assignment, c eelgrassladder.Connection, err error, took time.Duration) {
	g := e.gateway
	if timedOut(err) {
		e.awaitLate(w, c)
	} else {
		g.table.Discard(w.Endpoint.ID, c, work.Outcome{Refused: control.Refused(err)})
	}
	if e.statement.Writes() {
		e.finishUnknown(w, err, took)
		return
	}
	e.retry(w, statement.Reply{}, err.Error(), true)
}

// lost tells the client that the outcome is not known.
func (e *execution) finishUnknown(w work.Assignment, err error, took time.Duration) {
	code := statement.InDoubt
	if timedOut(err) {
		code = statement.TimedOut
	}
	e.gateway.observer.Tried(Tried{
		Statement: e.statement, Endpoint: w.Endpoint.ID, Reason: err.Error(), Sent: true, Took: took,
	})
	e.finish(statement.Fail(code, "the endpoint did not answer"))
}

// again tries another time, elsewhere if there is a choice. It is for
// statements that have not run or only read.
func (e *execution) retry(w work.Assignment, r statement.Reply, reason string, sent bool) {
	now := e.gateway.timer.Now()
	e.gateway.observer.Tried(Tried{
		Statement: e.statement, Endpoint: w.Endpoint.ID, Reply: r, After: w.After, Reason: reason, Sent: sent,
		Took: now.Sub(e.arrived),
	})
	if !now.Add(retryPause).Before(e.deadline) {
		e.finish(e.session.fail(statement.Busy, "no endpoint answered in time"))
		return
	}
	if e.attempts%3 != 0 {
		e.submit(w.Endpoint.ID)
		return
	}
	e.gateway.tasks.Detach("pause before a retry", func(ctx context.Context) {
		timer.Pause(ctx, e.gateway.timer, retryPause)
		e.submit(w.Endpoint.ID)
	})
}

// seen returns what an answer, or its absence, has shown of the endpoint.
func outcomeOf(w work.Assignment, r statement.Reply, err error) work.Outcome {
	o := work.Outcome{Answered: err == nil, Refused: control.Refused(err), Crowded: r.Code == statement.Busy}
	if r.Code == statement.Lagging {
		o.Lacked = w.After
	}
	return o
}

// timedOut reports whether an error is that of a passed deadline.
func timedOut(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// describe says why a try failed.
func failureText(r statement.Reply, err error) string {
	if err != nil {
		return err.Error()
	}
	return r.Code.String()
}
