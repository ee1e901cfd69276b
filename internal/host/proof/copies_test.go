package proof_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/host/proof"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/policy/sharing"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// repeatedStatus is a Connector whose connections answer the first status request with the
// copy of an earlier answer, and then with the own answers.
type repeatedStatus struct {
	eelgrassladder.Connection
	earlier, own topology.Status
	asked        int
}

func (r *repeatedStatus) Connect(context.Context, topology.Endpoint, string) (eelgrassladder.Connection, statement.Reply, error) {
	return r, statement.Reply{}, nil
}

func (r *repeatedStatus) Status(time.Time) (topology.Status, statement.Reply, error) {
	r.asked++
	s := r.own
	if r.asked == 1 {
		s = r.earlier
	}
	return s, statement.Reply{Position: s.Received, Doubtful: true}, nil
}

func (r *repeatedStatus) Retained() int { return 0 }

func (r *repeatedStatus) Close() {}

// prove runs one round of a proxy that takes p for the primary of term 1. The proof is about
// to expire, the end of the log was last known sampleAge ago, and the store fails. It returns the time before the round, and what is known of
// the primary after it.
func prove(t *testing.T, r *repeatedStatus, proofAge, sampleAge time.Duration) (time.Duration, leader.State) {
	t.Helper()
	tasks := task.New(context.Background())
	timers := timer.New()
	tasks.Go("timer", timers.Run)
	t.Cleanup(func() {
		tasks.Stop()
		_ = tasks.Wait()
	})
	clock := runningClock{time.Now()}
	endpoints := []topology.Endpoint{{ID: "p", Group: "g", Slots: 2}, {ID: "q", Group: "g", Slots: 2}}
	table := scheduler.New(timers, clock, "here")
	table.SetEndpoints(topology.New(endpoints...))
	table.SetShares(sharing.NewFleet("self"), func(string) int { return 4 })
	began := clock.SinceBoot()
	table.UpdateLeader("g", func(l leader.State) leader.State {
		l = l.WithPrimary("p", 1, began).WithRecordOpen(began).WithProof(began - proofAge)
		return l.WithSample(began-sampleAge, position.Position{Term: 1, Log: 1})
	})
	p := proof.New(timers, clock, table, control.NewDialer(timers, table, r), unavailableRecords{}, tasks,
		func(string) []topology.Endpoint { return endpoints })
	<-p.Prove("g")
	return began, table.Leader("g")
}

// TestACopyProlongsNoProof guards against stale reads at a former primary: the answer that a
// replica gave before it was suspended for a change of primary comes a second time.
func TestACopyProlongsNoProof(t *testing.T) {
	began, l := prove(t, &repeatedStatus{earlier: topology.Status{Term: 1}, own: topology.Status{Term: 1, SuspendedTerm: 2}}, 600*time.Millisecond, 0)
	assert.Assert(t, l.Proven < began, "the proof was prolonged by %v", l.Proven-began)
}

// TestACopyIsNotTheEndOfTheLog guards against stale reads at a replica: the position in the copy
// of an earlier answer lacks the commits that were acknowledged since.
func TestACopyIsNotTheEndOfTheLog(t *testing.T) {
	earlier := topology.Status{Primary: true, Term: 1, Received: position.Position{Term: 1, Log: 1}}
	own := topology.Status{Primary: true, Term: 1, Received: position.Position{Term: 1, Log: 2}}
	began, l := prove(t, &repeatedStatus{earlier: earlier, own: own}, 650*time.Millisecond, 650*time.Millisecond)
	p, ok := l.PositionCovering(began)
	assert.Assert(t, ok)
	assert.Equal(t, p, own.Received, "a read needs less than was acknowledged before it")
}
