// Package member simulates the members of a database group on the users'
// platform for tests. Each member is a listener that speaks the platform's line
// protocol and has a replicated log, a replication lag, a limited number of
// slots and connections, and faults that can be injected.
package member

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// entry is one commit in the log of a member.
type entry struct {
	position position.Position
	writes   map[string]string
	// receivedAt is when this member received the entry.
	receivedAt time.Time
}

// Run is a statement that a member ran, byte for byte. It is immutable.
type Run struct {
	// Member is the ID of the member.
	Member string
	// Caller is the name that the connection's CONNECT gave.
	Caller string
	// ID and Text are those of the statement, without AFTER.
	ID, Text string
	// Values are the session values in force.
	Values map[string]string
	// Prepared is the mode and the shape of the statement that an EXECUTE ran, and Arguments
	// its item and data; both are empty for other statements.
	Prepared, Arguments string
}

// Group is a database group. Its mutex guards the state of all its members.
type Group struct {
	// Name is the database name that clients give when they connect.
	Name string
	// Synchronous is how many replicas must hold a commit before the primary
	// acknowledges it.
	Synchronous int
	// PromoteTime is the time from the request for a promotion to the new term.
	PromoteTime time.Duration
	// OnAllSuspended is called after a SUSPEND if replication to every running replica
	// is then suspended. OnPromotion is called when a promotion is accepted, before the replica
	// becomes the primary. Both may be nil. They must be set before the group is used.
	OnAllSuspended func()
	OnPromotion    func(next *Member)
	// DelayPromotion is called when a promotion is ordered, and returns the time after
	// which the group executes it or refuses it; nil for no delay. It must be set before
	// the group is used.
	DelayPromotion func(o Order) time.Duration
	// LateLead is called when a promotion is accepted, and returns by how much longer than
	// PromoteTime it takes. Unless that is zero, the order is answered only once the member
	// leads. It may be nil, and must be set before the group is used.
	LateLead func() time.Duration
	// OnOrder is called with each order when the group executes or refuses it; it may be nil.
	// It must be set before the group is used, and must not call the group, whose mutex is
	// held.
	OnOrder func(o Order)
	// OnRun is called with each BEGIN, READ, WRITE, EXECUTE and COMMIT that a member runs; it
	// may be nil. It must be set before the group is used, and be safe for concurrent use.
	OnRun func(r Run)
	// OnMessage is called with each message that a member reads, byte for byte without its
	// end; it may be nil. It must be set before the group is used, and be safe for concurrent
	// use.
	OnMessage func(member, message string)
	// KnownCaller reports whether statements may run for a caller's name; nil for any name. It
	// must be set before the group is used, and be safe for concurrent use.
	KnownCaller func(name string) bool
	// ConnectTime is how long a new connection holds a slot of its member before the member
	// answers its CONNECT. It must be set before the group is used.
	ConnectTime time.Duration
	// Queue is how many statements and new connections wait for a slot of a member at one time;
	// zero for any number. A member refuses others with BUSY. It must be set before the group is
	// used.
	Queue int
	// OnLost is called with a description and the values by item of each commit, whenever
	// acknowledged commits are lost; it may be nil. It must be set before the group is
	// used, and must not call the group, whose mutex is held.
	OnLost func(description string, commits []map[string]string)

	// mutex guards the fields below, and the state of all members.
	mutex sync.Mutex
	// changed is signalled when the state of a member changes.
	changed *sync.Cond
	members []*Member
	// acknowledged holds the positions of the commits that were acknowledged and have
	// not been lost since. lostCommits counts acknowledged commits that the primary of a
	// newer term lacked.
	acknowledged map[position.Position]bool
	lostCommits  int
	// closeDelay is how long a connection that closes still counts.
	closeDelay time.Duration
	// unknownCallers describes the statements that ran for a caller that is not known.
	unknownCallers []string
	// tokens holds the highest fencing token so far, of all groups of the platform.
	tokens *tokens
	// loweredTokens describes the orders with a lower fencing token than an earlier one.
	loweredTokens []string
}

// NewGroup returns a group without members.
func NewGroup(name string, synchronous int, promoteTime time.Duration) *Group {
	g := &Group{Name: name, Synchronous: synchronous, PromoteTime: promoteTime, acknowledged: map[position.Position]bool{}, tokens: &tokens{}}
	g.changed = sync.NewCond(&g.mutex)
	return g
}

// Members returns a copy of the list of members.
func (g *Group) Members() []*Member {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return append([]*Member(nil), g.members...)
}

// Primary returns the primary of the newest term, running or not; nil if no
// member is a primary.
func (g *Group) Primary() *Member {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.newestPrimary()
}

// newestPrimary returns the primary of the newest term, running or not; nil if
// no member is a primary. The caller holds the mutex.
func (g *Group) newestPrimary() *Member {
	var newest *Member
	for _, m := range g.members {
		if m.primary && (newest == nil || m.term > newest.term) {
			newest = m
		}
	}
	return newest
}

// Violations returns how often a change of primary broke a guarantee: the number
// of acknowledged commits that were lost, and the number of orders with a lower
// fencing token than an earlier one.
func (g *Group) Violations() (lostCommits, loweredTokens int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.lostCommits, len(g.loweredTokens)
}

// UnknownCallers describes the statements that ran for a caller that KnownCaller denied.
func (g *Group) UnknownCallers() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return slices.Clone(g.unknownCallers)
}

// DelayCloses makes each connection that closes from now on count for a time longer, as
// those of a peer do that has lost its power or its network and can't end them.
func (g *Group) DelayCloses(d time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.closeDelay = d
}

// recordLostCommits counts the acknowledged commits that a new primary lacks as lost. The
// caller holds the mutex.
func (g *Group) recordLostCommits(next *Member) {
	var lost []position.Position
	for p := range g.acknowledged {
		if !next.hasCommit(p) {
			lost = append(lost, p)
			delete(g.acknowledged, p)
		}
	}
	if len(lost) == 0 {
		return
	}
	g.lostCommits += len(lost)
	oldest, newest := slices.MinFunc(lost, comparePositions), slices.MaxFunc(lost, comparePositions)
	g.reportLost(lost, "%s leads term %d with a log that ended at %v and lacks %d acknowledged commits, %v to %v; members: %s",
		next.ID, next.term, next.logEnd(), len(lost), oldest, newest, g.holders(newest))
}

// recordLateCommit counts a commit as lost that a primary acknowledged although a primary of
// a newer term lacks it. The caller holds the mutex.
func (g *Group) recordLateCommit(old, newest *Member, p position.Position) {
	delete(g.acknowledged, p)
	g.lostCommits++
	g.reportLost([]position.Position{p}, "%s acknowledged %v although %s leads term %d without it; members: %s", old.ID, p, newest.ID, newest.term, g.holders(p))
}

// reportLost calls OnLost for the commits at the positions. The caller holds the mutex.
func (g *Group) reportLost(lost []position.Position, format string, arguments ...any) {
	if g.OnLost == nil {
		return
	}
	var commits []map[string]string
	for _, p := range lost {
		if i := slices.IndexFunc(g.members, func(m *Member) bool { return m.hasCommit(p) }); i >= 0 {
			commits = append(commits, g.members[i].writesAt(p))
		}
	}
	g.OnLost(g.Name+": "+fmt.Sprintf(format, arguments...), commits)
}

// holders describes the members and whether each holds a commit. The caller holds the
// mutex.
func (g *Group) holders(p position.Position) string {
	text := ""
	for _, m := range g.members {
		text += fmt.Sprintf(" [%s holds=%v primary=%v term=%d end=%v suspended=%d fault=%+v]",
			m.ID, m.hasCommit(p), m.primary, m.term, m.logEnd(), m.suspended, m.fault)
	}
	return text
}

// comparePositions orders positions by term, and by log within a term.
func comparePositions(a, b position.Position) int {
	return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Log, b.Log))
}

// Whole reports whether all members run, receive and hold the same log.
func (g *Group) Whole() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	primary := g.newestPrimary()
	return primary != nil && !slices.ContainsFunc(g.members, func(m *Member) bool {
		return m.fault != (Fault{}) || m.leaving || m.suspended > 0 || m.term != primary.term || m.logEnd() != primary.logEnd()
	})
}

// allSuspended reports whether replication to every running replica is suspended.
func (g *Group) allSuspended() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, m := range g.members {
		if !m.primary && !m.fault.Down && m.suspended <= m.term {
			return false
		}
	}
	return true
}

// follow makes a member a replica of the primary: the member drops the entries that the
// primary lacks, receives those that it lacks itself, and is no longer suspended. A
// member that is an isolated primary ignores the call. The caller holds the mutex.
func (m *Member) follow(primary *Member) {
	if m.primary && m.fault.Isolated {
		return
	}
	m.primary, m.term, m.suspended = false, primary.term, 0
	commonEntries := 0
	for commonEntries < len(m.log) && commonEntries < len(primary.log) && m.log[commonEntries].position == primary.log[commonEntries].position {
		commonEntries++
	}
	m.log = append([]entry(nil), m.log[:commonEntries]...)
	m.visibleEntries = min(m.visibleEntries, commonEntries)
	for _, e := range primary.log[commonEntries:] {
		e.receivedAt = time.Now()
		m.log = append(m.log, e)
	}
}

// commit appends writes to the log of a primary and waits until enough replicas
// hold them. It fails with errReadOnly if the member is a replica. It also fails if the
// member goes down or stops being the primary of the term while it waits, or the tasks end;
// the entry may then still survive.
func (m *Member) commit(writes map[string]string) (position.Position, error) {
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !m.primary {
		return position.Position{}, errReadOnly
	}
	p := position.Position{Term: m.term, Log: m.logEnd().Log + 1}
	e := entry{position: p, writes: writes, receivedAt: time.Now()}
	m.log = append(m.log, e)
	for {
		if !m.primary || m.term != p.Term || m.fault.Down {
			return position.Position{}, errors.Errorf("commit at %v: the member is no longer the primary of the term", p)
		}
		if err := m.tasks.Context().Err(); err != nil {
			return position.Position{}, errors.Wrapf(err, "commit at %v", p)
		}
		if g.replicateAndCount(m, e) >= g.Synchronous {
			g.acknowledged[p] = true
			if newest := g.newestPrimary(); !newest.hasCommit(p) {
				g.recordLateCommit(m, newest, p)
			}
			return p, nil
		}
		g.changed.Wait()
	}
}

// replicateAndCount sends the log of the primary to the replicas that receive from it,
// and returns how many of them hold entry e. The caller holds the mutex.
func (g *Group) replicateAndCount(primary *Member, e entry) int {
	count := 0
	for _, r := range g.members {
		if !r.receivesFrom(primary) {
			continue
		}
		r.follow(primary)
		if r.hasCommit(e.position) {
			count++
		}
	}
	return count
}

// receivesFrom reports whether a member receives the log of a primary. The
// caller holds the mutex.
func (m *Member) receivesFrom(primary *Member) bool {
	if m == primary || m.primary || m.fault.Down || m.fault.NotReplicating || primary.fault.Down || primary.fault.Isolated {
		return false
	}
	return m.suspended <= primary.term && m.term <= primary.term
}

// replicate sends the log of the newest primary to every replica that receives from
// it. The caller holds the mutex.
func (g *Group) replicate() {
	if primary := g.newestPrimary(); primary != nil {
		for _, m := range g.members {
			if m.receivesFrom(primary) {
				m.follow(primary)
			}
		}
	}
}

// announceAll announces the role and state of every running member.
// The caller holds the mutex.
func (g *Group) announceAll() {
	for _, m := range g.members {
		if m.Announce != nil && !m.fault.Down {
			m.Announce(m.primary, m.leaving)
		}
	}
}

// String returns the state of all members, for the messages of failed tests.
func (g *Group) String() string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	text := g.Name
	for _, m := range g.members {
		text += fmt.Sprintf(" [%s primary=%v term=%d end=%v suspended=%d fault=%+v]",
			m.ID, m.primary, m.term, m.logEnd(), m.suspended, m.fault)
	}
	return text
}
