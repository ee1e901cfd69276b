package failover_test

import (
	"fmt"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// rules are the rules of a change of primary. Each can be left out, to show
// that the model notices.
type rules struct {
	suspendAll, longest, settle, proof, answerCheck, oneHolder, freshToken, expiry, demoteStale, openRecord bool
	// kept compares the candidates with what is known to be acknowledged, and
	// departure with what the primary had once a member had left.
	kept, departure bool
	// ask compares them with the old primary's log where nothing is known.
	ask bool
	// gap takes a proxy that has not seen the list for long for one that has just
	// started.
	gap bool
	// consult has a proxy that does not know of a commit acknowledged since it had
	// the list hear the other proxies, where the old primary does not answer.
	consult bool
	// asleep takes no member for gone that answers.
	asleep bool
	// demoteFirst makes the old primary a replica before the promotion.
	demoteFirst bool
	// freshList takes the members from the list as it is once the record is
	// closed.
	freshList bool
	// stopFirst does so before the list is read and the replicas are suspended.
	stopFirst bool
	// recheck asks all of them again whether they are stopped, right before the
	// promotion.
	recheck bool
	// settleLast counts the end of the last proof from the promotion. The product
	// counts from the suspension, which is known to leave an order that reads
	// stale: see what is not proved in docs/DESIGN.md.
	settleLast bool
}

// oldRules are the rules in force at the time of the incident.
func oldRules() rules {
	return rules{
		suspendAll: true, longest: true, settle: true, proof: true, answerCheck: true, oneHolder: true,
		freshToken: true, expiry: true, demoteStale: true, openRecord: true,
	}
}

// allRules are the rules in force, and settleLast.
func allRules() rules {
	r := oldRules()
	r.kept, r.departure, r.ask, r.gap, r.consult, r.asleep = true, true, true, true, true, true
	r.demoteFirst, r.stopFirst, r.freshList, r.recheck, r.settleLast = true, true, true, true, true
	return r
}

// model is one group of three members at first, before two proxies and the
// store.
type model struct {
	rules        rules
	now          time.Duration
	members      []*memberModel
	proxies      [2]*proxyModel
	record       recordModel
	acknowledged position.Position
	revision     uint64
	fence        uint64
	// newest is the term of the last promotion.
	newest uint64
	// starts counts members that started after the group.
	starts  int
	problem string
}

func newModel(r rules) *model {
	m := &model{rules: r, revision: 1, now: time.Hour, newest: 1}
	for range 3 {
		m.members = append(m.members, &memberModel{term: 1, log: []position.Position{{Term: 1, Log: 1}}})
	}
	m.members[0].primary = true
	for i := range m.proxies {
		m.proxies[i] = &proxyModel{
			lead: leader.State{}.WithPrimary("0", 1, m.now), list: []int{0, 1, 2}, listed: 1, looked: m.now,
			last: map[int]time.Duration{0: m.now, 1: m.now, 2: m.now}, apart: map[int]bool{},
			told: position.Position{Term: 1, Log: 1}, toldAt: m.now,
		}
	}
	return m
}

// fail notes the first violation.
func (m *model) fail(format string, arguments ...any) {
	if m.problem == "" {
		m.problem = fmt.Sprintf(format, arguments...)
	}
}
