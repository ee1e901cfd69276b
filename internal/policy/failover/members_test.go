package failover_test

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

const (
	// lapseTime is after which silence the store drops a member's entry.
	lapseTime = 2 * time.Second
	// drainTime is how long a member still serves once it is to leave. It is
	// listed for as long.
	drainTime = 7 * time.Second
	// maxMembers bounds the members of one run, those included that have left.
	maxMembers = 8
)

// memberModel is a member of the group.
type memberModel struct {
	primary   bool
	term      uint64
	suspended uint64
	log       []position.Position
	// cut keeps it from the other members, and dead from everybody. A deaf
	// one answers and receives nothing.
	cut, dead, deaf bool
	// hidden keeps it from the store, whose list lacks it after a while.
	hidden bool
	// gone is true once it has left for good, with its log.
	gone bool
	// began is when it joined.
	began time.Duration
	// ended is when it crashed or left.
	ended time.Duration
	// heir is the member that has its address now; zero for none.
	heir int
	// waiting are commits that no replica has received yet.
	waiting []commitModel
}

// commitModel is a commit that a proxy has sent and that waits at a primary.
type commitModel struct {
	position position.Position
	asked    time.Duration
	proxy    *proxyModel
	life     int
}

func (r *memberModel) end() position.Position {
	if len(r.log) == 0 {
		return position.Position{}
	}
	return r.log[len(r.log)-1]
}

// lacks reports whether the log has no such entry.
func (r *memberModel) lacks(p position.Position) bool {
	n := int(p.Log)
	return n > 0 && (len(r.log) < n || r.log[n-1] != p)
}

// up reports whether it runs.
func (r *memberModel) up() bool { return !r.dead && !r.gone }

// listed returns the members in the store's list.
func (m *model) listed() []int {
	all := make([]int, 0, len(m.members))
	for i, r := range m.members {
		if !r.gone && ((!r.dead && !r.hidden) || m.now-r.ended <= lapseTime) {
			all = append(all, i)
		}
	}
	return all
}

// running counts the members that run.
func (m *model) running() int {
	n := 0
	for _, r := range m.members {
		if r.up() {
			n++
		}
	}
	return n
}

// receives reports whether a member takes the log of a primary.
func (m *model) receives(r, primary *memberModel) bool {
	return r != primary && !r.primary && r.up() && primary.up() && !r.cut && !primary.cut && !r.deaf &&
		r.suspended <= primary.term && r.term <= primary.term
}

// deliver sends a primary's log to a member, which acknowledges what waits.
func (m *model) deliver(primary, r *memberModel) {
	if !m.receives(r, primary) {
		return
	}
	r.log, r.term = append([]position.Position(nil), primary.log...), primary.term
	waiting := primary.waiting
	primary.waiting = nil
	for _, w := range waiting {
		m.acknowledge(w, primary)
	}
}

// receive has a member take the log of the newest primary that it can follow.
func (m *model) receive(r *memberModel) {
	var from *memberModel
	for _, p := range m.members {
		if p.primary && m.receives(r, p) && (from == nil || p.term > from.term) {
			from = p
		}
	}
	if from != nil {
		m.deliver(from, r)
	}
}

// rejoin makes a primary of an earlier term a replica, as it becomes when it is
// told to or when it reaches the later one.
func (m *model) rejoin(r *memberModel) {
	for _, later := range m.members {
		if later == r || !later.primary || !later.up() || later.term <= r.term {
			continue
		}
		r.primary, r.term, r.suspended, r.waiting = false, later.term, 0, nil
		common := 0
		for common < len(r.log) && common < len(later.log) && r.log[common] == later.log[common] {
			common++
		}
		r.log = r.log[:common]
		return
	}
}

// crash stops a member. One is down at a time.
func (m *model) crash(r *memberModel) {
	for _, other := range m.members {
		if other.dead && !other.gone {
			return
		}
	}
	if r.gone {
		return
	}
	r.dead, r.ended, r.waiting = true, m.now, nil
}

// restart starts a crashed member with its log. Its suspension is over. A
// primary leads again if nobody was promoted since. A replica follows the newest
// primary that it reaches, which may be one that is about to be replaced.
func (m *model) restart(r *memberModel) {
	if !r.dead || r.gone {
		return
	}
	r.dead, r.suspended = false, 0
	if r.primary && m.newest > r.term {
		r.primary = false
	}
	m.follow(r)
}

// follow has a member that has just started take the newest primary that it
// reaches for its own.
func (m *model) follow(r *memberModel) {
	m.starts++
	for _, p := range m.members {
		if p != r && !r.primary && p.primary && p.up() && !p.cut && !r.cut {
			r.term = max(r.term, p.term)
		}
	}
}

// rename starts a crashed member with its log under another identity.
func (m *model) rename(i int) {
	r := m.members[i]
	if !r.dead || r.gone || len(m.members) == maxMembers {
		return
	}
	again := *r
	m.members = append(m.members, &again)
	r.primary, r.gone, r.heir = false, true, len(m.members)-1
	m.restart(&again)
}

// leave ends a member for good; its log goes with it.
func (m *model) leave(r *memberModel) {
	if r.up() && m.running() > 1 && m.now-r.began >= drainTime {
		r.gone, r.ended, r.waiting = true, m.now, nil
	}
}

// join adds a member without a log, perhaps at the address of one that left.
func (m *model) join(address int) {
	if len(m.members) == maxMembers {
		return
	}
	m.members = append(m.members, &memberModel{began: m.now})
	m.follow(m.members[len(m.members)-1])
	if r := m.members[address]; r.gone && r.heir == 0 {
		r.heir = len(m.members) - 1
	}
}
