package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/era"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// fixedClock is a boot clock that stands still.
type fixedClock struct{}

func (fixedClock) SinceBoot() time.Duration { return time.Hour }

// countingInstruments counts what a node reports of replaced primaries.
type countingInstruments struct {
	Instruments
	unconfirmed, older int
}

func (c *countingInstruments) CommitsUnconfirmed(commits int) { c.unconfirmed += commits }
func (c *countingInstruments) OlderRecordApplied()            { c.older++ }
func (c *countingInstruments) EraLearned(uint64)              {}

// newRecordNode returns a node that applies records to its table, and its counts.
func newRecordNode() (*Node, *countingInstruments) {
	counts := &countingInstruments{}
	n := &Node{dependencies: Dependencies{Clock: fixedClock{}, Instruments: counts}, state: newClusterState("self", nil, fixedClock{}, era.New())}
	n.table = scheduler.New(timer.NewManual(time.Unix(1000, 0)), fixedClock{}, "here")
	n.state.onRecord = n.updateLeader
	return n, counts
}

func TestARecordThatIsAppliedAfterANewerOneIsCounted(t *testing.T) {
	n, counts := newRecordNode()
	opened := leadership.Record{Group: "g", Revision: 4, Endpoint: "a", Term: 1}
	n.state.LearnRecord(opened)
	closed := opened.WithClosed("other").WithRevision(5)
	n.state.LearnRecord(closed)
	n.state.LearnUnwritten(closed.WithPrimary("b", 2))
	n.state.LearnRecord(closed.WithPrimary("b", 2).WithRevision(6))
	n.updateLeader("g")
	assert.Equal(t, counts.older, 0)
	n.state.records = map[string]leadership.Record{"g": opened}
	n.updateLeader("g")
	assert.Equal(t, counts.older, 1)
	n.updateLeader("g")
	assert.Equal(t, counts.older, 1, "the same record counted twice")
}

func TestCommitsOfAReplacedPrimaryAreCountedOnce(t *testing.T) {
	n, counts := newRecordNode()
	opened := leadership.Record{Group: "g", Revision: 4, Endpoint: "a", Term: 1}
	n.state.LearnRecord(opened)
	commit := func() {
		n.table.UpdateLeader("g", func(l leader.State) leader.State {
			return l.WithCommit("a", position.Position{Term: 1, Log: 7}, time.Hour)
		})
	}
	commit()
	n.table.ConfirmRecords(map[string]revision.Revision{"g": 4}, time.Hour+1)
	commit()
	commit()
	n.table.ConfirmRecords(map[string]revision.Revision{"g": 3}, time.Hour+2)
	closed := opened.WithClosed("other").WithRevision(5)
	n.state.LearnRecord(closed)
	assert.Equal(t, counts.unconfirmed, 2, "commits before the record was known to be open count, or a record that was not applied")
	n.state.LearnRecord(closed.WithPrimary("b", 2).WithRevision(6))
	assert.Equal(t, counts.unconfirmed, 2)
}
