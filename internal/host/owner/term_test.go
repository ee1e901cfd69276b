package owner

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/class"
	"eelgrassladder.example/eelgrassladder/internal/model/group"
	"eelgrassladder.example/eelgrassladder/internal/policy/admission"
	"eelgrassladder.example/eelgrassladder/internal/policy/promotion"
	"eelgrassladder.example/eelgrassladder/internal/policy/routing"
)

// A probe can decide that term 4 must be replaced while term 6 is being
// activated. Its request must not end term 6.
func TestARequestToReplaceAnEarlierTermKeepsTheActiveTerm(t *testing.T) {
	clock := timer.New()
	o := New("proxy-1", 1, group.Group{Name: "commission-orders-1"}, clock,
		func(string) (class.Class, bool) { return class.Class{}, false },
		WithAdmission(admission.Targets{}), WithRouter(routing.Replicas{}))
	o.tasks = task.New(context.Background())
	o.activate(6, "commission-orders-1-a")
	o.requestTerm(string(promotion.Superseded), 4)
	o.tasks.Go("timer", clock.Run)
	o.tasks.Go("term", o.runTermLoop)
	time.Sleep(100 * time.Millisecond) // enough for the term loop to read the request
	active := o.current()
	assert.Assert(t, active != nil, "a request to replace an earlier term ended the active term")
	assert.Equal(t, active.term, uint64(6))
	o.tasks.Stop()
	_ = o.tasks.Wait()
}
