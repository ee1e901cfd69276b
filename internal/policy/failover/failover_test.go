package failover_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

func TestDecideReplacement(t *testing.T) {
	healthy := failover.Evidence{ListAge: time.Minute, HasPrimary: true, Listed: true, Successors: 2, SilentFor: 20 * time.Millisecond}
	with := func(f func(*failover.Evidence)) failover.Evidence {
		e := healthy
		f(&e)
		return e
	}
	for name, c := range map[string]struct {
		evidence failover.Evidence
		want     failover.Reason
	}{
		"a healthy primary stays": {healthy, failover.None},
		"one lost connection does not count as a crash": {with(func(e *failover.Evidence) {
			e.Refused, e.Failures, e.SilentFor = true, 1, 200*time.Millisecond
		}), failover.None},
		"a host that refuses connections is down": {with(func(e *failover.Evidence) {
			e.Refused, e.Failures, e.SilentFor = true, 2, 200*time.Millisecond
		}), failover.Down},
		"resets of connections do not prove that a primary is down": {with(func(e *failover.Evidence) {
			e.Reset, e.Failures, e.SilentFor = true, 5, 400*time.Millisecond
		}), failover.None},
		"a silent primary stays until a probe fails": {with(func(e *failover.Evidence) {
			e.Failures, e.SilentFor = 5, time.Minute
		}), failover.None},
		"a primary that is silent and fails a probe is unresponsive": {with(func(e *failover.Evidence) {
			e.Failures, e.SilentFor, e.ProbeFailed = 2, 500*time.Millisecond, true
		}), failover.Unresponsive},
		"a leaving primary is replaced":           {with(func(e *failover.Evidence) { e.Leaving = true }), failover.Leaving},
		"a primary whose commits wait is stalled": {with(func(e *failover.Evidence) { e.StalledFor = time.Second }), failover.Stalled},
		"a primary that refuses reads while its replicas lag is outpaced": {with(func(e *failover.Evidence) {
			e.OutpacedFor, e.StateAge = 1500*time.Millisecond, time.Minute
		}), failover.Outpaced},
		"a new primary is not replaced as outpaced": {with(func(e *failover.Evidence) {
			e.OutpacedFor, e.StateAge = 1500*time.Millisecond, 5*time.Second
		}), failover.None},
		"a primary without successors stays": {with(func(e *failover.Evidence) {
			e.Leaving, e.Successors = true, 0
		}), failover.None},
		"another proxy's change is left alone": {with(func(e *failover.Evidence) {
			e.Closed, e.StateAge, e.Leaving = true, time.Second, true
		}), failover.None},
		"an old change is taken over": {with(func(e *failover.Evidence) {
			e.Closed, e.StateAge = true, 5*time.Second
		}), failover.Abandoned},
		"this proxy's own change continues after a lost response": {with(func(e *failover.Evidence) {
			e.Closed, e.ClosedBySelf = true, true
		}), failover.Abandoned},
		"an entry that expired a moment ago may return": {with(func(e *failover.Evidence) {
			e.Listed, e.UnlistedFor, e.Failures = false, 2*time.Second, 1
		}), failover.None},
		"a primary that is missing from the list for long is unlisted": {with(func(e *failover.Evidence) {
			e.Listed, e.UnlistedFor, e.Failures = false, 3*time.Second, 1
		}), failover.Unlisted},
		"a group without a primary is leaderless": {failover.Evidence{
			ListAge: time.Minute, Successors: 3, StateAge: 2 * time.Second,
		}, failover.Leaderless},
		"a proxy that has just read the list may not see all replicas": {with(func(e *failover.Evidence) {
			e.ListAge, e.Refused, e.Failures, e.SilentFor = 2500*time.Millisecond, true, 2, 200*time.Millisecond
		}), failover.None},
		"a group without a primary waits until the list was read for a while": {failover.Evidence{
			ListAge: 2 * time.Second, Successors: 2, StateAge: 2 * time.Second,
		}, failover.None},
	} {
		assert.Equal(t, failover.DecideReplacement(c.evidence), c.want, name)
	}
}

func TestTheLongestLogIsElected(t *testing.T) {
	candidates := []failover.Candidate{
		{ID: "short", Received: position.Position{Term: 2, Log: 9}},
		{ID: "leaving", Received: position.Position{Term: 2, Log: 12}, Leaving: true},
		{ID: "stays", Received: position.Position{Term: 2, Log: 12}},
		{ID: "older term", Received: position.Position{Term: 1, Log: 99}},
	}
	best, ok := failover.Elect(candidates, position.Position{})
	assert.Assert(t, ok)
	assert.Equal(t, best.ID, "stays")
	_, ok = failover.Elect(nil, position.Position{})
	assert.Assert(t, !ok)
}

func TestOnlyALogThatHoldsTheFloorIsElected(t *testing.T) {
	candidates := []failover.Candidate{
		{ID: "longer, of an earlier term", Received: position.Position{Term: 1, Log: 500}},
		{ID: "short", Received: position.Position{Term: 3, Log: 208}},
	}
	_, ok := failover.Elect(candidates, position.Position{Term: 3, Log: 209})
	assert.Assert(t, !ok)
	candidates = append(candidates, failover.Candidate{ID: "holds it", Received: position.Position{Term: 3, Log: 209}, Leaving: true})
	best, ok := failover.Elect(candidates, position.Position{Term: 3, Log: 209})
	assert.Assert(t, ok)
	assert.Equal(t, best.ID, "holds it")
}

func TestOneProxyHoldsThePromotionLock(t *testing.T) {
	assert.Assert(t, failover.MayTakeLock("a", "", false, 0))
	assert.Assert(t, failover.MayTakeLock("a", "a", true, 0))
	assert.Assert(t, failover.MayTakeLock("a", "b", false, 0))
	assert.Assert(t, !failover.MayTakeLock("a", "b", true, time.Second))
	assert.Assert(t, failover.MayTakeLock("a", "b", true, 5*time.Second))
}

func TestAPrimaryWithPendingStatementsIsProbedSoon(t *testing.T) {
	e := failover.Evidence{HasPrimary: true, Listed: true, Successors: 2, SilentFor: 250 * time.Millisecond}
	assert.Assert(t, !failover.ShouldProbe(e), "no statement is pending")
	e.Running = 1
	assert.Assert(t, failover.ShouldProbe(e))
	e.Closed = true
	assert.Assert(t, !failover.ShouldProbe(e))
}

// TestAnIdlePrimaryIsProbedByPoolers guards against probes of all proxies that fill an endpoint
// with fewer connections than proxies, and against a failure that a pooler does not notice.
func TestAnIdlePrimaryIsProbedByPoolers(t *testing.T) {
	e := failover.Evidence{HasPrimary: true, Listed: true, Successors: 2, SilentFor: time.Minute}
	assert.Assert(t, failover.ShouldProbe(e))
	e.Pooled = true
	assert.Assert(t, !failover.ShouldProbe(e))
	e.Failures = 1
	assert.Assert(t, failover.ShouldProbe(e), "a statement of this proxy has failed")
}

func TestAPrimaryThatResetAConnectionIsProbedAtOnce(t *testing.T) {
	e := failover.Evidence{HasPrimary: true, Listed: true, Successors: 2, SilentFor: 5 * time.Millisecond, Failures: 1}
	assert.Assert(t, !failover.ShouldProbe(e))
	e.Reset = true
	assert.Assert(t, failover.ShouldProbe(e))
}
