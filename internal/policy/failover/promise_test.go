package failover_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestChangesOfPrimaryKeepTheirPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(allRules())
		all := events(t)
		for range rapid.IntRange(1, 200).Draw(t, "acts") {
			m.act(t, all)
			if m.problem != "" {
				t.Fatal(m.problem)
			}
		}
	})
}

func TestTheModelNoticesEachRule(t *testing.T) {
	for name, leave := range map[string]func(*rules){
		"all replicas are suspended":                      func(r *rules) { r.suspendAll = false },
		"the longest log leads":                           func(r *rules) { r.longest = false },
		"proofs end before the next primary is opened":    func(r *rules) { r.settle = false },
		"one proxy holds the duty":                        func(r *rules) { r.oneHolder, r.freshToken = false, false },
		"an old token is not used":                        func(r *rules) { r.freshToken = false },
		"a proxy that knows nothing asks the old primary": func(r *rules) { r.ask = false },
		"the list is read once the record is closed":      func(r *rules) { r.freshList = false },
		"a proof ends":                                    func(r *rules) { r.expiry, r.answerCheck = false, false },
	} {
		t.Run(name, func(t *testing.T) {
			r := allRules()
			leave(&r)
			found := false
			example := rapid.Custom(func(t *rapid.T) string {
				m := newModel(r)
				all := events(t)
				for range rapid.IntRange(20, 200).Draw(t, "acts") {
					m.act(t, all)
				}
				return m.problem
			})
			for seed := 0; seed < 60_000 && !found; seed++ {
				found = example.Example(seed) != ""
			}
			if !found {
				t.Fatal("no run breaks a promise without this rule")
			}
		})
	}
}

func TestTheModelNoticesRareOrders(t *testing.T) {
	for name, c := range map[string]struct {
		leave func(*rules)
		// spare leaves out, both times, a rule that alone covers the order too.
		spare  func(*rules)
		script func(m *model, a, b *proxyModel)
	}{
		"a suspended replica proves nothing": {
			leave: func(r *rules) { r.proof = false },
			spare: func(r *rules) { r.settleLast = false },
			script: func(m *model, a, b *proxyModel) {
				m.write(b)
				a.apart[0] = true
				m.judge(a)
				m.until(0, a, promoting)
				m.now += 900 * time.Millisecond
				m.probe(b, 1)
				m.probe(b, 2)
				m.until(0, a, settling)
				m.now += 300 * time.Millisecond
				m.step(0, a)
				m.step(0, a)
				m.write(a)
				m.send(b)
				m.answer(b, false)
			},
		},
		"a closed record proves nothing": {
			leave: func(r *rules) { r.openRecord = false },
			spare: func(r *rules) { r.settleLast = false },
			script: func(m *model, a, b *proxyModel) {
				m.write(b)
				a.apart[0] = true
				m.judge(a)
				m.until(0, a, promoting)
				m.now += 900 * time.Millisecond
				m.ledger(b)
				m.until(0, a, settling)
				m.now += 300 * time.Millisecond
				m.step(0, a)
				m.step(0, a)
				m.write(a)
				m.send(b)
				m.answer(b, false)
			},
		},
		"a primary of an earlier term is made a replica before it is suspended": {
			leave: func(r *rules) { r.demoteStale = false },
			spare: func(r *rules) { r.recheck = false },
			script: func(m *model, a, b *proxyModel) {
				// Member 0 is cut off, and member 1 replaces it.
				m.members[0].cut = true
				a.apart[0] = true
				m.judge(a)
				m.until(0, a, settling)
				m.now += 1200 * time.Millisecond
				m.step(0, a)
				m.step(0, a)
				m.learn(b)
				m.write(b)
				// Member 0 is back and has not heard of member 1, which is
				// replaced in turn. Then it hears of it, and takes a write.
				m.members[0].cut, a.apart[0], a.apart[1] = false, false, true
				m.learn(a)
				m.judge(a)
				m.until(0, a, promoting)
				if m.members[0].primary {
					m.rejoin(m.members[0])
				}
				m.write(b)
				m.until(0, a, settling)
			},
		},
		"an answer counts only under a proof": {
			leave: func(r *rules) { r.answerCheck = false },
			script: func(m *model, a, b *proxyModel) {
				m.write(b)
				m.send(b)
				a.apart[0] = true
				m.judge(a)
				m.until(0, a, settling)
				m.now += 1200 * time.Millisecond
				m.step(0, a)
				m.step(0, a)
				m.write(a)
				m.answer(b, true)
			},
		},
	} {
		r := allRules()
		if c.spare != nil {
			c.spare(&r)
		}
		kept := newModel(r)
		c.script(kept, kept.proxies[0], kept.proxies[1])
		if kept.problem != "" {
			t.Errorf("%s: %s", name, kept.problem)
		}
		c.leave(&r)
		without := newModel(r)
		c.script(without, without.proxies[0], without.proxies[1])
		if without.problem == "" {
			t.Errorf("%s: nothing is broken without the rule", name)
		}
	}
}
