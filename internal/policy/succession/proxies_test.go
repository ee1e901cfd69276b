package succession_test

import (
	"fmt"
	"slices"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/policy/placement"
	"eelgrassladder.example/eelgrassladder/internal/trade/lead"
	"eelgrassladder.example/eelgrassladder/internal/trade/position"
	"eelgrassladder.example/eelgrassladder/internal/trade/route"
	"eelgrassladder.example/eelgrassladder/internal/trade/tenure"
)

const (
	// memberTime is how long a member that is not listed must still answer.
	memberTime = 12 * time.Second
	// minListAge is how long a proxy has the list before it changes a primary.
	minListAge = 3 * time.Second
)

// proxyModel is a proxy. Its clock goes on while it is frozen.
type proxyModel struct {
	lead   lead.Lead
	record recordModel
	change *changeModel
	// read is a read that was sent and is not answered yet.
	read *readModel
	// list are the members in the list as this proxy knows it. It has missed no
	// member since listed.
	list      []int
	listSince time.Duration
	// lastListed is when each member was lastListed in that list.
	lastListed map[int]time.Duration
	// unreachable are the members that this proxy cannot reach.
	unreachable map[int]bool
	// reported is the newest position that the answer to a commit reported, which was
	// sent at toldAt. It covers all that was acknowledged before.
	reported   position.Position
	reportedAt time.Duration
	// exchangedAt is when it exchanged with the other proxy last.
	exchangedAt time.Duration
	// listReadAt is when it saw the list last.
	listReadAt time.Duration
	// departure is what the primary told of its log after a member had left.
	departure *departureModel
	// incarnation counts its starts.
	incarnation int
}

// departureModel is the end of a primary's log, asked after members had left.
type departureModel struct {
	revision uint64
	end      position.Position
	left     []int
}

type readModel struct {
	endpoint int
	term     uint64
	// covered is what had been acknowledged when the member read it.
	covered, seen position.Position
}

// answers reports whether a member answers a proxy.
func (m *model) answers(p *proxyModel, i int) bool {
	return i < len(m.members) && m.members[i].up() && !p.unreachable[i]
}

// primary returns the member that a proxy holds for the primary, if it is one
// and answers.
func (m *model) primary(p *proxyModel) *memberModel {
	if !p.lead.Open() || !m.answers(p, memberIndex(p.lead.Endpoint)) || !m.members[memberIndex(p.lead.Endpoint)].primary {
		return nil
	}
	return m.members[memberIndex(p.lead.Endpoint)]
}

// sendWrite has a proxy send a write that no replica has received yet.
func (m *model) sendWrite(p *proxyModel) {
	primary := m.primary(p)
	if primary == nil {
		return
	}
	e := position.Position{Term: primary.term, Log: primary.end().Log + 1}
	primary.log = append(primary.log, e)
	primary.pending = append(primary.pending, commitModel{position: e, sentAt: m.now, proxy: p, incarnation: p.incarnation})
}

// write has a proxy send a write, which is acknowledged if a replica takes it.
func (m *model) write(p *proxyModel) {
	primary := m.primary(p)
	if primary == nil {
		return
	}
	m.sendWrite(p)
	for _, r := range m.members {
		m.deliver(primary, r)
	}
}

// acknowledge has a proxy answer a commit that a replica has received.
func (m *model) acknowledge(w commitModel, primary *memberModel) {
	p := w.proxy
	if p.incarnation != w.incarnation || p.unreachable[slices.Index(m.members, primary)] {
		return
	}
	if w.position.Log <= m.acknowledged.Log {
		m.violate("position %v was acknowledged after %v", w.position, m.acknowledged)
	}
	if w.position.Term < m.newest {
		m.violate("position %v was acknowledged after term %d had begun", w.position, m.newest)
	}
	m.acknowledged = w.position
	p.learnReported(w.position, w.sentAt)
	if m.rules.suspendedProvesNothing && w.position.Term == p.lead.Term {
		p.lead = p.lead.WithProof(w.sentAt)
	}
}

// learnReported has a proxy remember what the answer to a commit told.
func (p *proxyModel) learnReported(reported position.Position, asked time.Duration) {
	if reported.Holds(p.reported) {
		p.reported, p.reportedAt = reported, max(asked, p.reportedAt)
	}
}

// knowsCommit reports whether a proxy knows of a commit that was acknowledged after
// the first list in which it cannot have missed a member.
func (p *proxyModel) knowsCommit() bool { return p.listSince > 0 && p.reportedAt > p.listSince }

// probe has a proxy ask a replica for a proof.
func (m *model) probe(p *proxyModel, i int) {
	r := m.members[i]
	if !m.answers(p, i) || fmt.Sprint(i) == p.lead.Endpoint || r.primary || !p.lead.Open() || r.term != p.lead.Term || (m.rules.suspendedProvesNothing && r.suspended > p.lead.Term) {
		return
	}
	p.lead = p.lead.WithProof(m.now)
}

// proveByRecord has a proxy read the group's record in the store for a proof.
func (m *model) proveByRecord(p *proxyModel) {
	r := tenure.Tenure{
		Revision: m.record.revision, Endpoint: fmt.Sprint(m.record.endpoint), Term: m.record.term,
		Closed: m.record.closed && m.rules.requireOpenRecord,
	}
	if p.lead.Open() && r.Proves(p.lead.Endpoint, p.lead.Term) {
		p.lead = p.lead.WithProof(m.now)
	}
}

// sendRead has a proxy sendRead a read that must see all acknowledged commits.
func (m *model) sendRead(p *proxyModel) {
	need := placement.Need{Consistency: route.Primary}
	places := make([]placement.Place, len(m.members))
	for i := range m.members {
		places[i] = placement.Place{ID: fmt.Sprint(i), Usable: true, Free: true, Slots: 1}
	}
	l := p.lead
	if !m.rules.proofExpiry {
		l = l.WithProof(m.now)
	}
	c := placement.Choose(need, l, places, m.now)
	if c.Place < 0 || !m.answers(p, c.Place) {
		return
	}
	p.read = &readModel{endpoint: c.Place, term: p.lead.Term, covered: m.acknowledged, seen: m.members[c.Place].end()}
}

// receiveAnswer has a proxy take the receiveAnswer to its read; it may have run at any time
// since it was sent.
func (m *model) receiveAnswer(p *proxyModel, late bool) {
	r := p.read
	p.read = nil
	if r == nil || !m.answers(p, r.endpoint) {
		return
	}
	if late {
		r.covered, r.seen = m.acknowledged, m.members[r.endpoint].end()
	}
	current := p.lead.Endpoint == fmt.Sprint(r.endpoint) && p.lead.Term == r.term && p.lead.Valid(m.now)
	if m.rules.answerCheck && !current {
		return
	}
	if r.seen.Log < r.covered.Log {
		m.violate("a read at member %d saw %v, acknowledged was %v", r.endpoint, r.seen, r.covered)
	}
}

// readStore has a proxy see the record and the list in the store.
func (m *model) readStore(p *proxyModel) {
	m.readList(p)
	m.readRecord(p)
}

// readRecord has a proxy see the record in the store.
func (m *model) readRecord(p *proxyModel) {
	p.record = m.record
	p.record.dutySeen = m.now
	switch {
	case m.record.revision > 0 && m.record.closed:
		p.lead = p.lead.WithClosed(m.now)
		if p.lead.Endpoint == "" {
			p.lead = lead.Lead{}.WithPrimary(fmt.Sprint(m.record.endpoint), m.record.term, m.now).WithClosed(m.now)
		}
	case m.record.revision > 0:
		p.lead = p.lead.WithPrimary(fmt.Sprint(m.record.endpoint), m.record.term, m.now)
	case p.lead.Endpoint == "":
		for _, i := range p.list {
			if m.members[i].primary {
				p.lead = p.lead.WithPrimary(fmt.Sprint(i), m.members[i].term, m.now)
			}
		}
	}
}

// readList has a proxy see the list in the store.
func (m *model) readList(p *proxyModel) {
	for _, i := range p.list {
		p.lastListed[i] = m.now
	}
	p.list = m.listed()
	for _, i := range p.list {
		p.lastListed[i] = m.now
	}
	if p.listSince == 0 || (m.rules.resetAfterGap && m.now-p.listReadAt > lapseTime) {
		p.listSince = m.now
	}
	p.listReadAt = m.now
}

// hasLeft reports whether a proxy takes a member for gone for good.
func (m *model) hasLeft(p *proxyModel, i int) bool {
	if slices.Contains(p.list, i) || (m.rules.keepResponding && m.answers(p, i)) {
		return false
	}
	heir := m.members[i].successor
	return m.now-p.lastListed[i] > memberTime || (heir > 0 && slices.Contains(p.list, heir))
}

// mustAnswer returns the members that must answer a proxy, in order. One that has
// left must do so until the primary was asked, or until the proxy has heard in
// its change what the others know to be kept.
func (m *model) mustAnswer(p *proxyModel, began time.Duration) []int {
	all := slices.Clone(p.list)
	departed := m.rules.askAfterDeparture && (p.exchangedAt <= began || !m.rules.compareAcknowledged)
	for i := range p.lastListed {
		if !slices.Contains(all, i) && (departed || !m.hasLeft(p, i)) {
			all = append(all, i)
		}
	}
	slices.Sort(all)
	return all
}

// anyLeft reports whether a member has left since the primary was asked last.
func (m *model) anyLeft(p *proxyModel) bool {
	for i := range p.lastListed {
		if m.hasLeft(p, i) {
			return true
		}
	}
	return false
}

// handleDeparture has a proxy ask the primary for the end of its log after members have
// left, or write what it told to the store, after which they are forgotten.
func (m *model) handleDeparture(p *proxyModel) {
	if d := p.departure; d != nil {
		p.departure = nil
		if m.record.revision != d.revision || m.record.closed {
			return
		}
		m.revision++
		m.record.revision, m.record.primaryEnd = m.revision, later(m.record.primaryEnd, d.end)
		m.readRecord(p)
		for _, i := range d.left {
			delete(p.lastListed, i)
		}
		return
	}
	primary := m.primary(p)
	if primary == nil || primary.term != p.lead.Term {
		return
	}
	d := &departureModel{revision: p.record.revision, end: primary.end()}
	for i := range p.lastListed {
		if m.hasLeft(p, i) {
			d.left = append(d.left, i)
		}
	}
	if len(d.left) > 0 {
		p.departure = d
	}
}

// exchange has the proxies tell each other what is kept.
func (m *model) exchange() {
	a, b := m.proxies[0], m.proxies[1]
	a.learnReported(b.reported, b.reportedAt)
	b.learnReported(a.reported, a.reportedAt)
	a.exchangedAt, b.exchangedAt = m.now, m.now
}

// restartProxies has proxies start anew.
func (m *model) restartProxies(all ...*proxyModel) {
	for _, p := range all {
		*p = proxyModel{lastListed: map[int]time.Duration{}, unreachable: p.unreachable, incarnation: p.incarnation + 1}
	}
}

// later returns the position that a log must reach to hold both.
func later(p, q position.Position) position.Position {
	if p.Holds(q) {
		return p
	}
	return q
}

func memberIndex(id string) int {
	n := 0
	_, _ = fmt.Sscan(id, &n)
	return n
}
