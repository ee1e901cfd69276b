package failover_test

import (
	"fmt"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// maxLateness is how long after it was sent an order may still be executed. A proxy sends
// an order within maxTimeToPromote after it recorded the election.
const maxLateness = failover.PromotionDoubt - maxTimeToPromote

// electionModel is the member whose promotion is ordered, as the group's record names it.
type electionModel struct {
	// endpoint is the ID of the member; empty for none.
	endpoint string
	// after is the revision of the record before the election was recorded.
	after uint64
	// repeated is true if an earlier order for the member may still be executed.
	repeated bool
}

// orderModel is an order that the platform has not executed yet.
type orderModel struct {
	member int
	sentAt time.Duration
}

// noteElection records when a proxy learns of the election in the record that it has read.
func (m *model) noteElection(p *proxyModel) {
	if p.record.election.endpoint != "" && p.election != p.record.election {
		p.electionSeenAt = m.now
	}
	p.election = p.record.election
}

// order returns the latest order that a proxy knows of.
func (m *model) order(p *proxyModel) failover.Order {
	return failover.Order{Endpoint: p.election.endpoint, Age: m.now - p.electionSeenAt}
}

// blocksChange reports whether an order in doubt keeps a proxy from beginning a change.
func (m *model) blocksChange(p *proxyModel) bool {
	return m.rules.recordElection && !p.record.closed && m.order(p).Blocks(p.leader.Endpoint, failover.Down)
}

// stepElect elects a member and names it in the group's record, or abandons the change.
func (m *model) stepElect(p *proxyModel, c *changeModel) {
	if m.rules.consultProxies && !c.oldAnswered && (!p.knowsCommit() || m.anyLeft(p)) && (p.listSince == 0 || p.exchangedAt <= p.listSince) {
		p.change = nil
		return
	}
	if !c.oldEnd.UpToDateWith(m.record.acknowledged) || c.oldEnd.IsZero() {
		c.oldAnswered = false // it has lost its log
	}
	if m.anyRestarted(p, c) && !c.oldAnswered && (p.exchangedAt <= c.began || p.reported.IsZero()) {
		p.change = nil
		return
	}
	if m.rules.compareEnds && m.anyShorter(c) {
		p.change = nil
		return
	}
	best, ok := m.elect(p, c)
	if ok && m.rules.recordElection {
		candidates := c.candidates
		if c.oldAnswered {
			candidates = append(candidates[:len(candidates):len(candidates)], failover.Candidate{ID: fmt.Sprint(c.oldPrimary), Received: c.oldEnd})
		}
		best, ok = m.order(p).Restrict(best, candidates)
	}
	if !ok || (m.rules.recordElection && m.record.revision != c.revision) {
		p.change = nil
		return
	}
	c.nextPrimary, c.step = memberIndex(best.ID), promoting
	if !m.rules.recordElection {
		return
	}
	earlier := m.order(p)
	m.record.election = electionModel{endpoint: best.ID, after: m.record.revision, repeated: earlier.InDoubt() && earlier.Endpoint == best.ID}
	m.revision++
	m.record.revision, c.revision = m.revision, m.revision
	m.readRecord(p)
}

// stepPromote orders the promotion of the elected member, or abandons the change. While
// promotions are late, the order gets no answer, and the change tries again.
func (m *model) stepPromote(p *proxyModel, c *changeModel) {
	if m.rules.freshToken && m.now-c.began > maxTimeToPromote {
		p.change = nil
		return
	}
	if c.token < m.highestToken {
		m.violate("token %d was used after token %d", c.token, m.highestToken)
	}
	m.highestToken = max(m.highestToken, c.token)
	if m.promotionsLate {
		m.orders = append(m.orders, orderModel{member: c.nextPrimary, sentAt: m.now})
		c.step, c.candidates = listing, nil
		return
	}
	if !m.promote(c.nextPrimary) {
		p.change = nil
		return
	}
	c.nextEnd, c.promotedAt, c.step = m.members[c.nextPrimary].end(), m.now, settling
	if m.rules.proofsFromPromotion {
		c.lastProof = m.now
	}
}

// promote makes member i the primary of the next term, and reports whether it did. It does
// nothing if the member is down or a primary.
func (m *model) promote(i int) bool {
	next := m.members[i]
	if !next.up() || next.primary {
		return false
	}
	next.term, next.primary, next.suspended = m.newestTerm()+1, true, 0
	m.promotedTerm = next.term
	if next.lacks(m.acknowledged) {
		m.violate("member %d became the primary with log end %v, but %v was acknowledged", i, next.end(), m.acknowledged)
	}
	for _, r := range m.members {
		if r == next || r.primary || !r.up() || r.partitioned || next.partitioned {
			continue
		}
		r.suspended = 0
		if !m.termsHeldBack {
			m.learnTerm(r, next)
		}
	}
	return true
}

// executeLate executes the oldest order that the platform still holds.
func (m *model) executeLate() {
	m.dropOrders()
	if len(m.orders) > 0 {
		oldest := m.orders[0]
		m.orders = m.orders[1:]
		m.promote(oldest.member)
	}
}

// dropOrders drops the orders that are not executed any more.
func (m *model) dropOrders() {
	for len(m.orders) > 0 && m.now-m.orders[0].sentAt >= maxLateness {
		m.orders = m.orders[1:]
	}
}

// withoutElected returns the election that stays in the record once a member leads.
func (m *model) withoutElected(e electionModel, leading string) electionModel {
	if e.endpoint == leading && !(e.repeated && m.rules.keepElection) {
		return electionModel{}
	}
	return e
}
