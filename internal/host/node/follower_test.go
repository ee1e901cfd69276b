package node

import (
	"context"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/clock"
	"eelgrassladder.example/eelgrassladder/internal/host/era"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

func TestMain(m *testing.M) {
	lockrank.EnableChecks(true)
	os.Exit(m.Run())
}

const testGroup = "orders"

// newTestNode returns a node with nothing but a cluster state and a table.
func newTestNode(c eelgrassladder.Clock) *Node {
	n := &Node{dependencies: Dependencies{Clock: c}, state: newClusterState("c-1", nil, c, era.New()), table: scheduler.New(timer.New(), c, "east")}
	n.state.onRecord = n.updateLeader
	return n
}

// recordAt returns the record of a revision. The record is closed at even numbers, and
// open at odd ones for the primary of the term that follows from the revision.
func recordAt(number uint64) leadership.Record {
	term := (number + 1) / 2
	r := leadership.Record{Group: testGroup, Revision: revision.Revision(number)}.WithPrimary("member-"+strconv.FormatUint(term, 10), term)
	if number%2 == 0 {
		return r.WithClosed("c-2")
	}
	return r
}

// haltingClock is a clock whose first call halts until it is released.
type haltingClock struct {
	eelgrassladder.Clock
	called            atomic.Bool
	halted, releasing chan struct{}
}

func (c *haltingClock) SinceBoot() time.Duration {
	if !c.called.Swap(true) {
		close(c.halted)
		<-c.releasing
	}
	return c.Clock.SinceBoot()
}

// TestAProxyKeepsTheNewerRecordWhenTheOlderIsAppliedLate guards against a proxy that takes
// a replaced primary for the current one, because the goroutine that learned of the older
// record was halted while another one learned of the newer.
func TestAProxyKeepsTheNewerRecordWhenTheOlderIsAppliedLate(t *testing.T) {
	c := &haltingClock{Clock: clock.Host{}, halted: make(chan struct{}), releasing: make(chan struct{})}
	n := newTestNode(c)
	g := task.New(context.Background())
	g.GoIsolated("gossip", func(context.Context) { n.state.LearnRecord(recordAt(1)) })
	<-c.halted
	n.state.LearnRecord(recordAt(2))
	n.state.LearnRecord(recordAt(3))
	close(c.releasing)
	assert.NilError(t, g.Wait())
	l := n.table.Leader(testGroup)
	assert.Equal(t, l.Endpoint, "member-2", "%+v", l)
	assert.Equal(t, l.Term, uint64(2))
	assert.Assert(t, l.Open())
}

// TestAProxyKeepsTheNewestRecordOfManyGoroutines is the same with goroutines that learn of
// records at the same time.
func TestAProxyKeepsTheNewestRecordOfManyGoroutines(t *testing.T) {
	const goroutines, last = 8, 4001
	n := newTestNode(clock.Host{})
	var next atomic.Uint64
	g := task.New(context.Background())
	for range goroutines {
		g.GoIsolated("source of records", func(context.Context) {
			seen := uint64(0)
			for number := next.Add(1); number <= last; number = next.Add(1) {
				n.state.LearnRecord(recordAt(number))
				l := n.table.Leader(testGroup)
				assert.Check(t, l.Term >= seen, "the table went back from term %d to %d", seen, l.Term)
				seen = l.Term
			}
		})
	}
	assert.NilError(t, g.Wait())
	assert.Equal(t, n.table.Leader(testGroup).Endpoint, recordAt(last).Endpoint)
}

// keysRegistry is a Registry that decodes nothing.
type keysRegistry struct{ Registry }

func (keysRegistry) Keys() (configuration, endpoints string) { return "configuration", "endpoints/" }

// TestThePromotionLockIsLearnedAfterTheElectionsBeforeIt guards against a proxy that takes the
// promotion lock between two items of an answer of the store, and orders a promotion without
// knowing of the election that was written with the lock.
func TestThePromotionLockIsLearnedAfterTheElectionsBeforeIt(t *testing.T) {
	for name, apply := range map[string]func(f *follower, items []eelgrassladder.Item){
		"an answer of a watch": (*follower).Changed,
		"a read of all keys":   func(f *follower, items []eelgrassladder.Item) { f.Reset(items, 12) },
	} {
		n := newTestNode(clock.Host{})
		n.dependencies.Registry = keysRegistry{}
		n.state.endpoints.Store(&topology.Snapshot{})
		learned := 0
		n.state.onRecord = func(string) {
			learned++
			assert.Equal(t, n.state.PromotionLock().Revision, revision.Revision(0), name)
		}
		record := recordAt(2).WithElected("member-2", 9, false)
		apply(newFollower(n), []eelgrassladder.Item{
			{Key: leadership.PromotionLockKey, Value: leadership.PromotionLock{Holder: "c-2", Token: 9}.Bytes(), Revision: 12},
			{Key: leadership.Key(testGroup), Value: record.Bytes(), Revision: 12},
		})
		assert.Equal(t, learned, 1, name)
		assert.Equal(t, n.state.PromotionLock().Revision, revision.Revision(12), name)
	}
}

// TestAPromotionLockThatIsGoneCanBeTakenAgain guards against proxies that expect a revision of
// the key which the store does not have.
func TestAPromotionLockThatIsGoneCanBeTakenAgain(t *testing.T) {
	for name, remove := range map[string]func(f *follower){
		"the watch says so": func(f *follower) {
			f.Changed([]eelgrassladder.Item{{Key: leadership.PromotionLockKey, Revision: 20, Gone: true}})
		},
		"a read of all keys lacks it": func(f *follower) { f.Reset(nil, 20) },
	} {
		n := newTestNode(clock.Host{})
		n.dependencies.Registry = keysRegistry{}
		n.state.LearnPromotionLock(leadership.PromotionLock{Revision: 12, Holder: "c-2", Busy: true, Token: 9})
		remove(newFollower(n))
		lock := n.state.PromotionLock()
		assert.Equal(t, lock.Expected(), revision.Revision(0), name)
		assert.Equal(t, lock.WithHolder("c-1", 0).FencingToken(), uint64(21), name)
		n.state.LearnPromotionLock(leadership.PromotionLock{}.WithRevision(25, 0))
		assert.Equal(t, n.state.PromotionLock().Expected(), revision.Revision(25), name)
	}
}

// TestALockThatIsNewerThanAReadOfAllKeysIsKept guards against a lock that counts as gone
// because it was written after the keys were read.
func TestALockThatIsNewerThanAReadOfAllKeysIsKept(t *testing.T) {
	n := newTestNode(clock.Host{})
	n.dependencies.Registry = keysRegistry{}
	n.state.LearnPromotionLock(leadership.PromotionLock{Revision: 21, Holder: "c-2", Token: 20})
	newFollower(n).Reset(nil, 20)
	assert.Equal(t, n.state.PromotionLock().Expected(), revision.Revision(21))
}
