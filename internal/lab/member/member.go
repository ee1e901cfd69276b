package member

import (
	"net"
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
	// visible is how many entries reads have been able to see; it falls only
	// when a change of primary drops entries.
	visible int
	fault   Fault
	// open holds the open connections.
	open map[net.Conn]bool
	// rejected counts connections over the limit, and ran statements that ran.
	rejected int
	ran      int
}

// Add starts a member of the group on loopback.
func (g *Group) Add(tasks *task.Group, id string, slots, connections int, work time.Duration) (*Member, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	m := &Member{
		ID: id, Address: l.Addr().String(), Slots: slots, Connections: connections, Work: work,
		group: g, tasks: tasks, slots: make(chan struct{}, slots), open: map[net.Conn]bool{},
	}
	g.mutex.Lock()
	m.primary = len(g.members) == 0
	m.term = 1
	m.log = []entry{{position: position.Position{Term: 1, Log: 1}}}
	g.members = append(g.members, m)
	g.mutex.Unlock()
	tasks.Go("member "+id, m.listen(l))
	return m, nil
}

// SetFault brings a fault into force. A member that comes back after Down is
// a replica if another one leads.
func (m *Member) SetFault(f Fault) {
	g := m.group
	leader := g.Primary()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if m.fault.Down && !f.Down && leader != nil && leader != m {
		m.follow(leader)
	}
	m.fault = f
	if f.Down {
		for c := range m.open {
			_ = c.Close()
		}
	}
	if !f.Alone && leader != nil && leader != m && m.primary {
		m.follow(leader)
	}
	g.announce()
	g.changed.Broadcast()
}

// Rename gives the member another ID and returns the one that it had.
func (m *Member) Rename(id string) string {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	old := m.ID
	m.ID = id
	return old
}

// Leave marks the member as leaving.
func (m *Member) Leave() {
	g := m.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m.leaving = true
	g.announce()
}

// State returns whether the member leads, and its term.
func (m *Member) State() (primary bool, term uint64) {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	return m.primary, m.term
}

// Counts returns how many statements ran and how many connections were over
// the limit.
func (m *Member) Counts() (ran, rejected int) {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	return m.ran, m.rejected
}

// end returns the end of the log. The caller holds the mutex.
func (m *Member) end() position.Position {
	if len(m.log) == 0 {
		return position.Position{}
	}
	return m.log[len(m.log)-1].position
}

// applied returns how many entries reads can see. The caller holds the mutex.
func (m *Member) applied() int {
	if m.primary {
		m.visible = len(m.log)
		return m.visible
	}
	n := m.visible
	for n < len(m.log) && time.Since(m.log[n].received) >= m.fault.Lag {
		n++
	}
	m.visible = n
	return n
}

// read returns the newest value of an item that reads can see, and how far
// the log is applied. The caller holds the mutex.
func (m *Member) read(item string) (string, position.Position) {
	n := m.applied()
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
