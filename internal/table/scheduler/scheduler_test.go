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

// clock is a boot clock that the test moves.
type clock struct{ now time.Duration }

func (c *clock) SinceBoot() time.Duration { return c.now }

// connection is a connection that only counts its end.
type connection struct {
	eelgrassladder.Connection
	closed *int
}

func (c connection) Close() { *c.closed++ }

// bench is a table of one group with a primary and two replicas.
type bench struct {
	table  *scheduler.Table
	timer  *timer.Manual
	clock  *clock
	roster topology.Snapshot
	closed int
}

func newBench(t *testing.T, connections, proxies int) *bench {
	t.Helper()
	b := &bench{timer: timer.NewManual(time.Unix(1000, 0)), clock: &clock{now: time.Hour}}
	b.table = scheduler.New(b.timer, b.clock, "here")
	b.roster = topology.New(
		topology.Endpoint{ID: "p", Group: "g", Address: "1", DataCentre: "there", Slots: 2, Primary: true},
		topology.Endpoint{ID: "r", Group: "g", Address: "2", DataCentre: "here", Slots: 2},
	)
	b.table.SetRoster(b.roster)
	b.table.SetShares(proxies, func(string) int { return connections })
	b.prove()
	return b
}

// prove makes the primary proven and its position known.
func (b *bench) prove() {
	b.table.UpdateLeader("g", func(l leader.State) leader.State {
		return l.WithPrimary("p", 1, b.clock.now).WithProof(b.clock.now).
			WithSample(b.clock.now, position.Position{Term: 1, Log: 5})
	})
}

// submit adds a job and returns its name when it is taken.
func (b *bench) submit(name string, priority int, n placement.Need, taken *[]string) *scheduler.Job {
	n.Group, n.Staleness = "g", time.Second
	j := &scheduler.Job{
		Need: n, Priority: priority, Arrived: b.timer.Now(), Timeout: time.Second, Target: 400 * time.Millisecond,
		Run: func(a scheduler.Assignment) {
			if a.Refused {
				name += " refused " + a.Reason.String()
			} else {
				name += " at " + a.Endpoint.ID
			}
			*taken = append(*taken, name)
		},
	}
	b.table.Submit(j)
	return j
}

// drain runs so many assignments.
func (b *bench) drain(t *testing.T, n int) {
	t.Helper()
	for range n {
		a, ok := b.table.Take(context.Background())
		assert.Assert(t, ok)
		a.Do()
	}
}

// give runs the next assignment and gives its connection back. It reports
// whether there was one.
func (b *bench) give() bool {
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

// borrow takes a connection of an endpoint for control.
func (b *bench) borrow(id string) bool {
	_, ok := b.table.Borrow(id)
	return ok
}

// idle checks that no assignment is ready.
func (b *bench) idle(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, ok := b.table.Take(ctx)
	assert.Assert(t, !ok, "an assignment is ready")
}

var write = placement.Need{Write: true}

func TestUrgentWorkGoesFirst(t *testing.T) {
	b := newBench(t, 1, 1)
	var taken []string
	b.submit("first", 2, write, &taken)
	b.submit("later", 2, write, &taken)
	b.submit("urgent", 1, write, &taken)
	b.drain(t, 1)
	b.table.Return("p", connection{closed: &b.closed}, scheduler.Outcome{Answered: true})
	b.drain(t, 1)
	b.table.Return("p", connection{closed: &b.closed}, scheduler.Outcome{Answered: true})
	b.drain(t, 1)
	assert.DeepEqual(t, taken, []string{"first at p", "urgent at p", "later at p"})
}

func TestConnectionsAreDividedAmongProxies(t *testing.T) {
	b := newBench(t, 6, 3)
	var taken []string
	for range 3 {
		b.submit("w", 1, write, &taken)
	}
	b.drain(t, 2)
	assert.Equal(t, len(taken), 2, "two of six connections are this proxy's")
	_, ok := b.table.Borrow("p")
	assert.Assert(t, !ok)
	b.table.SetShares(1, func(string) int { return 6 })
	b.drain(t, 1)
	assert.Equal(t, len(taken), 3)
}

func TestWorkThatWouldBeLateIsRefusedAtOnce(t *testing.T) {
	b := newBench(t, 1, 1)
	var taken []string
	for range 20 {
		b.submit("w", 1, write, &taken)
		b.timer.Advance(time.Millisecond)
	}
	b.drain(t, 2)
	assert.Equal(t, taken[1], "w refused NoCapacity")
}

func TestWaitingWorkIsRefusedInTime(t *testing.T) {
	b := newBench(t, 1, 1)
	var taken []string
	b.submit("running", 1, write, &taken)
	b.submit("waiting", 1, write, &taken)
	b.drain(t, 1)
	b.timer.Advance(70 * time.Millisecond)
	b.table.Sweep()
	b.idle(t)
	b.timer.Advance(30 * time.Millisecond)
	b.table.Sweep()
	b.drain(t, 1)
	assert.Equal(t, taken[1], "waiting refused NoCapacity")
}

func TestAReadWaitsLongerForAProofThanForCapacity(t *testing.T) {
	b := newBench(t, 4, 1)
	b.clock.now += 2 * leader.ProofLifetime
	var taken []string
	b.submit("read", 1, placement.Need{Consistency: route.Primary}, &taken)
	b.timer.Advance(150 * time.Millisecond)
	b.table.Sweep()
	b.idle(t)
	b.timer.Advance(100 * time.Millisecond)
	b.table.Sweep()
	b.drain(t, 1)
	assert.Equal(t, taken[0], "read refused NoProof")
}

func TestABusyEndpointGetsLess(t *testing.T) {
	b := newBench(t, 4, 1)
	var taken []string
	for range 4 {
		b.submit("w", 1, write, &taken)
	}
	b.drain(t, 4)
	for range 3 {
		b.table.Return("p", connection{closed: &b.closed}, scheduler.Outcome{Answered: true, Busy: true})
	}
	taken = nil
	for range 3 {
		b.submit("w", 1, write, &taken)
	}
	assert.Equal(t, b.table.Health("p").Running, 1, "the limit has fallen to one")
}

func TestAReplacedPrimaryGetsNothingAndReadsGoOn(t *testing.T) {
	b := newBench(t, 4, 1)
	var taken []string
	b.table.UpdateLeader("g", func(l leader.State) leader.State { return l.WithClosed(b.clock.now) })
	b.clock.now += 500 * time.Millisecond
	b.submit("write", 1, write, &taken)
	b.submit("read", 1, placement.Need{Consistency: route.Bounded}, &taken)
	b.drain(t, 1)
	assert.DeepEqual(t, taken, []string{"read at r"})
	b.table.UpdateLeader("g", func(l leader.State) leader.State { return l.WithPrimary("r", 2, b.clock.now) })
	b.drain(t, 1)
	assert.Equal(t, taken[1], "write at r")
}

func TestSpareConnectionsAreClosed(t *testing.T) {
	b := newBench(t, 4, 1)
	var taken []string
	for range 3 {
		b.submit("w", 1, write, &taken)
	}
	b.drain(t, 3)
	for range 3 {
		b.table.Return("p", connection{closed: &b.closed}, scheduler.Outcome{Answered: true})
	}
	for range 5 {
		b.timer.Advance(1100 * time.Millisecond)
		b.table.Sweep()
	}
	assert.Equal(t, b.closed, 2, "one is kept")
}

// TestReadsStayAtTheReplicaThatIsConnected has two replicas that are alike. The
// connection to the one that is not used is closed, and no read opens it again.
func TestReadsStayAtTheReplicaThatIsConnected(t *testing.T) {
	b := newBench(t, 4, 1)
	b.table.SetRoster(b.roster.With(
		topology.Endpoint{ID: "s", Group: "g", Address: "3", DataCentre: "here", Slots: 2}))
	var taken []string
	read := placement.Need{Consistency: route.ReadYourWrites}
	b.submit("read", 1, read, &taken)
	b.submit("read", 1, read, &taken)
	b.drain(t, 2)
	assert.DeepEqual(t, taken, []string{"read at r", "read at s"})
	b.table.Return("s", connection{closed: &b.closed}, scheduler.Outcome{Answered: true})
	b.timer.Advance(1100 * time.Millisecond)
	b.table.Return("r", connection{closed: &b.closed}, scheduler.Outcome{Answered: true})
	b.table.Sweep()
	assert.Equal(t, b.closed, 1)
	for range 5 {
		b.prove()
		b.submit("again", 1, read, &taken)
		b.drain(t, 1)
		assert.Equal(t, taken[len(taken)-1], "again at r")
		b.table.Return("r", connection{closed: &b.closed}, scheduler.Outcome{Answered: true})
	}
}

func TestAnInstanceThatIsGoneIsClosed(t *testing.T) {
	b := newBench(t, 4, 1)
	var taken []string
	b.submit("w", 1, write, &taken)
	b.drain(t, 1)
	b.table.SetRoster(b.roster.Without("p"))
	b.table.Return("p", connection{closed: &b.closed}, scheduler.Outcome{Answered: true})
	assert.Equal(t, b.closed, 1)
	assert.Assert(t, b.table.Health("p").Heard.IsZero(), "it is forgotten")
}

func TestAStalledWriteIsSeenUnlessALaterOneWasAnswered(t *testing.T) {
	b := newBench(t, 4, 1)
	first, second := b.timer.Now(), b.timer.Now().Add(time.Millisecond)
	b.table.WriteSent("p", first)
	assert.Equal(t, b.table.Health("p").OldestPendingWrite, first)
	b.table.WriteSent("p", second)
	b.table.WriteDone("p", second, true)
	assert.Assert(t, b.table.Health("p").OldestPendingWrite.IsZero(), "the answer of the first was lost")
}

// TestAPrimaryThatAcknowledgesNothingGetsOneWriteAtATime sends a write that is
// not answered. Reads go on, and further writes are refused, until one write
// was acknowledged again.
// TestReadsGoOnBesideAWriteThatWaitsForAReplica leaves a primary a single
// statement at a time, which a write without an answer takes.
// TestAnEndpointThatFailsAgainWaitsForAQuestion fails a replica twice. Reads
// go elsewhere until a question to it was answered, however long that takes.
// TestAGroupIsOutpacedWhileItsPrimaryRefusesReadsAlone refuses a part of the
// reads of a group, once with replicas that serve none and once with a replica
// that serves half of them.
