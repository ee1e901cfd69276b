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

// fixture is a queue in front of a primary with two slots. The clock moves
// only when the test advances it.
type fixture struct {
	clock *timer.Manual
	table *queue.Table
	// answers counts the answers delivered for each item.
	answers map[*queue.Item]int
}

func newFixture() *fixture {
	f := &fixture{clock: timer.NewManual(time.Unix(1000, 0)), answers: map[*queue.Item]int{}}
	f.table = queue.New(admission.Targets{}, routing.Replicas{}, f.clock, 4096)
	f.table.SetMembers([]queue.Member{{Name: "a", Slots: 2, Snapshot: eelgrassladder.Candidate{Primary: true, Usable: true}}})
	return f
}

// offer adds a request of a caller that arrives now.
func (f *fixture) offer(caller string, c class.Class) *queue.Item {
	item := &queue.Item{
		Request: request.Request{Caller: caller, Arrived: f.clock.Now()}, Class: c, Context: context.Background(),
	}
	f.answers[item] = 0
	f.table.Offer(item, func(request.Answer) { f.answers[item]++ })
	return item
}

func TestEveryItemIsAnsweredOnceAndSlotsAreNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		var running []queue.Job
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				f.offer("kennel-club", deposits)
			case 1:
				f.offer("breeders", gallery)
			case 2:
				f.clock.Advance(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
				f.table.Sweep()
			default:
				if j, ok := f.table.TryTake(); ok {
					running = append(running, j)
				}
				if len(running) > 0 && rapid.Bool().Draw(t, "done") {
					f.table.Done(running[0], true)
					f.table.Settle(running[0].Item, request.Answer{Outcome: request.Done})
					running = running[1:]
				}
			}
			assert.Assert(t, f.table.Running() <= 2)
			assert.Equal(t, f.table.Running(), len(running))
		}
		f.table.Close(request.Refused(request.CodeCannotConnect, "closing", "", 0))
		for _, j := range running {
			f.table.Settle(j.Item, request.Answer{Outcome: request.Done})
		}
		for item, count := range f.answers {
			assert.Equal(t, count, 1, "answers to a request of class %s of %s", item.Class.Name, item.Request.Caller)
		}
	})
}

func TestPayingWorkGoesFirstAndLateFreeWorkIsRefused(t *testing.T) {
	f := newFixture()
	free := f.offer("breeders", gallery)
	paying := f.offer("kennel-club", deposits)
	first, ok := f.table.TryTake()
	assert.Assert(t, ok)
	assert.Equal(t, first.Item, paying)
	second, ok := f.table.TryTake()
	assert.Assert(t, ok, "free work was not admitted to a slot that no paying work needs")
	assert.Equal(t, second.Item, free)
	waiting := f.offer("breeders", gallery)
	f.clock.Advance(1100 * time.Millisecond)
	f.table.Sweep()
	assert.Equal(t, f.answers[waiting], 1, "free work still waits although its target has passed")
}

func TestManyRequestsOfOneCallerDoNotDelayOtherCallers(t *testing.T) {
	f := newFixture()
	for range 40 {
		f.offer("kennel-club", deposits)
	}
	for range 20 {
		j, ok := f.table.TryTake()
		assert.Assert(t, ok)
		f.clock.Advance(20 * time.Millisecond)
		f.table.Done(j, true)
	}
	late := f.offer("commissions", deposits)
	for attempt := range 3 {
		j, ok := f.table.TryTake()
		assert.Assert(t, ok)
		if j.Item == late {
			return
		}
		f.table.Done(j, true)
		assert.Assert(t, attempt < 2, "a caller's request waits behind many requests of another caller")
	}
}

func TestOverloadIsRefusedOnArrival(t *testing.T) {
	f := newFixture()
	refused := 0
	for range 400 {
		item := f.offer("breeders", gallery)
		if f.answers[item] == 1 {
			refused++
		}
		if j, ok := f.table.TryTake(); ok {
			f.clock.Advance(20 * time.Millisecond)
			f.table.Done(j, true)
		}
		for range 5 {
			if f.answers[f.offer("breeders", gallery)] == 1 {
				refused++
			}
		}
	}
	// Six requests arrive for each that is served. Nearly all of the others must
	// be refused on arrival, not after they have waited.
	assert.Assert(t, refused > 1800, "%d of 2400 requests were refused on arrival", refused)
}
