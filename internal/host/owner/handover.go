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

// The times of a handover.
const (
	// drainTime bounds the wait for requests in flight before a handover.
	drainTime = 2 * time.Second
	// drainPace is how often the wait looks.
	drainPace = 2 * time.Millisecond
	// lingerTime bounds how long transactions may go on after a handover.
	lingerTime = 20 * time.Second
)

// Handover is what the next owner of a group needs to go on in its term.
type Handover struct {
	// Term is the term in force; zero if none serves.
	Term uint64
	// Primary is the primary of the term.
	Primary string
	// SessionFloor is what sessions that are not known must cover.
	SessionFloor position.Position
	// Committed is the last position that a majority holds.
	Committed position.Position
	// Sessions are the named sessions.
	Sessions []sessions.Session
	// Keys are the settled request keys.
	Keys []idempotency.Entry
}

// Drain takes no new requests, waits for those in flight, and returns what
// the next owner needs. Transactions that are open go on here; call Linger
// once the next owner has taken over.
func (o *Owner) Drain(ctx context.Context) Handover {
	o.draining.Store(true)
	o.queue.Close(moved())
	end := o.timer.Now().Add(drainTime)
	for o.queue.Running()+o.acks.Waiting() > 0 && o.timer.Now().Before(end) && ctx.Err() == nil {
		timer.Pause(ctx, o.timer, drainPace)
	}
	h := Handover{
		SessionFloor: o.sessions.Floor(),
		Committed:    o.acks.Committed(),
		Sessions:     o.sessions.All(),
		Keys:         o.keys.Settled(),
	}
	if g := o.current(); g != nil {
		h.Term = g.term
		h.Primary = g.primary
		for _, p := range g.pools {
			p.Close()
		}
	}
	return h
}

// Linger serves the transactions that are still open until they end, or for
// a bounded time, and then stops the owner.
func (o *Owner) Linger(ctx context.Context) {
	end := o.timer.Now().Add(lingerTime)
	for o.pins.Len() > 0 && o.timer.Now().Before(end) && ctx.Err() == nil {
		timer.Pause(ctx, o.timer, drainPace)
	}
	if n := o.pins.Len(); n > 0 {
		klog.InfoS("Transactions cut off after a handover", "Group", o.Group().Name, "Count", n)
	}
	o.Stop()
}

// adopt goes on in the term of a handover.
func (o *Owner) adopt(h Handover) {
	o.sessions.RaiseFloor(h.SessionFloor)
	for i := len(h.Sessions) - 1; i >= 0; i-- {
		o.sessions.Record(h.Sessions[i].Name, h.Sessions[i].Position)
	}
	o.keys.Restore(h.Keys, o.timer.Now())
	if h.Term == 0 {
		o.askRaise("Takeover", 0)
		return
	}
	o.acks.Begin(h.Term)
	o.acks.Advance(h.Term, h.Committed.Log)
	o.install(h.Term, h.Primary)
}
