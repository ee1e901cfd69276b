package member

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/address"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// errReadOnly is returned for a commit at a replica.
var errReadOnly = errors.New("the member is a replica")

// Fault is the set of faults injected into a member. The value is immutable.
type Fault struct {
	// Down resets the open connections and refuses new ones.
	Down bool
	// ResetNew resets new connections and keeps the open ones, as a member does that
	// closes a connection beyond its limit before it has read the greeting.
	ResetNew bool
	// Unresponsive makes the member accept connections and answer nothing.
	Unresponsive bool
	// NotReplicating keeps a replica from receiving the log.
	NotReplicating bool
	// Isolated keeps a primary from sending its log to replicas, and from following
	// a newer primary.
	Isolated bool
	// Lag is the time from receiving an entry until reads see it.
	Lag time.Duration
	// LoseAnswers makes the member run reads, writes and commits without an answer.
	LoseAnswers bool
}

// Member is one database server of a group.
type Member struct {
	// ID is unique on the platform. Address is the host and port that the member
	// listens on.
	ID      string
	Address string
	// Slots is how many statements run at one time.
	Slots int
	// Connections is the limit of open connections.
	Connections int
	// StatementTime is how long a statement holds a slot.
	StatementTime time.Duration
	// Announce is called with the member's role and whether it is leaving, after a change
	// in the group; it may be nil. It must not call the group, whose mutex is held.
	Announce func(primary, leaving bool)

	group *Group
	tasks *task.Group
	slots chan struct{}
	// waiting counts what holds a slot or waits for one.
	waiting atomic.Int64
	// startedAt is when the process last started, in Unix milliseconds.
	startedAt atomic.Int64

	// The mutex of the group guards the fields below.
	primary bool
	leaving bool
	term    uint64
	// suspended is the term below which the member receives from no primary; zero if
	// replication is not suspended.
	suspended uint64
	log       []entry
	// visibleEntries is how many entries of the log reads can see. It falls only
	// when a change of primary drops entries.
	visibleEntries int
	fault          Fault
	// terminated is true once Terminate was called. The log is then gone.
	terminated bool
	// listener is closed while the member is down or terminated.
	listener        net.Listener
	openConnections map[net.Conn]bool
	// closedConnections holds the connections that are closed and still count.
	closedConnections map[net.Conn]bool
	// rejectedConnections counts connections that exceeded the limit, and
	// statementsRun the reads, writes and commits. Restart resets both.
	rejectedConnections int
	statementsRun       int
}

// Option configures a member that Group.Add creates.
type Option func(*Member)

// WithAddress makes the member listen on an address, such as that of a terminated
// member, instead of a free port.
func WithAddress(a string) Option { return func(m *Member) { m.Address = a } }

// Add starts a member of the group on a free port of loopback, which stays its own until
// the tasks end, also while the member is down. The first member becomes the primary of
// term 1; later ones receive the log of the primary. It fails if the member cannot listen
// on its address.
func (g *Group) Add(tasks *task.Group, id string, slots, connections int, statementTime time.Duration, options ...Option) (*Member, error) {
	m := &Member{
		ID: id, Address: address.Free, Slots: slots, Connections: connections, StatementTime: statementTime,
		group: g, tasks: tasks, slots: make(chan struct{}, slots), openConnections: map[net.Conn]bool{}, closedConnections: map[net.Conn]bool{},
	}
	for _, o := range options {
		o(m)
	}
	reserved, err := address.Reserve(tasks.Context(), m.Address)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", reserved)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	context.AfterFunc(tasks.Context(), func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.changed.Broadcast()
	})
	m.Address, m.listener = reserved, listener
	m.noteStart()
	g.mutex.Lock()
	m.primary = len(g.members) == 0
	m.term = 1
	m.log = []entry{{position: position.Position{Term: 1, Log: 1}}}
	g.members = append(g.members, m)
	g.replicate()
	g.changed.Broadcast()
	g.mutex.Unlock()
	tasks.Go("member "+id, m.acceptLoop(listener))
	return m, nil
}

// Register sets Announce, and calls it at once.
func (m *Member) Register(announce func(primary, leaving bool)) {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	m.Announce = announce
	announce(m.primary, m.leaving)
}

// SetFault replaces the injected faults. It does nothing to a terminated member. A member that is no longer Down has kept its
// log and is not suspended; it is a replica if another one was promoted meanwhile.
func (m *Member) SetFault(f Fault) {
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if m.terminated {
		return
	}
	newest := g.newestPrimary()
	if m.fault.Down && !f.Down {
		m.suspended = 0
		m.primary = m.primary && newest == m
		m.comeBack()
	}
	m.fault = f
	if f.Down {
		_ = m.listener.Close()
		m.disconnect()
	}
	if !f.Isolated && m.primary && newest != m && !newest.fault.Down {
		m.follow(newest)
	}
	g.replicate()
	g.announceAll()
	g.changed.Broadcast()
}

// StartEmpty starts the member's process again under its ID, as one that holds and knows
// nothing of before. It ends all faults.
func (m *Member) StartEmpty() {
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m.primary, m.term, m.suspended, m.log, m.visibleEntries = false, 0, 0, nil, 0
	m.rejectedConnections, m.statementsRun = 0, 0
	if m.fault.Down {
		m.comeBack()
	} else {
		m.noteStart()
		m.disconnect()
	}
	m.fault = Fault{}
	g.replicate()
	g.announceAll()
	g.changed.Broadcast()
}

// comeBack starts the process of a member that is down. The caller holds the mutex.
func (m *Member) comeBack() {
	m.noteStart()
	if !m.listen() {
		m.tasks.GoIsolated("member listener", m.listenAgain)
	}
}

// noteStart records that the process starts now.
func (m *Member) noteStart() { m.startedAt.Store(time.Now().UnixMilli()) }

// StartedAt returns when the process last started, in Unix milliseconds. It takes no lock.
func (m *Member) StartedAt() int64 { return m.startedAt.Load() }

// listen listens on the member's address again and accepts connections. It returns false
// if the address is in use. The caller holds the mutex.
func (m *Member) listen() bool {
	listener, err := net.Listen("tcp4", m.Address)
	if err != nil {
		return false
	}
	m.listener = listener
	m.tasks.Go("member "+m.ID, m.acceptLoop(listener))
	return true
}

// listenAgain calls listen until the address is free or the member is down again.
func (m *Member) listenAgain(ctx context.Context) {
	pause := time.NewTicker(relistenPause)
	defer pause.Stop()
	for ctx.Err() == nil {
		<-pause.C
		m.group.mutex.Lock()
		done := m.fault.Down || m.listen()
		m.group.mutex.Unlock()
		if done {
			return
		}
	}
}

// relistenPause is the pause between attempts to listen on an address that another
// process uses for the moment.
const relistenPause = 20 * time.Millisecond

// Restart simulates a restart of the member's process: connections are reset and
// the log survives. A replica is no longer suspended, and receives from the
// newest primary.
func (m *Member) Restart() {
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m.suspended, m.rejectedConnections, m.statementsRun = 0, 0, 0
	m.noteStart()
	m.disconnect()
	g.replicate()
	g.announceAll()
	g.changed.Broadcast()
}

// Terminate ends the member for good, removes it from the group and drops its log.
// Another member may then listen on its address.
func (m *Member) Terminate() {
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.members = slices.DeleteFunc(slices.Clone(g.members), func(other *Member) bool { return other == m })
	m.terminated, m.primary, m.log, m.visibleEntries = true, false, nil, 0
	m.fault.Down = true
	_ = m.listener.Close()
	m.disconnect()
	g.changed.Broadcast()
}

// countConnections returns how many connections count against the limit. The caller holds
// the mutex.
func (m *Member) countConnections() int { return len(m.openConnections) + len(m.closedConnections) }

// closeConnection ends the count of a connection after the group's closeDelay, or at once if
// the member's process has ended meanwhile.
func (m *Member) closeConnection(c net.Conn) {
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	open := m.openConnections[c]
	delete(m.openConnections, c)
	if !open || g.closeDelay == 0 {
		return
	}
	m.closedConnections[c] = true
	time.AfterFunc(g.closeDelay, func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		delete(m.closedConnections, c)
	})
}

// disconnect resets all open connections, as the end of a process does. The
// caller holds the mutex.
func (m *Member) disconnect() {
	for c := range m.openConnections {
		resetConnection(c)
	}
	clear(m.openConnections)
	clear(m.closedConnections)
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Rename gives the member another ID and returns the former one.
func (m *Member) Rename(id string) string {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	formerID := m.ID
	m.ID = id
	return formerID
}

// Group returns the name of the member's group.
func (m *Member) Group() string { return m.group.Name }

// Leave marks the member as leaving and announces it.
func (m *Member) Leave() {
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m.leaving = true
	g.announceAll()
}

// State returns whether the member is a primary, and its term.
func (m *Member) State() (primary bool, term uint64) {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	return m.primary, m.term
}

// Counts returns how many statements ran and how many connections exceeded the
// limit, since the last restart.
func (m *Member) Counts() (statementsRun, rejectedConnections int) {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	return m.statementsRun, m.rejectedConnections
}

// Received returns the position of the last entry in the member's log.
func (m *Member) Received() position.Position {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	return m.logEnd()
}

// hasCommit reports whether the log has an entry at exactly this position. The
// caller holds the mutex.
func (m *Member) hasCommit(p position.Position) bool {
	i, found := m.find(p)
	return found && m.log[i].position == p
}

// writesAt returns the values by item of the commit at a position that the log has. The
// caller holds the mutex.
func (m *Member) writesAt(p position.Position) map[string]string {
	i, _ := m.find(p)
	return m.log[i].writes
}

// find returns the index of the entry with the log index of a position, and whether there
// is one. The caller holds the mutex.
func (m *Member) find(p position.Position) (int, bool) {
	return slices.BinarySearchFunc(m.log, p, func(e entry, p position.Position) int {
		return cmp.Compare(e.position.Log, p.Log)
	})
}

// logEnd returns the position of the last entry, or the zero position. The
// caller holds the mutex.
func (m *Member) logEnd() position.Position {
	if len(m.log) == 0 {
		return position.Position{}
	}
	return m.log[len(m.log)-1].position
}

// updateVisible makes those entries visible that were received at least the lag ago,
// and returns how many entries reads can see. The caller holds the mutex.
func (m *Member) updateVisible() int {
	if m.primary {
		m.visibleEntries = len(m.log)
		return m.visibleEntries
	}
	visible := m.visibleEntries
	for visible < len(m.log) && time.Since(m.log[visible].receivedAt) >= m.fault.Lag {
		visible++
	}
	m.visibleEntries = visible
	return visible
}

// read returns the newest visible value of an item, or "-" if there is none, and
// the position of the last visible entry. The caller holds the mutex.
func (m *Member) read(item string) (string, position.Position) {
	visible := m.updateVisible()
	lastVisible := position.Position{}
	if visible > 0 {
		lastVisible = m.log[visible-1].position
	}
	for i := visible - 1; i >= 0; i-- {
		if v, ok := m.log[i].writes[item]; ok {
			return v, lastVisible
		}
	}
	return "-", lastVisible
}
