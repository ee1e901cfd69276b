package failover_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTheGroupOfTheIncidentLeadsAgain plays the incident: the member that was
// promoted leaves before the record is open, and the primary before comes back
// under another identity, with the only copy of what was acknowledged.
func TestTheGroupOfTheIncidentLeadsAgain(t *testing.T) {
	m := newModel(allRules())
	a, b := m.proxies[0], m.proxies[1]
	m.members[1].deaf = true
	m.write(b)
	m.crash(m.members[0])
	m.replace(a)
	assert.Assert(t, m.members[2].primary)
	m.leave(m.members[2])
	a.change = nil
	m.rename(0)
	again := m.members[3]
	m.pass(a, 5*time.Second)
	m.replace(a)
	assert.Assert(t, !m.members[1].primary && !again.primary, "a member that has left may hold more")
	m.pass(a, 10*time.Second)
	m.replace(a)
	assert.Assert(t, !m.members[1].primary && !again.primary, "the other proxy may know more")
	m.judge(a)
	m.until(0, a, stopping)
	m.now += 100 * time.Millisecond
	m.gossip()
	m.until(0, a, settling)
	assert.Assert(t, again.primary)
	m.now += 1200 * time.Millisecond
	m.until(0, a, opening)
	m.step(0, a)
	m.members[1].deaf = false
	m.write(a)
	assert.Equal(t, m.acknowledged, again.end())
	assert.Equal(t, m.problem, "")
}

// TestAStalledPrimaryLeadsAgain has the deaf replica of a primary alone with it.
// The primary leads on rather than a replica that lacks its commits.
func TestAStalledPrimaryLeadsAgain(t *testing.T) {
	m := newModel(allRules())
	a, b := m.proxies[0], m.proxies[1]
	m.members[1].deaf = true
	m.write(b)
	m.leave(m.members[2])
	m.pass(a, 13*time.Second)
	m.depart(a)
	m.depart(a)
	m.replace(a)
	assert.Assert(t, m.members[0].primary)
	assert.Equal(t, m.members[0].term, m.newest)
	m.now += 1200 * time.Millisecond
	m.until(0, a, opening)
	m.step(0, a)
	m.members[1].deaf = false
	m.write(a)
	assert.Equal(t, m.acknowledged, m.members[0].end())
	assert.Equal(t, m.problem, "")
}
