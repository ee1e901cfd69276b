package gateway

import (
	"errors"
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/delegation"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
)

const (
	// maxPoolers is how many poolers a statement is sent to before this proxy runs it.
	maxPoolers = 3
	// delegatedReadShare is the part of the time that is left after which a read that a pooler
	// has not answered is run by this proxy.
	delegatedReadShare = 0.5
	// minDelegationTime is the time that must be left to ask a further pooler.
	minDelegationTime = 80 * time.Millisecond
)

// WithDelegator makes the gateway of the proxy with a name delegate operations. Without it, it
// runs all itself.
func WithDelegator(name string, d eelgrassladder.Delegator) Option {
	return func(g *Gateway) {
		g.name, g.delegator = name, d
		g.sweeps = append(g.sweeps, d.Sweep)
	}
}

// delegated is the part of a transaction that runs at a pooler.
type delegated struct {
	operation eelgrassladder.DelegatedOperation
	// values are the session values that the pooler has.
	values statement.Values
}

// runDelegated runs the statement at a pooler and returns the reply for the client. It reports
// false if this proxy has to run the statement, which has not run then, or only reads.
func (e *execution) runDelegated() (statement.Reply, bool) {
	t := e.session.transaction
	if t != nil && e.statement.Writes() {
		t.wrote = true
	}
	switch {
	case e.gateway.delegator == nil || e.session.origin != nil:
		return statement.Reply{}, false
	case t == nil:
		return e.delegate()
	case t.delegated != nil:
		return e.continueDelegated(), true
	case t.connection == nil:
		return e.delegate()
	default:
		return statement.Reply{}, false
	}
}

// delegate is runDelegated for the first statement of an operation. It asks poolers until one
// runs the statement. Of two that have no capacity, the second one's reply is the client's.
func (e *execution) delegate() (statement.Reply, bool) {
	var tried []string
	var refusal statement.Reply
	for len(tried) < maxPoolers && e.timeLeft() > minDelegationTime {
		o := e.gateway.delegator.Delegate(e.route.Group, e.team.Name, tried)
		if o == nil {
			break
		}
		tried = append(tried, o.Pooler())
		answer, err := o.Run(e.gateway.tasks.Context(), e.answerDeadline(), e.openingRequest())
		switch {
		case errors.Is(err, eelgrassladder.ErrNotDelegated):
			o.GiveUp()
		case err != nil:
			o.GiveUp()
			e.pooler = o.Pooler()
			return e.handleLost(err)
		case answer.Moved:
			o.End()
		case e.inDoubtRead(answer):
			o.End()
			return statement.Reply{}, false
		case answer.Reply.Code == statement.Busy && refusal.Code == statement.OK:
			o.End()
			e.accept(o, answer)
			refusal = answer.Reply
		default:
			return e.begun(o, answer), true
		}
	}
	if refusal.Code != statement.OK {
		return e.refused(refusal), true
	}
	return statement.Reply{}, false
}

// timeLeft returns the time until the reply must be ready.
func (e *execution) timeLeft() time.Duration { return e.deadline.Sub(e.gateway.timer.Now()) }

// waited returns the time since the statement arrived.
func (e *execution) waited() time.Duration { return e.gateway.timer.Now().Sub(e.arrived) }

// single reports whether the statement is an operation of its own.
func (e *execution) single() bool { return e.session.transaction == nil }

// answerDeadline returns until when the answer of a pooler is waited for.
func (e *execution) answerDeadline() time.Time {
	if !e.single() || e.statement.Writes() {
		return e.deadline
	}
	now := e.gateway.timer.Now()
	return now.Add(time.Duration(delegatedReadShare * float64(e.deadline.Sub(now))))
}

// openingRequest returns the request that begins the operation at a pooler.
func (e *execution) openingRequest() delegation.Request {
	s := e.session
	o := &delegation.Opening{
		Asker: e.gateway.name, Database: s.database, Team: e.team.Name, Version: e.routesVersion, Written: s.written,
	}
	if e.team.Limited {
		o.AdmittedAge = e.gateway.clock.SinceBoot() - e.admitted
	}
	if t := s.transaction; t != nil {
		o.Begin = t.begin
	}
	r := delegation.Request{Opening: o, Statement: e.statement, Waited: e.waited()}
	if values := s.values; !values.Empty() {
		r.Values = &values
	}
	return r
}

// inDoubtRead reports whether a pooler could not say what a single read returned. Another
// attempt does no harm.
func (e *execution) inDoubtRead(a delegation.Answer) bool {
	return e.single() && !e.statement.Writes() && a.Reply.Code == statement.InDoubt
}

// accept records what a pooler's answer shows.
func (e *execution) accept(o eelgrassladder.DelegatedOperation, a delegation.Answer) {
	e.pooler, e.endpointID, e.asPrimary = o.Pooler(), a.Endpoint, a.Primary
	e.attempts += a.Attempts
	e.session.written = e.session.written.Covering(a.Written)
}

// begun handles the answer to the first statement of an operation, which a pooler has run or
// refused, and returns the reply.
func (e *execution) begun(o eelgrassladder.DelegatedOperation, a delegation.Answer) statement.Reply {
	e.accept(o, a)
	t := e.session.transaction
	if t == nil {
		o.End()
		return a.Reply
	}
	t.sent = true
	t.delegated = &delegated{operation: o, values: e.session.values}
	return e.applyState(a)
}

// refused handles a refusal of the first statement of an operation, and returns the reply.
func (e *execution) refused(r statement.Reply) statement.Reply {
	if t := e.session.transaction; t != nil {
		t.failed = true
	}
	return r
}

// applyState gives the session's transaction the state in which it is at the pooler, and
// returns the reply. A transaction that is not open any more has ended at the pooler.
func (e *execution) applyState(a delegation.Answer) statement.Reply {
	t := e.session.transaction
	t.ranOutside = t.ranOutside || a.RanOutside
	if a.Reply.State == statement.InTransaction {
		return a.Reply
	}
	t.delegated.operation.End()
	t.delegated = nil
	if a.Reply.State == statement.Idle {
		e.session.transaction = nil
	} else {
		t.failed = true
	}
	return a.Reply
}

// continueDelegated runs a statement of the transaction that is open at a pooler.
func (e *execution) continueDelegated() statement.Reply {
	d := e.session.transaction.delegated
	e.pooler = d.operation.Pooler()
	r := delegation.Request{Statement: e.statement, Waited: e.waited()}
	if v := e.session.values; !v.Equal(d.values) {
		r.Values, d.values = &v, v
	}
	answer, err := d.operation.Run(e.gateway.tasks.Context(), e.deadline, r)
	if err != nil {
		d.operation.GiveUp()
		e.session.transaction.delegated = nil
		reply, _ := e.handleLost(err)
		return reply
	}
	e.accept(d.operation, answer)
	return e.applyState(answer)
}

// handleLost handles a statement that got no answer from its pooler, which was told to roll
// the operation back. It returns false for a single read, which this proxy can run.
func (e *execution) handleLost(err error) (statement.Reply, bool) {
	t := e.session.transaction
	notSent := errors.Is(err, eelgrassladder.ErrNotDelegated)
	reply := statement.ErrorReply(statement.InDoubt, err.Error())
	if errors.Is(err, eelgrassladder.ErrAnswerLate) {
		reply.Code = statement.TimedOut
	}
	if e.gateway.tasks.Context().Err() != nil {
		e.session.abandoned = true
		return statement.ErrorReply(statement.InDoubt, "the proxy stops"), true
	}
	if t == nil {
		return reply, e.statement.Writes()
	}
	commits := e.statement.Kind == statement.Commit
	if commits {
		e.session.transaction = nil
	} else {
		t.failed, t.sent = true, true
	}
	if commits && t.wrote && !notSent {
		return reply, true
	}
	return statement.ErrorReply(statement.Aborted, "the transaction was rolled back: "+err.Error()), true
}

// rollBackDelegated rolls back the transaction at its pooler. If the id of the client's
// rollback statement is not empty, it waits for the end of the rollback, so that the
// transaction holds nothing any more when the client is answered.
func (t *transaction) rollBackDelegated(g *Gateway, id string) {
	d := t.delegated
	t.delegated = nil
	if id == "" {
		d.operation.GiveUp()
		return
	}
	answer, err := d.operation.Run(g.tasks.Context(), g.timer.Now().Add(rollbackTimeout), delegation.Request{
		Statement: statement.Statement{ID: id, Kind: statement.Rollback},
	})
	if err != nil || answer.Reply.State == statement.InTransaction {
		d.operation.GiveUp()
		return
	}
	t.ranOutside = t.ranOutside || answer.RanOutside
	d.operation.End()
}
