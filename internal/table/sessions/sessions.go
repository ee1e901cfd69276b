// Package sessions is the table of the named sessions at the owner of a group,
// with the log position that each has seen.
package sessions

import (
	"container/list"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// Session is a named session. Position is the one that its reads must cover.
type Session struct {
	Name     string
	Position position.Position
}

// Table holds the sessions of one group. The rank of its mutex is
// lockrank.Sessions. The number of sessions is bounded. Evicting a session
// raises the floor to its position, and reads of sessions that the table does
// not hold must cover the floor.
type Table struct {
	mutex *lockrank.Mutex
	// limit is the maximum number of sessions; at least one.
	limit int
	// floor covers the positions of all evicted sessions.
	floor position.Position
	// order is sorted by last use, the most recently used session first.
	order *list.List
	// byName holds the element of order for each session.
	byName map[string]*list.Element
}

// New returns a table for at most limit sessions, and for one if limit is lower.
func New(limit int) *Table {
	return &Table{
		mutex: lockrank.New(lockrank.Sessions), limit: max(limit, 1),
		order: list.New(), byName: map[string]*list.Element{},
	}
}

// Required returns the position that reads of a named session must cover, and
// counts as a use of the session.
func (t *Table) Required(name string) position.Position {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e, ok := t.byName[name]
	if !ok {
		return t.floor
	}
	t.order.MoveToFront(e)
	return e.Value.(Session).Position
}

// Record raises the position of a named session to cover p. A session that is
// not in the table is added with a position that covers the floor too.
func (t *Table) Record(name string, p position.Position) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e, ok := t.byName[name]
	if ok {
		known := e.Value.(Session)
		e.Value = Session{Name: name, Position: known.Position.Covering(p)}
		t.order.MoveToFront(e)
		return
	}
	t.byName[name] = t.order.PushFront(Session{Name: name, Position: t.floor.Covering(p)})
	if t.order.Len() > t.limit {
		t.evict()
	}
}

// evict removes the least recently used session. The caller holds the mutex.
func (t *Table) evict() {
	oldest := t.order.Back()
	evicted := t.order.Remove(oldest).(Session)
	delete(t.byName, evicted.Name)
	t.floor = t.floor.Covering(evicted.Position)
}

// RaiseFloor raises the floor to cover the given position.
func (t *Table) RaiseFloor(floor position.Position) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.floor = t.floor.Covering(floor)
}

// Floor returns the position that reads of sessions that the table does not
// hold must cover.
func (t *Table) Floor() position.Position {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.floor
}

// All returns the sessions, the most recently used first.
func (t *Table) All() []Session {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	sessions := make([]Session, 0, t.order.Len())
	for e := t.order.Front(); e != nil; e = e.Next() {
		sessions = append(sessions, e.Value.(Session))
	}
	return sessions
}
