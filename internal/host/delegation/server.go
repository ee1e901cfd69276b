package delegation

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/gateway"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/worker"
	"eelgrassladder.example/eelgrassladder/internal/model/delegation"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/peer/sibling"
	"eelgrassladder.example/eelgrassladder/internal/table/delegations"
)

const (
	// serverWorkers is the number of delegated statements that run or wait for an endpoint at
	// one time. Statements that wait are refused within a tenth of a second.
	serverWorkers = 256
	// expireInterval is how often idle transactions are looked for.
	expireInterval = 200 * time.Millisecond
	// idleMargin is how much later than the proxy that has the client this proxy rolls back
	// an idle transaction, so that the client's proxy does it in time if it can.
	idleMargin = 100 * time.Millisecond
)

// Server runs operations of other proxies' clients. Use NewServer to make one.
type Server struct {
	opener   Opener
	routes   gateway.Routes
	timer    eelgrassladder.Timer
	tasks    *task.Group
	observer Observer
	table    *delegations.Table
	// start starts the workers with the first stream. Most proxies never have one.
	start sync.Once
	// pauses tells how long messages may have waited for this process.
	pauses pauses
	// expireAfter is when idle transactions are looked for next. Only Sweep uses it.
	expireAfter time.Time
}

// Opener opens the sessions of operations.
type Opener interface {
	// OpenDelegated opens the session of an operation. It reports false if this proxy cannot
	// run it, because its configuration is older than the operation's.
	OpenDelegated(o delegation.Opening) (delegations.Session, bool)
}

// NewServer returns a Server that runs operations in sessions of the opener.
func NewServer(g Opener, r gateway.Routes, t eelgrassladder.Timer, tasks *task.Group, o Observer) *Server {
	return &Server{opener: g, routes: r, timer: t, tasks: tasks, observer: o, table: delegations.New()}
}

// Count returns the number of operations.
func (s *Server) Count() int { return s.table.Count() }

// Drain makes the server answer new operations as Moved.
func (s *Server) Drain() { s.table.Drain() }

// RunsDelegations reports whether the server takes further operations.
func (s *Server) RunsDelegations() bool { return !s.table.Draining() }

// RollBackIdle rolls back all transactions that wait for their next statement.
func (s *Server) RollBackIdle() { s.table.Expire(s.timer.Now().Add(time.Second)) }

// Sweep rolls back transactions that have been idle for too long.
func (s *Server) Sweep() {
	now := s.timer.Now()
	s.pauses.sweep(now)
	if now.Before(s.expireAfter) || s.table.Count() == 0 {
		return
	}
	s.expireAfter = now.Add(expireInterval)
	if limit := s.routes.Routes().Limits.TransactionIdleLimit; limit > 0 {
		for range s.table.Expire(now.Add(-limit - idleMargin)) {
			s.observer.OperationDelegated(SidePooler, Expired)
		}
	}
}

// ServeDelegations runs the operations of a stream until it ends, and then rolls back those
// that are open.
func (s *Server) ServeDelegations(stream *sibling.DelegationStream) {
	s.start.Do(func() {
		worker.New(serverWorkers, s.table, s.work).Start(s.tasks)
		s.tasks.Go("end of delegated operations", func(ctx context.Context) error {
			<-ctx.Done()
			s.table.Close()
			return ctx.Err()
		})
	})
	s.serve(stream)
}

// receiver is a stream that also receives.
type receiver interface {
	delegations.Stream
	// Receive returns the next request and the number of its operation.
	Receive() (uint64, delegation.Request, error)
	// Close ends the stream.
	Close()
}

// serve is ServeDelegations once the workers have been started.
func (s *Server) serve(stream receiver) {
	defer s.table.EndStream(stream)
	defer stream.Close()
	for {
		number, r, err := stream.Receive()
		if err != nil {
			return
		}
		if r.GivenUp {
			s.observer.OperationDelegated(SidePooler, GivenUp)
			s.table.GiveUp(stream, number)
			continue
		}
		now := s.timer.Now()
		switch s.table.Add(stream, number, r, now.Add(r.Left-s.pauses.delay(now))) {
		case delegations.Full:
			s.observer.OperationDelegated(SidePooler, Moved)
			err = stream.Send(number, delegation.Answer{Moved: true, Draining: s.table.Draining()})
		case delegations.Unknown:
			err = stream.Send(number, rolledBack(r.Statement))
		default:
		}
		if err != nil {
			return
		}
	}
}

// rolledBack returns the answer to a statement of a transaction that was rolled back, as it
// was if it is not open any more: the answer to its commit would have been the last.
func rolledBack(s statement.Statement) delegation.Answer {
	state := statement.InFailedTransaction
	if s.Kind == statement.Commit || s.Kind == statement.Rollback {
		state = statement.Idle
	}
	return delegation.Answer{Reply: statement.ErrorReply(statement.Aborted, "the pooler has rolled the transaction back").WithState(state)}
}

// work runs one statement of an operation, or closes the operation.
func (s *Server) work(_ context.Context, w delegations.Work) {
	o := w.Operation
	if w.Close {
		s.close(o)
		return
	}
	answer := s.run(w)
	open := !answer.Moved && answer.Reply.State == statement.InTransaction
	if !open && o.Session != nil {
		o.Session.Close()
	}
	// The next statement may come as soon as the answer is sent.
	if s.table.Finish(o, open, s.timer.Now()) {
		s.close(o)
	}
	if err := o.Send(answer); err == nil {
		return
	}
	// An answer that is too long, or a stream that failed. The asker gets no answer then, and
	// one that says so is sent if the stream still works.
	s.table.GiveUp(o.Stream(), o.Number())
	_ = o.Send(unsent)
}

// unsent is the answer in place of one that could not be sent.
var unsent = delegation.Answer{
	Reply: statement.ErrorReply(statement.InDoubt, "the pooler could not send the answer").WithState(statement.InFailedTransaction),
}

// close ends the session of an operation, and removes the operation.
func (s *Server) close(o *delegations.Operation) {
	if o.Session != nil {
		o.Session.Close()
	}
	s.table.Finish(o, false, s.timer.Now())
}

// run runs a statement and returns the answer. If it panics, the outcome of the statement is
// in doubt.
func (s *Server) run(w delegations.Work) (answer delegation.Answer) {
	o := w.Operation
	defer func() {
		if r := recover(); r != nil {
			klog.ErrorS(nil, "Running a delegated statement panicked", "Request", w.Request.Statement.ID, "Reason", r, "Stack", string(debug.Stack()))
			answer = delegation.Answer{Reply: statement.ErrorReply(statement.InDoubt, "internal error").WithState(statement.InFailedTransaction)}
		}
	}()
	opening, stale := w.Request.Opening, s.table.GivenUp(o) || !s.timer.Now().Before(w.Deadline)
	if stale && opening == nil {
		return rolledBack(w.Request.Statement)
	}
	if stale {
		return delegation.Answer{Reply: statement.ErrorReply(statement.Busy, "the pooler had no time left").WithState(failedState(opening))}
	}
	if opening != nil {
		session, ok := s.opener.OpenDelegated(*opening)
		if !ok {
			s.observer.OperationDelegated(SidePooler, Moved)
			return delegation.Answer{Moved: true}
		}
		s.observer.OperationDelegated(SidePooler, Served)
		o.Session = session
	}
	return o.Session.Do(w.Deadline, w.Request)
}

// failedState returns the state of the client's session after the first statement of an
// operation was refused.
func failedState(o *delegation.Opening) statement.State {
	if o.Begin.Kind != statement.Unknown {
		return statement.InFailedTransaction
	}
	return statement.Idle
}
