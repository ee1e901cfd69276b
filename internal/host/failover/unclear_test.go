package failover

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

// unclearMember is a member that answers, as one that is busy does, in the words of an earlier
// answer.
type unclearMember struct{ repeatingMember }

func (m *unclearMember) Connect(context.Context, topology.Endpoint, string) (eelgrassladder.Connection, statement.Reply, error) {
	return m, statement.Reply{}, nil
}

func (m *unclearMember) Status(time.Time) (topology.Status, statement.Reply, error) {
	return topology.Status{}, statement.ErrorReply(statement.Busy, ""), eelgrassladder.ErrUnclearAnswer
}

// Guards against a primary that counts as silent because it refuses two probes alike.
func TestAnUnclearAnswerToAProbeIsAnAnswer(t *testing.T) {
	m := &unclearMember{}
	c, e := newRepeatingFixture(t, &m.repeatingMember)
	c.controller.dialer = control.NewDialer(c.controller.timer, c.controller.table, m)
	c.controller.table.UpdateLeader("g", func(l leader.State) leader.State { return l.WithPrimary(e.ID, 1, 0) })
	state := &groupState{}
	c.controller.probe(context.Background(), "g", state)
	assert.Assert(t, state.probeFailedAt.IsZero())
}
