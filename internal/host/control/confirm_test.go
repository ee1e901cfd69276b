package control_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/clock"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/policy/sharing"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// statusAnswer is the answer to a status request or command.
type statusAnswer struct {
	status   topology.Status
	doubtful bool
}

// scriptedConnection gives its answers in order and keeps the names of what it was sent. It
// is the Connector of itself.
type scriptedConnection struct {
	eelgrassladder.Connection
	answers []statusAnswer
	// sent also has "Connect" for each connection, and "Close" for each that was closed.
	sent []string
}

func (s *scriptedConnection) Connect(context.Context, topology.Endpoint, string) (eelgrassladder.Connection, statement.Reply, error) {
	s.sent = append(s.sent, "Connect")
	return s, statement.Reply{}, nil
}

func (s *scriptedConnection) Close() { s.sent = append(s.sent, "Close") }

func (s *scriptedConnection) answer(name string) (topology.Status, statement.Reply, error) {
	s.sent = append(s.sent, name)
	next := s.answers[0]
	s.answers = s.answers[1:]
	return next.status, statement.Reply{Doubtful: next.doubtful}, nil
}

func (s *scriptedConnection) Status(time.Time) (topology.Status, statement.Reply, error) {
	return s.answer("Status")
}

func (s *scriptedConnection) Suspend(time.Time, uint64) (topology.Status, statement.Reply, error) {
	return s.answer("Suspend")
}

func (s *scriptedConnection) Resume(time.Time) (topology.Status, statement.Reply, error) {
	return s.answer("Resume")
}

func (s *scriptedConnection) Demote(time.Time, uint64) (topology.Status, statement.Reply, error) {
	return s.answer("Demote")
}

// TestAStatusIsNotThatBeforeACommand guards against a change of primary that goes on because
// the copy of an earlier answer is taken for that to its command.
func TestAStatusIsNotThatBeforeACommand(t *testing.T) {
	deadline := time.Now().Add(time.Minute)
	for name, send := range map[string]func(*control.Connection) (topology.Status, statement.Reply, error){
		"Status":  func(c *control.Connection) (topology.Status, statement.Reply, error) { return c.Status(deadline) },
		"Suspend": func(c *control.Connection) (topology.Status, statement.Reply, error) { return c.Suspend(deadline, 2) },
		"Resume":  func(c *control.Connection) (topology.Status, statement.Reply, error) { return c.Resume(deadline) },
		"Demote":  func(c *control.Connection) (topology.Status, statement.Reply, error) { return c.Demote(deadline, 2) },
	} {
		t.Run(name, func(t *testing.T) {
			before, after := topology.Status{Term: 1, Primary: true}, topology.Status{Term: 1, SuspendedTerm: 2}
			scripted := &scriptedConnection{answers: []statusAnswer{{before, true}, {after, false}, {after, false}}}
			timers, e := timer.New(), topology.Endpoint{ID: "e", Group: "g", Slots: 2}
			table := scheduler.New(timers, clock.Host{}, "here")
			table.SetEndpoints(topology.New(e))
			table.SetShares(sharing.NewFleet("self"), func(string) int { return 4 })
			conn, err := control.NewDialer(timers, table, scripted).DialWithinShare(context.Background(), e)
			assert.NilError(t, err)
			s, _, err := send(conn)
			assert.NilError(t, err)
			assert.Equal(t, s, after)
			assert.DeepEqual(t, scripted.sent, []string{"Connect", name, "Close", "Connect", name})
			_, _, err = conn.Status(deadline)
			assert.NilError(t, err)
			assert.Equal(t, len(scripted.sent), 6, "an answer that is not doubtful is not asked for again")
		})
	}
}

// unfitConnection is not fit for its first request.
type unfitConnection struct{ scriptedConnection }

func (u *unfitConnection) Connect(context.Context, topology.Endpoint, string) (eelgrassladder.Connection, statement.Reply, error) {
	u.sent = append(u.sent, "Connect")
	return u, statement.Reply{}, nil
}

func (u *unfitConnection) Status(time.Time) (topology.Status, statement.Reply, error) {
	if u.sent = append(u.sent, "Status"); len(u.sent) == 2 {
		return topology.Status{}, statement.Reply{}, eelgrassladder.ErrUnfit
	}
	return topology.Status{Term: 1}, statement.Reply{}, nil
}

// Guards against an endpoint that counts as silent because of what had arrived before.
func TestARequestIsSentAgainIfTheConnectionIsNotFit(t *testing.T) {
	for _, send := range []func(*control.Connection, time.Time) (topology.Status, statement.Reply, error){
		(*control.Connection).Status, (*control.Connection).LastStatus,
	} {
		timers, e, unfit := timer.New(), topology.Endpoint{ID: "e", Group: "g", Slots: 2}, &unfitConnection{}
		table := scheduler.New(timers, clock.Host{}, "here")
		table.SetEndpoints(topology.New(e))
		table.SetShares(sharing.NewFleet("self"), func(string) int { return 4 })
		conn, err := control.NewDialer(timers, table, unfit).DialWithinShare(context.Background(), e)
		assert.NilError(t, err)
		_, _, err = send(conn, time.Now().Add(time.Minute))
		assert.NilError(t, err)
		assert.DeepEqual(t, unfit.sent, []string{"Connect", "Status", "Close", "Connect", "Status"})
	}
}

// refusingConnection answers doubtfully, and refuses each connection but the first.
type refusingConnection struct {
	scriptedConnection
	code statement.Code
}

func (r *refusingConnection) Connect(context.Context, topology.Endpoint, string) (eelgrassladder.Connection, statement.Reply, error) {
	if len(r.sent) > 0 {
		return nil, statement.ErrorReply(r.code, ""), nil
	}
	r.sent = append(r.sent, "Connect")
	return r, statement.Reply{}, nil
}

// TestAConnectionThatIsNotReplacedIsNotReturned guards against a connection in the table that
// is closed, and against an endpoint that counts as failing because it has no room for another.
func TestAConnectionThatIsNotReplacedIsNotReturned(t *testing.T) {
	timers, e := timer.New(), topology.Endpoint{ID: "e", Group: "g", Slots: 2}
	table := scheduler.New(timers, clock.Host{}, "here")
	table.SetEndpoints(topology.New(e))
	table.SetShares(sharing.NewFleet("self"), func(string) int { return 4 })
	refusing := &refusingConnection{code: statement.Overload}
	refusing.answers = []statusAnswer{{topology.Status{Term: 1}, true}}
	conn, err := control.NewDialer(timers, table, refusing).DialWithinShare(context.Background(), e)
	assert.NilError(t, err)
	_, reply, err := conn.Status(time.Now().Add(time.Minute))
	assert.ErrorContains(t, err, "refused the connection")
	conn.Release(err, reply.Position)
	assert.Equal(t, table.Health("e").Failures, 0)
	next, ok := table.Borrow("e")
	assert.Assert(t, !ok && next == nil, "the table waits before it opens another connection")
}
