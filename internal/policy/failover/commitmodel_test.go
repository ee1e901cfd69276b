package failover_test

import (
	"fmt"
	"slices"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

// sendWrite makes a proxy send a write that no replica receives yet.
func (m *model) sendWrite(p *proxyModel) {
	primary := m.primary(p)
	if primary == nil || (m.rules.confirmCommits && !m.confirms(p, memberIndex(p.leader.Endpoint))) {
		return
	}
	e := position.Position{Term: primary.term, Log: primary.end().Log + 1}
	primary.log = append(primary.log, e)
	primary.pending = append(primary.pending, commitModel{position: e, sentAt: m.now, proxy: p, incarnation: p.incarnation})
}

// write makes a proxy send a write, which is acknowledged if a replica
// receives it.
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
// received. Under confirmCommits the proxy reports the commit only if a proof is valid
// or it gets one now; otherwise the commit is in doubt.
func (m *model) acknowledge(w commitModel, primary *memberModel) {
	p, index := w.proxy, slices.Index(m.members, primary)
	if p.incarnation != w.incarnation || p.unreachable[index] {
		return
	}
	p.learnReported(w.position, w.sentAt)
	if m.rules.confirmCommits && !m.confirms(p, index) {
		return
	}
	if w.position.Log <= m.acknowledged.Log {
		m.violate("position %v was acknowledged after position %v, whose log index is not lower", w.position, m.acknowledged)
	}
	if w.position.Term < m.promotedTerm {
		m.violate("position %v was acknowledged after term %d had begun", w.position, m.promotedTerm)
	}
	m.acknowledged = w.position
}

// confirms reports whether a proxy may send a commit to member i, or report one that the
// member has acknowledged. If its proof has expired, it looks for another one first.
func (m *model) confirms(p *proxyModel, i int) bool {
	endpoint := fmt.Sprint(i)
	if p.leader.Confirms(endpoint, m.now) || p.leader.BeingReplaced(endpoint, m.now) {
		return p.leader.Confirms(endpoint, m.now)
	}
	for replica := range m.members {
		m.probe(p, replica)
	}
	m.proveByRecord(p)
	return p.leader.Confirms(endpoint, m.now)
}

// learnReported stores a position reported in the answer to a commit that was
// sent at sentAt.
func (p *proxyModel) learnReported(reported position.Position, sentAt time.Duration) {
	if reported.UpToDateWith(p.reported) {
		p.reported, p.reportedAt = reported, max(sentAt, p.reportedAt)
	}
}

// maxRecordAge is how long after a proxy last knew the record to be open members prove the
// primary to it, as in the package host/proof.
const maxRecordAge = 12 * time.Second

// leadershipRecord returns a record with the members that it lists.
func (r recordModel) leadershipRecord() leadership.Record {
	members := make([]topology.Endpoint, 0, len(r.starts))
	for i, start := range r.starts {
		members = append(members, endpointOf(i, start))
	}
	return leadership.Record{
		Revision: revision.Revision(r.revision), Endpoint: fmt.Sprint(r.endpoint), Term: r.term, Closed: r.closed,
	}.WithMembers(members)
}

// endpointOf returns a member as the store lists it after a number of starts.
func endpointOf(i, start int) topology.Endpoint {
	return topology.Endpoint{ID: fmt.Sprint(i), Address: "address", StartedAt: int64(start + 1)}
}

// probe makes a proxy ask member i for a proof of the primary. Only a replica of the
// primary's term gives one and, under checkProofs, only if it is not suspended for a
// later term. Under recordedProofs the record that the proxy knows must list
// it, with the start that the proxy knows. Under recentRecords the proxy must have known the
// record to be open less than maxRecordAge ago.
func (m *model) probe(p *proxyModel, i int) {
	r := m.members[i]
	if !m.answers(p, i) || fmt.Sprint(i) == p.leader.Endpoint || r.primary || !p.leader.Open() || r.term != p.leader.Term || (m.rules.checkProofs && r.suspended > p.leader.Term) {
		return
	}
	if m.rules.prolongProofs && !p.leader.ProvenAt(m.now) {
		return
	}
	if age, known := p.leader.RecordAge(m.now); m.rules.recentRecords && (!known || age > maxRecordAge) {
		return
	}
	if m.rules.recordedProofs && !p.record.leadershipRecord().Lists(endpointOf(i, p.starts[i])) {
		return
	}
	p.leader = p.leader.WithProof(m.now)
}

// proveByRecord makes a proxy read the group's record in the store for a proof
// of the primary.
func (m *model) proveByRecord(p *proxyModel) {
	if p.cutOffFromStore {
		return
	}
	r := m.record.leadershipRecord()
	r.Closed = r.Closed && m.rules.requireOpenRecord
	if p.leader.Open() && r.Proves(p.leader.Endpoint, p.leader.Term, 0) {
		p.leader = p.leader.WithProof(m.now).WithRecordOpen(m.now)
	}
}
