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

// message is a message from a primary to a replica. It has the entries that follow a
// log place, none as a heartbeat, or the order to truncate the log.
type message struct {
	// after is the log place that the entries follow.
	after uint64
	// truncate orders the replica to drop its entry at after, because the primary has
	// another one or none there.
	truncate bool
	entries  []entry
	// sent is when the primary sent the message.
	sent time.Time
}

// replicate copies the log of the member's primary to the member until ctx ends.
func (m *Member) replicate(ctx context.Context) error {
	for ctx.Err() == nil {
		source, term, logLength, lastTerm, changed := m.upstreamState()
		if source == nil {
			wait(ctx, changed, heartbeatPeriod)
			continue
		}
		sent, ok, upstreamChanged := source.send(term, logLength, lastTerm)
		if !ok || m.isDisconnected() || source.isDisconnected() {
			wait(ctx, changed, heartbeatPeriod)
			continue
		}
		m.receive(ctx, source, term, sent)
		if len(sent.entries) == 0 && !sent.truncate {
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

// upstreamState returns the primary that the member follows, the member's term, and
// the length and last term of its log. The primary is nil if the member follows none or
// is disconnected. The channel is closed with the member's next change.
func (m *Member) upstreamState() (source *Member, term, logLength, lastTerm uint64, changed chan struct{}) {
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

// send returns the next message to a replica with the given term and log end; false if
// the member is not the primary of the term. The channel is closed with the member's
// next change.
func (m *Member) send(term, logLength, lastTerm uint64) (message, bool, chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.term != term || m.role != model.Primary {
		return message{}, false, m.changed
	}
	sent := message{after: logLength, sent: time.Now()}
	if logLength > uint64(len(m.log)) || (logLength > 0 && m.log[logLength-1].term != lastTerm) {
		sent.truncate = true
		return sent, true, m.changed
	}
	end := min(uint64(len(m.log)), logLength+maxBatch)
	sent.entries = m.log[logLength:end:end]
	return sent, true, m.changed
}

// receive processes a message after the member's receive delay. It drops the message
// if the member, its primary, its term or its log has changed meanwhile.
func (m *Member) receive(ctx context.Context, source *Member, term uint64, sent message) {
	if len(sent.entries) > 0 {
		m.awaitReceiveDelay(ctx, source)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	c := m.conditions
	if c.Crashed || c.Paused || c.Isolated || m.upstream != source || m.term != term || uint64(len(m.log)) != sent.after {
		return
	}
	now := time.Now()
	m.lastContact = now
	if sent.truncate {
		m.truncate(sent.after - 1)
		m.notify()
		return
	}
	if m.role == model.Joining {
		m.role = model.Replica
		m.notify()
	}
	for _, e := range sent.entries {
		e.receivedAt = now
		m.append(e)
	}
	if len(sent.entries) > 0 {
		m.notify()
	}
}

// awaitReceiveDelay waits for the member's receive delay. Heartbeats of the primary
// count as received during the wait.
func (m *Member) awaitReceiveDelay(ctx context.Context, source *Member) {
	deadline := time.Now().Add(m.Conditions().ReceiveDelay)
	for ctx.Err() == nil {
		left := time.Until(deadline)
		if left <= 0 {
			return
		}
		wait(ctx, nil, min(left, heartbeatPeriod))
		if !m.isDisconnected() && !source.isDisconnected() {
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
	next := time.Hour
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
