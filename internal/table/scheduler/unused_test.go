package scheduler_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// Guards against a dead primary that counts as alive, or a live one as failing, because of a
// connection on which nothing was sent.
func TestAConnectionOnWhichNothingWasSentShowsNothing(t *testing.T) {
	f := newFixture(t, 4, 1)
	before := f.table.Health("p")
	c, ok := f.table.Borrow("p")
	assert.Assert(t, ok)
	f.table.Discard("p", c, scheduler.Outcome{Unused: true})
	after := f.table.Health("p")
	assert.Equal(t, after.Failures, before.Failures)
	assert.Equal(t, after.LastAnswer, before.LastAnswer)
}
