package shedding_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/policy/shedding"
)

const ms = time.Millisecond

func TestAStatementThatWouldBeLateIsRefused(t *testing.T) {
	w := shedding.Wait{Timeout: 800 * ms, Target: 200 * ms}
	assert.Assert(t, !shedding.ForCapacity(w, 20*ms))
	assert.Assert(t, shedding.ForCapacity(w, 150*ms), "a statement waits although it would be answered late")
	w.Waited = 110 * ms
	assert.Assert(t, shedding.ForCapacity(w, 0))
}

func TestAStatementWaitsLongerForAProof(t *testing.T) {
	w := shedding.Wait{Timeout: 800 * ms, Target: 200 * ms, Waited: 90 * ms}
	assert.Assert(t, shedding.ForCapacity(w, 0))
	assert.Assert(t, !shedding.ForProof(w, time.Hour))
	w.Waited = 110 * ms
	assert.Assert(t, shedding.ForProof(w, time.Hour))
}

// TestAStatementThatWaitedForAChangeWaitsForTheProofAfterIt guards against writes that
// wait for the next primary and are refused before that one can be proven.
func TestAStatementThatWaitedForAChangeWaitsForTheProofAfterIt(t *testing.T) {
	w := shedding.Wait{Timeout: 800 * ms, Target: 200 * ms, Waited: 600 * ms}
	assert.Assert(t, !shedding.ForProof(w, 10*ms))
	assert.Assert(t, shedding.ForProof(w, 110*ms))
	w.Waited = 690 * ms
	assert.Assert(t, shedding.ForProof(w, 10*ms), "a statement waits although no time is left to run it")
}

func TestAWriteWaitsForAChangeThatEndsInTime(t *testing.T) {
	w := shedding.Wait{Timeout: 800 * ms, Target: 200 * ms}
	assert.Assert(t, shedding.ForChange(w, 0), "a write waits for a change that ends too late for it")
	assert.Assert(t, !shedding.ForChange(w, 600*ms))
	assert.Assert(t, !shedding.ForChange(w, 2*time.Second), "a write is refused although the change may end at any moment")
	w.Waited = 500 * ms
	assert.Assert(t, shedding.ForChange(w, 2*time.Second))
}

func TestAWaitWithoutAKnownEndIsShort(t *testing.T) {
	assert.Assert(t, !shedding.ForUnknownWait(shedding.Wait{Target: 200 * ms, Waited: 40 * ms}))
	assert.Assert(t, shedding.ForUnknownWait(shedding.Wait{Target: 200 * ms, Waited: 60 * ms}))
}
