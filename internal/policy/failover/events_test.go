package failover_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// eventKinds are optional kinds of events. Each run draws some of them, so
// that each kind meets the others often enough.
var eventKinds = map[string][]string{
	"detach":              {"detach", "attach"},
	"leave":               {"leave", "join"},
	"restart":             {"crash", "restart", "restart renamed", "crash and restart"},
	"pending write":       {"pending write", "receive", "receive"},
	"restart all proxies": {"restart all proxies"},
	"restart a proxy":     {"restart a proxy"},
	"exchange":            {"exchange"},
	"hide":                {"hide", "show"},
	"lose contact":        {"lose contact", "regain contact"},
}

var eventKindNames = []string{
	"detach", "leave", "restart", "pending write", "restart all proxies", "restart a proxy", "exchange", "lose contact",
	"hide",
}

var usualEvents = []string{
	"write", "write", "probe", "probe", "read the record", "read", "read", "send", "answer", "late answer",
	"read the store", "read the store", "begin", "step", "step", "step", "step", "change", "change", "change",
	"time", "time", "freeze", "partition", "connect", "demote", "crash", "departure",
}

// events draws the events that one run chooses from.
func events(t *rapid.T) []string {
	kinds := append([]string(nil), usualEvents...)
	for _, kind := range eventKindNames {
		if rapid.Bool().Draw(t, kind) {
			kinds = append(kinds, eventKinds[kind]...)
		}
	}
	return kinds
}

// act performs one random event.
func (m *model) act(t *rapid.T, kinds []string) {
	index := rapid.IntRange(0, 1).Draw(t, "proxy")
	p := m.proxies[index]
	member := rapid.IntRange(0, len(m.members)-1).Draw(t, "member")
	event := rapid.SampledFrom(kinds).Draw(t, "event")
	switch event {
	case "write":
		m.write(p)
	case "pending write":
		m.sendWrite(p)
	case "probe":
		m.probe(p, member)
	case "read the record":
		m.proveByRecord(p)
	case "send":
		m.sendRead(p)
	case "read":
		m.sendRead(p)
		m.receiveAnswer(p, false)
	case "answer":
		m.receiveAnswer(p, false)
	case "late answer":
		m.receiveAnswer(p, true)
	case "read the store":
		m.readStore(p)
	case "lose contact", "regain contact":
		p.unreachable[member] = event == "lose contact" && !m.isOnlyCopy(m.members[member], m.proxies[0].reported, m.proxies[1].reported)
	case "exchange":
		m.exchange()
	case "departure":
		m.handleDeparture(p)
	case "restart all proxies":
		if !m.isOnlyCopy(nil) && !m.unlisted() {
			m.restartProxies(m.proxies[:]...)
		}
	case "restart a proxy":
		if !m.isOnlyCopy(nil, m.proxies[1-index].reported) && !m.unlisted() {
			m.restartProxies(p)
		}
	case "begin":
		m.beginChange(p)
	case "step":
		m.step(index, p)
	case "change":
		if m.beginChange(p) {
			p.change.stopLate = rapid.Bool().Draw(t, "late")
		}
		for range rapid.IntRange(1, opening+1).Draw(t, "steps") {
			m.step(index, p)
		}
	case "time":
		m.now += 300 * time.Millisecond
	case "freeze":
		m.now += 6 * time.Second
	default:
		m.actOnMember(event, member)
	}
}

// actOnMember performs an event of a member.
func (m *model) actOnMember(event string, i int) {
	r := m.members[i]
	onlyCopy := m.isOnlyCopy(r, m.proxies[0].reported, m.proxies[1].reported)
	switch event {
	case "partition", "connect":
		r.partitioned = event == "partition"
	case "detach", "attach":
		r.detached = event == "detach"
	case "hide", "show":
		// A proxy that has not read the list while the member was in it would
		// never learn of the member.
		r.hidden, r.endedAt = event == "hide" && m.knownToAll(i), m.now
	case "receive":
		m.receive(r)
	case "demote":
		if r.primary && r.up() && !r.partitioned {
			m.demoteToNewer(r)
		}
	case "crash":
		if !onlyCopy {
			m.crash(r)
		}
	case "restart", "restart renamed", "crash and restart":
		if m.escapesStop(r) {
			return
		}
		switch event {
		case "restart":
			m.restart(r)
		case "restart renamed":
			m.restartRenamed(i)
		default:
			m.crash(r)
			m.restart(r)
		}
	case "leave":
		if !onlyCopy {
			m.leave(r)
		}
	case "join":
		if !m.escapesStop(&memberModel{}) {
			m.join(i)
		}
	}
}

// isOnlyCopy reports whether stopping or hiding member r, which may be nil,
// would leave no copy of the last acknowledged commit: no other running member
// that can be asked holds it, and neither a reported position nor the record
// covers it, because all proxies were restarted since. A change of primary
// then has nothing to ask. TestWhatTheRulesDoNotCover covers this order.
func (m *model) isOnlyCopy(r *memberModel, reported ...position.Position) bool {
	for _, p := range append(reported, m.record.acknowledged, m.record.primaryEnd) {
		if p.UpToDateWith(m.acknowledged) {
			return false
		}
	}
	for i, other := range m.members {
		hidden := (other.primary || i == m.record.endpoint) && (m.proxies[0].unreachable[i] || m.proxies[1].unreachable[i])
		if other != r && other.up() && !hidden && !other.lacks(m.acknowledged) {
			return false
		}
	}
	return true
}

// unlisted reports whether a running member is hidden from the store. A proxy
// that starts now cannot learn of it; TestWhatTheRulesDoNotCover covers this
// case.
func (m *model) unlisted() bool {
	return slices.ContainsFunc(m.members, func(r *memberModel) bool { return r.up() && r.hidden })
}

// knownToAll reports whether both proxies know a member.
func (m *model) knownToAll(i int) bool {
	for _, p := range m.proxies {
		if _, ok := p.lastListed[i]; !ok {
			return false
		}
	}
	return true
}

// escapesStop reports whether a member that starts now could receive commits
// of a primary that a change of primary could not stop, because the primary
// did not answer the proxy. A starting member is not suspended, so every
// commit that it receives is acknowledged, and no request of a proxy can
// prevent that.
//
// This takes two failures within one change: a primary that answers only some
// proxies, or is down at the moment of the request, and a member that starts.
// TestWhatTheRulesDoNotCover covers these orders.
func (m *model) escapesStop(r *memberModel) bool {
	for _, p := range m.proxies {
		if c := p.change; c != nil && c.step > listing && r.primary && c.starts != m.starts {
			return true
		}
	}
	if !r.primary && m.followsOldPrimary(r) {
		return true
	}
	for _, other := range m.members {
		if other != r && !r.primary && other.up() && other.primary && m.exposed(other) {
			return true
		}
	}
	return false
}

// followsOldPrimary reports whether a member that starts now cannot reach the
// primary promoted last while a proxy still uses an older one. The member
// would be in the older term and not suspended, and so would give that proxy a
// proof.
func (m *model) followsOldPrimary(r *memberModel) bool {
	behind := false
	for _, p := range m.proxies {
		behind = behind || p.leader.Term < m.newest
	}
	for _, other := range m.members {
		if other.primary && other.up() && other.term == m.newest && !other.partitioned && !r.partitioned {
			return false
		}
	}
	return behind
}

// exposed reports whether a primary continues to run although it is being
// replaced or was replaced.
func (m *model) exposed(r *memberModel) bool {
	for _, p := range m.proxies {
		if c := p.change; c != nil && c.step > listing && c.step <= promoting {
			return true
		}
	}
	return r.term < m.newest
}
