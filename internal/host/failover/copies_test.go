package failover

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/clock"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/policy/sharing"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// repeatingMember is a member with one connection at a time, on the first of which copies of
// earlier answers may come. It is the Connector and the Connection of itself.
type repeatingMember struct {
	eelgrassladder.Connection
	status topology.Status
	// resumesIn is after how many requests a suspended member has heard of the new term
	// that has ended its suspension; zero for never.
	resumesIn int
	// coming are the answers that arrive before that to the next request.
	coming []topology.Status
	// seen holds the answers so far. Doubtful is true once one may have been a copy.
	seen     map[topology.Status]bool
	doubtful bool
}

func (m *repeatingMember) Connect(context.Context, topology.Endpoint, string) (eelgrassladder.Connection, statement.Reply, error) {
	return m, statement.Reply{}, nil
}

// answer returns the first answer that arrives once the own answer to the request is under way.
func (m *repeatingMember) answer() (topology.Status, statement.Reply, error) {
	if m.resumesIn > 0 {
		if m.resumesIn--; m.resumesIn == 0 {
			m.status.Term++
		}
	}
	m.coming = append(m.coming, m.status)
	next := m.coming[0]
	m.coming = m.coming[1:]
	m.doubtful = m.doubtful || m.seen[next]
	m.seen[next] = true
	return next, statement.Reply{Doubtful: m.doubtful}, nil
}

func (m *repeatingMember) Status(time.Time) (topology.Status, statement.Reply, error) {
	return m.answer()
}

func (m *repeatingMember) Suspend(_ time.Time, term uint64) (topology.Status, statement.Reply, error) {
	if !m.status.Primary {
		m.status.SuspendedTerm = term
	}
	return m.answer()
}

func (m *repeatingMember) Demote(_ time.Time, term uint64) (topology.Status, statement.Reply, error) {
	if m.status.Primary && m.status.Term < term {
		m.status.Primary = false
	}
	return m.answer()
}

func (m *repeatingMember) Close() {
	m.coming, m.seen, m.doubtful = nil, map[topology.Status]bool{}, false
}

// newRepeatingFixture returns a change of group "g", whose record is closed in term 1, with
// the member and its endpoint. The member has given the answers.
func newRepeatingFixture(t *testing.T, m *repeatingMember, given ...topology.Status) (*change, topology.Endpoint) {
	t.Helper()
	tasks := task.New(context.Background())
	timers, e := timer.New(), topology.Endpoint{ID: "m", Group: "g", Slots: 2}
	tasks.Go("timer", timers.Run)
	t.Cleanup(func() {
		tasks.Stop()
		_ = tasks.Wait()
	})
	m.seen = map[topology.Status]bool{}
	for _, s := range given {
		m.seen[s] = true
	}
	closed := leadership.Record{Group: "g", Revision: 7, Endpoint: "old", Term: 1, Closed: true, Holder: "self"}
	state := &fakeState{record: closed, endpoints: topology.New(e)}
	table := scheduler.New(timers, clock.Host{}, "here")
	table.SetEndpoints(topology.New(e))
	table.SetShares(sharing.NewFleet("self"), func(string) int { return 4 })
	ct := New("self", timers, clock.Host{}, table, control.NewDialer(timers, table, m), &fakeStore{}, &fakePromoter{}, nil, state, tasks, nil)
	return &change{decision: decision{group: "g"}, controller: ct, record: closed, written: closed, began: time.Hour}, e
}

// TestACopyIsNoRecheck guards against a promotion that loses commits: a replica that receives
// the log again counts as suspended because the answer to its suspension came a second time.
func TestACopyIsNoRecheck(t *testing.T) {
	suspended := topology.Status{Term: 1, SuspendedTerm: 2, Received: position.Position{Term: 1, Log: 5}}
	receiving := topology.Status{Term: 1, Received: position.Position{Term: 1, Log: 6}}
	m := &repeatingMember{status: receiving, coming: []topology.Status{suspended}}
	c, e := newRepeatingFixture(t, m, suspended)
	err := c.recheck(context.Background(), []answer{{endpoint: e, status: suspended}}, answer{err: errNotAsked}, 2)
	assert.ErrorContains(t, err, "is not suspended for term 2")
}

// TestACopyDoesNotShowTheNewTerm guards against stale reads: a replica that has not heard of the
// new term may still prove the old primary, but its answers from when it was suspended came a
// second time and show no such replica.
func TestACopyDoesNotShowTheNewTerm(t *testing.T) {
	suspended := topology.Status{Term: 1, SuspendedTerm: 2}
	m := &repeatingMember{status: topology.Status{Term: 1}, resumesIn: 6, coming: []topology.Status{suspended, suspended}}
	c, e := newRepeatingFixture(t, m, suspended)
	c.awaitNewTerm(context.Background(), []topology.Endpoint{e}, 2)
	assert.Equal(t, m.status.Term, uint64(2), "the change does not wait for a replica that can prove the old primary")
}

// TestACopyDoesNotConfirmASuspension guards against a primary that keeps acknowledging commits
// while another member is promoted: it led since a former attempt had suspended it, and the
// answer of then came a second time.
func TestACopyDoesNotConfirmASuspension(t *testing.T) {
	suspended := topology.Status{Term: 1, SuspendedTerm: 3}
	m := &repeatingMember{status: topology.Status{Term: 2, Primary: true}, coming: []topology.Status{suspended}}
	c, e := newRepeatingFixture(t, m, suspended)
	answers, err := c.suspendAll(context.Background(), []topology.Endpoint{e}, 3)
	assert.Assert(t, err != nil || !m.status.Primary, "the member leads, and counts as suspended: %v", answers)
}
