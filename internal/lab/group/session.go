package group

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/lab/sql"
	model "eelgrassladder.example/eelgrassladder/internal/model/group"
)

// session is a connection after its start-up. One goroutine uses it, except for the
// field cancelled.
type session struct {
	server  *server
	member  *Member
	backend *pgproto3.Backend
	// number identifies the session in cancel requests.
	number uint32
	// term is the term that the connection belongs to; zero for a control connection.
	term uint64
	// cancelled is closed and replaced by a cancel request. The mutex of the server's
	// sessions guards it.
	cancelled chan struct{}
	// settings holds the values that SET has set. DISCARD ALL clears it.
	settings map[string]string
	// temporary holds the temporary tables. DISCARD ALL clears it.
	temporary *sql.Database
	// transaction is the transaction that BEGIN opened, or nil.
	transaction *sql.Transaction
	// implicit is the transaction of a batch of statements that BEGIN did not open, or
	// nil.
	implicit *sql.Transaction
	// aborted is true once a statement in transaction has failed.
	aborted bool
	// skipping is true from a failure in a batch of the extended protocol until Sync.
	skipping bool
	prepared map[string]preparedStatement
	portals  map[string]portal
	// commandRun is true after a fence, a promotion or an order to follow, until its
	// answer is sent.
	commandRun bool
	// previousResult is the result of the previous query, for the defect SwapAnswers.
	previousResult sql.Result
}

// preparedStatement is a statement prepared by a Parse message.
type preparedStatement struct {
	statement sql.Statement
	types     []uint32
}

// portal is a prepared statement with bound arguments and result formats.
type portal struct {
	preparedStatement
	arguments []any
	formats   []int16
}

// newSession returns a session for a connection of a term.
func newSession(s *server, backend *pgproto3.Backend, term uint64) *session {
	return &session{
		server: s, member: s.member, backend: backend, term: term,
		cancelled: make(chan struct{}), settings: map[string]string{}, temporary: sql.NewDatabase(),
		prepared: map[string]preparedStatement{}, portals: map[string]portal{},
	}
}

// sessionTable finds sessions by their number.
type sessionTable struct {
	// mutex guards sessions, and the field cancelled of each of them. No other lock is
	// taken while it is held.
	mutex    sync.Mutex
	sessions map[uint32]*session
}

func (t *sessionTable) add(p *session) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.sessions == nil {
		t.sessions = map[uint32]*session{}
	}
	t.sessions[p.number] = p
}

func (t *sessionTable) remove(number uint32) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.sessions, number)
}

func (t *sessionTable) cancel(number uint32) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if p, ok := t.sessions[number]; ok {
		close(p.cancelled)
		p.cancelled = make(chan struct{})
	}
}

// cancelledChannel returns the channel that the next cancel request closes.
func (p *session) cancelledChannel() chan struct{} {
	p.server.sessions.mutex.Lock()
	defer p.server.sessions.mutex.Unlock()
	return p.cancelled
}

// run answers messages until the connection or ctx ends.
func (p *session) run(ctx context.Context) {
	for {
		received, err := p.backend.Receive()
		if err != nil {
			return
		}
		p.member.waitWhilePaused(ctx)
		if ctx.Err() != nil || !p.handle(ctx, received) {
			return
		}
	}
}

// handle answers one message and reports whether the connection goes on.
func (p *session) handle(ctx context.Context, received pgproto3.FrontendMessage) bool {
	switch m := received.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Query:
		p.simpleQuery(ctx, m.String)
		return p.ready(ctx)
	case *pgproto3.Sync:
		if !p.skipping {
			p.fail(p.commitImplicit())
		} else {
			p.implicit = nil
		}
		p.skipping = false
		return p.ready(ctx)
	case *pgproto3.Flush:
		return p.backend.Flush() == nil
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		if p.skipping {
			return true
		}
		if err := p.extendedQuery(ctx, m); err != nil {
			p.fail(err)
			p.skipping = true
			p.implicit = nil
		}
		return true
	default:
		p.fail(sql.NewError("08P01", "unexpected message"))
		return p.ready(ctx)
	}
}

// ready ends an answer with ReadyForQuery and reports whether the connection goes on. It
// sends nothing and returns false if the member has crashed or loses the answer.
func (p *session) ready(ctx context.Context) bool {
	p.member.waitWhilePaused(ctx)
	c := p.member.Conditions()
	if c.Crashed || (c.LoseAnswers && p.term != 0) || (c.LoseControlAnswers && p.commandRun) {
		return false
	}
	p.commandRun = false
	status := byte('I')
	if p.transaction != nil {
		status = 'T'
	}
	if p.aborted {
		status = 'E'
	}
	p.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return p.backend.Flush() == nil
}

// fail sends an error and marks an open transaction as aborted. It does nothing if err is
// nil.
func (p *session) fail(err error) {
	if err == nil {
		return
	}
	if p.transaction != nil {
		p.aborted = true
	}
	code, message := "XX000", err.Error()
	var sqlError *sql.Error
	if errors.As(err, &sqlError) {
		code, message = sqlError.Code, sqlError.Message
	}
	p.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message})
}

// commitImplicit commits the implicit transaction, if there is one.
func (p *session) commitImplicit() error {
	t := p.implicit
	p.implicit = nil
	if t == nil {
		return nil
	}
	_, err := p.member.commit(p.term, t)
	return err
}

// simpleQuery runs the statements of a Query message. Those that are in no transaction of
// BEGIN form one implicit transaction.
func (p *session) simpleQuery(ctx context.Context, source string) {
	statements, err := sql.Parse(source)
	if err != nil {
		p.fail(err)
		return
	}
	if len(statements) == 0 {
		p.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	var results []sql.Result
	for _, s := range statements {
		result, err := p.execute(ctx, s, nil)
		if err != nil {
			p.implicit = nil
			p.send(results, nil)
			p.fail(err)
			return
		}
		results = append(results, result)
	}
	if err := p.commitImplicit(); err != nil {
		p.fail(err)
		return
	}
	p.send(results, nil)
}

// send sends results with their row descriptions. Without formats, values are sent as
// text.
func (p *session) send(results []sql.Result, formats []int16) {
	for _, r := range results {
		if len(r.Columns) > 0 {
			p.backend.Send(describe(r.Columns, formats))
		}
		p.sendRows(r, formats)
	}
}

func (p *session) sendRows(r sql.Result, formats []int16) {
	for _, row := range r.Rows {
		values := make([][]byte, len(row))
		for i, v := range row {
			values[i] = encode(v, format(formats, i))
		}
		p.backend.Send(&pgproto3.DataRow{Values: values})
	}
	p.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.Tag)})
}

// execute runs one statement.
func (p *session) execute(ctx context.Context, s sql.Statement, arguments []any) (sql.Result, error) {
	if p.aborted && s.Verb != sql.Rollback && s.Verb != sql.Commit {
		return sql.Result{}, sql.NewError(sql.CodeAborted, "current transaction is aborted")
	}
	switch s.Verb {
	case sql.Begin, sql.Commit, sql.Rollback:
		return p.controlTransaction(s)
	case sql.Set:
		p.settings[s.Table] = textOf(s.Value(0, arguments))
		return sql.Result{Tag: "SET"}, nil
	case sql.Show:
		return sql.Result{
			Columns: []sql.Column{{Name: s.Table, Text: true}},
			Rows:    []sql.Row{{p.settings[s.Table]}}, Tag: "SHOW",
		}, nil
	case sql.Reset:
		p.reset()
		return sql.Result{Tag: "DISCARD ALL"}, nil
	case sql.Call:
		return p.callFunction(ctx, s, arguments)
	default:
		return p.runOnTables(ctx, s, arguments)
	}
}

// reset clears the state that a caller has left on the connection.
func (p *session) reset() {
	if p.member.Conditions().Defect != KeepSettings {
		p.settings = map[string]string{}
	}
	p.temporary = sql.NewDatabase()
	p.prepared = map[string]preparedStatement{}
	p.portals = map[string]portal{}
}

// controlTransaction runs BEGIN, COMMIT and ROLLBACK.
func (p *session) controlTransaction(s sql.Statement) (sql.Result, error) {
	switch {
	case s.Verb == sql.Begin:
		if p.transaction == nil {
			p.transaction = p.begin(s.ReadOnly)
		}
		return sql.Result{Tag: "BEGIN"}, nil
	case s.Verb == sql.Rollback || p.aborted:
		p.transaction = nil
		p.aborted = false
		return sql.Result{Tag: "ROLLBACK"}, nil
	case p.transaction == nil:
		return sql.Result{Tag: "COMMIT"}, nil
	default:
		t := p.transaction
		p.transaction = nil
		_, err := p.member.commit(p.term, t)
		return sql.Result{Tag: "COMMIT"}, err
	}
}

// begin returns a new transaction. At a member that is not a primary it is read-only.
func (p *session) begin(readOnly bool) *sql.Transaction {
	p.member.mutex.Lock()
	defer p.member.mutex.Unlock()
	notPrimary := p.member.role != model.Primary
	return sql.NewTransaction(p.member.database, p.temporary, readOnly || notPrimary)
}

// runOnTables holds a slot for the service time and then runs a statement on tables, in
// the open transaction or the implicit one.
func (p *session) runOnTables(ctx context.Context, s sql.Statement, arguments []any) (sql.Result, error) {
	t := p.transaction
	if t == nil {
		if p.implicit == nil {
			p.implicit = p.begin(false)
		}
		t = p.implicit
	}
	if err := p.holdSlot(ctx, p.member.Conditions().ServiceTime); err != nil {
		return sql.Result{}, err
	}
	p.member.mutex.Lock()
	defer p.member.mutex.Unlock()
	if err := p.member.checkTerm(p.term); err != nil {
		return sql.Result{}, err
	}
	if s.Verb == sql.Select {
		p.member.countRead()
	}
	result, err := t.Run(s, arguments)
	if s.Verb == sql.Select && err == nil && p.member.conditions.Defect == SwapAnswers {
		result, p.previousResult = p.previousResult, result
	}
	return result, err
}

// countRead counts a query by the member's role. The caller holds the mutex.
func (m *Member) countRead() {
	if m.role == model.Primary {
		m.primaryReads++
	} else {
		m.replicaReads++
	}
}

// holdSlot waits for a free slot and holds it for a time. It fails if the request is
// cancelled or ctx ends.
func (p *session) holdSlot(ctx context.Context, duration time.Duration) error {
	cancelled := p.cancelledChannel()
	select {
	case p.member.slots <- struct{}{}:
	case <-cancelled:
		return sql.NewError("57014", "canceling statement due to user request")
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-p.member.slots }()
	if duration == 0 {
		return nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		p.member.waitWhilePaused(ctx)
		return nil
	case <-cancelled:
		return sql.NewError("57014", "canceling statement due to user request")
	case <-ctx.Done():
		return ctx.Err()
	}
}
