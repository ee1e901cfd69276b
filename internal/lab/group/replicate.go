package group

import (
	"context"
	"time"

	model "eelgrassladder.example/eelgrassladder/internal/model/group"
)

// heartbeatPeriod is how often a replica hears from its primary at least.
const heartbeatPeriod = 50 * time.Millisecond

// maxBatch is how many entries one message between members carries.
const maxBatch = 512

// message is what a primary sends to a replica: the entries that follow a
// place, or the order to truncate.
type message struct {
	// after is the place that the entries follow.
	after uint64
	// truncate is true when the logs differ at after.
	truncate bool
	entries  []entry
	// sent is when the message left.
	sent time.Time
}

// replicate keeps the member's log like its primary's until ctx ends.
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

// isDisconnected reports whether the member can't exchange messages with its peers.
func (m *Member) isDisconnected() bool {
	c := m.Conditions()
	return c.Crashed || c.Paused || c.Isolated
}

// upstreamState returns the primary that the member follows and the end of the
// member's log.
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

// send returns what follows a replica's log, if the member is the primary of
// the term.
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

// receive takes a message after the time that it travels.
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

// awaitReceiveDelay waits for the time that entries take to the member. Heartbeats of
// the primary arrive all the while.
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

// apply makes received entries visible after the apply delay.
func (m *Member) apply(ctx context.Context) error {
	for ctx.Err() == nil {
		next, changed := m.applyDue(time.Now())
		wait(ctx, changed, next)
	}
	return ctx.Err()
}

// applyDue applies the entries that are due and returns the wait for the next.
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

// wait returns when the channel is closed, the delay is over, or ctx ends.
func wait(ctx context.Context, changed <-chan struct{}, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}
