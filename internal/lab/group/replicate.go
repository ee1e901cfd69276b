package group

import (
	"context"
	"time"

	model "eelgrassladder.example/eelgrassladder/internal/model/group"
)

// heartbeatPeriod is the longest time between two messages of a primary to a replica.
const heartbeatPeriod = 50 * time.Millisecond

// maxBatch is the largest number of entries in one message.
const maxBatch = 512

// message is a message from a primary to a replica. It has the entries that follow a log
// index, or the order to truncate the log. Without either it is a heartbeat.
type message struct {
	// after is the log index that the entries follow.
	after uint64
	// truncate orders the replica to drop its last entry, at after, because the primary
	// has another entry or none at that index.
	truncate bool
	entries  []entry
	// sent is when the primary sent the message.
	sent time.Time
}

// replicate copies the log of the primary that the member follows until ctx ends.
func (m *Member) replicate(ctx context.Context) error {
	for ctx.Err() == nil {
		primary, term, logLength, lastTerm, changed := m.upstreamState()
		if primary == nil {
			wait(ctx, changed, heartbeatPeriod)
			continue
		}
		msg, leads, upstreamChanged := primary.send(term, logLength, lastTerm)
		if !leads || m.isDisconnected() || primary.isDisconnected() {
			wait(ctx, changed, heartbeatPeriod)
			continue
		}
		m.receive(ctx, primary, term, msg)
		if len(msg.entries) == 0 && !msg.truncate {
			wait(ctx, upstreamChanged, heartbeatPeriod)
		}
	}
	return ctx.Err()
}

// isDisconnected reports whether the member can't exchange messages with the other
// members.
func (m *Member) isDisconnected() bool {
	c := m.Conditions()
	return c.Crashed || c.Paused || c.Isolated
}

// upstreamState returns the primary that the member follows, the member's term, the
// length of its log and the term of the last entry. The primary is nil if the member
// follows none or is disconnected. The channel is closed with the member's next change.
func (m *Member) upstreamState() (primary *Member, term, logLength, lastTerm uint64, changed chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.upstream == nil || m.conditions.Crashed || m.conditions.Paused || m.conditions.Isolated {
		return nil, 0, 0, 0, m.changed
	}
	logLength = uint64(len(m.log))
	if logLength > 0 {
		lastTerm = m.log[logLength-1].term
	}
	return m.upstream, m.term, logLength, lastTerm, m.changed
}

// send returns the next message to a replica that is in the given term, and whose log has
// the given length and last term; false if the member is not the primary of the term. The
// channel is closed with the member's next change.
func (m *Member) send(term, logLength, lastTerm uint64) (message, bool, chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.term != term || m.role != model.Primary {
		return message{}, false, m.changed
	}
	msg := message{after: logLength, sent: time.Now()}
	if logLength > uint64(len(m.log)) || (logLength > 0 && m.log[logLength-1].term != lastTerm) {
		msg.truncate = true
		return msg, true, m.changed
	}
	end := min(uint64(len(m.log)), logLength+maxBatch)
	msg.entries = m.log[logLength:end:end]
	return msg, true, m.changed
}

// receive processes a message after the member's receive delay. It drops the message
// if the member, its primary, its term or its log has changed meanwhile.
func (m *Member) receive(ctx context.Context, primary *Member, term uint64, msg message) {
	if len(msg.entries) > 0 {
		m.awaitReceiveDelay(ctx, primary)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	c := m.conditions
	if c.Crashed || c.Paused || c.Isolated || m.upstream != primary || m.term != term || uint64(len(m.log)) != msg.after {
		return
	}
	now := time.Now()
	m.lastContact = now
	if msg.truncate {
		m.truncate(msg.after - 1)
		m.notify()
		return
	}
	if m.role == model.Joining {
		m.role = model.Replica
		m.notify()
	}
	for _, e := range msg.entries {
		e.receivedAt = now
		m.append(e)
	}
	if len(msg.entries) > 0 {
		m.notify()
	}
}

// awaitReceiveDelay waits for the member's receive delay. Meanwhile the member counts as
// in contact with the primary, as if heartbeats arrived.
func (m *Member) awaitReceiveDelay(ctx context.Context, primary *Member) {
	deadline := time.Now().Add(m.Conditions().ReceiveDelay)
	for ctx.Err() == nil {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return
		}
		wait(ctx, nil, min(remaining, heartbeatPeriod))
		if !m.isDisconnected() && !primary.isDisconnected() {
			m.mutex.Lock()
			m.lastContact = time.Now()
			m.mutex.Unlock()
		}
	}
}

// apply applies received entries after the member's apply delay until ctx ends.
func (m *Member) apply(ctx context.Context) error {
	for ctx.Err() == nil {
		next, changed := m.applyDue(time.Now())
		wait(ctx, changed, next)
	}
	return ctx.Err()
}

// applyDue applies the entries whose delay is over. It returns the time until the next
// one, and the channel that is closed with the member's next change.
func (m *Member) applyDue(now time.Time) (time.Duration, chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.conditions.Crashed || m.conditions.Paused {
		return heartbeatPeriod, m.changed
	}
	before := m.applied
	next := time.Hour // a new entry ends the wait earlier
	for m.applied < uint64(len(m.log)) {
		due := m.log[m.applied].receivedAt.Add(m.conditions.ApplyDelay)
		if due.After(now) {
			next = due.Sub(now)
			break
		}
		m.database.Apply(m.log[m.applied].changes)
		m.applied++
	}
	if m.applied != before {
		m.notify()
	}
	return next, m.changed
}

// wait waits until the channel is closed, the delay is over, or ctx ends.
func wait(ctx context.Context, changed <-chan struct{}, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}
