package owner

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/table/idempotency"
	"eelgrassladder.example/eelgrassladder/internal/table/sessions"
)

// The timing of a handover.
const (
	// drainTimeout bounds the wait for requests in flight before a handover.
	drainTimeout = 2 * time.Second
	// pollPeriod is the interval at which a waiting loop checks its condition.
	pollPeriod = 2 * time.Millisecond
	// transactionTimeout bounds how long open transactions may continue after
	// a handover.
	transactionTimeout = 20 * time.Second
)

// Handover is the state that the next owner of a group needs to continue in
// the same term.
type Handover struct {
	// Term is the active term; zero if the group is not served.
	Term uint64
	// Primary is the name of the term's primary.
	Primary string
	// SessionFloor is the position that reads of sessions that are not in Sessions
	// must cover.
	SessionFloor position.Position
	// Committed is the last position that a majority holds.
	Committed position.Position
	// Sessions are the named sessions, the most recently used first.
	Sessions []sessions.Session
	// Keys are the settled request keys with their answers.
	Keys []idempotency.Entry
}

// Drain refuses new requests, waits at most drainTimeout for those in flight,
// and returns the state for the next owner. Changes by requests that end later
// are missing from the state. Drain closes the pools; open transactions keep their
// connections and continue here. Call DrainTransactions once the handover has been
// offered.
func (o *Owner) Drain(ctx context.Context) Handover {
	o.draining.Store(true)
	o.queue.Close(movedAnswer())
	deadline := o.timer.Now().Add(drainTimeout)
	for o.queue.Running()+o.acks.Waiting() > 0 && o.timer.Now().Before(deadline) && ctx.Err() == nil {
		timer.Pause(ctx, o.timer, pollPeriod)
	}
	h := Handover{
		SessionFloor: o.sessions.Floor(),
		Committed:    o.acks.Committed(),
		Sessions:     o.sessions.All(),
		Keys:         o.keys.Settled(),
	}
	if active := o.current(); active != nil {
		h.Term = active.term
		h.Primary = active.primary
		for _, p := range active.pools {
			p.Close()
		}
	}
	return h
}

// DrainTransactions waits until the open transactions have ended, at most
// transactionTimeout, and then stops the owner.
func (o *Owner) DrainTransactions(ctx context.Context) {
	deadline := o.timer.Now().Add(transactionTimeout)
	for o.pins.Len() > 0 && o.timer.Now().Before(deadline) && ctx.Err() == nil {
		timer.Pause(ctx, o.timer, pollPeriod)
	}
	if n := o.pins.Len(); n > 0 {
		klog.InfoS("Closing transactions that are still open after a handover", "Group", o.Group().Name, "Count", n)
	}
	o.Stop()
}

// restore continues in the term of a handover. If the handover has none,
// restore requests a new term.
func (o *Owner) restore(h Handover) {
	o.sessions.RaiseFloor(h.SessionFloor)
	// Record the most recently used session last, so that the table keeps the order.
	for i := len(h.Sessions) - 1; i >= 0; i-- {
		o.sessions.Record(h.Sessions[i].Name, h.Sessions[i].Position)
	}
	o.keys.Restore(h.Keys, o.timer.Now())
	if h.Term == 0 {
		o.requestTerm("Takeover", 0)
		return
	}
	o.acks.Begin(h.Term)
	o.acks.Advance(h.Term, h.Committed.Log)
	o.activate(h.Term, h.Primary)
}
