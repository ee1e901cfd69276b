package succession_test

import (
	"time"

	"pgregory.net/rapid"
)

// families are kinds of events beside the usual ones. A run has some of them,
// so that each meets the others often enough.
var families = map[string][]string{
	"deaf":    {"deaf", "hear"},
	"leave":   {"leave", "join"},
	"restart": {"crash", "restart", "rename", "bounce"},
	"wait":    {"wait", "receive", "receive"},
	"lose":    {"lose"},
	"gossip":  {"gossip"},
}

var familyNames = []string{"deaf", "leave", "restart", "wait", "lose", "gossip"}

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
	case "gossip":
		m.gossip()
	case "depart":
		m.depart(p)
	case "lose":
		m.lose()
	case "judge":
		m.judge(p)
	case "step":
		m.step(name, p)
	case "change":
		m.judge(p)
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
	switch event {
	case "cut", "heal":
		r.cut = event == "cut"
	case "deaf", "hear":
		r.deaf = event == "deaf"
	case "receive":
		m.receive(r)
	case "rejoin":
		if r.primary && r.up() && !r.cut {
			m.rejoin(r)
		}
	case "crash":
		m.crash(r)
	case "restart":
		m.restart(r)
	case "bounce":
		m.crash(r)
		m.restart(r)
	case "rename":
		m.rename(i)
	case "leave":
		m.leave(r)
	case "join":
		m.join(i)
	}
}
