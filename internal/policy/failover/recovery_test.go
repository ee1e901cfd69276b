package failover_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAGroupRecoversWhenTheOldPrimaryReturnsUnderAnotherID replays a failure
// that left a group without a primary: the promoted member leaves before the
// record is opened, and the former primary, which holds the only copy of the
// acknowledged commits, returns under another ID.
func TestAGroupRecoversWhenTheOldPrimaryReturnsUnderAnotherID(t *testing.T) {
	m := newModel(allRules())
	a, b := m.proxies[0], m.proxies[1]
	// Members 0 and 2 hold the commit. Member 0 crashes, and member 2 is
	// promoted but leaves before the record is opened.
	m.members[1].detached = true
	m.write(b)
	m.crash(m.members[0])
	m.changePrimary(a)
	assert.Assert(t, m.members[2].primary)
	m.leave(m.members[2])
	a.change = nil
	m.restartRenamed(0)
	renamed := m.members[3]
	// Member 2 does not count as having left before memberRetention, so its
	// answer is required.
	m.advance(a, 5*time.Second)
	m.changePrimary(a)
	assert.Assert(t, !m.members[1].primary && !renamed.primary, "a member was promoted although a member that left a moment ago may hold a longer log")
	// Member 2 counts as having left, but the proxies have not exchanged
	// reports during the change.
	m.advance(a, 10*time.Second)
	m.changePrimary(a)
	assert.Assert(t, !m.members[1].primary && !renamed.primary, "a member was promoted although the other proxy may know of a later commit")
	m.beginChange(a)
	m.stepUntil(0, a, stopping)
	m.now += 100 * time.Millisecond
	m.exchange()
	m.stepUntil(0, a, settling)
	assert.Assert(t, renamed.primary)
	m.now += 1200 * time.Millisecond // longer than leader.ProofLifetime
	m.stepUntil(0, a, opening)
	m.step(0, a)
	m.members[1].detached = false
	m.write(a)
	assert.Equal(t, m.acknowledged, renamed.end())
	assert.Equal(t, m.violation, "")
}

// TestAStalledPrimaryLeadsAgain guards against the promotion of a replica that
// lacks acknowledged commits: the primary stalls because its only remaining
// replica receives no log, and must itself lead again in a new term.
func TestAStalledPrimaryLeadsAgain(t *testing.T) {
	m := newModel(allRules())
	a, b := m.proxies[0], m.proxies[1]
	m.members[1].detached = true
	m.write(b)
	m.leave(m.members[2])
	m.advance(a, 13*time.Second) // longer than memberRetention
	m.recordDepartures(a)        // asks the primary for the end of its log
	m.recordDepartures(a)        // records that end
	m.changePrimary(a)
	assert.Assert(t, m.members[0].primary)
	assert.Equal(t, m.members[0].term, m.promotedTerm)
	m.now += 1200 * time.Millisecond // longer than leader.ProofLifetime
	m.stepUntil(0, a, opening)
	m.step(0, a)
	m.members[1].detached = false
	m.write(a)
	assert.Equal(t, m.acknowledged, m.members[0].end())
	assert.Equal(t, m.violation, "")
}
