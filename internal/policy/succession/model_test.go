package succession_test

import (
	"fmt"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/trade/lead"
	"eelgrassladder.example/eelgrassladder/internal/trade/position"
)

// rules are the rules of a change of primary. Each can be left out, to show
// that the model notices.
type rules struct {
	suspendAll, electLongest, awaitProofs, suspendedProvesNothing, answerCheck, oneHolder, freshToken, proofExpiry, demoteStale, requireOpenRecord bool
	// compareAcknowledged compares the candidates with what is known to be acknowledged, and
	// askAfterDeparture with what the primary had once a member had left.
	compareAcknowledged, askAfterDeparture bool
	// askOldPrimary compares them with the old primary's log where nothing is known.
	askOldPrimary bool
	// resetAfterGap takes a proxy that has not seen the list for long for one that has just
	// started.
	resetAfterGap bool
	// consultProxies has a proxy that does not know of a commit acknowledged since it had
	// the list hear the other proxies, where the old primary does not answer.
	consultProxies bool
	// keepResponding takes no member for gone that answers.
	keepResponding bool
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
	// proofsFromPromotion counts the end of the last proof from the promotion. The product
	// counts from the suspension, which is known to leave an order that reads
	// stale: see what is not proved in docs/DESIGN.md.
	proofsFromPromotion bool
}

// oldRules are the rules in force at the time of the incident.
func formerRules() rules {
	return rules{
		suspendAll: true, electLongest: true, awaitProofs: true, suspendedProvesNothing: true, answerCheck: true, oneHolder: true,
		freshToken: true, proofExpiry: true, demoteStale: true, requireOpenRecord: true,
	}
}

// allRules are the rules in force, and settleLast.
func allRules() rules {
	r := formerRules()
	r.compareAcknowledged, r.askAfterDeparture, r.askOldPrimary, r.resetAfterGap, r.consultProxies, r.keepResponding = true, true, true, true, true, true
	r.demoteFirst, r.stopFirst, r.freshList, r.recheck, r.proofsFromPromotion = true, true, true, true, true
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
			lead: lead.Lead{}.WithPrimary("0", 1, m.now), list: []int{0, 1, 2}, listSince: 1, listReadAt: m.now,
			lastListed: map[int]time.Duration{0: m.now, 1: m.now, 2: m.now}, unreachable: map[int]bool{},
			reported: position.Position{Term: 1, Log: 1}, reportedAt: m.now,
		}
	}
	return m
}

// violate notes the first violation.
func (m *model) violate(format string, arguments ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, arguments...)
	}
}
