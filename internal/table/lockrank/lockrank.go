// Package lockrank defines the order in which the locks of the shared tables
// are taken, and checks it in tests.
//
// A goroutine that holds a lock may only take locks of a higher rank. The
// ranks below are the complete order; each table sets its rank when it is
// created.
package lockrank

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
)

// Rank is a position in the lock order; locks of lower ranks are taken first.
type Rank int

// The lock order of the system, lowest first.
const (
	// Proxies is the table of the system's proxies.
	Proxies Rank = 10 * (iota + 1)
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
	// Delegations is the table of operations that this proxy runs for others.
	Delegations
	// Scheduler is the table of statements that wait for an endpoint.
	Scheduler
	// Quota is the table of the teams' tokens.
	Quota
	// Cluster is what a proxy on the users' platform knows of the system.
	Cluster
	// Burn is the table of good and bad requests by class.
	Burn
	// Budget is the table of the accounts of clients.
	Budget
)

// checksEnabled is set by tests before they start goroutines, since a lock that
// was taken without checks is not recorded.
var checksEnabled atomic.Bool

// heldRanks maps the ID of a goroutine to the ranks that it holds, while
// checks are enabled.
var heldRanks sync.Map

// EnableChecks enables or disables the check of the lock order. Use it in
// TestMain.
func EnableChecks(enabled bool) { checksEnabled.Store(enabled) }

// Mutex is a mutual exclusion lock with a rank. Use New to make one; the zero
// value has no rank.
type Mutex struct {
	mutex sync.Mutex
	// rank never changes after New.
	rank Rank
}

// New returns an unlocked mutex of the given rank.
func New(r Rank) *Mutex { return &Mutex{rank: r} }

// Lock locks m. If checks are enabled, it panics if the goroutine already
// holds a lock of the same or a higher rank.
func (m *Mutex) Lock() {
	if checksEnabled.Load() {
		m.recordLock()
	}
	m.mutex.Lock()
}

// Unlock unlocks m.
func (m *Mutex) Unlock() {
	m.mutex.Unlock()
	if checksEnabled.Load() {
		m.recordUnlock()
	}
}

// recordLock panics if the calling goroutine holds a lock of the same or a
// higher rank, and records the rank of m otherwise.
func (m *Mutex) recordLock() {
	id := goroutineID()
	value, _ := heldRanks.LoadOrStore(id, &[]Rank{})
	ranks := value.(*[]Rank)
	for _, r := range *ranks {
		if r >= m.rank {
			panic(fmt.Sprintf("lock order: rank %d taken while rank %d is held", m.rank, r))
		}
	}
	*ranks = append(*ranks, m.rank)
}

// recordUnlock removes the rank of m from those that the calling goroutine
// holds.
func (m *Mutex) recordUnlock() {
	id := goroutineID()
	value, ok := heldRanks.Load(id)
	if !ok {
		return
	}
	ranks := value.(*[]Rank)
	for i := len(*ranks) - 1; i >= 0; i-- {
		if (*ranks)[i] == m.rank {
			*ranks = append((*ranks)[:i], (*ranks)[i+1:]...)
			break
		}
	}
	if len(*ranks) == 0 {
		heldRanks.Delete(id)
	}
}

// goroutineID returns the ID of the calling goroutine, which it reads from the
// first line of the stack trace, "goroutine 7 [running]:". It is slow, and used
// only while checks are enabled.
func goroutineID() uint64 {
	var buffer [64]byte
	length := runtime.Stack(buffer[:], false)
	fields := bytes.Fields(buffer[:length])
	id, _ := strconv.ParseUint(string(fields[1]), 10, 64)
	return id
}
