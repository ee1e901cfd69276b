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
	m.members[1].detached = true
	m.write(b)
	m.crash(m.members[0])
	m.changePrimary(a)
	assert.Assert(t, m.members[2].primary)
	m.leave(m.members[2])
	a.change = nil
	m.restartRenamed(0)
	renamed := m.members[3]
	m.advance(a, 5*time.Second)
	m.changePrimary(a)
	assert.Assert(t, !m.members[1].primary && !renamed.primary, "a member that has left may hold a longer log")
	m.advance(a, 10*time.Second)
	m.changePrimary(a)
	assert.Assert(t, !m.members[1].primary && !renamed.primary, "the other proxy may know of a later commit")
	m.beginChange(a)
	m.stepUntil(0, a, stopping)
	m.now += 100 * time.Millisecond
	m.exchange()
	m.stepUntil(0, a, settling)
	assert.Assert(t, renamed.primary)
	m.now += 1200 * time.Millisecond
	m.stepUntil(0, a, opening)
	m.step(0, a)
	m.members[1].detached = false
	m.write(a)
	assert.Equal(t, m.acknowledged, renamed.end())
	assert.Equal(t, m.violation, "")
}

// TestAStalledPrimaryLeadsAgain covers a primary whose only remaining replica
// receives no log. The primary must lead again, not the replica that lacks its
// commits.
func TestAStalledPrimaryLeadsAgain(t *testing.T) {
	m := newModel(allRules())
	a, b := m.proxies[0], m.proxies[1]
	m.members[1].detached = true
	m.write(b)
	m.leave(m.members[2])
	m.advance(a, 13*time.Second)
	m.handleDeparture(a)
	m.handleDeparture(a)
	m.changePrimary(a)
	assert.Assert(t, m.members[0].primary)
	assert.Equal(t, m.members[0].term, m.newest)
	m.now += 1200 * time.Millisecond
	m.stepUntil(0, a, opening)
	m.step(0, a)
	m.members[1].detached = false
	m.write(a)
	assert.Equal(t, m.acknowledged, m.members[0].end())
	assert.Equal(t, m.violation, "")
}
