package failover_test

import (
	"testing"
	"time"
)

// TestTheFormerRulesBreakGuarantees shows that the model reproduces how
// acknowledged commits were lost: each sequence breaks a guarantee under the
// rules of that time, and none under the present ones.
func TestTheFormerRulesBreakGuarantees(t *testing.T) {
	for name, s := range map[string]scenario{
		"the only receiver leaves, and a stalled primary is replaced by a member that receives no log": func(m *model, a, b *proxyModel) {
			m.members[1].detached = true
			m.write(b)
			m.leave(m.members[2])
			m.advance(a, 13*time.Second) // longer than memberRetention
			m.cutOff(b)
			m.changePrimary(a)
		},
		"the only receiver leaves, and a crashed primary is replaced by a member that receives no log": func(m *model, a, b *proxyModel) {
			m.members[1].detached = true
			m.write(b)
			m.leave(m.members[2])
			m.advance(a, 13*time.Second) // longer than memberRetention
			m.crash(m.members[0])
			m.cutOff(b)
			m.changePrimary(a)
		},
		"a new member takes the address of the only receiver at once": func(m *model, a, b *proxyModel) {
			m.members[1].detached = true
			m.write(b)
			m.leave(m.members[2])
			m.join(2)
			m.crash(m.members[0])
			m.readStore(a)
			m.cutOff(b)
			m.changePrimary(a)
		},
		"a suspended replica restarts and receives a commit": func(m *model, a, b *proxyModel) {
			m.cutOff(b)
			m.beginChange(a)
			m.stepUntil(0, a, promoting)
			m.crashAndRestart(2)
			m.write(b)
			m.stepUntil(0, a, settling)
		},
		"a member that is not listed yet receives a commit": func(m *model, a, b *proxyModel) {
			m.members[1].detached, m.members[2].detached = true, true
			m.readStore(a)
			m.join(0)
			m.write(b)
			m.cutOff(b)
			m.changePrimary(a)
		},
	} {
		former := run(formerRules(), s)
		if former == "" {
			t.Errorf("%s: the former rules break no guarantee", name)
		}
		t.Logf("%s: %s", name, former)
		if present := run(allRules(), s); present != "" {
			t.Errorf("%s: %s", name, present)
		}
	}
}

// commitKnownToOneProxy restarts both proxies, then makes proxy b send a commit
// that only the primary and one replica receive. That replica leaves before
// proxy a first reads the list, so a knows neither the commit nor the replica.
func commitKnownToOneProxy(m *model, a, b *proxyModel) {
	m.members[1].detached = true
	m.restartProxies(a, b)
	m.readStore(b)
	m.write(b)
	m.leave(m.members[2])
	m.advance(a, 4*time.Second)
}
