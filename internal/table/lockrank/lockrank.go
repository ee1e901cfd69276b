// Package lockrank states the one order in which the locks of the shared tables
// are taken, and checks it in tests.
//
// A goroutine that holds a lock may only take a lock of a higher rank. The
// ranks below are the whole order; a table names its rank when it is made.
package lockrank

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
)

// Rank is a place in the lock order; lower ranks are taken first.
type Rank int

// The lock order of the system, lowest first.
const (
	// Members is the table of live and leaving proxies.
	Members Rank = 10 * (iota + 1)
	// Configurations is the table of configuration versions.
	Configurations
	// Links is the table of connections to other proxies.
	Links
	// Owners is the table of groups owned by this proxy.
	Owners
	// Queue is the table of waiting requests of one group.
	Queue
	// Observations is the table of observed members of one group.
	Observations
	// Pins is the table of pinned transactions of one group.
	Pins
	// Sessions is the table of named sessions of one group.
	Sessions
	// Idempotency is the table of request keys of one group.
	Idempotency
	// Acknowledgements is the table of answers that wait for a majority.
	Acknowledgements
	// Connections is the table of connections to one member.
	Connections
	// Callers is the table of caller connections.
	Callers
	// Scheduler is the table of statements that wait for an endpoint.
	Scheduler
	// Burn is the table of good and bad counts.
	Burn
)

// checking is set by tests before they start goroutines.
var checking atomic.Bool

// held maps a goroutine to the ranks that it holds, while checking.
var held sync.Map

// EnableChecks turns the check of the lock order on or off. Use it in TestMain.
func EnableChecks(on bool) { checking.Store(on) }

// Mutex is a mutual exclusion lock with a rank. Its zero value has no rank;
// use New.
type Mutex struct {
	// mutex is the lock itself.
	mutex sync.Mutex
	// rank never changes after New.
	rank Rank
}

// New returns a lock of the given rank.
func New(r Rank) *Mutex { return &Mutex{rank: r} }

// Lock takes the lock. While checking is on, it panics if the goroutine
// already holds a lock of the same or a higher rank.
func (m *Mutex) Lock() {
	if checking.Load() {
		m.note()
	}
	m.mutex.Lock()
}

// Unlock gives the lock back.
func (m *Mutex) Unlock() {
	m.mutex.Unlock()
	if checking.Load() {
		m.forget()
	}
}

// note checks and records the rank for this goroutine.
func (m *Mutex) note() {
	id := goroutine()
	ranks, _ := held.LoadOrStore(id, &[]Rank{})
	list := ranks.(*[]Rank)
	for _, r := range *list {
		if r >= m.rank {
			panic(fmt.Sprintf("lock order: rank %d taken while rank %d is held", m.rank, r))
		}
	}
	*list = append(*list, m.rank)
}

// forget removes the rank for this goroutine.
func (m *Mutex) forget() {
	id := goroutine()
	ranks, ok := held.Load(id)
	if !ok {
		return
	}
	list := ranks.(*[]Rank)
	for i := len(*list) - 1; i >= 0; i-- {
		if (*list)[i] == m.rank {
			*list = append((*list)[:i], (*list)[i+1:]...)
			break
		}
	}
	if len(*list) == 0 {
		held.Delete(id)
	}
}

// goroutine returns the number of the calling goroutine, read from the head
// of its stack trace. It is used only while checking.
func goroutine() uint64 {
	var buffer [64]byte
	n := runtime.Stack(buffer[:], false)
	fields := bytes.Fields(buffer[:n])
	id, _ := strconv.ParseUint(string(fields[1]), 10, 64)
	return id
}
