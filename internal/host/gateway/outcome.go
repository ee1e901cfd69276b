package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// judge decides what the endpoint's answer means for the client.
func (a *attempt) judge(w scheduler.Assignment, reply statement.Reply) {
	switch {
	case reply.Code == statement.OK:
		a.gateway.budget.Succeeded(a.gateway.timer.Now())
		if a.statement.Writes() {
			a.session.written = a.session.written.Later(reply.Position)
		}
		a.finish(reply)
	case reply.Code.NotRun():
		a.again(w, reply, reply.Code.String(), false)
	case !a.statement.Writes() && a.tries == 1 && reply.Code == statement.Failed:
		a.again(w, reply, reply.Code.String(), true)
	default:
		a.finish(reply)
	}
}

// unanswered decides what follows when no whole answer came.
func (a *attempt) unanswered(w scheduler.Assignment, c eelgrassladder.Connection, err error, took time.Duration) {
	g := a.gateway
	if timedOut(err) {
		a.drain(w, c)
	} else {
		g.table.Discard(w.Endpoint.ID, c, scheduler.Outcome{Refused: control.Refused(err)})
	}
	if a.statement.Writes() {
		a.lost(w, err, took)
		return
	}
	a.again(w, statement.Reply{}, err.Error(), true)
}

// lost tells the client that the outcome is not known.
func (a *attempt) lost(w scheduler.Assignment, err error, took time.Duration) {
	c := statement.InDoubt
	if timedOut(err) {
		c = statement.TimedOut
	}
	a.gateway.observer.AttemptFailed(FailedAttempt{
		Statement: a.statement, Endpoint: w.Endpoint.ID, Reason: err.Error(), Sent: true, Took: took,
	})
	a.finish(statement.Fail(c, "the endpoint did not answer"))
}

// again tries another time, elsewhere if there is a choice. It is for
// statements that have not run or only read.
func (a *attempt) again(w scheduler.Assignment, r statement.Reply, reason string, sent bool) {
	now := a.gateway.timer.Now()
	a.gateway.observer.AttemptFailed(FailedAttempt{
		Statement: a.statement, Endpoint: w.Endpoint.ID, Reply: r, After: w.After, Reason: reason, Sent: sent,
		Took: now.Sub(a.arrived),
	})
	if !now.Add(busyPause).Before(a.deadline) {
		a.finish(a.session.fail(statement.Busy, "no endpoint answered in time"))
		return
	}
	if a.tries%3 != 0 {
		a.submit(w.Endpoint.ID)
		return
	}
	a.gateway.tasks.GoIsolated("pause before a retry", func(ctx context.Context) {
		timer.Pause(ctx, a.gateway.timer, busyPause)
		a.submit(w.Endpoint.ID)
	})
}

// seen returns what an answer, or its absence, has shown of the endpoint.
func seen(w scheduler.Assignment, r statement.Reply, err error) scheduler.Outcome {
	o := scheduler.Outcome{Answered: err == nil, Refused: control.Refused(err), Busy: r.Code == statement.Busy}
	if r.Code == statement.Lagging {
		o.MissingPosition = w.After
	}
	return o
}

// timedOut reports whether an error is that of a passed deadline.
func timedOut(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// describe says why a try failed.
func describe(r statement.Reply, err error) string {
	if err != nil {
		return err.Error()
	}
	return r.Code.String()
}
