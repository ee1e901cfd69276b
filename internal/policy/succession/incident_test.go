package succession_test

import (
	"testing"
	"time"
)

// TestTheRulesOfTheIncidentBreakPromises plays the orders of events that the
// rules in force at the time of the incident did not cover, with those rules
// and with the present ones.
func TestTheRulesOfTheIncidentBreakPromises(t *testing.T) {
	for name, script := range map[string]func(m *model, a, b *proxyModel){
		"the only receiver leaves, and a stalled primary is replaced by a deaf member": func(m *model, a, b *proxyModel) {
			m.members[1].deaf = true
			m.write(b)
			m.leave(m.members[2])
			m.learn(a)
			m.now += 13 * time.Second
			m.learn(a)
			m.judge(a)
			m.until(0, a, settling)
		},
		"the only receiver leaves, and a crashed primary is replaced by a deaf member": func(m *model, a, b *proxyModel) {
			m.members[1].deaf = true
			m.write(b)
			m.leave(m.members[2])
			m.learn(a)
			m.now += 13 * time.Second
			m.learn(a)
			m.crash(m.members[0])
			m.judge(a)
			m.until(0, a, settling)
		},
		"the address of the only receiver is used again at once": func(m *model, a, b *proxyModel) {
			m.members[1].deaf = true
			m.write(b)
			m.leave(m.members[2])
			m.join(2)
			m.crash(m.members[0])
			m.learn(a)
			m.judge(a)
			m.until(0, a, settling)
		},
		"a suspended replica restarts and acknowledges": func(m *model, a, b *proxyModel) {
			m.judge(a)
			m.until(0, a, promoting)
			m.crash(m.members[2])
			m.restart(m.members[2])
			m.write(b)
			m.until(0, a, settling)
		},
		"a new member acknowledges that is not in the list": func(m *model, a, b *proxyModel) {
			m.members[1].deaf, m.members[2].deaf = true, true
			m.learn(a)
			m.join(0)
			m.write(b)
			m.judge(a)
			m.until(0, a, settling)
		},
	} {
		before, now := newModel(oldRules()), newModel(allRules())
		script(before, before.proxies[0], before.proxies[1])
		if before.problem == "" {
			t.Errorf("%s: nothing is broken with the rules of the incident", name)
		}
		t.Logf("%s: %s", name, before.problem)
		script(now, now.proxies[0], now.proxies[1])
		if now.problem != "" {
			t.Errorf("%s: %s", name, now.problem)
		}
	}
}
