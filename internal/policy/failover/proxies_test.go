package failover_test

import (
	"fmt"
	"slices"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/policy/placement"
)

const (
	// memberTime is how long a member that is not listed must still answer.
	memberTime = 12 * time.Second
	// listTime is how long a proxy has the list before it changes a primary.
	listTime = 3 * time.Second
)

// proxyModel is a proxy. Its clock goes on while it is frozen.
type proxyModel struct {
	lead   leader.State
	seen   recordModel
	change *changeModel
	// read is a read that was sent and is not answered yet.
	read *readModel
	// list are the members in the list as this proxy knows it. It has missed no
	// member since listed.
	list   []int
	listed time.Duration
	// last is when each member was last in that list.
	last map[int]time.Duration
	// apart are the members that this proxy cannot reach.
	apart map[int]bool
	// told is the newest position that the answer to a commit told, which was
	// sent at toldAt. It covers all that was acknowledged before.
	told   position.Position
	toldAt time.Duration
	// heard is when it exchanged with the other proxy last.
	heard time.Duration
	// looked is when it saw the list last.
	looked time.Duration
	// asked is what the primary told of its log after a member had left.
	asked *departureModel
	// life counts its starts.
	life int
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
	covered, got position.Position
}

// answers reports whether a member answers a proxy.
func (m *model) answers(p *proxyModel, i int) bool {
	return i < len(m.members) && m.members[i].up() && !p.apart[i]
}

// primary returns the member that a proxy holds for the primary, if it is one
// and answers.
func (m *model) primary(p *proxyModel) *memberModel {
	if !p.lead.Open() || !m.answers(p, index(p.lead.Endpoint)) || !m.members[index(p.lead.Endpoint)].primary {
		return nil
	}
	return m.members[index(p.lead.Endpoint)]
}

// wait has a proxy send a write that no replica has received yet.
func (m *model) wait(p *proxyModel) {
	primary := m.primary(p)
	if primary == nil {
		return
	}
	e := position.Position{Term: primary.term, Log: primary.end().Log + 1}
	primary.log = append(primary.log, e)
	primary.waiting = append(primary.waiting, commitModel{position: e, asked: m.now, proxy: p, life: p.life})
}

// write has a proxy send a write, which is acknowledged if a replica takes it.
func (m *model) write(p *proxyModel) {
	primary := m.primary(p)
	if primary == nil {
		return
	}
	m.wait(p)
	for _, r := range m.members {
		m.deliver(primary, r)
	}
}

// acknowledge has a proxy answer a commit that a replica has received.
func (m *model) acknowledge(w commitModel, primary *memberModel) {
	p := w.proxy
	if p.life != w.life || p.apart[slices.Index(m.members, primary)] {
		return
	}
	if w.position.Log <= m.acknowledged.Log {
		m.fail("position %v was acknowledged after %v", w.position, m.acknowledged)
	}
	if w.position.Term < m.newest {
		m.fail("position %v was acknowledged after term %d had begun", w.position, m.newest)
	}
	m.acknowledged = w.position
	p.tell(w.position, w.asked)
	if m.rules.proof && w.position.Term == p.lead.Term {
		p.lead = p.lead.WithProof(w.asked)
	}
}

// tell has a proxy remember what the answer to a commit told.
func (p *proxyModel) tell(told position.Position, asked time.Duration) {
	if told.UpToDateWith(p.told) {
		p.told, p.toldAt = told, max(asked, p.toldAt)
	}
}

// sure reports whether a proxy knows of a commit that was acknowledged after
// the first list in which it cannot have missed a member.
func (p *proxyModel) sure() bool { return p.listed > 0 && p.toldAt > p.listed }

// probe has a proxy ask a replica for a proof.
func (m *model) probe(p *proxyModel, i int) {
	r := m.members[i]
	if !m.answers(p, i) || fmt.Sprint(i) == p.lead.Endpoint || r.primary || !p.lead.Open() || r.term != p.lead.Term || (m.rules.proof && r.suspended > p.lead.Term) {
		return
	}
	p.lead = p.lead.WithProof(m.now)
}

// ledger has a proxy read the group's record in the store for a proof.
func (m *model) ledger(p *proxyModel) {
	r := leadership.Record{
		Revision: m.record.revision, Endpoint: fmt.Sprint(m.record.endpoint), Term: m.record.term,
		Closed: m.record.closed && m.rules.openRecord,
	}
	if p.lead.Open() && r.Proves(p.lead.Endpoint, p.lead.Term) {
		p.lead = p.lead.WithProof(m.now)
	}
}

// send has a proxy send a read that must see all acknowledged commits.
func (m *model) send(p *proxyModel) {
	need := placement.Need{Consistency: route.Primary}
	places := make([]placement.EndpointSnapshot, len(m.members))
	for i := range m.members {
		places[i] = placement.EndpointSnapshot{ID: fmt.Sprint(i), Usable: true, Free: true, Slots: 1}
	}
	l := p.lead
	if !m.rules.expiry {
		l = l.WithProof(m.now)
	}
	c := placement.Choose(need, l, places, m.now)
	if c.Index < 0 || !m.answers(p, c.Index) {
		return
	}
	p.read = &readModel{endpoint: c.Index, term: p.lead.Term, covered: m.acknowledged, got: m.members[c.Index].end()}
}

// answer has a proxy take the answer to its read; it may have run at any time
// since it was sent.
func (m *model) answer(p *proxyModel, late bool) {
	r := p.read
	p.read = nil
	if r == nil || !m.answers(p, r.endpoint) {
		return
	}
	if late {
		r.covered, r.got = m.acknowledged, m.members[r.endpoint].end()
	}
	current := p.lead.Endpoint == fmt.Sprint(r.endpoint) && p.lead.Term == r.term && p.lead.ProvenAt(m.now)
	if m.rules.answerCheck && !current {
		return
	}
	if r.got.Log < r.covered.Log {
		m.fail("a read at member %d saw %v, acknowledged was %v", r.endpoint, r.got, r.covered)
	}
}

// learn has a proxy see the record and the list in the store.
func (m *model) learn(p *proxyModel) {
	m.learnList(p)
	m.learnRecord(p)
}

// learnRecord has a proxy see the record in the store.
func (m *model) learnRecord(p *proxyModel) {
	p.seen = m.record
	p.seen.dutySeen = m.now
	switch {
	case m.record.revision > 0 && m.record.closed:
		p.lead = p.lead.WithClosed(m.now)
		if p.lead.Endpoint == "" {
			p.lead = leader.State{}.WithPrimary(fmt.Sprint(m.record.endpoint), m.record.term, m.now).WithClosed(m.now)
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

// learnList has a proxy see the list in the store.
func (m *model) learnList(p *proxyModel) {
	for _, i := range p.list {
		p.last[i] = m.now
	}
	p.list = m.listed()
	for _, i := range p.list {
		p.last[i] = m.now
	}
	if p.listed == 0 || (m.rules.gap && m.now-p.looked > lapseTime) {
		p.listed = m.now
	}
	p.looked = m.now
}

// left reports whether a proxy takes a member for gone for good.
func (m *model) left(p *proxyModel, i int) bool {
	if slices.Contains(p.list, i) || (m.rules.asleep && m.answers(p, i)) {
		return false
	}
	heir := m.members[i].heir
	return m.now-p.last[i] > memberTime || (heir > 0 && slices.Contains(p.list, heir))
}

// known returns the members that must answer a proxy, in order. One that has
// left must do so until the primary was asked, or until the proxy has heard in
// its change what the others know to be kept.
func (m *model) known(p *proxyModel, began time.Duration) []int {
	all := slices.Clone(p.list)
	must := m.rules.departure && (p.heard <= began || !m.rules.kept)
	for i := range p.last {
		if !slices.Contains(all, i) && (must || !m.left(p, i)) {
			all = append(all, i)
		}
	}
	slices.Sort(all)
	return all
}

// missing reports whether a member has left since the primary was asked last.
func (m *model) missing(p *proxyModel) bool {
	for i := range p.last {
		if m.left(p, i) {
			return true
		}
	}
	return false
}

// depart has a proxy ask the primary for the end of its log after members have
// left, or write what it told to the store, after which they are forgotten.
func (m *model) depart(p *proxyModel) {
	if d := p.asked; d != nil {
		p.asked = nil
		if m.record.revision != d.revision || m.record.closed {
			return
		}
		m.revision++
		m.record.revision, m.record.left = m.revision, later(m.record.left, d.end)
		m.learnRecord(p)
		for _, i := range d.left {
			delete(p.last, i)
		}
		return
	}
	primary := m.primary(p)
	if primary == nil || primary.term != p.lead.Term {
		return
	}
	d := &departureModel{revision: p.seen.revision, end: primary.end()}
	for i := range p.last {
		if m.left(p, i) {
			d.left = append(d.left, i)
		}
	}
	if len(d.left) > 0 {
		p.asked = d
	}
}

// gossip has the proxies tell each other what is kept.
func (m *model) gossip() {
	a, b := m.proxies[0], m.proxies[1]
	a.tell(b.told, b.toldAt)
	b.tell(a.told, a.toldAt)
	a.heard, b.heard = m.now, m.now
}

// lose has proxies start anew.
func (m *model) lose(all ...*proxyModel) {
	for _, p := range all {
		*p = proxyModel{last: map[int]time.Duration{}, apart: p.apart, life: p.life + 1}
	}
}

// later returns the position that a log must reach to hold both.
func later(p, q position.Position) position.Position {
	if p.UpToDateWith(q) {
		return p
	}
	return q
}

func index(id string) int {
	n := 0
	_, _ = fmt.Sscan(id, &n)
	return n
}
