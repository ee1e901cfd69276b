package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/policy/placement"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// assign adds a job with the need and returns its assignment.
func (f *fixture) assign(t *testing.T, n placement.Need) scheduler.Assignment {
	t.Helper()
	var assigned scheduler.Assignment
	f.table.Submit(&scheduler.Job{
		Need: n, Arrived: f.timer.Now(), Timeout: time.Second, Target: 400 * time.Millisecond,
		Run: func(a scheduler.Assignment) { assigned = a },
	})
	f.runNext(t, 1)
	assert.Assert(t, !assigned.Refused)
	return assigned
}

// TestASlowConnectionIsUsedForTheStatementThatWaitedForIt guards against overload that feeds
// itself: when endpoints are busy, opening a connection takes longer than a choice of an
// endpoint holds, and a statement that then goes elsewhere opens another one.
func TestASlowConnectionIsUsedForTheStatementThatWaitedForIt(t *testing.T) {
	f := newFixture(t, 4, 1)
	n := placement.Need{Group: "g", Consistency: route.Bounded, Staleness: time.Second}
	a := f.assign(t, n)
	assert.Equal(t, a.Endpoint.ID, "r")
	f.clock.now += 900 * time.Millisecond
	_, ok := f.table.Renew(a, n)
	assert.Assert(t, !ok, "no position covers what the read must see now")
	f.table.UpdateLeader("g", func(l leader.State) leader.State {
		return l.WithProof(f.clock.now).WithSample(f.clock.now, position.Position{Term: 1, Log: 9})
	})
	renewed, ok := f.table.Renew(a, n)
	assert.Assert(t, ok)
	assert.Equal(t, renewed.Endpoint.ID, "r")
	assert.Equal(t, renewed.Chosen, f.clock.now)
	assert.Equal(t, renewed.After, position.Position{Term: 1, Log: 9}, "the read may miss commits that were acknowledged while it waited")
}

// TestAChoiceIsNotRenewedAtAFormerPrimary guards against a write that is sent to a primary
// which was replaced while the connection was opened.
func TestAChoiceIsNotRenewedAtAFormerPrimary(t *testing.T) {
	f := newFixture(t, 4, 1)
	n := placement.Need{Group: "g", Write: true, Reads: true}
	a := f.assign(t, n)
	assert.Equal(t, a.Endpoint.ID, "p")
	renewed, ok := f.table.Renew(a, n)
	assert.Assert(t, ok && renewed.Primary)
	f.table.UpdateLeader("g", func(l leader.State) leader.State { return l.WithPrimary("r", 2, f.clock.now).WithProof(f.clock.now) })
	_, ok = f.table.Renew(a, n)
	assert.Assert(t, !ok)
}
