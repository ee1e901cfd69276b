package delegation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAMessageThatWaitedInAFrozenProcessIsOld guards against statements that run when the process
// resumes, long after their clients were answered.
func TestAMessageThatWaitedInAFrozenProcessIsOld(t *testing.T) {
	var p pauses
	now := time.Unix(1000, 0)
	assert.Equal(t, p.delay(now), time.Duration(0), "nothing is known before the first sweep")
	for range 10 {
		p.sweep(now)
		now = now.Add(20 * time.Millisecond)
		assert.Equal(t, p.delay(now), time.Duration(0))
	}
	now = now.Add(3 * time.Second)
	assert.Equal(t, p.delay(now), 3*time.Second+20*time.Millisecond, "a message was read before the first sweep")
	p.sweep(now)
	now = now.Add(maxDelay)
	p.sweep(now)
	assert.Equal(t, p.delay(now), 3*time.Second+20*time.Millisecond, "a message was read after it")
	now = now.Add(1)
	assert.Equal(t, p.delay(now), time.Duration(0))
}

// TestAFrozenServerRunsNothingLate is the same for a server.
func TestAFrozenServerRunsNothingLate(t *testing.T) {
	f := newServerFixture(t)
	f.Sweep()
	f.do(t, 1, first)
	f.timer.Advance(900 * time.Millisecond)
	assert.Equal(t, f.do(t, 1, end).Reply.Code.String(), "Aborted")
	assert.Equal(t, f.do(t, 2, single).Reply.Code.String(), "Busy")
	f.Sweep()
	assert.Equal(t, f.do(t, 3, single).Reply.Code.String(), "Busy")
	f.timer.Advance(50 * time.Millisecond)
	f.Sweep()
	f.timer.Advance(51 * time.Millisecond)
	assert.Equal(t, f.do(t, 4, single).Reply.Code.String(), "OK")
	f.awaitClosed(t, 2)
}
