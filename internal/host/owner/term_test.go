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

// TestAJudgementOfAnEarlierTermLeavesTheNewOneInForce asks for a new term
// because of term 4 after term 6 has come into force, as a probe does that
// was judging while the term changed.
func TestAJudgementOfAnEarlierTermLeavesTheNewOneInForce(t *testing.T) {
	clock := timer.New()
	o := New("proxy-1", 1, group.Group{Name: "commission-orders-1"}, clock,
		func(string) (class.Class, bool) { return class.Class{}, false },
		WithAdmission(admission.Targets{}), WithRouter(routing.Replicas{}))
	o.tasks = task.New(context.Background())
	o.install(6, "commission-orders-1-a")
	o.askRaise(string(promotion.Superseded), 4)
	o.tasks.Go("timer", clock.Run)
	o.tasks.Go("term", o.keepTerm)
	time.Sleep(100 * time.Millisecond)
	g := o.current()
	assert.Assert(t, g != nil, "the term in force was given up for an earlier one")
	assert.Equal(t, g.term, uint64(6))
	o.tasks.Stop()
	_ = o.tasks.Wait()
}
