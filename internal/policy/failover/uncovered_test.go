package failover_test

import (
	"testing"
	"time"
)

// TestSequencesThatTheRulesDoNotCoverBreakAGuarantee runs the sequences that
// the random runs leave out. Each breaks a guarantee with all rules. If one no
// longer does, the random runs should allow it.
func TestSequencesThatTheRulesDoNotCoverBreakAGuarantee(t *testing.T) {
	for name, s := range map[string]scenario{
		// The store does not list the member, so a proxy that starts cannot
		// learn of it, and the proxy that knows of the commit is cut off.
		"a member that is cut off from the store acknowledges, and a proxy has just started": func(m *model, a, b *proxyModel) {
			m.members[1].detached, m.members[2].cutOffFromStore, m.members[2].heartbeatsEndedAt = true, true, m.now
			m.now += entryLifetime + time.Second
			m.restartProxies(a)
			m.advance(a, 4*time.Second)
			m.exchange()
			m.write(b)
			m.cutOff(b)
			m.crash(m.members[0])
			m.readStore(a)
			m.changePrimary(a)
		},
		"a member starts again without its log before its entry shows it":                 startsAgainCutOffFromTheStore,
		"a member starts again without its log before a proxy has read its entry":         startsAgainUnseen,
		"a primary that starts again without its log is read under the proof that it had": startsAgainWhileProven,
		"the chosen member starts again without its log before it leads":                  startsAgainWhilePromoted,
		// The old primary is stopped, so the change of the model does not wait until the
		// member is listed; that of the product does.
		"a member that is not listed yet receives a commit that only a proxy that is cut off knows": func(m *model, a, b *proxyModel) {
			m.members[1].detached, m.members[2].detached = true, true
			m.probe(b, 1)
			m.cutOff(b)
			m.join(0)
			m.members[3].listedFrom = m.now + maxListingTime
			m.write(b)
			m.changePrimary(a)
		},
		// No running process knows of the commit.
		"all proxies restart, and then both members that hold a commit are down": func(m *model, a, b *proxyModel) {
			m.members[1].detached = true
			m.write(b)
			m.leave(m.members[2])
			m.restartProxies(a, b)
			m.advance(a, 4*time.Second)
			m.exchange()
			m.crash(m.members[0])
			m.changePrimary(a)
		},
	} {
		violation := run(allRules(), s)
		if violation == "" {
			t.Errorf("%s: the rules cover this sequence now", name)
		}
		t.Logf("%s: %s", name, violation)
	}
}
