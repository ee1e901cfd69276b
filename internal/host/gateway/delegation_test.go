package gateway_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/clock"
	"eelgrassladder.example/eelgrassladder/internal/host/gateway"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/delegation"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/model/team"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/policy/sharing"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// pooler is what a fake pooler does with a request.
type pooler func(r delegation.Request) (delegation.Answer, error)

// delegator is a Delegator whose poolers are asked in the order of their names.
type delegator struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex   sync.Mutex
	names   []string
	poolers map[string]pooler
	// asked holds the names of the poolers in the order in which they got a request, and
	// requests the requests.
	asked    []string
	requests []delegation.Request
	// open counts the operations that were not ended, and givenUp those that were given up.
	open, givenUp int
}

func (d *delegator) Delegate(_, _ string, tried []string) eelgrassladder.DelegatedOperation {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, name := range d.names {
		if !slices.Contains(tried, name) {
			d.open++
			return &delegatedOperation{delegator: d, name: name}
		}
	}
	return nil
}

func (d *delegator) Sweep() {}

// delegatedOperation is an operation at a fake pooler.
type delegatedOperation struct {
	delegator *delegator
	name      string
}

func (o *delegatedOperation) Pooler() string { return o.name }

func (o *delegatedOperation) Run(_ context.Context, _ time.Time, r delegation.Request) (delegation.Answer, error) {
	d := o.delegator
	d.mutex.Lock()
	d.asked = append(d.asked, o.name)
	d.requests = append(d.requests, r)
	f := d.poolers[o.name]
	d.mutex.Unlock()
	return f(r)
}

func (o *delegatedOperation) End() {
	o.delegator.mutex.Lock()
	defer o.delegator.mutex.Unlock()
	o.delegator.open--
}

func (o *delegatedOperation) GiveUp() {
	o.delegator.mutex.Lock()
	defer o.delegator.mutex.Unlock()
	o.delegator.open--
	o.delegator.givenUp++
}

// The fake poolers.
func unreachable(delegation.Request) (delegation.Answer, error) {
	return delegation.Answer{}, eelgrassladder.ErrNotDelegated
}

func moved(delegation.Request) (delegation.Answer, error) { return delegation.Answer{Moved: true}, nil }

func lost(delegation.Request) (delegation.Answer, error) {
	return delegation.Answer{}, eelgrassladder.ErrAnswerLost
}

func late(delegation.Request) (delegation.Answer, error) {
	return delegation.Answer{}, eelgrassladder.ErrAnswerLate
}

func busy(r delegation.Request) (delegation.Answer, error) {
	reply := statement.ErrorReply(statement.Busy, "full")
	if r.Opening != nil && r.Opening.Begin.Kind != statement.Unknown {
		reply.State = statement.InFailedTransaction
	}
	return delegation.Answer{Reply: reply}, nil
}

// serves answers each statement, and keeps a transaction open until its end.
func serves(r delegation.Request) (delegation.Answer, error) {
	reply := statement.Reply{Rows: []string{"pooled"}, Signature: "sig", Position: position.Position{Term: 1, Log: 20}}
	ends := r.Statement.Kind == statement.Commit || r.Statement.Kind == statement.Rollback
	if !ends && (r.Opening == nil || r.Opening.Begin.Kind != statement.Unknown) {
		reply.State = statement.InTransaction
	}
	return delegation.Answer{Reply: reply, Written: position.Position{Term: 1, Log: 20}, Endpoint: "p", Primary: true, Attempts: 1}, nil
}

// inOrder returns a pooler that does one thing after another.
func inOrder(poolers ...pooler) pooler {
	i := 0
	return func(r delegation.Request) (delegation.Answer, error) {
		i++
		return poolers[min(i, len(poolers))-1](r)
	}
}

// directRuns counts what runs on the proxy's own connections.
type directRuns struct {
	eelgrassladder.Connection
	mutex sync.Mutex
	texts []string
	// state is the state of the only connection.
	state statement.State
}

func (c *directRuns) Connect(context.Context, topology.Endpoint, string) (eelgrassladder.Connection, statement.Reply, error) {
	return c, statement.Reply{}, nil
}

func (c *directRuns) Team() string { return "" }

func (c *directRuns) Charge(eelgrassladder.Account) {}

func (c *directRuns) Retained() int { return 0 }

func (c *directRuns) ApplySession(time.Time, statement.Values, statement.Statement) (statement.Reply, error) {
	return statement.Reply{}, nil
}

func (c *directRuns) Begin(time.Time, statement.Statement, position.Position) (statement.Reply, error) {
	c.state = statement.InTransaction
	return statement.Reply{State: c.state}, nil
}

func (c *directRuns) Rollback(time.Time, string) (statement.Reply, error) {
	c.state = statement.Idle
	return statement.Reply{}, nil
}

func (c *directRuns) Run(_ time.Time, s statement.Statement, _ position.Position) (statement.Reply, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.texts = append(c.texts, s.Text)
	if s.Kind == statement.Commit {
		c.state = statement.Idle
	}
	return statement.Reply{State: c.state, Rows: []string{"direct"}, Signature: "sig", Position: position.Position{Term: 1, Log: 6}}, nil
}

func (c *directRuns) Close() {}

func (c *directRuns) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.texts)
}

// routes are the routes of the tests, and the Prover, which proves nothing.
type routes struct{ table route.Table }

func (r routes) Routes() route.Table { return r.table }

func (r routes) Known() <-chan struct{} {
	known := make(chan struct{})
	close(known)
	return known
}

func (routes) Prove(string) <-chan struct{} { return nil }

// observer keeps the last answer.
type observer struct{ last *gateway.Answered }

func (o observer) Answered(a gateway.Answered) { *o.last = a }

func (observer) AttemptFailed(gateway.FailedAttempt) {}

// countedQuotas grants all rights and counts them.
type countedQuotas struct{ taken, givenBack atomic.Int32 }

func (q *countedQuotas) Take(context.Context, team.Team, int) bool {
	q.taken.Add(1)
	return true
}

func (q *countedQuotas) GiveBack(team.Team, time.Duration) { q.givenBack.Add(1) }

// bench is a gateway whose group has one endpoint, which is the primary.
type bench struct {
	gateway   *gateway.Gateway
	tasks     *task.Group
	delegator *delegator
	direct    *directRuns
	quotas    *countedQuotas
	last      gateway.Answered
}

// newBench returns a bench whose poolers have the names a, b and so on.
func newBench(t *testing.T, poolers ...pooler) *bench {
	t.Helper()
	b := &bench{delegator: &delegator{poolers: map[string]pooler{}}, direct: &directRuns{}, quotas: &countedQuotas{}}
	for i, p := range poolers {
		name := string(rune('a' + i))
		b.delegator.names = append(b.delegator.names, name)
		b.delegator.poolers[name] = p
	}
	tasks, service, c := task.New(context.Background()), timer.New(), clock.Host{}
	b.tasks = tasks
	tasks.Go("timer", service.Run)
	table := scheduler.New(service, c, "here")
	table.SetEndpoints(topology.New(topology.Endpoint{ID: "p", Group: "g", Address: "1", DataCentre: "here", Slots: 2, Primary: true}))
	table.SetShares(sharing.NewFleet("self"), func(string) int { return 4 })
	table.UpdateLeader("g", func(l leader.State) leader.State {
		return l.WithPrimary("p", 1, c.SinceBoot()).WithProof(c.SinceBoot()).WithSample(c.SinceBoot(), position.Position{Term: 1, Log: 5})
	})
	r := routes{route.NewTable(4).WithRoutes(
		route.Route{Database: "d", Group: "g", Timeout: time.Second, Target: 300 * time.Millisecond},
		route.Route{Database: "own", Group: "g", Timeout: time.Second, Target: 300 * time.Millisecond, Consistency: route.ReadYourWrites, Staleness: time.Second},
		route.Route{Database: "teams", Group: "g", Timeout: time.Second, Target: 300 * time.Millisecond},
	).WithGroups(route.Group{Name: "g", Connections: 4}).WithTeams(team.NewDirectory(
		team.Entry{Team: team.Team{Name: "bakery"}.WithLimit(5, 5), Keys: []string{"limited"}},
		team.Entry{Team: team.Team{Name: "hotel"}, Keys: []string{"free"}},
	))}
	b.gateway = gateway.New(service, c, table, b.direct, r, r, observer{&b.last}, tasks, gateway.WithDelegator("self", b.delegator), gateway.WithQuotas(b.quotas))
	b.gateway.Start()
	t.Cleanup(func() {
		tasks.Stop()
		_ = tasks.Wait()
	})
	return b
}

// open opens a session.
func (b *bench) open(t *testing.T) *gateway.Session {
	t.Helper()
	s, reply := b.gateway.Open("d", "free")
	assert.Assert(t, s != nil, "%v", reply)
	return s
}

var (
	read     = statement.Statement{ID: "q1", Kind: statement.Read, Text: "READ a"}
	write    = statement.Statement{ID: "q2", Kind: statement.Write, Text: "WRITE a v"}
	begin    = statement.Statement{ID: "q3", Kind: statement.Begin, Text: "BEGIN"}
	commit   = statement.Statement{ID: "q4", Kind: statement.Commit, Text: "COMMIT"}
	rollback = statement.Statement{ID: "q5", Kind: statement.Rollback, Text: "ROLLBACK"}
)

// TestAStatementThatNoPoolerHasIsRunDirectly guards against statements that are rejected, or run
// twice, because poolers are down or drain.
func TestAStatementThatNoPoolerHasIsRunDirectly(t *testing.T) {
	for name, poolers := range map[string][]pooler{
		"unreachable": {unreachable, unreachable}, "moved": {moved, moved}, "both": {moved, unreachable}, "none": nil,
	} {
		for _, st := range []statement.Statement{read, write} {
			b := newBench(t, poolers...)
			assert.DeepEqual(t, b.open(t).Do(st).Rows, []string{"direct"})
			assert.Equal(t, b.direct.count(), 1, name)
			assert.Equal(t, len(b.delegator.asked), len(poolers), name)
			assert.Equal(t, b.delegator.open, 0)
		}
		b := newBench(t, poolers...)
		s := b.open(t)
		for _, st := range []statement.Statement{begin, read, write, commit} {
			assert.Equal(t, s.Do(st).Code, statement.OK, name)
		}
		assert.Equal(t, len(b.delegator.asked), len(poolers), "a transaction was moved between connections")
	}
}

// TestAnotherPoolerIsAskedForWhatDidNotRun guards against a statement that is run directly, or
// rejected, while another pooler could run it.
func TestAnotherPoolerIsAskedForWhatDidNotRun(t *testing.T) {
	for name, first := range map[string]pooler{"unreachable": unreachable, "moved": moved, "busy": busy} {
		for _, st := range []statement.Statement{read, write} {
			b := newBench(t, first, serves)
			assert.DeepEqual(t, b.open(t).Do(st).Rows, []string{"pooled"})
			assert.DeepEqual(t, b.delegator.asked, []string{"a", "b"})
			assert.Equal(t, b.direct.count(), 0, name)
			assert.Equal(t, b.last.Pooler, "b")
		}
		b := newBench(t, first, serves)
		s := b.open(t)
		for _, st := range []statement.Statement{begin, write, read, commit} {
			assert.Equal(t, s.Do(st).Code, statement.OK, name)
		}
		assert.DeepEqual(t, b.delegator.asked, []string{"a", "b", "b", "b"})
		assert.Equal(t, b.direct.count()+b.delegator.open, 0)
	}
}

// TestARejectedStatementIsTriedAtOneOtherPooler guards against rejections that move from pooler
// to pooler, and against rejected statements that are run directly.
func TestARejectedStatementIsTriedAtOneOtherPooler(t *testing.T) {
	for _, poolers := range [][]pooler{{busy}, {busy, busy, serves}, {busy, unreachable}} {
		b := newBench(t, poolers...)
		assert.Equal(t, b.open(t).Do(write).Code, statement.Busy)
		assert.Equal(t, len(b.delegator.asked), min(len(poolers), 2))
		s := b.open(t)
		s.Do(begin)
		reply := s.Do(write)
		assert.Equal(t, reply.Code, statement.Busy)
		assert.Equal(t, reply.State, statement.InFailedTransaction)
		assert.Equal(t, s.Do(rollback).State, statement.Idle)
		assert.Equal(t, b.direct.count()+b.delegator.open, 0)
	}
}

// TestALostReadIsRunDirectly guards against reads that fail because their pooler has ended.
func TestALostReadIsRunDirectly(t *testing.T) {
	inDoubt := func(delegation.Request) (delegation.Answer, error) {
		return delegation.Answer{Reply: statement.ErrorReply(statement.InDoubt, "")}, nil
	}
	for _, p := range []pooler{lost, late, inDoubt} {
		b := newBench(t, p, serves)
		assert.DeepEqual(t, b.open(t).Do(read).Rows, []string{"direct"})
		assert.Equal(t, b.delegator.open, 0)
	}
}

// TestALostWriteOrCommitIsInDoubt guards against a write or a commit that runs a second time, and
// against a reply that promises that it did not run.
func TestALostWriteOrCommitIsInDoubt(t *testing.T) {
	for _, c := range []struct {
		pooler pooler
		code   statement.Code
	}{{lost, statement.InDoubt}, {late, statement.TimedOut}} {
		b := newBench(t, c.pooler, serves)
		assert.Equal(t, b.open(t).Do(write).Code, c.code)
		assert.DeepEqual(t, b.delegator.asked, []string{"a"})
		assert.Equal(t, b.last.Pooler, "a", "the log line of the failure lacks the pooler")

		b = newBench(t, inOrder(serves, c.pooler), serves)
		s := b.open(t)
		s.Do(begin)
		s.Do(write)
		reply := s.Do(commit)
		assert.Equal(t, reply.Code, c.code)
		assert.Equal(t, reply.State, statement.Idle)
		assert.Equal(t, b.delegator.givenUp, 1)
		assert.Equal(t, b.direct.count()+b.delegator.open, 0)
	}
}

// TestALostStatementAbortsItsTransaction guards against a transaction of which a part takes
// effect, and against one that continues on another connection.
func TestALostStatementAbortsItsTransaction(t *testing.T) {
	for _, p := range []pooler{lost, late, unreachable} {
		for _, before := range [][]statement.Statement{{read}, {read, write}, {write, write}} {
			b := newBench(t, inOrder(serves, p), serves)
			s := b.open(t)
			s.Do(begin)
			assert.Equal(t, s.Do(before[0]).Code, statement.OK)
			reply := s.Do(write)
			assert.Equal(t, reply.Code, statement.Aborted)
			assert.Equal(t, reply.State, statement.InFailedTransaction)
			assert.Equal(t, s.Do(commit).Code, statement.Aborted)
			assert.Equal(t, s.State(), statement.Idle)
			assert.Equal(t, b.delegator.givenUp, 1)
			for _, r := range b.delegator.requests {
				assert.Assert(t, r.Statement.Kind != statement.Commit, "the commit was sent")
			}
			assert.Equal(t, b.direct.count()+b.delegator.open, 0)
		}
	}
	// The first statement, and commits that change nothing or were not sent.
	for _, c := range []struct {
		name    string
		pooler  pooler
		between []statement.Statement
		last    statement.Statement
		state   statement.State
	}{
		{"first statement", lost, nil, write, statement.InFailedTransaction},
		{"commit of reads", inOrder(serves, lost), []statement.Statement{read}, commit, statement.Idle},
		{"commit that was not sent", inOrder(serves, unreachable), []statement.Statement{write}, commit, statement.Idle},
	} {
		b := newBench(t, c.pooler, serves)
		s := b.open(t)
		s.Do(begin)
		for _, st := range c.between {
			assert.Equal(t, s.Do(st).Code, statement.OK)
		}
		reply := s.Do(c.last)
		assert.Equal(t, reply.Code, statement.Aborted, c.name)
		assert.Equal(t, reply.State, c.state, c.name)
		assert.Equal(t, b.direct.count()+b.delegator.open, 0, c.name)
	}
}

// TestAClientThatLeavesGivesItsOperationUp guards against transactions that stay open at a pooler.
func TestAClientThatLeavesGivesItsOperationUp(t *testing.T) {
	for name, leave := range map[string]func(s *gateway.Session){
		"the client leaves":     (*gateway.Session).Close,
		"the client is idle":    (*gateway.Session).FailTransaction,
		"a second BEGIN":        func(s *gateway.Session) { s.Do(begin) },
		"an unknown prepared":   func(s *gateway.Session) { s.Do(statement.Statement{Kind: statement.Execute, Name: "none"}) },
		"an unknown statement":  func(s *gateway.Session) { s.Do(statement.Statement{}) },
		"an answer is not sent": func(s *gateway.Session) { s.FailTransaction(); s.Close() },
	} {
		b := newBench(t, serves)
		s := b.open(t)
		s.Do(begin)
		s.Do(write)
		leave(s)
		assert.Equal(t, b.delegator.givenUp, 1, name)
		assert.Equal(t, b.delegator.open, 0, name)
	}
}

// TestAPoolerRollsBackBeforeTheClientIsAnswered guards against locks that the transaction still
// holds after the client's ROLLBACK.
func TestAPoolerRollsBackBeforeTheClientIsAnswered(t *testing.T) {
	b := newBench(t, serves)
	s := b.open(t)
	s.Do(begin)
	s.Do(write)
	assert.Equal(t, s.Do(rollback).State, statement.Idle)
	last := b.delegator.requests[len(b.delegator.requests)-1]
	assert.Equal(t, last.Statement.Kind, statement.Rollback)
	assert.Equal(t, last.Statement.ID, rollback.ID)
	assert.Equal(t, b.delegator.open+b.delegator.givenUp, 0)
}

// TestAWriteOutsideOfItsTransactionIsInDoubt guards against a promise that a write had no effect
// which ran while no transaction was open.
func TestAWriteOutsideOfItsTransactionIsInDoubt(t *testing.T) {
	outside := func(delegation.Request) (delegation.Answer, error) {
		return delegation.Answer{Reply: statement.ErrorReply(statement.InDoubt, "").WithState(statement.InFailedTransaction), RanOutside: true}, nil
	}
	for _, end := range []statement.Statement{commit, rollback} {
		b := newBench(t, outside)
		s := b.open(t)
		s.Do(begin)
		assert.Equal(t, s.Do(write).Code, statement.InDoubt)
		assert.Equal(t, s.Do(end).Code, statement.InDoubt)
	}
}

// TestAPoolerKnowsTheSession guards against operations that run with other session values,
// prepared statements or positions than those acknowledged to the client.
func TestAPoolerKnowsTheSession(t *testing.T) {
	b := newBench(t, serves)
	s, _ := b.gateway.Open("own", "free")
	set := func(value string) { s.Do(statement.Statement{Kind: statement.Set, Name: "colour", Value: value}) }
	prepared := statement.Prepared{Writes: true, Text: "WRITE q2c"}
	s.Do(statement.Statement{Kind: statement.Prepare, Name: "s1", Prepared: prepared})
	set("blue")
	s.Do(statement.Statement{ID: "q", Kind: statement.Execute, Name: "s1", Arguments: " a b"})
	s.Do(begin)
	s.Do(read)
	s.Do(read)
	set("red")
	s.Do(read)
	s.Do(commit)
	r := b.delegator.requests
	assert.Equal(t, len(r), 5)
	assert.Equal(t, r[0].Statement.Prepared, prepared)
	assert.Equal(t, r[0].Opening.Version, uint64(4))
	assert.Equal(t, r[0].Opening.Asker, "self")
	assert.Assert(t, r[0].Values.Holds("colour", "blue"))
	assert.Equal(t, r[0].Opening.Written, position.Position{})
	assert.Equal(t, r[1].Opening.Written, position.Position{Term: 1, Log: 20}, "the session's commit at a pooler is forgotten")
	assert.Equal(t, r[1].Opening.Begin, begin)
	assert.Assert(t, r[2].Values == nil && r[2].Opening == nil, "what the pooler has is sent again")
	assert.Assert(t, r[3].Values.Holds("colour", "red"))
	assert.Assert(t, r[4].Values == nil)
}

// TestAnOperationRunsUnderAConfigurationThatIsNewEnough guards against operations that a pooler
// runs by a route of an older version, or in the name of another team.
func TestAnOperationRunsUnderAConfigurationThatIsNewEnough(t *testing.T) {
	b := newBench(t)
	for _, c := range []struct {
		opening delegation.Opening
		runs    bool
	}{
		{delegation.Opening{Database: "d", Version: 4}, true},
		{delegation.Opening{Database: "d", Version: 3}, true},
		{delegation.Opening{Database: "d", Version: 5}, false},
		{delegation.Opening{Database: "gone", Version: 1}, false},
	} {
		c.opening.Asker, c.opening.Team = "other", "bakery"
		s, ok := b.gateway.OpenDelegated(c.opening)
		assert.Equal(t, ok, c.runs, "%+v", c.opening)
		if !ok {
			continue
		}
		a := s.Do(time.Now().Add(time.Second), delegation.Request{Statement: write, Left: time.Second})
		assert.DeepEqual(t, a.Reply.Rows, []string{"direct"})
		assert.Equal(t, a.Written, position.Position{Term: 1, Log: 6})
		assert.Equal(t, b.last.Asker, "other")
		assert.Equal(t, b.last.Team, "bakery")
		s.Close()
	}
}

// TestAProxyThatIsAskedServes guards against operations that are passed on from proxy to proxy,
// because they know different poolers.
func TestAProxyThatIsAskedServes(t *testing.T) {
	b := newBench(t, serves)
	s, ok := b.gateway.OpenDelegated(delegation.Opening{Database: "d", Asker: "other", Begin: begin})
	assert.Assert(t, ok)
	for _, st := range []statement.Statement{write, commit} {
		a := s.Do(time.Now().Add(time.Second), delegation.Request{Statement: st, Left: time.Second})
		assert.Equal(t, a.Reply.Code, statement.OK)
		assert.DeepEqual(t, a.Reply.Rows, []string{"direct"})
	}
	s.Close()
	assert.Equal(t, len(b.delegator.asked), 0)
}

// TestAStopLeavesADelegatedStatementInDoubt guards against a promise about a statement that runs
// at a pooler while the proxy with the client stops.
func TestAStopLeavesADelegatedStatementInDoubt(t *testing.T) {
	for _, st := range []statement.Statement{read, write} {
		var b *bench
		b = newBench(t, func(r delegation.Request) (delegation.Answer, error) {
			b.tasks.Stop()
			return lost(r)
		})
		s := b.open(t)
		assert.Equal(t, s.Do(st).Code, statement.InDoubt)
		assert.Equal(t, s.Do(st).Code, statement.Busy)
		s.Close()
		assert.Equal(t, b.direct.count(), 0)
	}
}

// TestAnOperationOfALimitedTeamTakesOneRight guards against operations that are charged both by
// the proxy with the client and by the pooler, or that run after the right to run them has ended.
func TestAnOperationOfALimitedTeamTakesOneRight(t *testing.T) {
	b := newBench(t, serves)
	s, reply := b.gateway.Open("teams", "limited")
	assert.Assert(t, s != nil, "%v", reply)
	assert.DeepEqual(t, s.Do(write).Rows, []string{"pooled"})
	opening := b.delegator.requests[0].Opening
	assert.Equal(t, opening.Team, "bakery")
	assert.Assert(t, opening.AdmittedAge >= 0 && opening.AdmittedAge < eelgrassladder.QuotaValidity, "%v", opening.AdmittedAge)
	assert.Equal(t, b.quotas.taken.Load(), int32(1))

	for _, c := range []struct {
		age, queued time.Duration
		taken       int32
	}{{age: time.Millisecond}, {age: 2 * eelgrassladder.QuotaValidity, taken: 1}, {age: eelgrassladder.QuotaValidity - 100*time.Millisecond, queued: 200 * time.Millisecond, taken: 1}} {
		for _, opens := range []statement.Statement{{}, begin} {
			b.quotas.taken.Store(0)
			d, ok := b.gateway.OpenDelegated(delegation.Opening{Database: "teams", Team: "bakery", Asker: "other", Begin: opens, AdmittedAge: c.age})
			assert.Assert(t, ok)
			a := d.Do(time.Now().Add(time.Second-c.queued), delegation.Request{Opening: &delegation.Opening{}, Statement: write, Left: time.Second})
			assert.DeepEqual(t, a.Reply.Rows, []string{"direct"})
			d.Close()
			assert.Equal(t, b.quotas.taken.Load(), c.taken, "%+v, %v", c, opens.Kind)
			assert.Equal(t, b.quotas.givenBack.Load(), int32(0), "a pooler gave back what it has not taken")
		}
	}
}

// TestARightThatAPoolerDidNotUseIsGivenBack guards against teams that lose rights for operations
// which a pooler has refused.
func TestARightThatAPoolerDidNotUseIsGivenBack(t *testing.T) {
	b := newBench(t, busy)
	s, reply := b.gateway.Open("teams", "limited")
	assert.Assert(t, s != nil, "%v", reply)
	assert.Equal(t, s.Do(write).Code, statement.Busy)
	assert.Equal(t, b.quotas.taken.Load(), int32(1))
	assert.Equal(t, b.quotas.givenBack.Load(), int32(1))
}
