// Package member is the stand-in for the members of a database group on the
// users' platform: listeners that speak its line protocol, with a log, replicas
// that apply it late, slots, and faults.
package member

import (
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/trade/position"
)

// entry is one commit in a log.
type entry struct {
	position position.Position
	writes   map[string]string
	// receivedAt is when the member received it.
	receivedAt time.Time
}

// Group is a set of members. Its mutex guards the state of all of them.
type Group struct {
	// Name is what clients of the members connect to.
	Name string
	// Synchronous is how many replicas hold a commit before it is
	// acknowledged.
	Synchronous int
	// PromoteTime is how long a promotion takes.
	PromoteTime time.Duration
	// Halted is called when the last replica that runs has been suspended, and
	// Named when a replica is named as the next primary, before it leads; both
	// may be nil. They are set before the group is used.
	Halted func()
	Named  func(next *Member)

	mutex   sync.Mutex
	changed *sync.Cond
	members []*Member
	// acknowledged holds the commits that were acknowledged and not lost since,
	// and lost counts those that the primary of a newer term lacked.
	acknowledged map[position.Position]bool
	lostCommits  int
	// highestToken is the highest token that was seen.
	highestToken uint64
	// loweredTokens counts promotions with a lower token than an earlier one.
	loweredTokens int
}

// NewGroup returns a group without members.
func NewGroup(name string, synchronous int, promote time.Duration) *Group {
	g := &Group{Name: name, Synchronous: synchronous, PromoteTime: promote, acknowledged: map[position.Position]bool{}}
	g.changed = sync.NewCond(&g.mutex)
	return g
}

// Members returns the members.
func (g *Group) Members() []*Member {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return append([]*Member(nil), g.members...)
}

// Primary returns the member that leads the newest term.
func (g *Group) Primary() *Member {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.newestPrimary()
}

// newestPrimary returns the member that leads the newest term, running or not. The
// caller holds the mutex.
func (g *Group) newestPrimary() *Member {
	var newest *Member
	for _, m := range g.members {
		if m.primary && (newest == nil || m.term > newest.term) {
			newest = m
		}
	}
	return newest
}

// Violations returns what a change of primary must never do: the number of
// acknowledged commits that were lost, and of tokens that fell.
func (g *Group) Violations() (lostCommits, loweredTokens int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.lostCommits, g.loweredTokens
}

// Promote makes a member the primary of the next term, after PromoteTime.
func (g *Group) Promote(id string, token uint64) error {
	next, err := g.checkPromotion(id, token)
	if next == nil {
		return err
	}
	if g.Named != nil {
		g.Named(next)
	}
	time.AfterFunc(g.PromoteTime, func() { g.completePromotion(next) })
	return nil
}

// checkPromotion checks a promotion and returns the replica that it names, or nil if the
// member leads already.
func (g *Group) checkPromotion(id string, token uint64) (*Member, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if token < g.highestToken {
		g.loweredTokens++
	}
	g.highestToken = max(g.highestToken, token)
	for _, m := range g.members {
		if m.ID != id {
			continue
		}
		if m.fault.Down || m.fault.Silent {
			return nil, errors.New("the member is not running")
		}
		if m.primary {
			return nil, nil
		}
		return m, nil
	}
	return nil, errors.Errorf("no member %s", id)
}

// completePromotion makes m the primary of the next term.
func (g *Group) completePromotion(m *Member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if m.terminated {
		return
	}
	term := uint64(0)
	for _, other := range g.members {
		term = max(term, other.term)
	}
	m.term, m.primary, m.suspended = term+1, true, 0
	for p := range g.acknowledged {
		if !m.hasCommit(p) {
			g.recordLost(p)
		}
	}
	for _, other := range g.members {
		if other != m && !other.fault.Cut && !other.fault.Down {
			other.follow(m)
		}
	}
	g.announceAll()
	g.changed.Broadcast()
}

// recordLost counts an acknowledged commit that is lost. The caller holds the mutex.
func (g *Group) recordLost(p position.Position) {
	delete(g.acknowledged, p)
	g.lostCommits++
}

// allSuspended reports whether no member that runs receives, but for the primaries.
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

// follow makes a member a replica of the primary. The caller holds the mutex.
func (m *Member) follow(primary *Member) {
	if m.primary && m.fault.Alone {
		return
	}
	m.primary, m.term, m.suspended = false, primary.term, 0
	common := 0
	for common < len(m.log) && common < len(primary.log) && m.log[common].position == primary.log[common].position {
		common++
	}
	m.log = append([]entry(nil), m.log[:common]...)
	m.visibleEntries = min(m.visibleEntries, common)
	for _, e := range primary.log[common:] {
		e.receivedAt = time.Now()
		m.log = append(m.log, e)
	}
}

// commit appends writes to the log of a primary and waits until they are
// acknowledged, or the member is closed to that.
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
			return position.Position{}, errors.New("the member lost the lead")
		}
		if g.replicateAndCount(m, e) >= g.Synchronous {
			g.acknowledged[p] = true
			if newest := g.newestPrimary(); !newest.hasCommit(p) {
				g.recordLost(p)
			}
			return p, nil
		}
		g.changed.Wait()
	}
}

// replicateAndCount sends the log to the replicas that receive it and returns how many
// hold an entry. The caller holds the mutex.
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

// receivesFrom reports whether a member receives the log of a primary. The caller
// holds the mutex.
func (m *Member) receivesFrom(primary *Member) bool {
	if m == primary || m.primary || m.fault.Down || m.fault.Cut || primary.fault.Down || primary.fault.Alone {
		return false
	}
	return m.suspended <= primary.term && m.term <= primary.term
}

// replicate sends the log of the primary to all who receive it. The caller
// holds the mutex.
func (g *Group) replicate() {
	if primary := g.newestPrimary(); primary != nil {
		for _, m := range g.members {
			if m.receivesFrom(primary) {
				m.follow(primary)
			}
		}
	}
}

// announceAll reports the entries of all members that run. The caller holds the
// mutex.
func (g *Group) announceAll() {
	for _, m := range g.members {
		if m.Announce != nil && !m.fault.Down {
			m.Announce(m.primary, m.leaving)
		}
	}
}

// String returns the state of the group for a failed test.
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
