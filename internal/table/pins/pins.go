// Package pins is the table of the open transactions at the owner of a group.
// Each is pinned to a connection of its own.
package pins

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/peer/endpoint"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// Pin is an open transaction and its connection.
type Pin struct {
	// ID identifies the pin at this owner. Add sets it; never zero after that.
	ID uint64
	// Member is the name of the member that runs the transaction.
	Member string
	// Connection is used only by the transaction.
	Connection *endpoint.Connection
	// Pool is the pool that the connection belongs to.
	Pool    *endpoint.Pool
	Paying  bool
	Replica bool
	// lastUsed is when the last request ended, or when the pin was added.
	lastUsed time.Time
	// busy is true while a request uses the connection.
	busy bool
}

// Table holds the pins of one group. The rank of its mutex is lockrank.Pins.
type Table struct {
	mutex *lockrank.Mutex
	// lastID is the ID of the pin that was added last.
	lastID uint64
	pins   map[uint64]*Pin
}

// New returns an empty table. The first pin gets the ID lastID+1, so that two
// owners of a group can use different IDs.
func New(lastID uint64) *Table {
	return &Table{mutex: lockrank.New(lockrank.Pins), lastID: lastID, pins: map[uint64]*Pin{}}
}

// Add adds an open transaction and returns its ID.
func (t *Table) Add(p *Pin, now time.Time) uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.lastID++
	p.ID = t.lastID
	p.lastUsed = now
	t.pins[p.ID] = p
	return p.ID
}

// Find returns a pin without marking it busy, and false if it does not exist.
func (t *Table) Find(id uint64) (*Pin, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p, ok := t.pins[id]
	return p, ok
}

// MarkBusy marks a pin busy and returns it. It returns false if the pin does
// not exist or is busy.
func (t *Table) MarkBusy(id uint64) (*Pin, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p, ok := t.pins[id]
	if !ok || p.busy {
		return nil, false
	}
	p.busy = true
	return p, true
}

// MarkIdle marks a pin idle after a request that ended now.
func (t *Table) MarkIdle(id uint64, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if p, ok := t.pins[id]; ok {
		p.busy = false
		p.lastUsed = now
	}
}

// Remove removes a pin.
func (t *Table) Remove(id uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.pins, id)
}

// TakeIdle removes and returns a pin that is idle. It returns false if the pin
// does not exist or is busy.
func (t *Table) TakeIdle(id uint64) (*Pin, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p, ok := t.pins[id]
	if !ok || p.busy {
		return nil, false
	}
	delete(t.pins, id)
	return p, true
}

// Expired returns the IDs of the pins that have been idle for longer than
// maxIdle.
func (t *Table) Expired(now time.Time, maxIdle time.Duration) []uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var expired []uint64
	for id, p := range t.pins {
		if !p.busy && now.Sub(p.lastUsed) > maxIdle {
			expired = append(expired, id)
		}
	}
	return expired
}

// CountFree returns the number of open transactions of free work at a member.
func (t *Table) CountFree(member string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	count := 0
	for _, p := range t.pins {
		if p.Member == member && !p.Paying {
			count++
		}
	}
	return count
}

// Len returns the number of open transactions.
func (t *Table) Len() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.pins)
}
