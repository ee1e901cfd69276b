package failover_test

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

const (
	// entryLifetime is the silence after which the store drops a member's entry.
	entryLifetime = 2 * time.Second
	// drainTime is how long a leaving member still serves, and is listed.
	drainTime = 7 * time.Second
	// maxMembers is the maximum number of members in one run, including those
	// that have left.
	maxMembers = 8
)

// memberModel is a member of the group.
type memberModel struct {
	// primary is true for a member that leads or, while crashed, will lead
	// again if no other member is promoted.
	primary bool
	term    uint64
	// suspended is the term for which the member was suspended: it receives
	// nothing from primaries of earlier terms. Zero if it is not suspended.
	suspended uint64
	// log holds the entry at position n at index n-1.
	log []position.Position
	// A partitioned member cannot reach other members, a crashed one nobody. A
	// detached member answers requests but receives no log.
	partitioned, crashed, detached bool
	// A member that is cut off from the store is dropped from its list after
	// entryLifetime.
	cutOffFromStore bool
	// left is true once the member has left for good, together with its log.
	left     bool
	joinedAt time.Duration
	// listedFrom is when the store lists it for the first time.
	listedFrom time.Duration
	// heartbeatsEndedAt is when it crashed, left or lost contact with the
	// store. Its entry in the store expires entryLifetime later.
	heartbeatsEndedAt time.Duration
	// addressTakenBy is the index of the member that now has its address; zero
	// for none.
	addressTakenBy int
	// start counts the starts of its process, and listedStart is the start in its
	// entry in the store.
	start, listedStart int
	// pending are the commits that no replica has received yet.
	pending []commitModel
}

// commitModel is a commit that a proxy sent and a primary has not
// acknowledged.
type commitModel struct {
	position    position.Position
	sentAt      time.Duration
	proxy       *proxyModel
	incarnation int
}

// end returns the last position of the log, or zero for an empty log.
func (r *memberModel) end() position.Position {
	if len(r.log) == 0 {
		return position.Position{}
	}
	return r.log[len(r.log)-1]
}

// lacks reports whether the log lacks the entry p.
func (r *memberModel) lacks(p position.Position) bool {
	n := int(p.Log)
	return n > 0 && (len(r.log) < n || r.log[n-1] != p)
}

// up reports whether the member runs.
func (r *memberModel) up() bool { return !r.crashed && !r.left }

// listed returns the members in the store's list.
func (m *model) listed() []int {
	indices := make([]int, 0, len(m.members))
	for i, r := range m.members {
		if !r.left && m.now >= r.listedFrom && ((!r.crashed && !r.cutOffFromStore) || m.now-r.heartbeatsEndedAt <= entryLifetime) {
			indices = append(indices, i)
		}
	}
	return indices
}

// running returns the number of running members.
func (m *model) running() int {
	count := 0
	for _, r := range m.members {
		if r.up() {
			count++
		}
	}
	return count
}

// receives reports whether a member receives the log of a primary.
func (m *model) receives(r, primary *memberModel) bool {
	return r != primary && !r.primary && r.up() && primary.up() && !r.partitioned && !primary.partitioned && !r.detached &&
		r.suspended <= primary.term && r.term <= primary.term
}

// deliver sends a primary's log to a replica; the primary then acknowledges
// its pending commits.
func (m *model) deliver(primary, replica *memberModel) {
	if !m.receives(replica, primary) {
		return
	}
	replica.log, replica.term = append([]position.Position(nil), primary.log...), primary.term
	commits := primary.pending
	primary.pending = nil
	for _, commit := range commits {
		m.acknowledge(commit, primary)
	}
}

// receive gives a replica the log of the newest primary that it can follow.
func (m *model) receive(replica *memberModel) {
	var primary *memberModel
	for _, candidate := range m.members {
		if candidate.primary && m.receives(replica, candidate) && (primary == nil || candidate.term > primary.term) {
			primary = candidate
		}
	}
	if primary != nil {
		m.deliver(primary, replica)
	}
}

// demoteToNewer makes a member a replica of a primary of a later term, as
// happens when it is demoted or reaches that primary. Its log is cut back to
// what both logs have in common.
func (m *model) demoteToNewer(r *memberModel) {
	for _, newer := range m.members {
		if newer == r || !newer.primary || !newer.up() || newer.term <= r.term {
			continue
		}
		r.primary, r.term, r.suspended, r.pending = false, newer.term, 0, nil
		common := 0
		for common < len(r.log) && common < len(newer.log) && r.log[common] == newer.log[common] {
			common++
		}
		r.log = r.log[:common]
		return
	}
}

// crash stops a member. At most one member that has not left is down at a
// time; otherwise the call does nothing.
func (m *model) crash(r *memberModel) {
	for _, other := range m.members {
		if other.crashed && !other.left {
			return
		}
	}
	if r.left {
		return
	}
	r.crashed, r.heartbeatsEndedAt, r.pending = true, m.now, nil
}

// restart starts a crashed member with its log; its suspension is lost. A
// primary leads again if no other member was promoted since. A replica follows
// the newest primary that it reaches, which may be one that is being replaced.
func (m *model) restart(r *memberModel) {
	if !r.crashed || r.left {
		return
	}
	r.crashed, r.suspended = false, 0
	if r.primary && m.promotedTerm > r.term {
		r.primary = false
	}
	m.follow(r)
	r.countStart()
}

// startEmpty starts a member again under its identity, as one that holds and
// knows nothing of before.
func (m *model) startEmpty(r *memberModel) {
	if r.left {
		return
	}
	r.crashed, r.primary, r.term, r.suspended, r.log, r.pending = false, false, 0, 0, nil, nil
	m.follow(r)
	r.countStart()
}

// countStart counts the start of a member, which writes its entry unless it is
// cut off from the store.
func (r *memberModel) countStart() {
	r.start++
	r.writeEntry()
}

// writeEntry writes the member's start to its entry in the store, if it reaches
// the store.
func (r *memberModel) writeEntry() {
	if !r.cutOffFromStore {
		r.listedStart = r.start
	}
}

// follow lets a member that has just started follow the newest primary that it
// reaches.
func (m *model) follow(r *memberModel) {
	for _, p := range m.members {
		if p != r && !r.primary && p.primary && p.up() && !p.partitioned && !r.partitioned {
			r.term = max(r.term, p.term)
		}
	}
}

// restartRenamed starts a crashed member with its log under a new identity.
func (m *model) restartRenamed(i int) {
	r := m.members[i]
	if !r.crashed || r.left || len(m.members) == maxMembers {
		return
	}
	renamed := *r
	m.members = append(m.members, &renamed)
	r.primary, r.left, r.addressTakenBy = false, true, len(m.members)-1
	m.restart(&renamed)
}

// leave removes a member and its log for good.
func (m *model) leave(r *memberModel) {
	if r.up() && m.running() > 1 && m.now-r.joinedAt >= drainTime {
		r.left, r.heartbeatsEndedAt, r.pending = true, m.now, nil
	}
}

// join adds a member with an empty log, at the address of a member that has
// left if there is one to take over.
func (m *model) join(address int) {
	if len(m.members) == maxMembers {
		return
	}
	m.members = append(m.members, &memberModel{joinedAt: m.now})
	m.follow(m.members[len(m.members)-1])
	if r := m.members[address]; r.left && r.addressTakenBy == 0 {
		r.addressTakenBy = len(m.members) - 1
	}
}
