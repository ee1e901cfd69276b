package delegation

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/host/worker"
	"eelgrassladder.example/eelgrassladder/internal/model/delegation"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/table/delegations"
)

// asked is the receiving side of a fake stream.
type asked struct{ *fakeStream }

func (s asked) Receive() (uint64, delegation.Request, error) {
	select {
	case r := <-s.requests:
		return r.number, r.value, nil
	case <-s.closed:
		return 0, delegation.Request{}, errBroken
	}
}

func (s asked) Send(number uint64, a delegation.Answer) error {
	if s.sendError != nil && len(a.Reply.Rows) > 0 {
		return s.sendError
	}
	s.answers <- numbered[delegation.Answer]{number, a}
	return nil
}

// serverFixture is a server whose sessions the test controls. It is its opener.
type serverFixture struct {
	*Server
	counts
	timer  *timer.Manual
	stream asked

	// mutex guards the fields below. No other lock is taken while it is held.
	guard sync.Mutex
	// ran holds the statements that ran, and closed counts the sessions that were closed.
	ran    []statement.Kind
	closed int
	// hold makes statements wait until it is closed; nil for not at all.
	hold chan struct{}
	// running receives a value for each statement that starts.
	running chan struct{}
	old     bool
}

func newServerFixture(t *testing.T) *serverFixture {
	t.Helper()
	f := &serverFixture{timer: timer.NewManual(time.Unix(1000, 0)), stream: asked{newFakeStream()}, running: make(chan struct{}, 100)}
	tasks := task.New(context.Background())
	f.Server = NewServer(f, f, f.timer, tasks, f)
	worker.New(4, f.table, f.work).Start(tasks)
	tasks.GoIsolated("stream", func(context.Context) { f.serve(f.stream) })
	t.Cleanup(func() {
		f.stream.Close()
		tasks.Stop()
		f.table.Close()
		_ = tasks.Wait()
	})
	return f
}

func (f *serverFixture) Routes() route.Table {
	return route.NewTable(1).WithLimits(route.Limits{TransactionIdleLimit: time.Second})
}

func (f *serverFixture) Known() <-chan struct{} { return nil }

func (f *serverFixture) OpenDelegated(o delegation.Opening) (delegations.Session, bool) {
	if f.old {
		return nil, false
	}
	return &fakeSession{fixture: f, transaction: o.Begin.Kind != statement.Unknown}, true
}

// fakeSession is a session that answers each statement.
type fakeSession struct {
	fixture     *serverFixture
	transaction bool
}

func (s *fakeSession) Do(_ time.Time, r delegation.Request) delegation.Answer {
	f := s.fixture
	f.guard.Lock()
	f.ran = append(f.ran, r.Statement.Kind)
	hold := f.hold
	f.guard.Unlock()
	f.running <- struct{}{}
	if hold != nil {
		<-hold
	}
	if r.Statement.Text == "panic" {
		panic("unexpected")
	}
	a := delegation.Answer{Reply: statement.Reply{Rows: []string{"row"}}}
	if s.transaction && r.Statement.Kind != statement.Commit {
		a.Reply.State = statement.InTransaction
	}
	return a
}

func (s *fakeSession) Close() {
	s.fixture.guard.Lock()
	defer s.fixture.guard.Unlock()
	s.fixture.closed++
}

// closedSessions returns how many sessions were closed.
func (f *serverFixture) closedSessions() int {
	f.guard.Lock()
	defer f.guard.Unlock()
	return f.closed
}

// ask sends a request of an operation.
func (f *serverFixture) ask(number uint64, r delegation.Request) {
	r.Left = 500 * time.Millisecond
	f.stream.requests <- numbered[delegation.Request]{number, r}
}

// do runs a statement and returns the answer.
func (f *serverFixture) do(t *testing.T, number uint64, r delegation.Request) delegation.Answer {
	t.Helper()
	f.ask(number, r)
	a := <-f.stream.answers
	assert.Equal(t, a.number, number)
	return a.value
}

// awaitClosed waits until n sessions were closed and no operation is left.
func (f *serverFixture) awaitClosed(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); f.closedSessions() < n || f.Count() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d sessions were closed, %d operations are left", f.closedSessions(), f.Count())
	}
	assert.Equal(t, f.closedSessions(), n)
}

// The requests of the tests.
var (
	first = delegation.Request{
		Opening: &delegation.Opening{Begin: statement.Statement{Kind: statement.Begin}}, Statement: statement.Statement{Kind: statement.Write},
	}
	single = delegation.Request{Opening: &delegation.Opening{}, Statement: statement.Statement{Kind: statement.Read}}
	next   = delegation.Request{Statement: statement.Statement{Kind: statement.Read}}
	end    = delegation.Request{Statement: statement.Statement{Kind: statement.Commit}}
)

// TestOperationsEndWithTheirLastStatement guards against sessions that are left open.
func TestOperationsEndWithTheirLastStatement(t *testing.T) {
	f := newServerFixture(t)
	assert.Equal(t, f.do(t, 1, single).Reply.State, statement.Idle)
	assert.Equal(t, f.do(t, 2, first).Reply.State, statement.InTransaction)
	assert.Equal(t, f.do(t, 3, first).Reply.State, statement.InTransaction)
	assert.Equal(t, f.do(t, 2, next).Reply.State, statement.InTransaction)
	assert.Equal(t, f.Count(), 2)
	f.do(t, 2, end)
	f.do(t, 3, end)
	f.awaitClosed(t, 3)
}

// TestAnOperationThatCannotBeginIsMoved guards against a pooler that runs statements under an
// older configuration, and against one that takes new ones while it stops.
func TestAnOperationThatCannotBeginIsMoved(t *testing.T) {
	f := newServerFixture(t)
	f.old = true
	assert.Assert(t, f.do(t, 1, single).Moved)
	f.old = false
	f.do(t, 2, first)
	f.Drain()
	assert.Assert(t, f.do(t, 3, single).Moved)
	assert.Assert(t, f.do(t, 4, first).Moved)
	assert.Equal(t, f.do(t, 2, next).Reply.Code, statement.OK, "an open transaction ended when the pooler began to stop")
	assert.Equal(t, f.Count(), 1)
	f.RollBackIdle()
	f.awaitClosed(t, 1)
	assert.Equal(t, f.get(SidePooler, Moved), 3)
	assert.Equal(t, len(f.ran), 2)
}

// TestLongOperationsDoNotFillThePooler guards against a pooler whose memory the messages of many
// other proxies exhaust.
func TestLongOperationsDoNotFillThePooler(t *testing.T) {
	f := newServerFixture(t)
	long := first
	long.Statement.Text = strings.Repeat("x", 1<<20)
	moved := 0
	for number := range uint64(20) {
		if a := f.do(t, number, long); a.Moved {
			assert.Assert(t, !a.Draining)
			moved++
		}
	}
	assert.Equal(t, moved, 12)
	assert.Assert(t, !f.do(t, 30, single).Moved, "short operations are moved too")
	for number := range uint64(8) {
		f.do(t, number, end)
	}
	f.awaitClosed(t, 9)
	assert.Assert(t, !f.do(t, 40, long).Moved)
}

// TestAnOperationIsRolledBack guards against transactions that stay open, and hold locks, after
// the client or its proxy has gone.
func TestAnOperationIsRolledBack(t *testing.T) {
	for name, leave := range map[string]func(f *serverFixture){
		"the operation is given up": func(f *serverFixture) { f.ask(1, delegation.Request{GivenUp: true}) },
		"the stream ends":           func(f *serverFixture) { f.stream.Close() },
		"the transaction is idle": func(f *serverFixture) {
			f.timer.Advance(time.Second + idleMargin)
			f.Sweep()
			assert.Equal(t, f.Count(), 1, "the transaction was rolled back before its time")
			f.timer.Advance(expireInterval)
			f.Sweep()
		},
	} {
		f := newServerFixture(t)
		f.do(t, 1, first)
		leave(f)
		f.awaitClosed(t, 1)
		assert.Equal(t, len(f.ran), 1, name)
	}
}

// TestARunningStatementIsRolledBackWhenItEnds guards against a connection that is used by two
// goroutines, and against a transaction that is forgotten because it was busy.
func TestARunningStatementIsRolledBackWhenItEnds(t *testing.T) {
	for name, leave := range map[string]func(f *serverFixture){
		"the operation is given up": func(f *serverFixture) { f.ask(1, delegation.Request{GivenUp: true}) },
		"the stream ends":           func(f *serverFixture) { f.stream.Close() },
	} {
		f := newServerFixture(t)
		f.hold = make(chan struct{})
		f.ask(1, first)
		<-f.running
		leave(f)
		f.timer.Advance(time.Hour)
		f.Sweep()
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, f.closedSessions(), 0, name)
		close(f.hold)
		f.awaitClosed(t, 1)
	}
}

// TestAStatementOfAnEndedTransactionIsAborted guards against a statement that runs outside of its
// transaction, which was rolled back.
func TestAStatementOfAnEndedTransactionIsAborted(t *testing.T) {
	f := newServerFixture(t)
	f.do(t, 1, first)
	f.timer.Advance(time.Hour)
	f.Sweep()
	f.awaitClosed(t, 1)
	a := f.do(t, 1, next)
	assert.Equal(t, a.Reply.Code, statement.Aborted)
	assert.Equal(t, a.Reply.State, statement.InFailedTransaction)
	a = f.do(t, 1, end)
	assert.Equal(t, a.Reply.Code, statement.Aborted)
	assert.Equal(t, a.Reply.State, statement.Idle)
	assert.Equal(t, len(f.ran), 1)
}

// TestAStatementWithoutTimeIsNotRun guards against statements that run long after their clients
// were answered, because the pooler was frozen or its workers were busy.
func TestAStatementWithoutTimeIsNotRun(t *testing.T) {
	f := newServerFixture(t)
	f.do(t, 1, first)
	<-f.running
	f.hold = make(chan struct{})
	for number := range uint64(4) { // as many as there are workers
		f.ask(10+number, single)
		<-f.running
	}
	f.ask(1, end)
	f.ask(2, first)
	f.ask(3, single)
	for f.Count() < 7 {
		time.Sleep(time.Millisecond)
	}
	f.timer.Advance(500 * time.Millisecond)
	close(f.hold)
	answers := map[uint64]delegation.Answer{}
	for range 7 {
		a := <-f.stream.answers
		answers[a.number] = a.value
	}
	assert.Equal(t, answers[1].Reply.Code, statement.Aborted)
	assert.Equal(t, answers[2].Reply.Code, statement.Busy)
	assert.Equal(t, answers[2].Reply.State, statement.InFailedTransaction)
	assert.Equal(t, answers[3].Reply.Code, statement.Busy)
	assert.Equal(t, answers[3].Reply.State, statement.Idle)
	assert.Equal(t, len(f.ran), 5)
	f.awaitClosed(t, 5)
}

// TestAnAnswerThatCannotBeSentIsInDoubt guards against a client's proxy that waits for an answer
// which is too long to be sent, and against a transaction that stays open behind it.
func TestAnAnswerThatCannotBeSentIsInDoubt(t *testing.T) {
	f := newServerFixture(t)
	f.stream.sendError = errBroken
	assert.Equal(t, f.do(t, 1, first).Reply.Code, statement.InDoubt)
	f.awaitClosed(t, 1)
}

// TestAPanicEndsOneOperation guards against a statement that ends the process or is never
// answered.
func TestAPanicEndsOneOperation(t *testing.T) {
	f := newServerFixture(t)
	r := first
	r.Statement.Text = "panic"
	assert.Equal(t, f.do(t, 1, r).Reply.Code, statement.InDoubt)
	f.awaitClosed(t, 1)
	assert.Equal(t, f.do(t, 2, single).Reply.Code, statement.OK)
}
