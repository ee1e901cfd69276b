package failover_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// families are kinds of events beside the usual ones. A run has some of them,
// so that each meets the others often enough.
var families = map[string][]string{
	"deaf":    {"deaf", "hear"},
	"leave":   {"leave", "join"},
	"restart": {"crash", "restart", "rename", "bounce"},
	"wait":    {"wait", "receive", "receive"},
	"lose":    {"lose"},
	"forget":  {"forget"},
	"gossip":  {"gossip"},
	"hide":    {"hide", "show"},
	"apart":   {"apart", "reach"},
}

var familyNames = []string{"deaf", "leave", "restart", "wait", "lose", "forget", "gossip", "apart", "hide"}

var usualEvents = []string{
	"write", "write", "probe", "probe", "ledger", "read", "read", "send", "answer", "late", "learn", "learn", "judge",
	"step", "step", "step", "step", "change", "change", "change", "time", "time", "freeze", "cut", "heal", "rejoin",
	"crash", "depart",
}

// events draws the events of one run.
func events(t *rapid.T) []string {
	all := append([]string(nil), usualEvents...)
	for _, name := range familyNames {
		if rapid.Bool().Draw(t, name) {
			all = append(all, families[name]...)
		}
	}
	return all
}

// act does one random thing.
func (m *model) act(t *rapid.T, all []string) {
	name := rapid.IntRange(0, 1).Draw(t, "proxy")
	p := m.proxies[name]
	member := rapid.IntRange(0, len(m.members)-1).Draw(t, "member")
	event := rapid.SampledFrom(all).Draw(t, "act")
	switch event {
	case "write":
		m.write(p)
	case "wait":
		m.wait(p)
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
	case "apart", "reach":
		p.apart[member] = event == "apart" && !m.last(m.members[member], m.proxies[0].told, m.proxies[1].told)
	case "gossip":
		m.gossip()
	case "depart":
		m.depart(p)
	case "lose":
		if !m.last(nil) && !m.unlisted() {
			m.lose(m.proxies[:]...)
		}
	case "forget":
		if !m.last(nil, m.proxies[1-name].told) && !m.unlisted() {
			m.lose(p)
		}
	case "judge":
		m.judge(p)
	case "step":
		m.step(name, p)
	case "change":
		if m.judge(p) {
			p.change.late = rapid.Bool().Draw(t, "late")
		}
		for range rapid.IntRange(1, opening+1).Draw(t, "steps") {
			m.step(name, p)
		}
	case "time":
		m.now += 300 * time.Millisecond
	case "freeze":
		m.now += 6 * time.Second
	default:
		m.actOnMember(event, member)
	}
}

// actOnMember does something to a member.
func (m *model) actOnMember(event string, i int) {
	r := m.members[i]
	last := m.last(r, m.proxies[0].told, m.proxies[1].told)
	switch event {
	case "cut", "heal":
		r.cut = event == "cut"
	case "deaf", "hear":
		r.deaf = event == "deaf"
	case "hide", "show":
		// A proxy that has not begun to see the list would never know of it.
		r.hidden, r.ended = event == "hide" && m.seen(i), m.now
	case "receive":
		m.receive(r)
	case "rejoin":
		if r.primary && r.up() && !r.cut {
			m.rejoin(r)
		}
	case "crash":
		if !last {
			m.crash(r)
		}
	case "restart", "rename", "bounce":
		if m.uncovered(r) {
			return
		}
		switch event {
		case "restart":
			m.restart(r)
		case "rename":
			m.rename(i)
		default:
			m.crash(r)
			m.restart(r)
		}
	case "leave":
		if !last {
			m.leave(r)
		}
	case "join":
		if !m.uncovered(&memberModel{}) {
			m.join(i)
		}
	}
}

// last reports whether a member is the only one that runs, can be asked and holds
// what was acknowledged, or none does, while no proxy and no record knows of it: all
// proxies have started anew since. Then nothing is left that a change of primary
// could ask. TestWhatTheRulesDoNotCover plays this order.
func (m *model) last(r *memberModel, told ...position.Position) bool {
	for _, p := range append(told, m.record.kept, m.record.left) {
		if p.UpToDateWith(m.acknowledged) {
			return false
		}
	}
	for i, other := range m.members {
		hidden := (other.primary || i == m.record.endpoint) && (m.proxies[0].apart[i] || m.proxies[1].apart[i])
		if other != r && other.up() && !hidden && !other.lacks(m.acknowledged) {
			return false
		}
	}
	return true
}

// unlisted reports whether a member runs that the store does not hear of. A proxy
// that starts now cannot know of it; TestWhatTheRulesDoNotCover plays that.
func (m *model) unlisted() bool {
	return slices.ContainsFunc(m.members, func(r *memberModel) bool { return r.up() && r.hidden })
}

// seen reports whether both proxies know of a member.
func (m *model) seen(i int) bool {
	for _, p := range m.proxies {
		if _, ok := p.last[i]; !ok {
			return false
		}
	}
	return true
}

// uncovered reports whether a member that starts now could receive the commits
// of a primary that a change of primary could not stop, because it did not
// answer the proxy. A member that starts is not suspended, so each commit that
// it receives is acknowledged; no order that proxies give can prevent it.
// TestWhatTheRulesDoNotCover plays these orders; they take two failures within
// one change: a primary that answers some proxies only, or is down for the moment
// of the order, and a member that starts.
func (m *model) uncovered(r *memberModel) bool {
	for _, p := range m.proxies {
		if c := p.change; c != nil && c.step > listing && r.primary && c.starts != m.starts {
			return true
		}
	}
	if !r.primary && m.strays(r) {
		return true
	}
	for _, other := range m.members {
		if other != r && !r.primary && other.up() && other.primary && m.exposed(other) {
			return true
		}
	}
	return false
}

// strays reports whether a member that starts now cannot reach the primary that
// was promoted last while a proxy takes an older one for it. It would be in the
// older term and not suspended, and so give that proxy a proof.
func (m *model) strays(r *memberModel) bool {
	behind := false
	for _, p := range m.proxies {
		behind = behind || p.lead.Term < m.newest
	}
	for _, other := range m.members {
		if other.primary && other.up() && other.term == m.newest && !other.cut && !r.cut {
			return false
		}
	}
	return behind
}

// exposed reports whether a primary goes on though it is being replaced, or has
// been.
func (m *model) exposed(r *memberModel) bool {
	for _, p := range m.proxies {
		if c := p.change; c != nil && c.step > listing && c.step <= promoting {
			return true
		}
	}
	return r.term < m.newest
}
