package queue_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/class"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/policy/admission"
	"eelgrassladder.example/eelgrassladder/internal/policy/routing"
	"eelgrassladder.example/eelgrassladder/internal/table/queue"
)

var (
	deposits = class.Class{Name: "deposits", Paying: true, Target: class.Target{Share: 0.99, Within: class.Duration(400 * time.Millisecond)}}
	gallery  = class.Class{Name: "gallery", Target: class.Target{Share: 0.9, Within: class.Duration(time.Second)}, Staleness: class.Duration(time.Second)}
)

// bench is a queue over one primary of two slots, at a time that stands still
// between steps.
type bench struct {
	clock *timer.Manual
	table *queue.Table
	// told counts the answers of each item.
	told map[*queue.Item]int
}

func newBench() *bench {
	b := &bench{clock: timer.NewManual(time.Unix(1000, 0)), told: map[*queue.Item]int{}}
	b.table = queue.New(admission.Targets{}, routing.Replicas{}, b.clock, 4096)
	b.table.SetMembers([]queue.Member{{Name: "a", Slots: 2, Snapshot: eelgrassladder.Candidate{Primary: true, Usable: true}}})
	return b
}

func (b *bench) offer(caller string, c class.Class) *queue.Item {
	i := &queue.Item{
		Request: request.Request{Caller: caller, Arrived: b.clock.Now()}, Class: c, Context: context.Background(),
	}
	b.told[i] = 0
	b.table.Offer(i, func(request.Answer) { b.told[i]++ })
	return i
}

func TestEveryItemIsAnsweredOnceAndSlotsAreNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench()
		var running []queue.Job
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				b.offer("kennel-club", deposits)
			case 1:
				b.offer("owners", gallery)
			case 2:
				b.clock.Advance(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
				b.table.Sweep()
			default:
				if j, ok := b.table.TryTake(); ok {
					running = append(running, j)
				}
				if len(running) > 0 && rapid.Bool().Draw(t, "done") {
					b.table.Done(running[0], true)
					b.table.Settle(running[0].Item, request.Answer{Outcome: request.Done})
					running = running[1:]
				}
			}
			assert.Assert(t, b.table.Running() <= 2)
			assert.Equal(t, b.table.Running(), len(running))
		}
		b.table.Close(request.Refused(request.CodeCannotConnect, "closing", "", 0))
		for _, j := range running {
			b.table.Settle(j.Item, request.Answer{Outcome: request.Done})
		}
		for i, n := range b.told {
			assert.Equal(t, n, 1, "%s of %s", i.Class.Name, i.Request.Caller)
		}
	})
}

func TestPayingWorkGoesFirstAndFreeWorkIsShed(t *testing.T) {
	b := newBench()
	free := b.offer("owners", gallery)
	paying := b.offer("kennel-club", deposits)
	first, ok := b.table.TryTake()
	assert.Assert(t, ok)
	assert.Equal(t, first.Item, paying)
	second, ok := b.table.TryTake()
	assert.Assert(t, ok, "free work was kept from a slot that nobody needs")
	assert.Equal(t, second.Item, free)
	waits := b.offer("owners", gallery)
	b.clock.Advance(1100 * time.Millisecond)
	b.table.Sweep()
	assert.Equal(t, b.told[waits], 1, "free work past its target still waits")
}

func TestAFloodOfOneCallerDoesNotDelayTheOthers(t *testing.T) {
	b := newBench()
	for range 40 {
		b.offer("kennel-club", deposits)
	}
	for range 20 {
		j, ok := b.table.TryTake()
		assert.Assert(t, ok)
		b.clock.Advance(20 * time.Millisecond)
		b.table.Done(j, true)
	}
	late := b.offer("commissions", deposits)
	for turn := range 3 {
		j, ok := b.table.TryTake()
		assert.Assert(t, ok)
		if j.Item == late {
			return
		}
		b.table.Done(j, true)
		assert.Assert(t, turn < 2, "a caller waits behind another one's flood")
	}
}

func TestAFloodIsRefusedOnArrival(t *testing.T) {
	b := newBench()
	refused := 0
	for range 400 {
		i := b.offer("owners", gallery)
		if b.told[i] == 1 {
			refused++
		}
		if j, ok := b.table.TryTake(); ok {
			b.clock.Advance(20 * time.Millisecond)
			b.table.Done(j, true)
		}
		for range 5 {
			if b.told[b.offer("owners", gallery)] == 1 {
				refused++
			}
		}
	}
	// Six requests come for each that is served: nearly all of the others must
	// be refused as they come, and not after they have waited.
	assert.Assert(t, refused > 1800, "%d of 2400 requests were refused on arrival", refused)
}
