package scheduler

import (
	"time"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// Outcome is what a use of an endpoint has shown. It is immutable.
type Outcome struct {
	// Answered is true if the endpoint answered.
	Answered bool
	// Took is the time of a statement that ran; zero if none did.
	Took time.Duration
	// Applied is the position that it told; may be zero.
	Applied position.Position
	// MissingPosition is a position that it did not have; zero for none.
	MissingPosition position.Position
	// Busy is true if it refused a statement because it was busy.
	Busy bool
	// ConnectionsFull is true if it refused a connection for having too many.
	ConnectionsFull bool
	// Refused is true if the connection failed in a way that proves that the
	// process is down.
	Refused bool
}

// Return gives a connection back for others to use. The statement that used
// it has ended.
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
	if e.gone || e.open > e.share {
		t.drop(e, c)
	} else {
		e.idle = append(e.idle, spare{connection: c, since: t.timer.Now()})
	}
	t.match(t.group(e.told.Group))
}

// EndStatement ends a statement whose transaction keeps its connection.
func (t *Table) EndStatement(id string, o Outcome) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if e, ok := t.endpoints[id]; ok {
		e.running--
		t.observe(e, o)
		t.match(t.group(e.told.Group))
	}
}

// BeginStatement begins a statement on the connection that its transaction keeps.
func (t *Table) BeginStatement(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if e, ok := t.endpoints[id]; ok {
		e.running++
	}
}

// Discard closes a connection that is of no further use; c is nil if it was
// never opened.
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
	t.observe(e, o)
	t.drop(e, c)
	t.match(t.group(e.told.Group))
}

// observe notes what a use has shown.
func (t *Table) observe(e *endpoint, o Outcome) {
	now := t.timer.Now()
	switch {
	case o.ConnectionsFull:
		e.fullUntil = now.Add(overloadTime)
	case o.Answered:
		e.answered(now)
	default:
		e.failed(now, o.Refused)
		if o.Refused {
			t.closeIdle(e, 0)
		}
	}
	if o.Busy {
		e.crowded()
	}
	if o.Took > 0 {
		e.measured(o.Took)
		e.lacks = 0
	}
	if !o.Applied.IsZero() {
		e.applied = o.Applied
	}
	if !o.MissingPosition.IsZero() {
		e.behind, e.behindUntil = o.MissingPosition, now.Add(min(behindTime<<min(e.lacks, 5), maxBehindTime))
		e.lacks++
		// The read that was sent there has not been served.
		g := t.group(e.told.Group)
		g.pressure.replica = max(g.pressure.replica-1, 0)
	}
}

// drop closes a connection.
func (t *Table) drop(e *endpoint, c eelgrassladder.Connection) {
	if c != nil {
		c.Close()
	}
	e.open--
	if e.gone && e.open == 0 {
		delete(t.endpoints, e.told.ID)
	}
}

// trim closes connections that were not used for long. One to each primary is
// kept: nothing can take its place.
func (t *Table) trim(now time.Time) {
	for _, e := range t.endpoints {
		kept := 0
		if t.group(e.told.Group).lead.Endpoint == e.told.ID {
			kept = 1
		}
		unused := 0
		for unused < len(e.idle)-kept && now.Sub(e.idle[unused].since) > spareTime {
			unused++
		}
		t.closeIdle(e, len(e.idle)-unused)
	}
}

// closeIdle closes idle connections until only keep are left.
func (t *Table) closeIdle(e *endpoint, keep int) {
	for len(e.idle) > keep {
		c := e.idle[0].connection
		e.idle = e.idle[1:]
		t.drop(e, c)
	}
}

// Borrow takes a connection for control, if one is idle or may be opened; the
// connection is nil if the caller shall open it. It is given back like that
// of a job.
func (t *Table) Borrow(id string) (eelgrassladder.Connection, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e, ok := t.endpoints[id]
	if !ok || !e.place(t.timer.Now(), t.dataCentre).Free {
		return nil, false
	}
	e.running++
	return e.take(), true
}

// Observe notes what a use of an endpoint outside of the table has shown.
func (t *Table) Observe(id string, o Outcome) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if e, ok := t.endpoints[id]; ok {
		t.observe(e, o)
	}
}
