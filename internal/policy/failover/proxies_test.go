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
	// memberTimeout is how long after it was last listed a member must still
	// answer.
	memberTimeout = 12 * time.Second
	// minListAge is how long a proxy must have had the list before it changes
	// a primary.
	minListAge = 3 * time.Second
)

// proxyModel is a proxy. Its clock continues while the proxy is frozen.
type proxyModel struct {
	leader leader.State
	record recordModel
	change *changeModel
	// read is a read that was sent and is not answered yet.
	read *readModel
	// list holds the members of the list as this proxy last read it. The proxy
	// has missed no member since listSince.
	list      []int
	listSince time.Duration
	// lastListed is when each member was last in the list.
	lastListed map[int]time.Duration
	// unreachable are the members that this proxy cannot reach.
	unreachable map[int]bool
	// reported is the newest position reported in the answer to a commit. The
	// commit was sent at reportedAt; the position covers everything
	// acknowledged before then.
	reported   position.Position
	reportedAt time.Duration
	// exchangedAt is when this proxy last exchanged reports with the other
	// proxy.
	exchangedAt time.Duration
	// listReadAt is when it last read the list.
	listReadAt time.Duration
	// departure is the end of the primary's log, read after a member had left
	// and not written to the record yet.
	departure *departureModel
	// incarnation counts the starts of the proxy.
	incarnation int
}

// departureModel is the end of a primary's log, read after members had left.
type departureModel struct {
	revision uint64
	end      position.Position
	left     []int
}

type readModel struct {
	endpoint int
	term     uint64
	// covered is what had been acknowledged when the member ran the read, and
	// seen the end of the member's log.
	covered, seen position.Position
}

// answers reports whether a member answers a proxy.
func (m *model) answers(p *proxyModel, i int) bool {
	return i < len(m.members) && m.members[i].up() && !p.unreachable[i]
}

// primary returns the member that a proxy uses as the primary, or nil if it is
// none or does not answer.
func (m *model) primary(p *proxyModel) *memberModel {
	if !p.leader.Open() || !m.answers(p, memberIndex(p.leader.Endpoint)) || !m.members[memberIndex(p.leader.Endpoint)].primary {
		return nil
	}
	return m.members[memberIndex(p.leader.Endpoint)]
}

// sendWrite lets a proxy send a write that no replica receives yet.
func (m *model) sendWrite(p *proxyModel) {
	primary := m.primary(p)
	if primary == nil {
		return
	}
	e := position.Position{Term: primary.term, Log: primary.end().Log + 1}
	primary.log = append(primary.log, e)
	primary.pending = append(primary.pending, commitModel{position: e, sentAt: m.now, proxy: p, incarnation: p.incarnation})
}

// write lets a proxy send a write, which is acknowledged if a replica receives
// it.
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

// acknowledge delivers to a proxy the answer to a commit that a replica has
// received.
func (m *model) acknowledge(w commitModel, primary *memberModel) {
	p := w.proxy
	if p.incarnation != w.incarnation || p.unreachable[slices.Index(m.members, primary)] {
		return
	}
	if w.position.Log <= m.acknowledged.Log {
		m.violate("position %v was acknowledged after position %v", w.position, m.acknowledged)
	}
	if w.position.Term < m.newest {
		m.violate("position %v was acknowledged after term %d had begun", w.position, m.newest)
	}
	m.acknowledged = w.position
	p.learnReported(w.position, w.sentAt)
	if m.rules.checkProofs && w.position.Term == p.leader.Term {
		p.leader = p.leader.WithProof(w.sentAt)
	}
}

// learnReported stores a position reported in the answer to a commit that was
// sent at sentAt.
func (p *proxyModel) learnReported(reported position.Position, sentAt time.Duration) {
	if reported.UpToDateWith(p.reported) {
		p.reported, p.reportedAt = reported, max(sentAt, p.reportedAt)
	}
}

// knowsCommit reports whether the proxy knows of a commit acknowledged after
// the first list since which it has missed no member.
func (p *proxyModel) knowsCommit() bool { return p.listSince > 0 && p.reportedAt > p.listSince }

// probe lets a proxy ask a replica for a proof of the primary.
func (m *model) probe(p *proxyModel, i int) {
	r := m.members[i]
	if !m.answers(p, i) || fmt.Sprint(i) == p.leader.Endpoint || r.primary || !p.leader.Open() || r.term != p.leader.Term || (m.rules.checkProofs && r.suspended > p.leader.Term) {
		return
	}
	p.leader = p.leader.WithProof(m.now)
}

// proveByRecord lets a proxy read the group's record in the store for a proof
// of the primary.
func (m *model) proveByRecord(p *proxyModel) {
	r := leadership.Record{
		Revision: m.record.revision, Endpoint: fmt.Sprint(m.record.endpoint), Term: m.record.term,
		Closed: m.record.closed && m.rules.requireOpenRecord,
	}
	if p.leader.Open() && r.Proves(p.leader.Endpoint, p.leader.Term) {
		p.leader = p.leader.WithProof(m.now)
	}
}

// sendRead lets a proxy send a read that must see all acknowledged commits.
func (m *model) sendRead(p *proxyModel) {
	need := placement.Need{Consistency: route.Primary}
	endpoints := make([]placement.EndpointSnapshot, len(m.members))
	for i := range m.members {
		endpoints[i] = placement.EndpointSnapshot{ID: fmt.Sprint(i), Usable: true, Free: true, Slots: 1}
	}
	state := p.leader
	if !m.rules.proofExpiry {
		state = state.WithProof(m.now)
	}
	c := placement.Choose(need, state, endpoints, m.now)
	if c.Index < 0 || !m.answers(p, c.Index) {
		return
	}
	p.read = &readModel{endpoint: c.Index, term: p.leader.Term, covered: m.acknowledged, seen: m.members[c.Index].end()}
}

// receiveAnswer delivers the answer to a proxy's read. A late one ran just
// now, otherwise it ran when it was sent.
func (m *model) receiveAnswer(p *proxyModel, late bool) {
	r := p.read
	p.read = nil
	if r == nil || !m.answers(p, r.endpoint) {
		return
	}
	if late {
		r.covered, r.seen = m.acknowledged, m.members[r.endpoint].end()
	}
	current := p.leader.Endpoint == fmt.Sprint(r.endpoint) && p.leader.Term == r.term && p.leader.ProvenAt(m.now)
	if m.rules.answerCheck && !current {
		return
	}
	if r.seen.Log < r.covered.Log {
		m.violate("a read at member %d saw position %v, but %v was acknowledged", r.endpoint, r.seen, r.covered)
	}
}

// readStore lets a proxy read the list and the record in the store.
func (m *model) readStore(p *proxyModel) {
	m.readList(p)
	m.readRecord(p)
}

// readRecord lets a proxy read the group's record in the store.
func (m *model) readRecord(p *proxyModel) {
	p.record = m.record
	p.record.lockSeen = m.now
	switch {
	case m.record.revision > 0 && m.record.closed:
		p.leader = p.leader.WithClosed(m.now)
		if p.leader.Endpoint == "" {
			p.leader = leader.State{}.WithPrimary(fmt.Sprint(m.record.endpoint), m.record.term, m.now).WithClosed(m.now)
		}
	case m.record.revision > 0:
		p.leader = p.leader.WithPrimary(fmt.Sprint(m.record.endpoint), m.record.term, m.now)
	case p.leader.Endpoint == "":
		for _, i := range p.list {
			if m.members[i].primary {
				p.leader = p.leader.WithPrimary(fmt.Sprint(i), m.members[i].term, m.now)
			}
		}
	}
}

// readList lets a proxy read the list of members in the store.
func (m *model) readList(p *proxyModel) {
	for _, i := range p.list {
		p.lastListed[i] = m.now
	}
	p.list = m.listed()
	for _, i := range p.list {
		p.lastListed[i] = m.now
	}
	if p.listSince == 0 || (m.rules.resetAfterGap && m.now-p.listReadAt > entryLifetime) {
		p.listSince = m.now
	}
	p.listReadAt = m.now
}

// hasLeft reports whether a proxy treats a member as having left for good.
func (m *model) hasLeft(p *proxyModel, i int) bool {
	if slices.Contains(p.list, i) || (m.rules.keepResponding && m.answers(p, i)) {
		return false
	}
	successor := m.members[i].successor
	return m.now-p.lastListed[i] > memberTimeout || (successor > 0 && slices.Contains(p.list, successor))
}

// mustAnswer returns, in order, the members that must answer a proxy that
// began a change at began. Members that have left are included until the
// primary was asked, or until the proxy has exchanged reports with the others
// during the change.
func (m *model) mustAnswer(p *proxyModel, began time.Duration) []int {
	all := slices.Clone(p.list)
	includeDeparted := m.rules.askAfterDeparture && (p.exchangedAt <= began || !m.rules.compareAcknowledged)
	for i := range p.lastListed {
		if !slices.Contains(all, i) && (includeDeparted || !m.hasLeft(p, i)) {
			all = append(all, i)
		}
	}
	slices.Sort(all)
	return all
}

// anyLeft reports whether a member has left since the primary was last asked.
func (m *model) anyLeft(p *proxyModel) bool {
	for i := range p.lastListed {
		if m.hasLeft(p, i) {
			return true
		}
	}
	return false
}

// handleDeparture lets a proxy ask the primary for the end of its log after
// members have left. The next call writes the answer to the record and forgets
// those members.
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
	if primary == nil || primary.term != p.leader.Term {
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

// exchange lets the proxies exchange their reported positions.
func (m *model) exchange() {
	a, b := m.proxies[0], m.proxies[1]
	a.learnReported(b.reported, b.reportedAt)
	b.learnReported(a.reported, a.reportedAt)
	a.exchangedAt, b.exchangedAt = m.now, m.now
}

// restartProxies restarts proxies; they lose what they knew.
func (m *model) restartProxies(all ...*proxyModel) {
	for _, p := range all {
		*p = proxyModel{lastListed: map[int]time.Duration{}, unreachable: p.unreachable, incarnation: p.incarnation + 1}
	}
}

// later returns the position at which a log holds both p and q.
func later(p, q position.Position) position.Position {
	if p.UpToDateWith(q) {
		return p
	}
	return q
}

func memberIndex(id string) int {
	n := 0
	_, _ = fmt.Sscan(id, &n)
	return n
}
