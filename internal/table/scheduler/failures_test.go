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

// TestAPrimaryThatAcknowledgesNothingGetsOneWriteAtATime leaves a write without
// an answer. Reads continue, and further writes are refused. Once the write has
// ended without an answer, single writes are tried until one is acknowledged.
func TestAPrimaryThatAcknowledgesNothingGetsOneWriteAtATime(t *testing.T) {
	f := newFixture(t, 8, 1)
	var results []string
	sent := f.timer.Now()
	f.table.WriteSent("p", sent)
	f.submit("quick", 0, placement.Need{Write: true}, &results)
	f.timer.Advance(400 * time.Millisecond)
	f.prove()
	f.submit("write", 0, placement.Need{Write: true}, &results)
	f.submit("read", 0, placement.Need{Consistency: route.Primary}, &results)
	f.runNext(t, 2)
	f.assertNoneReady(t)
	assert.DeepEqual(t, results, []string{"quick at p", "read at p"})
	f.timer.Advance(150 * time.Millisecond)
	f.table.Sweep()
	f.runNext(t, 1)
	assert.Equal(t, results[2], "write refused NoReplica")

	f.table.WriteDone("p", sent, false)
	f.submit("trial", 0, placement.Need{Write: true}, &results)
	f.runNext(t, 1)
	assert.Equal(t, results[3], "trial at p")
	trialSent := f.timer.Now()
	f.table.WriteSent("p", trialSent)
	f.submit("next", 0, placement.Need{Write: true}, &results)
	f.assertNoneReady(t)
	f.table.WriteDone("p", trialSent, true)
	f.runNext(t, 1)
	assert.Equal(t, results[4], "next at p")
}

// TestReadsContinueBesideAWriteThatWaitsForAReplica limits the primary to one
// statement at a time, and leaves a write pending. Once the write counts as
// waiting for a replica, a read no longer waits for it.
func TestReadsContinueBesideAWriteThatWaitsForAReplica(t *testing.T) {
	f := newFixture(t, 4, 1)
	for range 4 {
		assert.Assert(t, f.borrow("p"))
		f.table.Discard("p", nil, scheduler.Outcome{Answered: true, Busy: true})
	}
	var results []string
	f.submit("write", 0, placement.Need{Write: true}, &results)
	f.runNext(t, 1)
	f.table.WriteSent("p", f.timer.Now())
	f.timer.Advance(250 * time.Millisecond)
	f.prove()
	f.submit("read", 0, placement.Need{Consistency: route.Primary}, &results)
	f.assertNoneReady(t)
	f.timer.Advance(60 * time.Millisecond)
	f.table.Sweep()
	f.runNext(t, 1)
	assert.DeepEqual(t, results, []string{"write at p", "read at p"})
}

// TestAnEndpointThatFailsAgainIsUsedOnlyAfterAProbe makes a replica fail twice.
// Reads go elsewhere until the replica has answered a probe, however long that
// takes.
func TestAnEndpointThatFailsAgainIsUsedOnlyAfterAProbe(t *testing.T) {
	f := newFixture(t, 8, 1)
	var results []string
	read := func(name string) {
		f.prove()
		f.submit(name, 0, placement.Need{Consistency: route.ReadYourWrites}, &results)
		f.runNext(t, 1)
	}
	read("first")
	assert.Equal(t, results[0], "first at r")
	f.table.Discard("r", nil, scheduler.Outcome{})
	assert.Equal(t, len(f.table.ProbeCandidates()), 0)
	f.timer.Advance(60 * time.Millisecond)
	read("second")
	assert.Equal(t, results[1], "second at r")
	read("concurrent")
	assert.Equal(t, results[2], "concurrent at p", "a second statement was sent to a replica that failed, before the first had ended")
	f.table.Discard("r", nil, scheduler.Outcome{})
	f.timer.Advance(5 * time.Second)
	read("third")
	assert.Equal(t, results[3], "third at p")
	assert.Equal(t, len(f.table.ProbeCandidates()), 1)
	f.table.Observe("r", scheduler.Outcome{Answered: true})
	read("fourth")
	assert.Equal(t, results[4], "fourth at r")
}

// TestAGroupIsOutpacedWhileItsPrimaryRefusesReadsAlone lets some reads of a
// group be refused, once while its replica lags and serves none of the others,
// and once while its replica serves too.
func TestAGroupIsOutpacedWhileItsPrimaryRefusesReadsAlone(t *testing.T) {
	for _, c := range []struct {
		name    string
		lagging bool
	}{{"replicas lag", true}, {"a replica serves", false}} {
		f := newFixture(t, 2, 1)
		var results []string
		for range 40 {
			f.timer.Advance(100 * time.Millisecond)
			f.prove()
			if c.lagging {
				f.table.Observe("r", scheduler.Outcome{Answered: true, MissingPosition: position.Position{Term: 1, Log: 5}})
			}
			for range 6 {
				f.submit("read", 0, placement.Need{Consistency: route.ReadYourWrites}, &results)
			}
			f.clock.now += 100 * time.Millisecond
			f.timer.Advance(100 * time.Millisecond)
			f.table.Sweep()
			for f.runAndReturn() {
			}
		}
		assert.Equal(t, f.table.OutpacedFor("g") > 2*time.Second, c.lagging, "%s: %v", c.name, f.table.OutpacedFor("g"))
	}
}
