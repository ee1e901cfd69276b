package member

import (
	"cmp"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/trade/position"
)

// errReadOnly is returned for a write at a replica.
var errReadOnly = errors.New("the member is a replica")

// Fault is what is wrong with a member. The value is immutable.
type Fault struct {
	// Down closes its connections and refuses new ones.
	Down bool
	// Silent makes it answer nothing.
	Silent bool
	// Cut keeps it from receiving the log.
	Cut bool
	// Alone keeps a primary from reaching its replicas.
	Alone bool
	// Lag is how late it applies the log.
	Lag time.Duration
	// LoseAnswers runs statements and does not answer them.
	LoseAnswers bool
}

// Member is one member of a group.
type Member struct {
	// ID is unique, and Address where it listens.
	ID      string
	Address string
	// Slots is how many statements it runs at one time.
	Slots int
	// Connections is how many connections it takes.
	Connections int
	// Work is how long a statement takes.
	Work time.Duration
	// Announce is told of each change of role or state; may be nil. It must
	// not call the group.
	Announce func(primary, leaving bool)

	group *Group
	tasks *task.Group
	slots chan struct{}

	// The mutex of the group guards the fields below.
	primary   bool
	leaving   bool
	term      uint64
	suspended uint64
	log       []entry
	// visibleEntries is how many entries reads have been able to see; it falls only
	// when a change of primary drops entries.
	visibleEntries int
	fault          Fault
	// terminated is true once it has left for good, with its log; its listener is
	// closed then.
	terminated bool
	listener   net.Listener
	// openConnections holds the open connections.
	openConnections map[net.Conn]bool
	// rejectedConnections counts connections over the limit, and ran statements that ran.
	rejectedConnections int
	statementsRun       int
}

// Option changes a member that is being made.
type Option func(*Member)

// At makes the member listen at an address, as one that takes the place of
// another.
func At(address string) Option { return func(m *Member) { m.Address = address } }

// Add starts a member of the group on loopback. The first one leads; a later
// one receives the log of the primary.
func (g *Group) Add(tasks *task.Group, id string, slots, connections int, work time.Duration, options ...Option) (*Member, error) {
	m := &Member{
		ID: id, Address: "127.0.0.1:0", Slots: slots, Connections: connections, Work: work,
		group: g, tasks: tasks, slots: make(chan struct{}, slots), openConnections: map[net.Conn]bool{},
	}
	for _, o := range options {
		o(m)
	}
	listener, err := net.Listen("tcp4", m.Address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	m.Address, m.listener = listener.Addr().String(), listener
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

// Register lists the member by a function that is told of each change of its
// role or state from now on.
func (m *Member) Register(announce func(primary, leaving bool)) {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	m.Announce = announce
	announce(m.primary, m.leaving)
}

// SetFault brings a fault into force. A member that comes back after Down has
// its log and no suspension; it is a replica if another one was promoted.
func (m *Member) SetFault(f Fault) {
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	newest := g.newestPrimary()
	if m.fault.Down && !f.Down {
		m.suspended = 0
		m.primary = m.primary && newest == m
	}
	m.fault = f
	if f.Down {
		m.disconnect()
	}
	if !f.Alone && m.primary && newest != m && !newest.fault.Down {
		m.follow(newest)
	}
	g.replicate()
	g.announceAll()
	g.changed.Broadcast()
}

// Restart starts the member's process again, with its log. A replica is no
// longer suspended, and receives from whoever leads.
func (m *Member) Restart() {
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m.suspended, m.rejectedConnections, m.statementsRun = 0, 0, 0
	m.disconnect()
	g.replicate()
	g.announceAll()
	g.changed.Broadcast()
}

// End ends the member for good, and its log with it. Another instance may
// take its address.
func (m *Member) End() {
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.members = slices.DeleteFunc(slices.Clone(g.members), func(other *Member) bool { return other == m })
	m.terminated, m.primary, m.log = true, false, nil
	m.fault.Down = true
	_ = m.listener.Close()
	m.disconnect()
	g.changed.Broadcast()
}

// disconnect breaks all connections, as the end of a process does. The caller
// holds the mutex.
func (m *Member) disconnect() {
	for c := range m.openConnections {
		resetConnection(c)
	}
}

// resetConnection breaks a connection so that the other side hears of it at once.
func resetConnection(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Rename gives the member another ID and returns the one that it had.
func (m *Member) Rename(id string) string {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	old := m.ID
	m.ID = id
	return old
}

// Group returns the name of the member's group.
func (m *Member) Group() string { return m.group.Name }

// Leave marks the member as leaving.
func (m *Member) Leave() {
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m.leaving = true
	g.announceAll()
}

// State returns whether the member leads, and its term.
func (m *Member) State() (primary bool, term uint64) {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	return m.primary, m.term
}

// Counts returns how many statements ran and how many connections were over
// the limit.
func (m *Member) Counts() (statementsRun, rejectedConnections int) {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	return m.statementsRun, m.rejectedConnections
}

// Received returns the end of the member's log.
func (m *Member) Received() position.Position {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	return m.logEnd()
}

// hasCommit reports whether the log has a commit. The caller holds the mutex.
func (m *Member) hasCommit(p position.Position) bool {
	i, found := slices.BinarySearchFunc(m.log, p, func(e entry, p position.Position) int {
		return cmp.Compare(e.position.Log, p.Log)
	})
	return found && m.log[i].position == p
}

// logEnd returns the end of the log. The caller holds the mutex.
func (m *Member) logEnd() position.Position {
	if len(m.log) == 0 {
		return position.Position{}
	}
	return m.log[len(m.log)-1].position
}

// updateVisible returns how many entries reads can see. The caller holds the mutex.
func (m *Member) updateVisible() int {
	if m.primary {
		m.visibleEntries = len(m.log)
		return m.visibleEntries
	}
	n := m.visibleEntries
	for n < len(m.log) && time.Since(m.log[n].receivedAt) >= m.fault.Lag {
		n++
	}
	m.visibleEntries = n
	return n
}

// read returns the newest value of an item that reads can see, and how far
// the log is applied. The caller holds the mutex.
func (m *Member) read(item string) (string, position.Position) {
	n := m.updateVisible()
	at := position.Position{}
	if n > 0 {
		at = m.log[n-1].position
	}
	for i := n - 1; i >= 0; i-- {
		if v, ok := m.log[i].writes[item]; ok {
			return v, at
		}
	}
	return "-", at
}
