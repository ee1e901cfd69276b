// Package pins is the table of the transactions that are open at the owner of
// a group, each on a connection of its own.
package pins

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/peer/endpoint"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// Pin is one open transaction.
type Pin struct {
	// ID identifies the pin at this owner; never zero.
	ID uint64
	// Member is the name of the member that the transaction runs at.
	Member string
	// Connection carries the transaction.
	Connection *endpoint.Connection
	// Pool gets the connection back.
	Pool *endpoint.Pool
	// Paying is true for a transaction of paying work.
	Paying bool
	// Replica is true for a transaction at a replica.
	Replica bool
	// used is when the last request ended.
	used time.Time
	// busy is true while a request runs.
	busy bool
}

// Table holds the pins of one group. Its rank is Pins.
type Table struct {
	mutex *lockrank.Mutex
	last  uint64
	pins  map[uint64]*Pin
}

// New returns an empty table whose first pin has the number after first, so
// that the numbers of two owners of a group differ.
func New(first uint64) *Table {
	return &Table{mutex: lockrank.New(lockrank.Pins), last: first, pins: map[uint64]*Pin{}}
}

// Add records an open transaction and returns its number.
func (t *Table) Add(p *Pin, now time.Time) uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.last++
	p.ID = t.last
	p.used = now
	t.pins[p.ID] = p
	return p.ID
}

// Find returns a pin without taking it.
func (t *Table) Find(id uint64) (*Pin, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p, ok := t.pins[id]
	return p, ok
}

// MarkBusy marks a pin busy. It reports false if the pin is gone or busy.
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

// MarkIdle marks a pin idle after a request.
func (t *Table) MarkIdle(id uint64, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if p, ok := t.pins[id]; ok {
		p.busy = false
		p.used = now
	}
}

// Remove forgets a pin.
func (t *Table) Remove(id uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.pins, id)
}

// TakeIdle removes and returns the pin if no request runs on it.
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

// Expired returns the pins that no request has used for a time.
func (t *Table) Expired(now time.Time, after time.Duration) []uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var all []uint64
	for id, p := range t.pins {
		if !p.busy && now.Sub(p.used) > after {
			all = append(all, id)
		}
	}
	return all
}

// CountFree returns how many transactions of work that is not paying are open at
// a member.
func (t *Table) CountFree(member string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	n := 0
	for _, p := range t.pins {
		if p.Member == member && !p.Paying {
			n++
		}
	}
	return n
}

// Len returns how many transactions are open.
func (t *Table) Len() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.pins)
}
