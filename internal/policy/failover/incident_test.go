package failover_test

import (
	"testing"
	"time"
)

// order is an order of events, with one proxy that changes the primary and
// another one.
type order func(m *model, a, b *proxyModel)

// play returns what an order breaks under the rules.
func play(r rules, o order) string {
	m := newModel(r)
	o(m, m.proxies[0], m.proxies[1])
	return m.problem
}

// bounce starts a member again with its log.
func (m *model) bounce(i int) {
	m.crash(m.members[i])
	m.restart(m.members[i])
}

// replace has a proxy change the primary up to the promotion.
func (m *model) replace(p *proxyModel) {
	m.judge(p)
	m.until(0, p, settling)
}

// pass lets time go by while a proxy looks at the store.
func (m *model) pass(p *proxyModel, d time.Duration) {
	for end := m.now + d; m.now < end; m.now += time.Second {
		m.learn(p)
	}
	m.learn(p)
}

// unseen has all proxies start anew, and a commit that only the primary and a
// member hold, which leaves before the first proxy has the list.
func unseen(m *model, a, b *proxyModel) {
	m.members[1].deaf = true
	m.lose(a, b)
	m.learn(b)
	m.write(b)
	m.leave(m.members[2])
	m.pass(a, 4*time.Second)
}

// TestTheRulesOfTheIncidentBreakPromises plays the orders of events that the
// rules in force at the time of the incident did not cover, with those rules
// and with the present ones.
func TestTheRulesOfTheIncidentBreakPromises(t *testing.T) {
	for name, o := range map[string]order{
		"the only receiver leaves, and a stalled primary is replaced by a deaf member": func(m *model, a, b *proxyModel) {
			m.members[1].deaf = true
			m.write(b)
			m.leave(m.members[2])
			m.pass(a, 13*time.Second)
			m.replace(a)
		},
		"the only receiver leaves, and a crashed primary is replaced by a deaf member": func(m *model, a, b *proxyModel) {
			m.members[1].deaf = true
			m.write(b)
			m.leave(m.members[2])
			m.pass(a, 13*time.Second)
			m.crash(m.members[0])
			m.replace(a)
		},
		"the address of the only receiver is used again at once": func(m *model, a, b *proxyModel) {
			m.members[1].deaf = true
			m.write(b)
			m.leave(m.members[2])
			m.join(2)
			m.crash(m.members[0])
			m.learn(a)
			m.replace(a)
		},
		"a suspended replica restarts and acknowledges": func(m *model, a, b *proxyModel) {
			m.judge(a)
			m.until(0, a, promoting)
			m.bounce(2)
			m.write(b)
			m.until(0, a, settling)
		},
		"a new member acknowledges that is not in the list": func(m *model, a, b *proxyModel) {
			m.members[1].deaf, m.members[2].deaf = true, true
			m.learn(a)
			m.join(0)
			m.write(b)
			m.replace(a)
		},
	} {
		before := play(oldRules(), o)
		if before == "" {
			t.Errorf("%s: nothing is broken with the rules of the incident", name)
		}
		t.Logf("%s: %s", name, before)
		if now := play(allRules(), o); now != "" {
			t.Errorf("%s: %s", name, now)
		}
	}
}

// TestEachRuleSinceTheIncidentCounts plays orders that break a promise without
// one rule, and keep it with all of them.
func TestEachRuleSinceTheIncidentCounts(t *testing.T) {
	for name, c := range map[string]struct {
		leave func(*rules)
		order order
	}{
		"candidates are compared with what is known to be kept": {
			func(r *rules) { r.kept = false },
			func(m *model, a, b *proxyModel) {
				unseen(m, a, b)
				m.gossip()
				m.crash(m.members[0])
				m.replace(a)
			},
		},
		"the primary is asked after a member has left": {
			func(r *rules) { r.departure = false },
			func(m *model, a, b *proxyModel) {
				m.gossip()
				m.members[1].deaf = true
				m.write(b)
				m.leave(m.members[2])
				m.pass(a, 13*time.Second)
				m.crash(m.members[0])
				m.replace(a)
			},
		},
		"a proxy that knows nothing asks the old primary": {
			func(r *rules) { r.ask = false },
			func(m *model, a, b *proxyModel) {
				unseen(m, a, b)
				m.replace(a)
			},
		},
		"a proxy that knows nothing asks the other ones": {
			func(r *rules) { r.consult = false },
			func(m *model, a, b *proxyModel) {
				unseen(m, a, b)
				m.crash(m.members[0])
				m.replace(a)
			},
		},
		"a proxy that has not seen the list for long knows nothing": {
			func(r *rules) { r.gap = false },
			func(m *model, a, b *proxyModel) {
				m.members[1].deaf, m.members[2].deaf = true, true
				m.join(0)
				m.write(b)
				m.crash(m.members[3])
				m.now += lapseTime + time.Second
				m.pass(a, 4*time.Second)
				m.replace(a)
			},
		},
		"a member that answers has not left": {
			func(r *rules) { r.asleep = false },
			func(m *model, a, b *proxyModel) {
				m.members[1].deaf, m.members[2].hidden, m.members[2].ended = true, true, m.now
				m.pass(a, 16*time.Second)
				m.depart(a)
				m.depart(a)
				m.write(b)
				m.crash(m.members[0])
				m.replace(a)
			},
		},
		"the old primary is made a replica": {
			func(r *rules) { r.demoteFirst = false },
			func(m *model, a, b *proxyModel) {
				m.judge(a)
				m.until(0, a, promoting)
				m.bounce(2)
				m.write(b)
				m.until(0, a, settling)
			},
		},
		"it is made a replica before the others are listed and suspended": {
			func(r *rules) { r.stopFirst = false },
			func(m *model, a, b *proxyModel) {
				m.judge(a)
				a.change.late = true
				m.until(0, a, checking)
				m.join(0)
				m.write(b)
				m.until(0, a, settling)
			},
		},
		"the list is read once the record is closed": {
			func(r *rules) { r.freshList = false },
			func(m *model, a, b *proxyModel) {
				m.members[1].deaf, m.members[2].deaf = true, true
				m.join(0)
				m.write(b)
				m.crash(m.members[0])
				m.replace(a)
			},
		},
		"the members are asked again before the promotion": {
			func(r *rules) { r.recheck = false },
			func(m *model, a, b *proxyModel) {
				a.apart[0] = true
				m.judge(a)
				m.until(0, a, checking)
				m.bounce(2)
				m.write(b)
				m.until(0, a, settling)
			},
		},
		"proofs end after the promotion, not after the suspension": {
			func(r *rules) { r.settleLast = false },
			func(m *model, a, b *proxyModel) {
				m.judge(a)
				m.until(0, a, promoting)
				m.now += 900 * time.Millisecond
				m.bounce(2)
				m.probe(b, 2)
				m.members[0].cut = true
				m.until(0, a, settling)
				m.now += 200 * time.Millisecond
				m.until(0, a, opening)
				m.step(0, a)
				m.write(a)
				m.send(b)
				m.answer(b, false)
			},
		},
	} {
		if problem := play(allRules(), c.order); problem != "" {
			t.Errorf("%s: %s", name, problem)
		}
		r := allRules()
		c.leave(&r)
		if play(r, c.order) == "" {
			t.Errorf("%s: nothing is broken without the rule", name)
		}
	}
}

// TestWhatTheRulesDoNotCover plays the orders that random runs leave out. Each
// breaks a promise with all rules; one that no longer does is to be moved to the
// random runs.
func TestWhatTheRulesDoNotCover(t *testing.T) {
	for name, o := range map[string]order{
		// The proxy cannot stop a primary that it does not reach, and another
		// proxy goes on to use it.
		"a member joins a primary that only the other proxy reaches": func(m *model, a, b *proxyModel) {
			a.apart[0] = true
			m.judge(a)
			m.until(0, a, promoting)
			m.join(0)
			m.write(b)
			m.until(0, a, settling)
		},
		"a replica of such a primary starts again after it was asked": func(m *model, a, b *proxyModel) {
			a.apart[0] = true
			m.judge(a)
			m.until(0, a, promoting)
			m.bounce(2)
			m.write(b)
			m.until(0, a, settling)
		},
		"a crashed primary leads again before the promotion, and a member joins": func(m *model, a, b *proxyModel) {
			m.crash(m.members[0])
			m.judge(a)
			m.until(0, a, promoting)
			m.restart(m.members[0])
			m.join(0)
			m.write(b)
			m.until(0, a, settling)
		},
		"a member joins such a primary after the promotion, and does not reach the next one": func(m *model, a, b *proxyModel) {
			a.apart[0] = true
			m.replace(a)
			m.members[1].cut = true
			m.join(0)
			m.write(b)
		},
		// It is in the older term and not suspended.
		"a replica that starts again proves a primary that was replaced": func(m *model, a, b *proxyModel) {
			m.members[2].cut, m.members[0].cut = true, true
			m.replace(a)
			m.now += 2 * time.Second
			m.bounce(2)
			m.probe(b, 2)
			m.until(0, a, opening)
			m.step(0, a)
			m.join(0)
			m.write(a)
			m.send(b)
			m.answer(b, false)
		},
		// The store does not list it, so a proxy that starts cannot know of it.
		"a member that is cut off from the store acknowledges, and a proxy has just started": func(m *model, a, b *proxyModel) {
			m.members[1].deaf, m.members[2].hidden, m.members[2].ended = true, true, m.now
			m.now += lapseTime + time.Second
			m.lose(a)
			m.pass(a, 4*time.Second)
			m.gossip()
			m.write(b)
			m.crash(m.members[0])
			m.learn(a)
			m.replace(a)
		},
		// Nobody is left who knows.
		"all proxies start anew, and then both members that hold a commit are away": func(m *model, a, b *proxyModel) {
			m.members[1].deaf = true
			m.write(b)
			m.leave(m.members[2])
			m.lose(a, b)
			m.pass(a, 4*time.Second)
			m.gossip()
			m.crash(m.members[0])
			m.replace(a)
		},
	} {
		problem := play(allRules(), o)
		if problem == "" {
			t.Errorf("%s: the rules cover it now", name)
		}
		t.Logf("%s: %s", name, problem)
	}
}
