package succession_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/policy/succession"
	"eelgrassladder.example/eelgrassladder/internal/trade/position"
)

func TestJudge(t *testing.T) {
	healthy := succession.Evidence{HasList: time.Minute, Known: true, Listed: true, Successors: 2, Silent: 20 * time.Millisecond}
	with := func(f func(*succession.Evidence)) succession.Evidence {
		e := healthy
		f(&e)
		return e
	}
	for name, c := range map[string]struct {
		evidence succession.Evidence
		want     succession.Reason
	}{
		"a healthy primary stays": {healthy, succession.None},
		"one lost connection does not count as a crash": {with(func(e *succession.Evidence) {
			e.Refused, e.Failures, e.Silent = true, 1, 200*time.Millisecond
		}), succession.None},
		"a host that refuses connections is down": {with(func(e *succession.Evidence) {
			e.Refused, e.Failures, e.Silent = true, 2, 200*time.Millisecond
		}), succession.Down},
		"silence without a failed probe proves nothing": {with(func(e *succession.Evidence) {
			e.Failures, e.Silent = 5, time.Minute
		}), succession.None},
		"a failed probe after silence": {with(func(e *succession.Evidence) {
			e.Failures, e.Silent, e.Probed = 2, 500*time.Millisecond, true
		}), succession.Dark},
		"a leaving primary is replaced": {with(func(e *succession.Evidence) { e.Leaving = true }), succession.Leaving},
		"commits that wait for long":    {with(func(e *succession.Evidence) { e.Stalled = time.Second }), succession.Stalled},
		"replicas that lag while the primary refuses reads": {with(func(e *succession.Evidence) {
			e.Outpaced, e.Since = 1500*time.Millisecond, time.Minute
		}), succession.Outpaced},
		"a primary is not replaced again soon after": {with(func(e *succession.Evidence) {
			e.Outpaced, e.Since = 1500*time.Millisecond, 5*time.Second
		}), succession.None},
		"no other endpoint could lead": {with(func(e *succession.Evidence) {
			e.Leaving, e.Successors = true, 0
		}), succession.None},
		"another proxy's change is left alone": {with(func(e *succession.Evidence) {
			e.Closed, e.Since, e.Leaving = true, time.Second, true
		}), succession.None},
		"an old change is taken over": {with(func(e *succession.Evidence) {
			e.Closed, e.Since = true, 5*time.Second
		}), succession.Abandoned},
		"this proxy's own change continues after a lost response": {with(func(e *succession.Evidence) {
			e.Closed, e.Own = true, true
		}), succession.Abandoned},
		"an entry that expired a moment ago may return": {with(func(e *succession.Evidence) {
			e.Listed, e.Unlisted, e.Failures = false, 2*time.Second, 1
		}), succession.None},
		"an entry that is missing for long": {with(func(e *succession.Evidence) {
			e.Listed, e.Unlisted, e.Failures = false, 3*time.Second, 1
		}), succession.Gone},
		"a group without a primary": {succession.Evidence{
			HasList: time.Minute, Successors: 3, Since: 2 * time.Second,
		}, succession.Leaderless},
		"a proxy that has just read the list may not see all replicas": {with(func(e *succession.Evidence) {
			e.HasList, e.Refused, e.Failures, e.Silent = 2500*time.Millisecond, true, 2, 200*time.Millisecond
		}), succession.None},
		"a group without a primary when the list was just read": {succession.Evidence{
			HasList: 2 * time.Second, Successors: 2, Since: 2 * time.Second,
		}, succession.None},
	} {
		assert.Equal(t, succession.Judge(c.evidence), c.want, name)
	}
}

func TestTheLongestLogLeads(t *testing.T) {
	all := []succession.Candidate{
		{ID: "short", Received: position.Position{Term: 2, Log: 9}},
		{ID: "leaving", Received: position.Position{Term: 2, Log: 12}, Leaving: true},
		{ID: "stays", Received: position.Position{Term: 2, Log: 12}},
		{ID: "older term", Received: position.Position{Term: 1, Log: 99}},
	}
	best, ok := succession.Elect(all, position.Position{})
	assert.Assert(t, ok)
	assert.Equal(t, best.ID, "stays")
	_, ok = succession.Elect(nil, position.Position{})
	assert.Assert(t, !ok)
}

func TestNoMemberLeadsWithoutAcknowledgedCommits(t *testing.T) {
	all := []succession.Candidate{
		{ID: "longer, of an earlier term", Received: position.Position{Term: 1, Log: 500}},
		{ID: "short", Received: position.Position{Term: 3, Log: 208}},
	}
	_, ok := succession.Elect(all, position.Position{Term: 3, Log: 209})
	assert.Assert(t, !ok)
	all = append(all, succession.Candidate{ID: "holds it", Received: position.Position{Term: 3, Log: 209}, Leaving: true})
	best, ok := succession.Elect(all, position.Position{Term: 3, Log: 209})
	assert.Assert(t, ok)
	assert.Equal(t, best.ID, "holds it")
}

func TestOneProxyHoldsTheDuty(t *testing.T) {
	assert.Assert(t, succession.Takes("a", "", false, 0))
	assert.Assert(t, succession.Takes("a", "a", true, 0))
	assert.Assert(t, succession.Takes("a", "b", false, 0))
	assert.Assert(t, !succession.Takes("a", "b", true, time.Second))
	assert.Assert(t, succession.Takes("a", "b", true, 5*time.Second))
}

func TestAPrimaryWithPendingStatementsIsProbedSoon(t *testing.T) {
	e := succession.Evidence{Known: true, Listed: true, Successors: 2, Silent: 250 * time.Millisecond}
	assert.Assert(t, !succession.Asks(e), "no statement is pending")
	e.Running = 1
	assert.Assert(t, succession.Asks(e))
	e.Closed = true
	assert.Assert(t, !succession.Asks(e))
}
