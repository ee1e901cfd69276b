package patience_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/policy/patience"
)

const ms = time.Millisecond

func TestAStatementThatWouldBeLateIsRefused(t *testing.T) {
	w := patience.Wait{Timeout: 800 * ms, Target: 200 * ms}
	assert.Assert(t, !patience.Capacity(w, 20*ms))
	assert.Assert(t, patience.Capacity(w, 150*ms), "the queue is too long")
	w.Waited = 110 * ms
	assert.Assert(t, patience.Capacity(w, 0))
}

func TestAStatementWaitsLongerForAProof(t *testing.T) {
	w := patience.Wait{Timeout: 800 * ms, Target: 200 * ms, Waited: 90 * ms}
	assert.Assert(t, patience.Capacity(w, 0))
	assert.Assert(t, !patience.Proof(w))
	w.Waited = 110 * ms
	assert.Assert(t, patience.Proof(w))
}

func TestAWriteWaitsForAChangeThatEndsInTime(t *testing.T) {
	w := patience.Wait{Timeout: 800 * ms, Target: 200 * ms}
	assert.Assert(t, patience.Change(w, 0), "the change ends too late for the write")
	assert.Assert(t, !patience.Change(w, 600*ms))
	assert.Assert(t, !patience.Change(w, 2*time.Second), "it may end at any moment")
	w.Waited = 500 * ms
	assert.Assert(t, patience.Change(w, 2*time.Second))
}

func TestAWaitWithoutAKnownEndIsShort(t *testing.T) {
	assert.Assert(t, !patience.Unknown(patience.Wait{Target: 200 * ms, Waited: 40 * ms}))
	assert.Assert(t, patience.Unknown(patience.Wait{Target: 200 * ms, Waited: 60 * ms}))
}
