package promotion_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/model/group"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/policy/promotion"
)

// fakeMember is a member of a group, without network and timers.
type fakeMember struct {
	name string
	term uint64
	// proposer is the number of the proposer that the term was granted to.
	proposer int
	role     group.Role
	// upstream is the primary that the member follows; nil for none.
	upstream *fakeMember
	log      []entry
}

// entry is one entry of a log. Its ID is that of the write, or the negative
// term for the first entry of a term.
type entry struct {
	term uint64
	id   int
}

func (f *fakeMember) progress() group.Progress {
	p := group.Progress{Term: f.term, Role: f.role, Received: uint64(len(f.log)), Applied: uint64(len(f.log))}
	if n := len(f.log); n > 0 {
		p.LogTerm = f.log[n-1].term
	}
	return p
}

func (f *fakeMember) fence(term uint64, proposer int) bool {
	if term < f.term || (term == f.term && proposer != f.proposer) {
		return false
	}
	if term > f.term {
		f.term, f.proposer, f.role, f.upstream = term, proposer, group.Fenced, nil
	}
	return true
}

func (f *fakeMember) promote(term uint64, proposer int) bool {
	if term != f.term || proposer != f.proposer || f.role == group.Primary {
		return false
	}
	f.role = group.Primary
	f.log = append(f.log, entry{term: term, id: -int(term)})
	return true
}

func (f *fakeMember) follow(term uint64, primary *fakeMember) {
	if term < f.term || (term == f.term && f.role == group.Primary) || primary == f {
		return
	}
	f.term, f.role, f.upstream = term, group.Joining, primary
}

// replicate receives one message from the primary. It removes the last entry if
// the log differs from the primary's, and otherwise appends up to the given
// number of entries.
func (f *fakeMember) replicate(entries int) {
	primary := f.upstream
	if primary == nil || primary.term != f.term || primary.role != group.Primary {
		return
	}
	length := len(f.log)
	if length > len(primary.log) || (length > 0 && primary.log[length-1].term != f.log[length-1].term) {
		f.log = f.log[:length-1]
		return
	}
	f.role = group.Replica
	f.log = append(f.log, primary.log[length:min(length+entries, len(primary.log))]...)
}

// proposer is a proxy that believes that it owns the group.
type proposer struct {
	number  int
	term    uint64
	primary *fakeMember
	// candidate is the member to promote; a paused proposer promotes it late.
	candidate *fakeMember
	// fencedTerm is the latest term for which the proposer has fenced members. It may
	// promote a member in that term.
	fencedTerm uint64
	// observed is the latest known observation of each member; it may be old.
	observed map[string]group.Observation
	// written holds the IDs that the owner has written in its term, by log
	// index.
	written map[uint64]int
	// reads holds the logs that reads at the primary returned in its term.
	reads [][]entry
}

// model is a group with two proxies that both believe that they own it.
type model struct {
	group     group.Group
	members   []*fakeMember
	proposers []*proposer
	// acknowledged holds the position of each entry that a caller was told
	// about, as the result of its write or of a read.
	acknowledged map[int]position.Position
	lastID       int
}

func newModel(size int) *model {
	m := &model{acknowledged: map[int]position.Position{}}
	for i := range size {
		f := &fakeMember{name: fmt.Sprintf("m%d", i), role: group.Fenced}
		m.members = append(m.members, f)
		m.group = m.group.WithMember(group.Member{Name: f.name})
	}
	for i := range 2 {
		m.proposers = append(m.proposers, &proposer{number: i + 1, observed: map[string]group.Observation{}})
	}
	return m
}

func (m *model) memberNamed(name string) *fakeMember {
	for _, f := range m.members {
		if f.name == name {
			return f
		}
	}
	return nil
}

// fence sends a fencing request for a new term to each member whose entry in reach is
// true, and chooses the member to promote. cutOff tells Choose that the replicas have
// lost contact with the former primary.
func (m *model) fence(p *proposer, reach []bool, cutOff bool) {
	for _, f := range m.members {
		p.fencedTerm = max(p.fencedTerm, f.term)
	}
	p.fencedTerm++
	var grants []promotion.Grant
	for i, f := range m.members {
		if reach[i] && f.fence(p.fencedTerm, p.number) {
			grants = append(grants, promotion.Grant{Member: group.Member{Name: f.name}, Progress: f.progress()})
		}
	}
	former := ""
	if p.primary != nil {
		former = p.primary.name
	}
	p.candidate, p.primary = nil, nil
	if best, ok := promotion.Choose(m.group, grants, former, cutOff); ok {
		p.candidate = m.memberNamed(best.Member.Name)
	}
}

// promote promotes the member that fence chose. A test may call it long after fence, as
// a paused proxy would.
func (m *model) promote(p *proposer) {
	if p.candidate == nil || !p.candidate.promote(p.fencedTerm, p.number) {
		return
	}
	p.term, p.primary, p.written, p.reads = p.fencedTerm, p.candidate, map[uint64]int{}, nil
	p.candidate = nil
}

// write writes at the member that the proposer believes to be the primary.
func (m *model) write(p *proposer) {
	if p.primary == nil || p.primary.term != p.term || p.primary.role != group.Primary {
		return
	}
	m.lastID++
	p.primary.log = append(p.primary.log, entry{term: p.term, id: m.lastID})
	p.written[uint64(len(p.primary.log))] = m.lastID
}

// readLog reads at the member that the proposer believes to be the primary.
func (m *model) readLog(p *proposer) {
	if p.primary != nil && p.primary.term == p.term && p.primary.role == group.Primary {
		p.reads = append(p.reads, slices.Clone(p.primary.log))
	}
}

// observe updates the proposer's observation of one member.
func (m *model) observe(p *proposer, f *fakeMember) {
	p.observed[f.name] = group.Observation{Member: group.Member{Name: f.name}}.WithProgress(f.progress(), time.Unix(1, 0))
}

// acknowledge acknowledges to callers the writes and reads up to the commit
// index.
func (m *model) acknowledge(p *proposer) {
	if p.primary == nil {
		return
	}
	var observations []group.Observation
	for _, o := range p.observed {
		observations = append(observations, o)
	}
	commitIndex := promotion.CommitIndex(m.group, observations, p.term, p.primary.name)
	for index, id := range p.written {
		if index <= commitIndex {
			m.acknowledged[id] = position.Position{Term: p.term, Log: index}
		}
	}
	for _, log := range p.reads {
		if uint64(len(log)) > commitIndex {
			continue
		}
		for i, e := range log {
			if _, ok := m.acknowledged[e.id]; !ok {
				m.acknowledged[e.id] = position.Position{Term: p.term, Log: uint64(i + 1)}
			}
		}
	}
}

// checkPrimaries fails the test unless every primary holds, at its index, each
// entry that was acknowledged in the primary's term or an earlier one.
func (m *model) checkPrimaries(t *rapid.T) {
	for _, f := range m.members {
		if f.role != group.Primary {
			continue
		}
		for id, acknowledgedAt := range m.acknowledged {
			if acknowledgedAt.Term > f.term {
				continue
			}
			if acknowledgedAt.Log > uint64(len(f.log)) || f.log[acknowledgedAt.Log-1].id != id {
				t.Fatalf("entry %d acknowledged at %v is not in the log of %s in term %d", id, acknowledgedAt, f.name, f.term)
			}
		}
	}
}

// raiseTerm fences the members that the proposer reaches and, unless the
// proposer is paused, promotes one and makes the others follow it.
func (m *model) raiseTerm(p *proposer, reach []bool, cutOff, paused bool) {
	m.fence(p, reach, cutOff)
	if paused {
		return
	}
	m.promote(p)
	m.follow(p, reach)
}

// follow makes the members in reach follow the proposer's primary.
func (m *model) follow(p *proposer, reach []bool) {
	for i, f := range m.members {
		if reach[i] && p.primary != nil {
			f.follow(p.term, p.primary)
		}
	}
}

// serve reads and perhaps writes at the proposer's primary, replicates to the
// members in reach, observes those in probed, and acknowledges.
func (m *model) serve(p *proposer, reach, probed []bool, writes bool) {
	if writes {
		m.write(p)
	}
	m.readLog(p)
	for i, f := range m.members {
		for range 4 {
			if reach[i] {
				f.replicate(2)
			}
		}
		if probed[i] {
			m.observe(p, f)
		}
	}
	m.acknowledge(p)
}

// propertyRounds is how many times the property runs with rapid's number of checks.
const propertyRounds = 20

// TestPromotionsKeepEntriesThatReadsHaveReturned covers a case that random
// steps rarely reach: a member with a longer log of an older term competes with
// one that holds an entry that a read has returned.
func TestPromotionsKeepEntriesThatReadsHaveReturned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(3)
		first, second := m.proposers[0], m.proposers[1]
		allMembers, withoutMember1, withoutMember0 := []bool{true, true, true}, []bool{true, false, true}, []bool{false, true, true}
		m.raiseTerm(first, allMembers, false, false)
		m.serve(first, allMembers, allMembers, false)
		m.write(first)
		m.raiseTerm(second, withoutMember0, false, false)
		m.write(second)
		m.raiseTerm(first, withoutMember1, false, false)
		m.serve(first, withoutMember1, allMembers, false)
		assert.Assert(t, len(m.acknowledged) >= 2, "no entry was acknowledged")
		m.raiseTerm(second, withoutMember0, false, false)
		m.checkPrimaries(t)
	})
}

// TestAcknowledgedEntriesSurviveEveryPromotion guards against the loss of
// acknowledged entries while two proxies both believe that they own the group
// and reach different members.
func TestAcknowledgedEntriesSurviveEveryPromotion(t *testing.T) {
	acknowledged := 0
	property := func(t *rapid.T) {
		m := newModel(rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "size"))
		anyMembers := rapid.SliceOfN(rapid.Bool(), len(m.members), len(m.members))
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			p := m.proposers[rapid.IntRange(0, 1).Draw(t, "proposer")]
			reach := anyMembers.Draw(t, "reach")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				m.raiseTerm(p, reach, rapid.Bool().Draw(t, "cutOff"), rapid.IntRange(0, 3).Draw(t, "paused") == 0)
			case 2:
				m.promote(p)
				m.follow(p, reach)
			case 3:
				m.follow(p, reach)
			case 4:
				m.write(p)
			default:
				m.serve(p, reach, anyMembers.Draw(t, "probed"), rapid.Bool().Draw(t, "writes"))
			}
			m.checkPrimaries(t)
		}
		acknowledged += len(m.acknowledged)
	}
	for range propertyRounds {
		rapid.Check(t, property)
	}
	assert.Assert(t, acknowledged > 100, "only %d entries were acknowledged in all", acknowledged)
}

// observed returns an observation of a member in term 3 that was last in
// contact with the primary sinceContact before it was seen.
func observed(name string, role group.Role, sinceContact time.Duration, seen time.Time) group.Observation {
	return group.Observation{Member: group.Member{Name: name}}.WithProgress(
		group.Progress{Term: 3, Role: role, SinceContact: sinceContact}, seen)
}

func TestDecideNewTerm(t *testing.T) {
	now := time.Unix(1000, 0)
	primary := observed("a", group.Primary, 0, now)
	b := observed("b", group.Replica, 0, now)
	c := observed("c", group.Replica, 0, now)
	earlier := now.Add(-400 * time.Millisecond) // beyond the minimum time of failed probes
	cases := []struct {
		name         string
		observations []group.Observation
		want         promotion.Reason
	}{
		{"a healthy group", []group.Observation{primary, b, c}, promotion.None},
		{"one late probe, as after a pause of the proxy", []group.Observation{primary.WithFailure(earlier), b, c}, promotion.None},
		{"probes have failed for long", []group.Observation{primary.WithFailure(earlier).WithFailure(earlier), b, c}, promotion.Unreachable},
		{"probes have failed just now", []group.Observation{primary.WithFailure(now).WithFailure(now), b, c}, promotion.None},
		{"a lagging replica", []group.Observation{primary, b, observed("c", group.Replica, 10*time.Second, now)}, promotion.None},
		{"both replicas lost the primary", []group.Observation{
			primary, observed("b", group.Replica, time.Second, now), observed("c", group.Joining, time.Second, now),
		}, promotion.PrimaryCutOff},
		{"an old observation of lost contact", []group.Observation{
			primary, observed("b", group.Replica, time.Second, now.Add(-time.Minute)), observed("c", group.Replica, time.Second, now),
		}, promotion.None},
		{"another proposer raised the term", []group.Observation{
			primary, b, c.WithProgress(group.Progress{Term: 4}, now),
		}, promotion.Superseded},
		{"the primary is leaving", []group.Observation{primary.WithMember(group.Member{Name: "a", Leaving: true}), b, c}, promotion.PrimaryLeaving},
	}
	for _, testCase := range cases {
		assert.Equal(t, promotion.DecideNewTerm(now, testCase.observations, 3, "a"), testCase.want, testCase.name)
	}
}
