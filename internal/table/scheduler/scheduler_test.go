package scheduler_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/policy/placement"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// clock is a boot clock set by the test.
type clock struct{ now time.Duration }

func (c *clock) SinceBoot() time.Duration { return c.now }

// connection counts its calls of Close.
type connection struct {
	eelgrassladder.Connection
	closed *int
}

func (c connection) Close() { *c.closed++ }

// fixture is a table of one group with a remote primary p and a local replica
// r.
type fixture struct {
	table    *scheduler.Table
	timer    *timer.Manual
	clock    *clock
	snapshot topology.Snapshot
	closed   int
}

func newFixture(t *testing.T, connections, proxies int) *fixture {
	t.Helper()
	b := &fixture{timer: timer.NewManual(time.Unix(1000, 0)), clock: &clock{now: time.Hour}}
	b.table = scheduler.New(b.timer, b.clock, "here")
	b.snapshot = topology.New(
		topology.Endpoint{ID: "p", Group: "g", Address: "1", DataCentre: "there", Slots: 2, Primary: true},
		topology.Endpoint{ID: "r", Group: "g", Address: "2", DataCentre: "here", Slots: 2},
	)
	b.table.SetEndpoints(b.snapshot)
	b.table.SetShares(proxies, func(string) int { return connections })
	b.prove()
	return b
}

// prove proves that p is the only primary, and makes its position known.
func (b *fixture) prove() {
	b.table.UpdateLeader("g", func(l leader.State) leader.State {
		return l.WithPrimary("p", 1, b.clock.now).WithProof(b.clock.now).
			WithSample(b.clock.now, position.Position{Term: 1, Log: 5})
	})
}

// submit adds a job that appends its name and its assignment to results.
func (b *fixture) submit(name string, priority int, n placement.Need, results *[]string) *scheduler.Job {
	n.Group, n.Staleness = "g", time.Second
	j := &scheduler.Job{
		Need: n, Priority: priority, Arrived: b.timer.Now(), Timeout: time.Second, Target: 400 * time.Millisecond,
		Run: func(a scheduler.Assignment) {
			if a.Refused {
				name += " refused " + a.Reason.String()
			} else {
				name += " at " + a.Endpoint.ID
			}
			*results = append(*results, name)
		},
	}
	b.table.Submit(j)
	return j
}

// runNext runs the next n assignments.
func (b *fixture) runNext(t *testing.T, n int) {
	t.Helper()
	for range n {
		a, ok := b.table.Take(context.Background())
		assert.Assert(t, ok)
		a.Do()
	}
}

// runAndReturn runs the next assignment and returns its connection. It reports
// whether there was one.
func (b *fixture) runAndReturn() bool {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	a, ok := b.table.Take(ctx)
	if !ok {
		return false
	}
	a.Do()
	if !a.Refused {
		b.table.Return(a.Endpoint.ID, connection{closed: &b.closed}, scheduler.Outcome{Answered: true})
	}
	return true
}

// borrow takes a connection of an endpoint for control requests.
func (b *fixture) borrow(id string) bool {
	_, ok := b.table.Borrow(id)
	return ok
}

// assertNoneReady checks that no assignment is ready.
func (b *fixture) assertNoneReady(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, ok := b.table.Take(ctx)
	assert.Assert(t, !ok, "an assignment is ready")
}

var write = placement.Need{Write: true}

func TestUrgentWorkGoesFirst(t *testing.T) {
	b := newFixture(t, 1, 1)
	var results []string
	b.submit("first", 2, write, &results)
	b.submit("later", 2, write, &results)
	b.submit("urgent", 1, write, &results)
	b.runNext(t, 1)
	b.table.Return("p", connection{closed: &b.closed}, scheduler.Outcome{Answered: true})
	b.runNext(t, 1)
	b.table.Return("p", connection{closed: &b.closed}, scheduler.Outcome{Answered: true})
	b.runNext(t, 1)
	assert.DeepEqual(t, results, []string{"first at p", "urgent at p", "later at p"})
}

func TestConnectionsAreDividedAmongProxies(t *testing.T) {
	b := newFixture(t, 6, 3)
	var results []string
	for range 3 {
		b.submit("w", 1, write, &results)
	}
	b.runNext(t, 2)
	assert.Equal(t, len(results), 2, "this proxy's share is two of six connections")
	_, ok := b.table.Borrow("p")
	assert.Assert(t, !ok)
	b.table.SetShares(1, func(string) int { return 6 })
	b.runNext(t, 1)
	assert.Equal(t, len(results), 3)
}

func TestWorkThatWouldBeLateIsRefusedAtOnce(t *testing.T) {
	b := newFixture(t, 1, 1)
	var results []string
	for range 20 {
		b.submit("w", 1, write, &results)
		b.timer.Advance(time.Millisecond)
	}
	b.runNext(t, 2)
	assert.Equal(t, results[1], "w refused NoCapacity")
}

func TestWaitingWorkIsRefusedInTime(t *testing.T) {
	b := newFixture(t, 1, 1)
	var results []string
	b.submit("running", 1, write, &results)
	b.submit("waiting", 1, write, &results)
	b.runNext(t, 1)
	b.timer.Advance(70 * time.Millisecond)
	b.table.Sweep()
	b.assertNoneReady(t)
	b.timer.Advance(30 * time.Millisecond)
	b.table.Sweep()
	b.runNext(t, 1)
	assert.Equal(t, results[1], "waiting refused NoCapacity")
}

func TestAReadWaitsLongerForAProofThanForCapacity(t *testing.T) {
	b := newFixture(t, 4, 1)
	b.clock.now += 2 * leader.ProofLifetime
	var results []string
	b.submit("read", 1, placement.Need{Consistency: route.Primary}, &results)
	b.timer.Advance(150 * time.Millisecond)
	b.table.Sweep()
	b.assertNoneReady(t)
	b.timer.Advance(100 * time.Millisecond)
	b.table.Sweep()
	b.runNext(t, 1)
	assert.Equal(t, results[0], "read refused NoProof")
}

func TestABusyEndpointGetsFewerStatements(t *testing.T) {
	b := newFixture(t, 4, 1)
	var results []string
	for range 4 {
		b.submit("w", 1, write, &results)
	}
	b.runNext(t, 4)
	for range 3 {
		b.table.Return("p", connection{closed: &b.closed}, scheduler.Outcome{Answered: true, Busy: true})
	}
	results = nil
	for range 3 {
		b.submit("w", 1, write, &results)
	}
	assert.Equal(t, b.table.Health("p").Running, 1, "the limit was lowered to one")
}

func TestAReplacedPrimaryGetsNoStatementsAndReadsContinue(t *testing.T) {
	b := newFixture(t, 4, 1)
	var results []string
	b.table.UpdateLeader("g", func(l leader.State) leader.State { return l.WithClosed(b.clock.now) })
	b.clock.now += 500 * time.Millisecond
	b.submit("write", 1, write, &results)
	b.submit("read", 1, placement.Need{Consistency: route.Bounded}, &results)
	b.runNext(t, 1)
	assert.DeepEqual(t, results, []string{"read at r"})
	b.table.UpdateLeader("g", func(l leader.State) leader.State { return l.WithPrimary("r", 2, b.clock.now) })
	b.runNext(t, 1)
	assert.Equal(t, results[1], "write at r")
}

func TestUnusedConnectionsAreClosed(t *testing.T) {
	b := newFixture(t, 4, 1)
	var results []string
	for range 3 {
		b.submit("w", 1, write, &results)
	}
	b.runNext(t, 3)
	for range 3 {
		b.table.Return("p", connection{closed: &b.closed}, scheduler.Outcome{Answered: true})
	}
	for range 5 {
		b.timer.Advance(1100 * time.Millisecond)
		b.table.Sweep()
	}
	assert.Equal(t, b.closed, 2, "one connection to the primary is kept")
}

// TestReadsStayAtTheReplicaThatIsConnected has two equal replicas. The
// connection to the unused one is closed, and no read opens it again.
func TestReadsStayAtTheReplicaThatIsConnected(t *testing.T) {
	b := newFixture(t, 4, 1)
	b.table.SetEndpoints(b.snapshot.With(
		topology.Endpoint{ID: "s", Group: "g", Address: "3", DataCentre: "here", Slots: 2}))
	var results []string
	read := placement.Need{Consistency: route.ReadYourWrites}
	b.submit("read", 1, read, &results)
	b.submit("read", 1, read, &results)
	b.runNext(t, 2)
	assert.DeepEqual(t, results, []string{"read at r", "read at s"})
	b.table.Return("s", connection{closed: &b.closed}, scheduler.Outcome{Answered: true})
	b.timer.Advance(1100 * time.Millisecond)
	b.table.Return("r", connection{closed: &b.closed}, scheduler.Outcome{Answered: true})
	b.table.Sweep()
	assert.Equal(t, b.closed, 1)
	for range 5 {
		b.prove()
		b.submit("again", 1, read, &results)
		b.runNext(t, 1)
		assert.Equal(t, results[len(results)-1], "again at r")
		b.table.Return("r", connection{closed: &b.closed}, scheduler.Outcome{Answered: true})
	}
}

func TestConnectionsToAnUnlistedEndpointAreClosed(t *testing.T) {
	b := newFixture(t, 4, 1)
	var results []string
	b.submit("w", 1, write, &results)
	b.runNext(t, 1)
	b.table.SetEndpoints(b.snapshot.Without("p"))
	b.table.Return("p", connection{closed: &b.closed}, scheduler.Outcome{Answered: true})
	assert.Equal(t, b.closed, 1)
	assert.Assert(t, b.table.Health("p").LastAnswer.IsZero(), "the endpoint is forgotten")
}

func TestAPendingWriteIsReportedUnlessALaterOneWasAnswered(t *testing.T) {
	b := newFixture(t, 4, 1)
	first, second := b.timer.Now(), b.timer.Now().Add(time.Millisecond)
	b.table.WriteSent("p", first)
	assert.Equal(t, b.table.Health("p").OldestPendingWrite, first)
	b.table.WriteSent("p", second)
	b.table.WriteDone("p", second, true)
	assert.Assert(t, b.table.Health("p").OldestPendingWrite.IsZero(), "a later write was acknowledged, so the first answer was lost")
}
