package scheduler

import (
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// Outcome is the observed result of using an endpoint. It is immutable.
type Outcome struct {
	// Unused is true if nothing was sent to the endpoint, so that the use shows nothing of it.
	Unused bool
	// Answered is true if the endpoint answered.
	Answered bool
	// Took is the execution time of a statement; zero if none ran.
	Took time.Duration
	// Applied is the position that the endpoint reported; may be zero.
	Applied position.Position
	// MissingPosition is a position that the endpoint did not have yet; zero
	// for none.
	MissingPosition position.Position
	// Busy is true if the endpoint refused a statement because it was busy.
	Busy bool
	// ConnectionsFull is true if the endpoint refused a connection because it
	// has too many.
	ConnectionsFull bool
	// Refused is true if the connection failed in a way that proves that the
	// endpoint's process is down.
	Refused bool
	// Reset is true if an open connection was reset. The endpoint's process may be
	// down; only a new connection can tell.
	Reset bool
}

// maxRetained is how many bytes of the sessions that used it an idle connection may keep. The
// sessions' clients may be gone, and nobody is charged for the bytes. The session values and
// 64 prepared statements of ordinary sessions take less.
const maxRetained = 128 << 10

// Return gives a connection back to the table after its statement has ended.
func (t *Table) Return(id string, c eelgrassladder.Connection, o Outcome) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e, ok := t.endpoints[id]
	if !ok {
		c.Close()
		return
	}
	e.running--
	t.observe(e, o)
	if e.unlisted || e.open > e.share || c.Retained() > maxRetained {
		t.closeConnection(e, c)
	} else {
		e.idle = append(e.idle, idleConnection{connection: c, since: t.timer.Now()})
	}
	t.assignWaiting(t.group(e.listed.Group))
}

// EndStatement ends a statement whose transaction keeps the connection.
func (t *Table) EndStatement(id string, o Outcome) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if e, ok := t.endpoints[id]; ok {
		e.running--
		t.observe(e, o)
		t.assignWaiting(t.group(e.listed.Group))
	}
}

// BeginStatement begins a statement on the connection that its transaction
// keeps.
func (t *Table) BeginStatement(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if e, ok := t.endpoints[id]; ok {
		e.running++
	}
}

// Discard ends a statement whose connection cannot be used any more, and closes
// the connection; c is nil if it was never opened.
func (t *Table) Discard(id string, c eelgrassladder.Connection, o Outcome) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e, ok := t.endpoints[id]
	if !ok {
		if c != nil {
			c.Close()
		}
		return
	}
	e.running--
	if c == nil && !o.Answered && !o.ConnectionsFull {
		e.pace = e.pace.WithFailed()
	}
	t.observe(e, o)
	t.closeConnection(e, c)
	t.assignWaiting(t.group(e.listed.Group))
}

// observe updates an endpoint with the outcome of a use. The caller holds the
// mutex.
func (t *Table) observe(e *endpoint, o Outcome) {
	now := t.timer.Now()
	switch {
	case o.Unused:
	case o.ConnectionsFull:
		e.pace = e.pace.WithRefused(now, e.spread())
	case o.Answered:
		e.recordAnswer(now)
	default:
		e.recordFailure(now, o)
		if o.Refused || o.Reset {
			t.closeIdle(e, 0)
		}
	}
	if o.Busy {
		e.lowerLimit()
	}
	if o.Took > 0 {
		e.recordServiceTime(o.Took)
		e.lackCount = 0
	}
	if !o.Applied.IsZero() {
		e.applied = o.Applied
	}
	if !o.MissingPosition.IsZero() {
		e.lacked, e.lackedUntil = o.MissingPosition, now.Add(min(minLackTime<<min(e.lackCount, 5), maxLackTime))
		e.lackCount++
		// The replica did not serve the read that was counted when it was sent.
		g := t.group(e.listed.Group)
		g.reads.replica = max(g.reads.replica-1, 0)
	}
}

// closeConnection closes a connection, which may be nil, and removes an
// unlisted endpoint from the table with its last connection.
func (t *Table) closeConnection(e *endpoint, c eelgrassladder.Connection) {
	if c != nil {
		c.Close()
	}
	e.open--
	if e.unlisted && e.open == 0 {
		delete(t.endpoints, e.listed.ID)
	}
}

// closeUnused closes connections that have been idle for longer than
// idleTimeout, or shortIdleTimeout. One connection to each primary is kept,
// because no other endpoint can replace it, unless there are too many proxies.
func (t *Table) closeUnused(now time.Time) {
	for _, e := range t.endpoints {
		keep, timeout := 0, idleTimeout
		if !e.keepsUnused {
			timeout = shortIdleTimeout
		} else if t.group(e.listed.Group).leader.Endpoint == e.listed.ID {
			keep = 1
		}
		expired := 0
		if e.keepsUnused && now.Before(e.pace.Next()) {
			continue // another connection could not be opened yet
		}
		for expired < len(e.idle)-keep && now.Sub(e.idle[expired].since) > timeout {
			expired++
		}
		t.closeIdle(e, len(e.idle)-expired)
	}
}

// closeIdle closes idle connections, the least recently used first, until only
// keep are left.
func (t *Table) closeIdle(e *endpoint, keep int) {
	for len(e.idle) > keep {
		c := e.idle[0].connection
		e.idle = e.idle[1:]
		t.closeConnection(e, c)
	}
}

// Borrow takes a connection for control requests if the endpoint can take
// another statement of this proxy and a connection is idle or may be opened. It
// reports whether it did. The connection is nil if the caller has to open it.
// Return or Discard gives it back.
func (t *Table) Borrow(id string) (eelgrassladder.Connection, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e, ok := t.endpoints[id]
	now := t.timer.Now()
	if !ok || e.occupied(e.stalled(now)) >= int(e.limit) || (len(e.idle) == 0 && !e.mayConnectUrgently(now)) {
		return nil, false
	}
	e.running++
	return e.takeAnyConnection(now), true
}

// Opened records that a connection to an endpoint was opened, and how long that took.
func (t *Table) Opened(id string, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if e, ok := t.endpoints[id]; ok {
		e.recordOpened(took)
	}
}

// Observe records the outcome of using an endpoint over a connection that does
// not belong to the table.
func (t *Table) Observe(id string, o Outcome) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if e, ok := t.endpoints[id]; ok {
		t.observe(e, o)
	}
}
