// Package sessions is the table of the named sessions that the owner of a
// group remembers.
package sessions

import (
	"container/list"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// Session is a named session and the position that its reads must cover.
type Session struct {
	Name     string
	Position position.Position
}

// Table holds the sessions of one group. Its rank is Sessions. It is bounded:
// the position of a session that falls out raises the floor, which every
// session that is not known must cover.
type Table struct {
	mutex *lockrank.Mutex
	// limit is the most sessions remembered; at least one.
	limit int
	// floor covers every session that was forgotten.
	floor position.Position
	// order has the session used last at its front.
	order *list.List
	// byName finds the element of a session.
	byName map[string]*list.Element
}

// New returns a table for at most limit sessions.
func New(limit int) *Table {
	return &Table{
		mutex: lockrank.New(lockrank.Sessions), limit: max(limit, 1),
		order: list.New(), byName: map[string]*list.Element{},
	}
}

// Required returns the position that reads of a named session must cover.
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

// Record raises the position of a named session.
func (t *Table) Record(name string, p position.Position) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e, ok := t.byName[name]
	if ok {
		known := e.Value.(Session)
		e.Value = Session{Name: name, Position: known.Position.Later(p)}
		t.order.MoveToFront(e)
		return
	}
	t.byName[name] = t.order.PushFront(Session{Name: name, Position: t.floor.Later(p)})
	if t.order.Len() > t.limit {
		t.evict()
	}
}

// evict forgets the session used longest ago. The caller holds the mutex.
func (t *Table) evict() {
	oldest := t.order.Back()
	forgotten := t.order.Remove(oldest).(Session)
	delete(t.byName, forgotten.Name)
	t.floor = t.floor.Later(forgotten.Position)
}

// RaiseFloor raises the floor, which sessions that are not known must cover.
func (t *Table) RaiseFloor(floor position.Position) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.floor = t.floor.Later(floor)
}

// Floor returns the position that unknown sessions must cover.
func (t *Table) Floor() position.Position {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.floor
}

// All returns the sessions, the one used last first.
func (t *Table) All() []Session {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	all := make([]Session, 0, t.order.Len())
	for e := t.order.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(Session))
	}
	return all
}
