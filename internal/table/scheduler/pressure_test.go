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

func TestAPrimaryThatAcknowledgesNothingGetsOneWriteAtATime(t *testing.T) {
	b := newBench(t, 8, 1)
	var taken []string
	sent := b.timer.Now()
	b.table.WriteSent("p", sent)
	b.submit("quick", 0, placement.Need{Write: true}, &taken)
	b.timer.Advance(400 * time.Millisecond)
	b.prove()
	b.submit("write", 0, placement.Need{Write: true}, &taken)
	b.submit("read", 0, placement.Need{Consistency: route.Primary}, &taken)
	b.drain(t, 2)
	b.idle(t)
	assert.DeepEqual(t, taken, []string{"quick at p", "read at p"})
	b.timer.Advance(150 * time.Millisecond)
	b.table.Sweep()
	b.drain(t, 1)
	assert.Equal(t, taken[2], "write refused NoReplica")

	b.table.WriteDone("p", sent, false)
	b.submit("probe", 0, placement.Need{Write: true}, &taken)
	b.drain(t, 1)
	assert.Equal(t, taken[3], "probe at p")
	probe := b.timer.Now()
	b.table.WriteSent("p", probe)
	b.submit("behind", 0, placement.Need{Write: true}, &taken)
	b.idle(t)
	b.table.WriteDone("p", probe, true)
	b.drain(t, 1)
	assert.Equal(t, taken[4], "behind at p")
}

func TestReadsGoOnBesideAWriteThatWaitsForAReplica(t *testing.T) {
	b := newBench(t, 4, 1)
	for range 4 {
		assert.Assert(t, b.borrow("p"))
		b.table.Discard("p", nil, scheduler.Outcome{Answered: true, Busy: true})
	}
	var taken []string
	b.submit("write", 0, placement.Need{Write: true}, &taken)
	b.drain(t, 1)
	b.table.WriteSent("p", b.timer.Now())
	b.timer.Advance(250 * time.Millisecond)
	b.prove()
	b.submit("read", 0, placement.Need{Consistency: route.Primary}, &taken)
	b.idle(t)
	b.timer.Advance(60 * time.Millisecond)
	b.table.Sweep()
	b.drain(t, 1)
	assert.DeepEqual(t, taken, []string{"write at p", "read at p"})
}

func TestAnEndpointThatFailsAgainWaitsForAQuestion(t *testing.T) {
	b := newBench(t, 8, 1)
	var taken []string
	read := func(name string) {
		b.prove()
		b.submit(name, 0, placement.Need{Consistency: route.ReadYourWrites}, &taken)
		b.drain(t, 1)
	}
	read("first")
	assert.Equal(t, taken[0], "first at r")
	b.table.Discard("r", nil, scheduler.Outcome{})
	assert.Equal(t, len(b.table.ProbeCandidates()), 0)
	b.timer.Advance(60 * time.Millisecond)
	read("second")
	assert.Equal(t, taken[1], "second at r")
	read("beside")
	assert.Equal(t, taken[2], "beside at p", "one statement at a time tries it")
	b.table.Discard("r", nil, scheduler.Outcome{})
	b.timer.Advance(5 * time.Second)
	read("third")
	assert.Equal(t, taken[3], "third at p")
	assert.Equal(t, len(b.table.ProbeCandidates()), 1)
	b.table.Observe("r", scheduler.Outcome{Answered: true})
	read("fourth")
	assert.Equal(t, taken[4], "fourth at r")
}

func TestAGroupIsOutpacedWhileItsPrimaryRefusesReadsAlone(t *testing.T) {
	for _, c := range []struct {
		name    string
		lagging bool
	}{{"replicas lag", true}, {"a replica serves", false}} {
		b := newBench(t, 2, 1)
		var taken []string
		for range 40 {
			b.timer.Advance(100 * time.Millisecond)
			b.prove()
			if c.lagging {
				b.table.Observe("r", scheduler.Outcome{Answered: true, MissingPosition: position.Position{Term: 1, Log: 5}})
			}
			for range 6 {
				b.submit("read", 0, placement.Need{Consistency: route.ReadYourWrites}, &taken)
			}
			b.clock.now += 100 * time.Millisecond
			b.timer.Advance(100 * time.Millisecond)
			b.table.Sweep()
			for b.give() {
			}
		}
		assert.Equal(t, b.table.OutpacedFor("g") > 2*time.Second, c.lagging, "%s: %v", c.name, b.table.OutpacedFor("g"))
	}
}
