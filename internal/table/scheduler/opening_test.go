package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// TestWaitingStatementsOpenNoFurtherConnections guards against statements that open connections
// because they wait, and so take the slots for which they wait.
func TestWaitingStatementsOpenNoFurtherConnections(t *testing.T) {
	f := newFixture(t, 400, 100)
	var results []string
	for range 3 {
		f.submit("w", 1, write, &results)
	}
	f.runNext(t, 1)
	f.assertNoneReady(t)
	f.table.Opened("p", 12*time.Millisecond)
	f.table.Return("p", connection{closed: &f.closed}, scheduler.Outcome{Answered: true})
	f.runNext(t, 1)
	f.assertNoneReady(t)
	// A hundred proxies open one connection each in 2.4 s on average, at two slots.
	f.timer.Advance(3600 * time.Millisecond)
	f.prove()
	f.runNext(t, 1)
	assert.DeepEqual(t, results, []string{"w at p", "w at p", "w at p"})
}

// TestAStatementWithoutAConnectionInTimeIsRefusedAtOnce guards against a statement that waits for
// an opening until its time is over, and against attempts at an endpoint that has just refused
// one.
func TestAStatementWithoutAConnectionInTimeIsRefusedAtOnce(t *testing.T) {
	for _, o := range []scheduler.Outcome{{Answered: true, ConnectionsFull: true}, {ConnectionsFull: true}} {
		f := newFixture(t, 400, 100)
		var results []string
		f.submit("first", 1, write, &results)
		f.runNext(t, 1)
		f.table.Discard("p", nil, o)
		f.timer.Advance(90 * time.Millisecond)
		f.submit("second", 1, write, &results)
		f.runNext(t, 1)
		assert.Equal(t, results[1], "second refused NoCapacity")
		assert.Assert(t, !f.borrow("p"), "a control request opened a connection")
		f.timer.Advance(220 * time.Millisecond)
		assert.Assert(t, f.borrow("p"), "a control request waits for the turn of statements")
	}
}

// TestAConnectionIsKeptUntilAnotherMayBeOpened guards against a proxy that closes an unused
// connection and then has none when it needs one.
func TestAConnectionIsKeptUntilAnotherMayBeOpened(t *testing.T) {
	f := newFixture(t, 400, 100)
	var results []string
	for _, id := range []string{"p", "r"} {
		assert.Assert(t, f.borrow(id))
		f.table.Return(id, connection{closed: &f.closed}, scheduler.Outcome{Answered: true})
	}
	f.timer.Advance(1100 * time.Millisecond)
	f.table.Sweep()
	assert.Equal(t, f.closed, 0)
	f.timer.Advance(2600 * time.Millisecond)
	f.table.Sweep()
	assert.Equal(t, f.closed, 1, "the connection to the replica is unused")
	f.prove()
	f.submit("w", 1, write, &results)
	f.runNext(t, 1)
	assert.Equal(t, results[0], "w at p")
}
