package failover_test

import (
	"fmt"
	"slices"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// recordModel is the group's record and the duty in the store.
type recordModel struct {
	revision uint64
	endpoint int
	term     uint64
	closed   bool
	holder   int
	duty     uint64
	busy     bool
	dutySeen time.Duration
	// kept was known to be kept when the record was closed or opened, and left
	// is the end of the primary's log after a member had left.
	kept, left position.Position
}

// The steps of a change of primary; each is what it does next. Without the rule
// stopFirst the old primary may be stopped only after the replicas.
const (
	closing = iota
	stopping
	listing
	suspending
	checking
	promoting
	settling
	opening
)

// changeModel is a change of primary that a proxy has under way.
type changeModel struct {
	step      int
	judged    recordModel
	token     uint64
	old, next int
	began     time.Duration
	list      []int
	// late is true if the old primary is stopped after the replicas.
	late bool
	// starts counts the members that had started when the list was read.
	starts int
	// term is the one that members are suspended for.
	term       uint64
	candidates []failover.Candidate
	// answered is true if the old primary answered, with a log that ends there.
	answered bool
	oldEnd   position.Position
	// end is what the next primary had received.
	end     position.Position
	settled time.Duration
}

// judge has a proxy begin a change under what it has seen, and reports whether
// it has.
func (m *model) judge(p *proxyModel) bool {
	if p.change != nil || p.lead.Endpoint == "" || p.listed == 0 || m.now-p.listed < listTime {
		return false
	}
	p.change = &changeModel{judged: p.seen, old: index(p.lead.Endpoint)}
	return true
}

// holdTime is how long a holder may act on its token.
const holdTime = 2500 * time.Millisecond

// step moves a proxy's change on by one step.
func (m *model) step(name int, p *proxyModel) {
	c := p.change
	if c == nil {
		return
	}
	switch c.step {
	case closing:
		m.stepClose(name, p, c)
	case stopping:
		c.step = listing
		if m.rules.stopFirst || !c.late {
			m.stop(p, c)
		}
	case listing:
		if m.rules.freshList {
			m.learnList(p)
		}
		c.list, c.step, c.starts = m.known(p, c.began), suspending, m.starts
	case suspending:
		m.stepSuspend(p, c)
	case checking:
		m.stepCheck(p, c)
	case promoting:
		m.stepPromote(p, c)
	case settling:
		m.stepSettle(c)
	case opening:
		m.stepOpen(p, c)
	}
}

// until moves a proxy's change on to a step, or to its end.
func (m *model) until(name int, p *proxyModel, step int) {
	for p.change != nil && p.change.step < step {
		before := p.change.step
		m.step(name, p)
		if p.change != nil && p.change.step == before {
			return
		}
	}
}

func (m *model) stepClose(name int, p *proxyModel, c *changeModel) {
	takes := failover.MayTakeDuty(fmt.Sprint(name), fmt.Sprint(m.record.holder), m.record.busy, m.now-p.seen.dutySeen)
	if !m.rules.oneHolder {
		takes = true
	}
	if c.judged.revision != m.record.revision || !takes || (m.rules.oneHolder && p.seen.duty != m.record.duty) {
		p.change = nil
		return
	}
	m.revision++
	m.record = recordModel{
		revision: m.revision, endpoint: c.old, term: max(p.lead.Term, m.record.term), closed: true, holder: name,
		duty: m.revision, busy: true, kept: later(m.record.kept, p.told), left: m.record.left,
	}
	c.token, c.began, c.step = m.revision, m.now, stopping
	m.learnRecord(p)
}

// newestTerm returns the newest term that any member knows.
func (m *model) newestTerm() uint64 {
	term := m.record.term
	for _, r := range m.members {
		term = max(term, r.term, r.suspended)
	}
	return term
}

// stop makes the old primary a replica, if it answers, and suspends it.
func (m *model) stop(p *proxyModel, c *changeModel) {
	if !m.answers(p, c.old) {
		return
	}
	old := m.members[c.old]
	c.answered, c.oldEnd = true, old.end()
	if m.rules.demoteFirst {
		m.halt(old, m.newestTerm()+1)
	}
}

func (m *model) stepSuspend(p *proxyModel, c *changeModel) {
	for _, i := range c.list {
		if r := m.members[i]; i != c.old && r.primary && m.answers(p, i) && r.term > m.record.term {
			c.next, c.end, c.settled, c.step = i, r.end(), m.now, settling
			return
		}
	}
	c.term = m.newestTerm() + 1
	for _, i := range c.list {
		r := m.members[i]
		if i == c.old {
			continue
		}
		if !m.answers(p, i) {
			if m.rules.suspendAll {
				p.change = nil
				return
			}
			continue
		}
		// A primary answers the order, and is not suspended by it.
		if !r.primary || m.rules.demoteStale {
			m.halt(r, c.term)
		}
		c.candidates = append(c.candidates, failover.Candidate{ID: fmt.Sprint(i), Received: r.end()})
	}
	c.settled, c.step = m.now, checking
}

// halt makes a member a replica that receives nothing.
func (m *model) halt(r *memberModel, term uint64) {
	r.primary, r.waiting = false, nil
	r.suspended = max(r.suspended, term)
}

// stepCheck asks whether all that were stopped still are. One that has started
// again may hold more than it told, or have acknowledged more.
func (m *model) stepCheck(p *proxyModel, c *changeModel) {
	if !m.rules.stopFirst && c.late {
		m.stop(p, c)
	}
	c.step = promoting
	if !m.rules.recheck {
		return
	}
	for _, one := range c.candidates {
		i := index(one.ID)
		if r := m.members[i]; !m.answers(p, i) || (m.rules.demoteStale && r.primary) || r.suspended < c.term {
			p.change = nil
			return
		}
	}
	if m.rules.demoteFirst && m.answers(p, c.old) && m.members[c.old].primary {
		p.change = nil
	}
}

// elect returns the candidate that a proxy has promoted.
func (m *model) elect(p *proxyModel, c *changeModel) (failover.Candidate, bool) {
	kept := position.Position{}
	if m.rules.kept {
		kept = later(p.told, p.seen.kept)
	}
	if m.rules.departure {
		kept = later(kept, p.seen.left)
	}
	if m.rules.ask && c.answered && (!p.sure() || m.missing(p)) {
		kept = later(kept, c.oldEnd)
	}
	best, ok := failover.Elect(c.candidates, kept)
	if !ok && m.rules.demoteFirst && c.answered {
		best, ok = failover.Elect([]failover.Candidate{{ID: fmt.Sprint(c.old), Received: c.oldEnd}}, kept)
	}
	if ok && !m.rules.longest {
		best = c.candidates[len(c.candidates)-1]
	}
	return best, ok
}

func (m *model) stepPromote(p *proxyModel, c *changeModel) {
	if m.rules.freshToken && m.now-c.began > holdTime {
		p.change = nil
		return
	}
	if m.rules.consult && !c.answered && (!p.sure() || m.missing(p)) && (p.listed == 0 || p.heard <= p.listed) {
		p.change = nil
		return
	}
	best, ok := m.elect(p, c)
	if !ok {
		p.change = nil
		return
	}
	if c.token < m.fence {
		m.fail("token %d was sent after %d", c.token, m.fence)
	}
	m.fence = max(m.fence, c.token)
	next := m.members[index(best.ID)]
	if !next.up() || next.primary {
		p.change = nil
		return
	}
	next.term, next.primary, next.suspended = m.newestTerm()+1, true, 0
	m.newest = next.term
	if next.lacks(m.acknowledged) {
		m.fail("member %s leads with %v, acknowledged was %v", best.ID, next.end(), m.acknowledged)
	}
	for _, r := range m.members {
		if r == next || r.primary || !r.up() || r.cut || next.cut {
			continue
		}
		r.suspended, r.term = 0, next.term
		if !r.deaf {
			r.log = slices.Clone(next.log)
		}
	}
	c.next, c.end, c.step = index(best.ID), next.end(), settling
	if m.rules.settleLast {
		c.settled = m.now
	}
}

func (m *model) stepSettle(c *changeModel) {
	if m.rules.settle && m.now-c.settled < leader.ProofLifetime {
		return
	}
	c.step = opening
}

func (m *model) stepOpen(p *proxyModel, c *changeModel) {
	p.change = nil
	if m.record.revision != c.token {
		return
	}
	m.revision++
	m.record = recordModel{
		revision: m.revision, endpoint: c.next, term: m.members[c.next].term, holder: m.record.holder, duty: m.revision,
		kept: later(m.record.kept, c.end), left: m.record.left,
	}
	m.learnRecord(p)
}
