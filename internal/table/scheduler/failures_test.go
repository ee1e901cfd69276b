package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/policy/placement"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// TestAPrimaryThatAcknowledgesNothingGetsOneWriteAtATime leaves a write
// without an answer. Reads continue, and further writes are refused until one
// write was acknowledged again.
func TestAPrimaryThatAcknowledgesNothingGetsOneWriteAtATime(t *testing.T) {
	b := newFixture(t, 8, 1)
	var results []string
	sent := b.timer.Now()
	b.table.WriteSent("p", sent)
	b.submit("quick", 0, placement.Need{Write: true}, &results)
	b.timer.Advance(400 * time.Millisecond)
	b.prove()
	b.submit("write", 0, placement.Need{Write: true}, &results)
	b.submit("read", 0, placement.Need{Consistency: route.Primary}, &results)
	b.runNext(t, 2)
	b.assertNoneReady(t)
	assert.DeepEqual(t, results, []string{"quick at p", "read at p"})
	b.timer.Advance(150 * time.Millisecond)
	b.table.Sweep()
	b.runNext(t, 1)
	assert.Equal(t, results[2], "write refused NoReplica")

	b.table.WriteDone("p", sent, false)
	b.submit("probe", 0, placement.Need{Write: true}, &results)
	b.runNext(t, 1)
	assert.Equal(t, results[3], "probe at p")
	probe := b.timer.Now()
	b.table.WriteSent("p", probe)
	b.submit("behind", 0, placement.Need{Write: true}, &results)
	b.assertNoneReady(t)
	b.table.WriteDone("p", probe, true)
	b.runNext(t, 1)
	assert.Equal(t, results[4], "behind at p")
}

// TestReadsContinueBesideAWriteThatWaitsForAReplica limits the primary to one
// statement at a time, which a pending write occupies.
func TestReadsContinueBesideAWriteThatWaitsForAReplica(t *testing.T) {
	b := newFixture(t, 4, 1)
	for range 4 {
		assert.Assert(t, b.borrow("p"))
		b.table.Discard("p", nil, scheduler.Outcome{Answered: true, Busy: true})
	}
	var results []string
	b.submit("write", 0, placement.Need{Write: true}, &results)
	b.runNext(t, 1)
	b.table.WriteSent("p", b.timer.Now())
	b.timer.Advance(250 * time.Millisecond)
	b.prove()
	b.submit("read", 0, placement.Need{Consistency: route.Primary}, &results)
	b.assertNoneReady(t)
	b.timer.Advance(60 * time.Millisecond)
	b.table.Sweep()
	b.runNext(t, 1)
	assert.DeepEqual(t, results, []string{"write at p", "read at p"})
}

// TestAnEndpointThatFailsAgainIsUsedOnlyAfterAProbe fails a replica twice.
// Reads go elsewhere until the replica has answered a probe, however long that
// takes.
func TestAnEndpointThatFailsAgainIsUsedOnlyAfterAProbe(t *testing.T) {
	b := newFixture(t, 8, 1)
	var results []string
	read := func(name string) {
		b.prove()
		b.submit(name, 0, placement.Need{Consistency: route.ReadYourWrites}, &results)
		b.runNext(t, 1)
	}
	read("first")
	assert.Equal(t, results[0], "first at r")
	b.table.Discard("r", nil, scheduler.Outcome{})
	assert.Equal(t, len(b.table.ProbeCandidates()), 0)
	b.timer.Advance(60 * time.Millisecond)
	read("second")
	assert.Equal(t, results[1], "second at r")
	read("beside")
	assert.Equal(t, results[2], "beside at p", "one statement at a time is tried")
	b.table.Discard("r", nil, scheduler.Outcome{})
	b.timer.Advance(5 * time.Second)
	read("third")
	assert.Equal(t, results[3], "third at p")
	assert.Equal(t, len(b.table.ProbeCandidates()), 1)
	b.table.Observe("r", scheduler.Outcome{Answered: true})
	read("fourth")
	assert.Equal(t, results[4], "fourth at r")
}

// TestAGroupIsOutpacedWhileItsPrimaryRefusesReadsAlone refuses some reads of a
// group, once with a replica that serves none and once with one that serves
// half of them.
func TestAGroupIsOutpacedWhileItsPrimaryRefusesReadsAlone(t *testing.T) {
	for _, c := range []struct {
		name    string
		lagging bool
	}{{"replicas lag", true}, {"a replica serves", false}} {
		b := newFixture(t, 2, 1)
		var results []string
		for range 40 {
			b.timer.Advance(100 * time.Millisecond)
			b.prove()
			if c.lagging {
				b.table.Observe("r", scheduler.Outcome{Answered: true, MissingPosition: position.Position{Term: 1, Log: 5}})
			}
			for range 6 {
				b.submit("read", 0, placement.Need{Consistency: route.ReadYourWrites}, &results)
			}
			b.clock.now += 100 * time.Millisecond
			b.timer.Advance(100 * time.Millisecond)
			b.table.Sweep()
			for b.runAndReturn() {
			}
		}
		assert.Equal(t, b.table.OutpacedFor("g") > 2*time.Second, c.lagging, "%s: %v", c.name, b.table.OutpacedFor("g"))
	}
}
