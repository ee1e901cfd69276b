package scheduler_test

import (
	"context"
	"fmt"
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
	"eelgrassladder.example/eelgrassladder/internal/policy/sharing"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// clock is a boot clock set by the test.
type clock struct{ now time.Duration }

func (c *clock) SinceBoot() time.Duration { return c.now }

// connection counts its calls of Close.
type connection struct {
	eelgrassladder.Connection
	closed   *int
	team     string
	retained int
}

func (c connection) Close() { *c.closed++ }

func (c connection) Team() string { return c.team }

func (c connection) Retained() int { return c.retained }

// fixture is a table of one group with a remote primary p and a local replica
// r.
type fixture struct {
	table    *scheduler.Table
	timer    *timer.Manual
	clock    *clock
	snapshot topology.Snapshot
	closed   int
}

func newFixture(t *testing.T, limit, proxies int) *fixture {
	t.Helper()
	f := &fixture{timer: timer.NewManual(time.Unix(1000, 0)), clock: &clock{now: time.Hour}}
	f.table = scheduler.New(f.timer, f.clock, "here")
	f.snapshot = topology.New(
		topology.Endpoint{ID: "p", Group: "g", Address: "1", DataCentre: "there", Slots: 2, Primary: true},
		topology.Endpoint{ID: "r", Group: "g", Address: "2", DataCentre: "here", Slots: 2},
	)
	f.table.SetEndpoints(f.snapshot)
	others := make([]string, 0, proxies)
	for i := range proxies - 1 {
		others = append(others, fmt.Sprintf("other-%d", i))
	}
	f.table.SetShares(sharing.NewFleet("self", others...), func(string) int { return limit })
	f.prove()
	return f
}

// prove proves that p is the only primary, and makes its position known.
func (f *fixture) prove() {
	f.table.UpdateLeader("g", func(l leader.State) leader.State {
		return l.WithPrimary("p", 1, f.clock.now).WithProof(f.clock.now).
			WithSample(f.clock.now, position.Position{Term: 1, Log: 5})
	})
}

// submit adds a job that appends its name and its assignment to results.
func (f *fixture) submit(name string, priority int, n placement.Need, results *[]string) *scheduler.Job {
	n.Group, n.Staleness = "g", time.Second
	j := &scheduler.Job{
		Need: n, Priority: priority, Arrived: f.timer.Now(), Timeout: time.Second, Target: 400 * time.Millisecond,
		Run: func(a scheduler.Assignment) {
			if a.Refused {
				name += " refused " + a.Reason.String()
			} else {
				name += " at " + a.Endpoint.ID
			}
			*results = append(*results, name)
		},
	}
	f.table.Submit(j)
	return j
}

// runNext runs the next n assignments.
func (f *fixture) runNext(t *testing.T, n int) {
	t.Helper()
	for range n {
		a, ok := f.table.Take(context.Background())
		assert.Assert(t, ok)
		a.Do()
	}
}

// runAndReturn runs the next assignment and returns its connection. It reports
// whether there was one.
func (f *fixture) runAndReturn() bool {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	a, ok := f.table.Take(ctx)
	if !ok {
		return false
	}
	a.Do()
	if !a.Refused {
		f.table.Return(a.Endpoint.ID, connection{closed: &f.closed}, scheduler.Outcome{Answered: true})
	}
	return true
}

// borrow takes a connection of an endpoint for control requests.
func (f *fixture) borrow(id string) bool {
	_, ok := f.table.Borrow(id)
	return ok
}

// assertNoneReady checks that no assignment is ready.
func (f *fixture) assertNoneReady(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, ok := f.table.Take(ctx)
	assert.Assert(t, !ok, "an assignment is ready")
}

var write = placement.Need{Write: true}

func TestUrgentWorkGoesFirst(t *testing.T) {
	f := newFixture(t, 1, 1)
	var results []string
	f.submit("first", 2, write, &results)
	f.submit("later", 2, write, &results)
	f.submit("urgent", 1, write, &results)
	f.runNext(t, 1)
	f.table.Return("p", connection{closed: &f.closed}, scheduler.Outcome{Answered: true})
	f.runNext(t, 1)
	f.table.Return("p", connection{closed: &f.closed}, scheduler.Outcome{Answered: true})
	f.runNext(t, 1)
	assert.DeepEqual(t, results, []string{"first at p", "urgent at p", "later at p"})
}

func TestConnectionsAreDividedAmongProxies(t *testing.T) {
	f := newFixture(t, 6, 3)
	var results []string
	for range 3 {
		f.submit("w", 1, write, &results)
	}
	f.runNext(t, 2)
	assert.Equal(t, len(results), 2, "this proxy ran other than its share of two of six connections")
	_, ok := f.table.Borrow("p")
	assert.Assert(t, !ok)
	f.table.SetShares(sharing.NewFleet("self"), func(string) int { return 6 })
	f.runNext(t, 1)
	assert.Equal(t, len(results), 3)
}

func TestWorkThatWouldBeLateIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, 1, 1)
	var results []string
	for range 20 {
		f.submit("w", 1, write, &results)
		f.timer.Advance(time.Millisecond)
	}
	f.runNext(t, 2)
	assert.Equal(t, results[1], "w refused NoCapacity")
}

func TestWaitingWorkIsRefusedInTime(t *testing.T) {
	f := newFixture(t, 1, 1)
	var results []string
	f.submit("running", 1, write, &results)
	f.submit("waiting", 1, write, &results)
	f.runNext(t, 1)
	f.timer.Advance(70 * time.Millisecond)
	f.table.Sweep()
	f.assertNoneReady(t)
	f.timer.Advance(30 * time.Millisecond)
	f.table.Sweep()
	f.runNext(t, 1)
	assert.Equal(t, results[1], "waiting refused NoCapacity")
}

func TestAReadWaitsLongerForAProofThanForCapacity(t *testing.T) {
	f := newFixture(t, 4, 1)
	f.clock.now += 2 * leader.ProofLifetime
	var results []string
	f.submit("read", 1, placement.Need{Consistency: route.Primary}, &results)
	f.timer.Advance(150 * time.Millisecond)
	f.table.Sweep()
	f.assertNoneReady(t)
	f.timer.Advance(100 * time.Millisecond)
	f.table.Sweep()
	f.runNext(t, 1)
	assert.Equal(t, results[0], "read refused NoProof")
}

func TestABusyEndpointGetsFewerStatements(t *testing.T) {
	f := newFixture(t, 4, 1)
	var results []string
	for range 4 {
		f.submit("w", 1, write, &results)
	}
	f.runNext(t, 4)
	for range 3 {
		f.table.Return("p", connection{closed: &f.closed}, scheduler.Outcome{Answered: true, Busy: true})
	}
	results = nil
	for range 3 {
		f.submit("w", 1, write, &results)
	}
	assert.Equal(t, f.table.Health("p").Running, 1, "the limit was not lowered to one")
}

func TestAReplacedPrimaryGetsNoStatementsAndReadsContinue(t *testing.T) {
	f := newFixture(t, 4, 1)
	var results []string
	f.table.UpdateLeader("g", func(l leader.State) leader.State { return l.WithClosed(f.clock.now) })
	f.clock.now += 500 * time.Millisecond
	f.submit("write", 1, write, &results)
	f.submit("read", 1, placement.Need{Consistency: route.Bounded}, &results)
	f.runNext(t, 1)
	assert.DeepEqual(t, results, []string{"read at r"})
	f.table.UpdateLeader("g", func(l leader.State) leader.State { return l.WithPrimary("r", 2, f.clock.now) })
	assert.Equal(t, f.table.Health("r").Running, 1, "a write was sent to a primary that is not proven to be the only one")
	f.table.UpdateLeader("g", func(l leader.State) leader.State { return l.WithProof(f.clock.now) })
	f.runNext(t, 1)
	assert.Equal(t, results[1], "write at r")
}

func TestUnusedConnectionsAreClosed(t *testing.T) {
	f := newFixture(t, 4, 1)
	var results []string
	for range 3 {
		f.submit("w", 1, write, &results)
	}
	f.runNext(t, 3)
	for range 3 {
		f.table.Return("p", connection{closed: &f.closed}, scheduler.Outcome{Answered: true})
	}
	for range 5 {
		f.timer.Advance(1100 * time.Millisecond)
		f.table.Sweep()
	}
	assert.Equal(t, f.closed, 2, "one connection to the primary should be kept")
}

// TestAProxyThatKeepsNoConnectionClosesItSoon has more proxies than connections. Those that
// keep none at the primary leave it to others soon after use.
func TestAProxyThatKeepsNoConnectionClosesItSoon(t *testing.T) {
	for proxies, stays := range map[int]bool{1: true, 4: true, 400: false} {
		f := newFixture(t, 4, proxies)
		var results []string
		f.submit("w", 1, write, &results)
		f.runNext(t, 1)
		f.table.Return("p", connection{closed: &f.closed}, scheduler.Outcome{Answered: true})
		f.timer.Advance(200 * time.Millisecond)
		f.table.Sweep()
		assert.Equal(t, f.closed, 0, "the next statement of a sequence finds the connection open")
		f.timer.Advance(200 * time.Millisecond)
		f.table.Sweep()
		assert.Equal(t, f.closed == 0, stays, "%d proxies", proxies)
	}
}

// TestReadsStayAtTheReplicaThatIsConnected has two equal replicas. The
// connection to the unused one is closed, and no read opens it again.
func TestReadsStayAtTheReplicaThatIsConnected(t *testing.T) {
	f := newFixture(t, 4, 1)
	f.table.SetEndpoints(f.snapshot.With(
		topology.Endpoint{ID: "s", Group: "g", Address: "3", DataCentre: "here", Slots: 2}))
	var results []string
	read := placement.Need{Consistency: route.ReadYourWrites}
	f.submit("read", 1, read, &results)
	f.submit("read", 1, read, &results)
	f.runNext(t, 2)
	assert.DeepEqual(t, results, []string{"read at r", "read at s"})
	f.table.Return("s", connection{closed: &f.closed}, scheduler.Outcome{Answered: true})
	f.timer.Advance(1100 * time.Millisecond)
	f.table.Return("r", connection{closed: &f.closed}, scheduler.Outcome{Answered: true})
	f.table.Sweep()
	assert.Equal(t, f.closed, 1)
	for range 5 {
		f.prove()
		f.submit("again", 1, read, &results)
		f.runNext(t, 1)
		assert.Equal(t, results[len(results)-1], "again at r")
		f.table.Return("r", connection{closed: &f.closed}, scheduler.Outcome{Answered: true})
	}
}

func TestConnectionsToAnUnlistedEndpointAreClosed(t *testing.T) {
	f := newFixture(t, 4, 1)
	var results []string
	f.submit("w", 1, write, &results)
	f.runNext(t, 1)
	f.table.SetEndpoints(f.snapshot.Without("p"))
	f.table.Return("p", connection{closed: &f.closed}, scheduler.Outcome{Answered: true})
	assert.Equal(t, f.closed, 1)
	assert.Assert(t, f.table.Health("p").LastAnswer.IsZero(), "the endpoint is still in the table")
}

func TestAPendingWriteIsReportedUnlessALaterOneWasAnswered(t *testing.T) {
	f := newFixture(t, 4, 1)
	first, second := f.timer.Now(), f.timer.Now().Add(time.Millisecond)
	f.table.WriteSent("p", first)
	assert.Equal(t, f.table.Health("p").OldestPendingWrite, first)
	f.table.WriteSent("p", second)
	f.table.WriteDone("p", second, true)
	assert.Assert(t, f.table.Health("p").OldestPendingWrite.IsZero(), "a write is reported as pending although a later one was answered")
}
