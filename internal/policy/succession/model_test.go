package succession_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/policy/placement"
	"eelgrassladder.example/eelgrassladder/internal/policy/succession"
	"eelgrassladder.example/eelgrassladder/internal/trade/lead"
	"eelgrassladder.example/eelgrassladder/internal/trade/position"
	"eelgrassladder.example/eelgrassladder/internal/trade/route"
	"eelgrassladder.example/eelgrassladder/internal/trade/tenure"
)

// rules are the rules of a change of primary. Each can be left out, to show
// that the model notices.
type rules struct {
	suspendAll, longest, settle, proof, answerCheck, oneHolder, freshToken, expiry, demoteStale, openRecord bool
}

// allRules are the rules in force.
func allRules() rules {
	return rules{
		suspendAll: true, longest: true, settle: true, proof: true, answerCheck: true, oneHolder: true,
		freshToken: true, expiry: true, demoteStale: true, openRecord: true,
	}
}

// memberModel is a member of the group.
type memberModel struct {
	primary   bool
	term      uint64
	suspended uint64
	log       []position.Position
	// cut keeps it from the other members, and dead from everybody.
	cut, dead bool
}

func (m *memberModel) end() position.Position {
	if len(m.log) == 0 {
		return position.Position{}
	}
	return m.log[len(m.log)-1]
}

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
}

// changeModel is a change of primary that a proxy has under way.
type changeModel struct {
	step       int
	judged     recordModel
	token      uint64
	old, next  int
	began      time.Duration
	suspended  map[int]time.Duration
	candidates []succession.Candidate
	settled    time.Duration
}

// proxyModel is a proxy. Its clock goes on while it is frozen.
type proxyModel struct {
	lead   lead.Lead
	seen   recordModel
	change *changeModel
	// read is a read that was sent and is not answered yet.
	read *readModel
}

type readModel struct {
	endpoint int
	term     uint64
	// covered is what had been acknowledged when the member read it.
	covered, got position.Position
}

// model is one group of three members before two proxies and the store.
type model struct {
	rules        rules
	now          time.Duration
	members      [3]*memberModel
	proxies      [2]*proxyModel
	record       recordModel
	acknowledged position.Position
	revision     uint64
	fence        uint64
	problem      string
}

func newModel(r rules) *model {
	m := &model{rules: r, revision: 1, now: time.Hour}
	for i := range m.members {
		m.members[i] = &memberModel{term: 1, log: []position.Position{{Term: 1, Log: 1}}}
	}
	m.members[0].primary = true
	for i := range m.proxies {
		m.proxies[i] = &proxyModel{lead: lead.Lead{}.WithPrimary("0", 1, m.now)}
	}
	return m
}

// fail notes the first violation.
func (m *model) fail(format string, arguments ...any) {
	if m.problem == "" {
		m.problem = fmt.Sprintf(format, arguments...)
	}
}

// write has a proxy send a write, which is acknowledged if a replica takes it.
func (m *model) write(p *proxyModel) {
	if !p.lead.Open() {
		return
	}
	asked := m.now
	primary := m.members[index(p.lead.Endpoint)]
	if primary.dead || !primary.primary {
		return
	}
	e := position.Position{Term: primary.term, Log: primary.end().Log + 1}
	primary.log = append(primary.log, e)
	taken := false
	for _, r := range m.members {
		if r == primary || r.primary || r.dead || r.cut || primary.cut || r.suspended > primary.term || r.term > primary.term {
			continue
		}
		r.log, r.term = append([]position.Position(nil), primary.log...), primary.term
		taken = true
	}
	if !taken {
		return
	}
	if e.Log <= m.acknowledged.Log {
		m.fail("position %v was acknowledged after %v", e, m.acknowledged)
	}
	m.acknowledged = e
	if m.rules.proof && e.Term == p.lead.Term {
		p.lead = p.lead.WithProof(asked)
	}
}

// probe has a proxy ask a replica for a proof.
func (m *model) probe(p *proxyModel, i int) {
	r := m.members[i]
	if r.dead || r.primary || !p.lead.Open() || r.term != p.lead.Term || (m.rules.proof && r.suspended > p.lead.Term) {
		return
	}
	p.lead = p.lead.WithProof(m.now)
}

// ledger has a proxy read the group's record in the store for a proof.
func (m *model) ledger(p *proxyModel) {
	r := tenure.Tenure{
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
	places := make([]placement.Place, len(m.members))
	for i := range m.members {
		places[i] = placement.Place{ID: fmt.Sprint(i), Usable: true, Free: true, Slots: 1}
	}
	l := p.lead
	if !m.rules.expiry {
		l = l.WithProof(m.now)
	}
	c := placement.Choose(need, l, places, m.now)
	if c.Place < 0 || m.members[c.Place].dead {
		return
	}
	p.read = &readModel{endpoint: c.Place, term: p.lead.Term, covered: m.acknowledged, got: m.members[c.Place].end()}
}

// answer has a proxy take the answer to its read; it may have run at any time
// since it was sent.
func (m *model) answer(p *proxyModel, late bool) {
	r := p.read
	p.read = nil
	if r == nil || m.members[r.endpoint].dead {
		return
	}
	if late {
		r.covered, r.got = m.acknowledged, m.members[r.endpoint].end()
	}
	current := p.lead.Endpoint == fmt.Sprint(r.endpoint) && p.lead.Term == r.term && p.lead.Valid(m.now)
	if m.rules.answerCheck && !current {
		return
	}
	if r.got.Log < r.covered.Log {
		m.fail("a read at member %d saw %v, acknowledged was %v", r.endpoint, r.got, r.covered)
	}
}

// learn has a proxy see the record in the store.
func (m *model) learn(p *proxyModel) {
	p.seen = m.record
	p.seen.dutySeen = m.now
	p.lead = led(p.lead, m.record, m.now)
}

// led is the lead under a record.
func led(l lead.Lead, r recordModel, now time.Duration) lead.Lead {
	if r.revision == 0 {
		return l
	}
	if r.closed {
		return l.WithClosed(now)
	}
	return l.WithPrimary(fmt.Sprint(r.endpoint), r.term, now)
}

// judge has a proxy begin a change under what it has seen.
func (m *model) judge(p *proxyModel) {
	if p.change == nil {
		p.change = &changeModel{judged: p.seen, old: index(p.lead.Endpoint), suspended: map[int]time.Duration{}}
	}
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
	case 0:
		m.stepClose(name, p, c)
	case 1:
		m.stepSuspend(p, c)
	case 2:
		m.stepPromote(p, c)
	case 3:
		m.stepSettle(c)
	case 4:
		m.stepOpen(p, c)
	}
}

func (m *model) stepClose(name int, p *proxyModel, c *changeModel) {
	takes := succession.Takes(fmt.Sprint(name), fmt.Sprint(m.record.holder), m.record.busy, m.now-p.seen.dutySeen)
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
		duty: m.revision, busy: true,
	}
	c.token, c.began, c.step = m.revision, m.now, 1
	m.learn(p)
}

func (m *model) stepSuspend(p *proxyModel, c *changeModel) {
	term := m.record.term
	for _, r := range m.members {
		term = max(term, r.term, r.suspended)
	}
	for i, r := range m.members {
		if i == c.old {
			continue
		}
		if r.primary && !r.dead && r.term >= m.record.term {
			c.next, c.settled, c.step = i, m.now, 3
			return
		}
		if r.dead {
			if m.rules.suspendAll {
				p.change = nil
				return
			}
			continue
		}
		if r.primary && m.rules.demoteStale {
			m.rejoin(r)
		}
		if !r.primary {
			// A primary answers the order, and is not suspended by it.
			r.suspended = max(r.suspended, term+1)
		}
		c.candidates = append(c.candidates, succession.Candidate{ID: fmt.Sprint(i), Received: r.end()})
	}
	c.settled, c.step = m.now, 2
}

// rejoin makes a primary of an earlier term a replica, as it becomes when it is
// told to or when it reaches the later one.
func (m *model) rejoin(r *memberModel) {
	for _, later := range m.members {
		if later == r || !later.primary || later.dead || later.term <= r.term {
			continue
		}
		r.primary, r.term, r.suspended = false, later.term, 0
		common := 0
		for common < len(r.log) && common < len(later.log) && r.log[common] == later.log[common] {
			common++
		}
		r.log = r.log[:common]
		return
	}
}

func (m *model) stepPromote(p *proxyModel, c *changeModel) {
	if m.rules.freshToken && m.now-c.began > holdTime {
		p.change = nil
		return
	}
	best, ok := succession.Elect(c.candidates, position.Position{})
	if !ok {
		p.change = nil
		return
	}
	if !m.rules.longest {
		best = c.candidates[len(c.candidates)-1]
	}
	if c.token < m.fence {
		m.fail("token %d was sent after %d", c.token, m.fence)
	}
	m.fence = max(m.fence, c.token)
	next := m.members[index(best.ID)]
	if next.dead || next.primary {
		p.change = nil
		return
	}
	term := uint64(0)
	for _, r := range m.members {
		term = max(term, r.term, r.suspended)
	}
	next.primary, next.term, next.suspended = true, term+1, 0
	if next.end().Log < m.acknowledged.Log {
		m.fail("member %s leads with %v, acknowledged was %v", best.ID, next.end(), m.acknowledged)
	}
	for _, r := range m.members {
		if r != next && !r.primary && !r.dead && !r.cut {
			r.suspended, r.term = 0, next.term
			r.log = append([]position.Position(nil), next.log...)
		}
	}
	c.next, c.step = index(best.ID), 3
}

func (m *model) stepSettle(c *changeModel) {
	if m.rules.settle && m.now-c.settled < lead.ProofLifetime {
		return
	}
	c.step = 4
}

func (m *model) stepOpen(p *proxyModel, c *changeModel) {
	p.change = nil
	if m.record.revision != c.token {
		return
	}
	m.revision++
	m.record = recordModel{
		revision: m.revision, endpoint: c.next, term: m.members[c.next].term, holder: m.record.holder, duty: m.revision,
	}
	m.learn(p)
}

func index(id string) int {
	n := 0
	_, _ = fmt.Sscan(id, &n)
	return n
}

// act does one random thing.
func (m *model) act(t *rapid.T) {
	name := rapid.IntRange(0, 1).Draw(t, "proxy")
	p := m.proxies[name]
	member := rapid.IntRange(0, 2).Draw(t, "member")
	switch rapid.SampledFrom([]string{
		"write", "write", "probe", "probe", "ledger", "read", "read", "send", "answer", "late", "learn", "learn", "judge", "step", "step", "step", "step",
		"change", "change", "change", "time", "time", "freeze", "cut", "heal", "rejoin", "crash",
	}).Draw(t, "act") {
	case "write":
		m.write(p)
	case "probe":
		m.probe(p, member)
	case "ledger":
		m.ledger(p)
	case "send":
		m.send(p)
	case "read":
		m.send(p)
		m.answer(p, false)
	case "answer":
		m.answer(p, false)
	case "late":
		m.answer(p, true)
	case "learn":
		m.learn(p)
	case "judge":
		m.judge(p)
	case "step":
		m.step(name, p)
	case "change":
		m.judge(p)
		for range rapid.IntRange(1, 5).Draw(t, "steps") {
			m.step(name, p)
		}
	case "time":
		m.now += 300 * time.Millisecond
	case "freeze":
		m.now += 6 * time.Second
	case "cut":
		m.members[member].cut = true
	case "heal":
		m.members[member].cut = false
	case "rejoin":
		if r := m.members[member]; r.primary && !r.dead && !r.cut {
			m.rejoin(r)
		}
	case "crash":
		if !m.members[0].dead && !m.members[1].dead && !m.members[2].dead {
			m.members[member].dead = true
		}
	}
}

// TestTheModelNoticesEachRule leaves out one rule at a time. With any of them
// gone, some run must break a promise.
// TestTheModelNoticesRareOrders plays orders of events that random runs
// rarely meet, with a rule and without it.
