package failover_test

import (
	"testing"
	"time"
)

// TestEachRuleOnReportsIsNeeded does the same as TestEachAddedRuleIsNeeded for the rules on
// which commits proxies report, and on how a change of primary ends that.
func TestEachRuleOnReportsIsNeeded(t *testing.T) {
	checkNeeded(t, map[string]neededRule{
		"a commit in flight is reported only under a proof of an open primary": {
			omit: func(r *rules) { r.confirmCommits = false },
			scenario: func(m *model, a, b *proxyModel) {
				m.sendWrite(b)
				a.unreachable[0] = true
				m.beginChange(a)
				m.stepUntil(0, a, promoting)
				m.join(0)
				m.receive(m.members[3])
				m.stepUntil(0, a, settling)
			},
		},
		"a member joins a primary that only a proxy without a proof reaches": {
			omit: func(r *rules) { r.confirmCommits = false },
			scenario: func(m *model, a, b *proxyModel) {
				m.cutOff(b)
				a.unreachable[0] = true
				m.beginChange(a)
				m.stepUntil(0, a, promoting)
				m.join(0)
				m.write(b)
				m.stepUntil(0, a, settling)
			},
		},
		"a member that has joined since proves nothing": {
			omit:     func(r *rules) { r.recordedProofs = false },
			alsoOmit: func(r *rules) { r.prolongProofs = false },
			scenario: func(m *model, a, b *proxyModel) {
				m.cutOff(b)
				a.unreachable[0] = true
				m.beginChange(a)
				m.stepUntil(0, a, promoting)
				m.join(0)
				m.write(b)
				m.stepUntil(0, a, settling)
			},
		},
		"a member joins a primary that only the other proxy reaches": {
			omit:     func(r *rules) { r.informProxies = false },
			alsoOmit: func(r *rules) { r.awaitReports = false },
			scenario: func(m *model, a, b *proxyModel) {
				m.probe(b, 1)
				a.unreachable[0] = true
				m.beginChange(a)
				m.stepUntil(0, a, promoting)
				m.join(0)
				m.write(b)
				m.stepUntil(0, a, settling)
			},
		},
		"a replica of a primary that only the other proxy reaches restarts after it was asked": {
			omit:     func(r *rules) { r.informProxies = false },
			alsoOmit: func(r *rules) { r.prolongProofs = false },
			scenario: func(m *model, a, b *proxyModel) {
				a.unreachable[0] = true
				m.beginChange(a)
				m.stepUntil(0, a, promoting)
				m.crashAndRestart(2)
				m.write(b)
				m.stepUntil(0, a, settling)
			},
		},
		"a crashed primary leads again before the promotion, and a member joins": {
			omit:     func(r *rules) { r.informProxies = false },
			alsoOmit: func(r *rules) { r.awaitReports = false },
			scenario: func(m *model, a, b *proxyModel) {
				m.probe(b, 1)
				m.crash(m.members[0])
				m.beginChange(a)
				m.stepUntil(0, a, promoting)
				m.restart(m.members[0])
				m.join(0)
				m.write(b)
				m.stepUntil(0, a, settling)
			},
		},
		"a member joins a primary that only the other proxy reaches after the promotion, and does not reach the next one": {
			omit:     func(r *rules) { r.informProxies = false },
			alsoOmit: func(r *rules) { r.awaitReports = false },
			scenario: func(m *model, a, b *proxyModel) {
				m.probe(b, 1)
				a.unreachable[0] = true
				m.changePrimary(a)
				m.members[1].partitioned = true
				m.join(0)
				m.write(b)
			},
		},
		"a restarted replica proves a primary that was replaced": {
			omit:     func(r *rules) { r.informProxies = false },
			alsoOmit: func(r *rules) { r.prolongProofs = false },
			scenario: func(m *model, a, b *proxyModel) {
				m.members[2].partitioned, m.members[0].partitioned = true, true
				m.changePrimary(a)
				m.now += 2 * time.Second
				m.crashAndRestart(2)
				m.probe(b, 2)
				m.stepUntil(0, a, opening)
				m.step(0, a)
				m.join(0)
				m.write(a)
				m.sendRead(b)
				m.receiveAnswer(b, false)
			},
		},
		"a member that is cut off from the store acknowledges, and a proxy has just started": {
			omit: func(r *rules) { r.informProxies = false },
			scenario: func(m *model, a, b *proxyModel) {
				m.members[1].detached, m.members[2].cutOffFromStore, m.members[2].heartbeatsEndedAt = true, true, m.now
				m.now += entryLifetime + time.Second
				m.restartProxies(a)
				m.advance(a, 4*time.Second)
				m.exchange()
				m.write(b)
				m.crash(m.members[0])
				m.readStore(a)
				m.changePrimary(a)
			},
		},
		"a member joins a primary that a proxy reaches that was not told": {
			omit: func(r *rules) { r.awaitReports = false },
			scenario: func(m *model, a, b *proxyModel) {
				m.probe(b, 1)
				m.cutOff(b)
				a.unreachable[0] = true
				m.beginChange(a)
				m.stepUntil(0, a, promoting)
				m.join(0)
				m.write(b)
				m.stepUntil(0, a, settling)
			},
		},
		"a crashed primary leads again for a proxy that was not told, and a member joins": {
			omit: func(r *rules) { r.awaitReports = false },
			scenario: func(m *model, a, b *proxyModel) {
				m.probe(b, 1)
				m.cutOff(b)
				m.crash(m.members[0])
				m.beginChange(a)
				m.stepUntil(0, a, promoting)
				m.restart(m.members[0])
				m.join(0)
				m.write(b)
				m.stepUntil(0, a, settling)
			},
		},
		"a member joins a replaced primary that a proxy reaches that was not told": {
			omit: func(r *rules) { r.awaitReports = false },
			scenario: func(m *model, a, b *proxyModel) {
				m.probe(b, 1)
				m.cutOff(b)
				a.unreachable[0] = true
				m.changePrimary(a)
				m.members[1].partitioned = true
				m.join(0)
				m.write(b)
			},
		},
		"a member joins while the change waits for the proofs of a proxy that was not told": {
			omit: func(r *rules) { r.awaitReports = false },
			scenario: func(m *model, a, b *proxyModel) {
				m.probe(b, 1)
				m.cutOff(b)
				a.unreachable[0] = true
				m.beginChange(a)
				m.stepUntil(0, a, awaiting)
				m.step(0, a)
				m.join(0)
				m.write(b)
				m.stepUntil(0, a, settling)
			},
		},
		"a member joins just before the last proof expires and is listed after that": {
			omit: func(r *rules) { r.awaitListing = false },
			scenario: func(m *model, a, b *proxyModel) {
				m.probe(b, 1)
				m.cutOff(b)
				a.unreachable[0] = true
				m.beginChange(a)
				m.stepUntil(0, a, awaiting)
				m.step(0, a)
				m.now += 750 * time.Millisecond
				m.join(0)
				m.members[3].listedFrom = m.now + maxListingTime
				m.write(b)
				m.stepUntil(0, a, settling)
			},
		},
		"a proxy that is not registered any more reports commits, and a member joins": {
			omit:     func(r *rules) { r.awaitDeparted = false },
			alsoOmit: func(r *rules) { r.prolongProofs = false },
			scenario: func(m *model, a, b *proxyModel) {
				m.cutOff(b)
				m.advance(a, 9*time.Second) // longer than registrationLifetime
				m.probe(b, 1)
				a.unreachable[0] = true
				m.beginChange(a)
				m.stepUntil(0, a, promoting)
				m.join(0)
				m.write(b)
				m.stepUntil(0, a, settling)
			},
		},
		"a member that counts as having left proves a primary to a proxy that is cut off": {
			omit:     func(r *rules) { r.recentRecords = false },
			alsoOmit: func(r *rules) { r.prolongProofs = false },
			scenario: func(m *model, a, b *proxyModel) {
				m.members[2].cutOffFromStore, m.members[2].heartbeatsEndedAt = true, m.now
				a.unreachable[2] = true
				m.cutOff(b)
				m.advance(a, 16*time.Second) // longer than memberRetention
				m.recordDepartures(a)
				m.recordDepartures(a)
				b.cutOffAt = m.now // still registered
				a.unreachable[0] = true
				m.beginChange(a)
				m.stepUntil(0, a, promoting)
				m.write(b)
				m.stepUntil(0, a, settling)
			},
		},
		"a replica restarts while the change waits for proofs, and a member joins": {
			omit:     func(r *rules) { r.renewWait = false },
			alsoOmit: func(r *rules) { r.compareStarts = false },
			scenario: replicaRestartsDuringTheWait,
		},
		// The replica does not hear of the new term before the change stops waiting for it.
		"a restarted replica proves a primary that was replaced to a proxy that is cut off": {
			omit: func(r *rules) { r.prolongProofs = false },
			scenario: func(m *model, a, b *proxyModel) {
				m.members[2].partitioned, m.members[0].partitioned = true, true
				m.cutOff(b)
				m.changePrimary(a)
				m.now += 2 * time.Second
				m.crashAndRestart(2)
				m.probe(b, 2)
				m.stepUntil(0, a, opening)
				m.step(0, a)
				m.join(0)
				m.write(a)
				m.sendRead(b)
				m.receiveAnswer(b, false)
			},
		},
		// No record lists the members, so each one counts as recorded.
		"a member joins a group without a record and proves a primary to a proxy that is cut off": {
			omit: func(r *rules) { r.prolongProofs = false },
			scenario: func(m *model, a, b *proxyModel) {
				m.withoutRecord()
				m.cutOff(b)
				a.unreachable[0] = true
				m.beginChange(a)
				m.stepUntil(0, a, promoting)
				m.join(0)
				m.write(b)
				m.stepUntil(0, a, settling)
			},
		},
		// The restarted replica is recorded and not suspended, so it proves the old primary
		// to a proxy that hears of no change.
		"a restarted replica proves a primary to a proxy that is cut off": {
			omit: func(r *rules) { r.prolongProofs = false },
			scenario: func(m *model, a, b *proxyModel) {
				m.cutOff(b)
				a.unreachable[0] = true
				m.beginChange(a)
				m.stepUntil(0, a, promoting)
				m.crashAndRestart(2)
				m.write(b)
				m.stepUntil(0, a, settling)
			},
		},
		// The promotion ends the suspension of all members. One that has not heard of the new
		// term yet proves the old primary, and receives its commits.
		"a member that has not heard of the new term proves a primary to a proxy that is cut off": {
			omit: func(r *rules) { r.prolongProofs = false },
			scenario: func(m *model, a, b *proxyModel) {
				m.cutOff(b)
				a.unreachable[0] = true
				m.beginChange(a)
				m.stepUntil(0, a, promoting)
				m.termsHeldBack = true
				m.stepUntil(0, a, settling)
				m.write(b)
			},
		},
	})
}
