package failover_test

import (
	"fmt"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// rules are the rules of a change of primary. Each can be left out, to show
// that the model detects its absence.
type rules struct {
	suspendAll, electLongest, awaitProofs, checkProofs, answerCheck, oneHolder, freshToken, proofExpiry, demoteStale, requireOpenRecord bool
	// compareAcknowledged compares the candidates with the positions known to
	// be acknowledged, and askAfterDeparture with the end of the primary's log
	// after a member has left.
	compareAcknowledged, askAfterDeparture bool
	// askOldPrimary compares them with the old primary's log if no such
	// position is known.
	askOldPrimary bool
	// resetAfterGap treats a proxy that has not read the list for long like
	// one that has just started.
	resetAfterGap bool
	// consultProxies makes a proxy wait for the other proxies' reports if it
	// knows of no commit acknowledged since it had the list and the old
	// primary does not answer.
	consultProxies bool
	// keepResponding does not treat a member that answers as having left.
	keepResponding bool
	// demoteFirst makes the old primary a replica before the promotion.
	demoteFirst bool
	// freshList reads the list of members after the record was closed.
	freshList bool
	// stopFirst demotes the old primary before the list is read and the
	// replicas are suspended.
	stopFirst bool
	// recheck asks all stopped members again, right before the promotion,
	// whether they are still stopped.
	recheck bool
	// proofsFromPromotion counts the lifetime of the last proof from the
	// promotion. The product counts from the suspension, which is known to
	// allow an order with a stale read: see what is not proved in
	// docs/DESIGN.md.
	proofsFromPromotion bool
}

// formerRules are the rules before the fix for an incident in which a change
// of primary lost acknowledged commits.
func formerRules() rules {
	return rules{
		suspendAll: true, electLongest: true, awaitProofs: true, checkProofs: true, answerCheck: true, oneHolder: true,
		freshToken: true, proofExpiry: true, demoteStale: true, requireOpenRecord: true,
	}
}

// allRules are the rules in force, and proofsFromPromotion.
func allRules() rules {
	r := formerRules()
	r.compareAcknowledged, r.askAfterDeparture, r.askOldPrimary, r.resetAfterGap, r.consultProxies, r.keepResponding = true, true, true, true, true, true
	r.demoteFirst, r.stopFirst, r.freshList, r.recheck, r.proofsFromPromotion = true, true, true, true, true
	return r
}

// model is one group, of three members at first, with two proxies and the
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
	// starts counts the members that started after the group did.
	starts    int
	violation string
}

func newModel(r rules) *model {
	m := &model{rules: r, revision: 1, now: time.Hour, newest: 1}
	for range 3 {
		m.members = append(m.members, &memberModel{term: 1, log: []position.Position{{Term: 1, Log: 1}}})
	}
	m.members[0].primary = true
	for i := range m.proxies {
		m.proxies[i] = &proxyModel{
			leader: leader.State{}.WithPrimary("0", 1, m.now), list: []int{0, 1, 2}, listSince: 1, listReadAt: m.now,
			lastListed: map[int]time.Duration{0: m.now, 1: m.now, 2: m.now}, unreachable: map[int]bool{},
			reported: position.Position{Term: 1, Log: 1}, reportedAt: m.now,
		}
	}
	return m
}

// violate records the first violation of a guarantee.
func (m *model) violate(format string, arguments ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, arguments...)
	}
}
