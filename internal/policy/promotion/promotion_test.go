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

// fake is a member of a group that has no network and no time.
type fake struct {
	name     string
	term     uint64
	proposer int
	role     group.Role
	upstream *fake
	log      []record
}

// record is one place of a log.
type record struct {
	term uint64
	id   int
}

func (f *fake) progress() group.Progress {
	p := group.Progress{Term: f.term, Role: f.role, Received: uint64(len(f.log)), Applied: uint64(len(f.log))}
	if n := len(f.log); n > 0 {
		p.LogTerm = f.log[n-1].term
	}
	return p
}

func (f *fake) fence(term uint64, proposer int) bool {
	if term < f.term || (term == f.term && proposer != f.proposer) {
		return false
	}
	if term > f.term {
		f.term, f.proposer, f.role, f.upstream = term, proposer, group.Fenced, nil
	}
	return true
}

func (f *fake) promote(term uint64, proposer int) bool {
	if term != f.term || proposer != f.proposer || f.role == group.Primary {
		return false
	}
	f.role = group.Primary
	f.log = append(f.log, record{term: term, id: -int(term)})
	return true
}

func (f *fake) follow(term uint64, primary *fake) {
	if term < f.term || (term == f.term && f.role == group.Primary) || primary == f {
		return
	}
	f.term, f.role, f.upstream = term, group.Joining, primary
}

// replicate takes one message from the primary.
func (f *fake) replicate(entries int) {
	u := f.upstream
	if u == nil || u.term != f.term || u.role != group.Primary {
		return
	}
	n := len(f.log)
	if n > len(u.log) || (n > 0 && u.log[n-1].term != f.log[n-1].term) {
		f.log = f.log[:n-1]
		return
	}
	f.role = group.Replica
	f.log = append(f.log, u.log[n:min(n+entries, len(u.log))]...)
}

// proposer is an owner of the group that believes in its term.
type proposer struct {
	number  int
	term    uint64
	primary *fake
	// chosen waits to be promoted, as at an owner that was paused.
	chosen *fake
	next   uint64
	// seen is what the owner last heard of each member; it may be old.
	seen map[string]group.Observation
	// wrote holds what the owner has written in its term, by place.
	wrote map[uint64]int
	// read holds the logs that reads at the primary have seen, in its term.
	read [][]record
}

// model is a group with two owners that both believe in themselves.
type model struct {
	group     group.Group
	members   []*fake
	proposers []*proposer
	// acknowledged holds the position of everything that a caller was told:
	// what it wrote, and what it read.
	acknowledged map[int]position.Position
	lastID       int
}

func newModel(size int) *model {
	m := &model{acknowledged: map[int]position.Position{}}
	for i := range size {
		f := &fake{name: fmt.Sprintf("m%d", i), role: group.Fenced}
		m.members = append(m.members, f)
		m.group = m.group.WithMember(group.Member{Name: f.name})
	}
	for i := range 2 {
		m.proposers = append(m.proposers, &proposer{number: i + 1, seen: map[string]group.Observation{}})
	}
	return m
}

func (m *model) find(name string) *fake {
	for _, f := range m.members {
		if f.name == name {
			return f
		}
	}
	return nil
}

// fence asks the members that a proposer can reach.
func (m *model) fence(p *proposer, reach []bool, cutOff bool) {
	for _, f := range m.members {
		p.next = max(p.next, f.term)
	}
	p.next++
	var grants []promotion.Grant
	for i, f := range m.members {
		if reach[i] && f.fence(p.next, p.number) {
			grants = append(grants, promotion.Grant{Member: group.Member{Name: f.name}, Progress: f.progress()})
		}
	}
	before := ""
	if p.primary != nil {
		before = p.primary.name
	}
	p.chosen, p.primary = nil, nil
	if best, ok := promotion.Choose(m.group, grants, before, cutOff); ok {
		p.chosen = m.find(best.Member.Name)
	}
}

// promote carries out what was chosen, perhaps much later.
func (m *model) promote(p *proposer) {
	if p.chosen == nil || !p.chosen.promote(p.next, p.number) {
		return
	}
	p.term, p.primary, p.wrote, p.read = p.next, p.chosen, map[uint64]int{}, nil
	p.chosen = nil
}

// write writes at the primary that the proposer believes in.
func (m *model) write(p *proposer) {
	if p.primary == nil || p.primary.term != p.term || p.primary.role != group.Primary {
		return
	}
	m.lastID++
	p.primary.log = append(p.primary.log, record{term: p.term, id: m.lastID})
	p.wrote[uint64(len(p.primary.log))] = m.lastID
}

// look reads at the primary that the proposer believes in.
func (m *model) look(p *proposer) {
	if p.primary != nil && p.primary.term == p.term && p.primary.role == group.Primary {
		p.read = append(p.read, slices.Clone(p.primary.log))
	}
}

// hear brings the proposer's observation of one member up to date.
func (m *model) hear(p *proposer, f *fake) {
	p.seen[f.name] = group.Observation{Member: group.Member{Name: f.name}}.WithProgress(f.progress(), time.Unix(1, 0))
}

// acknowledge tells callers what a majority holds.
func (m *model) acknowledge(p *proposer) {
	if p.primary == nil {
		return
	}
	var all []group.Observation
	for _, o := range p.seen {
		all = append(all, o)
	}
	held := promotion.CommitIndex(m.group, all, p.term, p.primary.name)
	for place, id := range p.wrote {
		if place <= held {
			m.acknowledged[id] = position.Position{Term: p.term, Log: place}
		}
	}
	for _, log := range p.read {
		if uint64(len(log)) > held {
			continue
		}
		for i, seen := range log {
			if _, ok := m.acknowledged[seen.id]; !ok {
				m.acknowledged[seen.id] = position.Position{Term: p.term, Log: uint64(i + 1)}
			}
		}
	}
}

// check asks that every primary holds what was acknowledged in its term or an
// earlier one, at its place.
func (m *model) check(t *rapid.T) {
	for _, f := range m.members {
		if f.role != group.Primary {
			continue
		}
		for id, told := range m.acknowledged {
			if told.Term > f.term {
				continue
			}
			if told.Log > uint64(len(f.log)) || f.log[told.Log-1].id != id {
				t.Fatalf("write %d acknowledged at %v is not in the log of %s in term %d", id, told, f.name, f.term)
			}
		}
	}
}

// raise fences and, unless the proposer is paused, promotes and tells the
// members that it reaches to follow.
func (m *model) raise(p *proposer, reach []bool, cutOff, paused bool) {
	m.fence(p, reach, cutOff)
	if paused {
		return
	}
	m.promote(p)
	m.follow(p, reach)
}

func (m *model) follow(p *proposer, reach []bool) {
	for i, f := range m.members {
		if reach[i] && p.primary != nil {
			f.follow(p.term, p.primary)
		}
	}
}

// serve reads and perhaps writes, replicates to the members that are reached, hears some of
// them and tells callers what is held.
func (m *model) serve(p *proposer, reach, heard []bool, writes bool) {
	if writes {
		m.write(p)
	}
	m.look(p)
	for i, f := range m.members {
		for range 4 {
			if reach[i] {
				f.replicate(2)
			}
		}
		if heard[i] {
			m.hear(p, f)
		}
	}
	m.acknowledge(p)
}

// propertyRounds is how often the library's number of checks is run.
const propertyRounds = 20

// TestAnEntryOfTheNewTermKeepsWhatReadsHaveSeen is the case that random steps
// rarely meet: a longer log of an older term against a read in between.
func TestAnEntryOfTheNewTermKeepsWhatReadsHaveSeen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(3)
		one, two := m.proposers[0], m.proposers[1]
		all, left, right := []bool{true, true, true}, []bool{true, false, true}, []bool{false, true, true}
		m.raise(one, all, false, false)
		m.serve(one, all, all, false)
		m.write(one)
		m.raise(two, right, false, false)
		m.write(two)
		m.raise(one, left, false, false)
		m.serve(one, left, all, false)
		assert.Assert(t, len(m.acknowledged) >= 2, "nothing was read")
		m.raise(two, right, false, false)
		m.check(t)
	})
}

func TestAcknowledgedWritesSurviveEveryPromotion(t *testing.T) {
	told := 0
	property := func(t *rapid.T) {
		m := newModel(rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "size"))
		some := rapid.SliceOfN(rapid.Bool(), len(m.members), len(m.members))
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			p := m.proposers[rapid.IntRange(0, 1).Draw(t, "proposer")]
			reach := some.Draw(t, "reach")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				m.raise(p, reach, rapid.Bool().Draw(t, "cutOff"), rapid.IntRange(0, 3).Draw(t, "paused") == 0)
			case 2:
				m.promote(p)
				m.follow(p, reach)
			case 3:
				m.follow(p, reach)
			case 4:
				m.write(p)
			default:
				m.serve(p, reach, some.Draw(t, "heard"), rapid.Bool().Draw(t, "writes"))
			}
			m.check(t)
		}
		told += len(m.acknowledged)
	}
	for range propertyRounds {
		rapid.Check(t, property)
	}
	assert.Assert(t, told > 100, "only %d writes were acknowledged in all", told)
}

// observed returns an observation of a member in term 3.
func observed(name string, role group.Role, contact time.Duration, seen time.Time) group.Observation {
	return group.Observation{Member: group.Member{Name: name}}.WithProgress(
		group.Progress{Term: 3, Role: role, SinceContact: contact}, seen)
}

func TestJudgeNamesTheReason(t *testing.T) {
	now := time.Unix(1000, 0)
	primary := observed("a", group.Primary, 0, now)
	b := observed("b", group.Replica, 0, now)
	c := observed("c", group.Replica, 0, now)
	late := now.Add(-400 * time.Millisecond)
	cases := []struct {
		name string
		all  []group.Observation
		want promotion.Reason
	}{
		{"all is well", []group.Observation{primary, b, c}, promotion.None},
		{"one late probe, as after a pause of the proxy", []group.Observation{primary.WithFailure(late), b, c}, promotion.None},
		{"probes failed for long", []group.Observation{primary.WithFailure(late).WithFailure(late), b, c}, promotion.Unreachable},
		{"probes failed just now", []group.Observation{primary.WithFailure(now).WithFailure(now), b, c}, promotion.None},
		{"a lagging replica", []group.Observation{primary, b, observed("c", group.Replica, 10*time.Second, now)}, promotion.None},
		{"both replicas lost the primary", []group.Observation{
			primary, observed("b", group.Replica, time.Second, now), observed("c", group.Joining, time.Second, now),
		}, promotion.PrimaryCutOff},
		{"old news of lost contact", []group.Observation{
			primary, observed("b", group.Replica, time.Second, now.Add(-time.Minute)), observed("c", group.Replica, time.Second, now),
		}, promotion.None},
		{"another proposer raised the term", []group.Observation{
			primary, b, c.WithProgress(group.Progress{Term: 4}, now),
		}, promotion.Superseded},
		{"the primary leaves", []group.Observation{primary.WithMember(group.Member{Name: "a", Leaving: true}), b, c}, promotion.LeavingPrimary},
	}
	for _, one := range cases {
		assert.Equal(t, promotion.DecideNewTerm(now, one.all, 3, "a"), one.want, one.name)
	}
}
