package failover_test

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/leader"
)

// registrationLifetime is the silence after which the store drops a proxy's registration.
const registrationLifetime = 8 * time.Second

// maxListingTime is how long after it has started to receive a member is listed, as in the
// package host/failover.
const maxListingTime = 500 * time.Millisecond

// cutOff cuts a proxy off from the store and from the other proxy, so that it does not
// hear of a change of primary.
func (m *model) cutOff(p *proxyModel) {
	if !p.cutOffFromStore {
		p.cutOffFromStore, p.cutOffAt = true, m.now
	}
	m.proxiesApart = true
}

// reconnect ends what cutOff has begun.
func (m *model) reconnect(p *proxyModel) {
	p.cutOffFromStore, m.proxiesApart = false, false
}

// registered reports whether the store lists a proxy. Under awaitDeparted one counts as
// registered for maxRecordAge more.
func (m *model) registered(p *proxyModel) bool {
	lifetime := registrationLifetime
	if m.rules.awaitDeparted {
		lifetime += maxRecordAge
	}
	return !p.cutOffFromStore || m.now-p.cutOffAt <= lifetime
}

// stepInform tells the other proxy that the record was closed. A proxy that the store does
// not list any more is neither told nor waited for.
func (m *model) stepInform(index int, c *changeModel) {
	c.step = stopping
	if !m.rules.informProxies {
		c.informed = !m.rules.awaitReports
		return
	}
	other := m.proxies[1-index]
	if !m.registered(other) {
		c.informed = true
		return
	}
	c.informed = !m.proxiesApart
	if m.proxiesApart {
		return
	}
	c.told, c.toldAt, c.step = true, m.now, hearing
	m.readRecord(other)
}

// stepHear takes the other proxy's position once neither proxy reports commits of the old
// primary any more. They do so until after leader.CommitGrace.
func (m *model) stepHear(index int, p *proxyModel, c *changeModel) {
	other := m.proxies[1-index]
	m.now = max(m.now, c.toldAt+leader.CommitGrace+time.Millisecond)
	p.learnReported(other.reported, other.reportedAt)
	c.step = stopping
}

// stepAwait waits until a proxy that was not told has no proof any more. The members are
// then listed and suspended again, because some may have joined meanwhile.
func (m *model) stepAwait(c *changeModel) {
	switch {
	case c.informed || c.oldStopped || !m.rules.awaitReports:
		c.step = checking
	case c.reportsEnd == 0:
		c.reportsEnd = m.now + leader.ProofLifetime
		if m.rules.awaitListing {
			c.reportsEnd += maxListingTime
		}
	case m.now < c.reportsEnd:
	default:
		c.informed, c.step = true, listing
	}
}

// noteSuspended makes a change wait again if a member is not suspended any more that was
// suspended for it before.
func (m *model) noteSuspended(c *changeModel) {
	for i := range c.suspended {
		if r := m.members[i]; m.rules.renewWait && c.reportsEnd > 0 && !r.primary && r.suspended <= m.record.term {
			c.reportsEnd, c.informed = 0, false
		}
	}
	c.suspended = map[int]bool{}
}
