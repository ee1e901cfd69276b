package scheduler

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

// Health summarises the recent statements and probes of an endpoint. It is
// immutable.
type Health struct {
	// LastAnswer is when the endpoint last answered; zero for never.
	LastAnswer time.Time
	// Running is how many statements of this proxy the endpoint runs.
	Running int
	// Failures counts failed attempts since the last answer.
	Failures int
	// Refused is true if the last failure proves that no process listens.
	Refused bool
	// Reset is true if the last failure was the reset of an open connection.
	Reset bool
	// OldestPendingWrite is the earliest send time of the writes that are still
	// pending and were sent after the last answered write; zero if there is
	// none.
	OldestPendingWrite time.Time
	// Pooled is true if other proxies run the operations of this one at the endpoint.
	Pooled bool
}

// Health returns the health of an endpoint, or the zero value if the endpoint
// is not known.
func (t *Table) Health(id string) Health {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e, ok := t.endpoints[id]
	if !ok {
		return Health{}
	}
	return Health{
		LastAnswer: e.lastAnswer, Running: e.running, Failures: e.failures, Refused: e.refused, Reset: e.reset, OldestPendingWrite: e.oldestPendingWrite(),
		Pooled: e.pooled,
	}
}

// ProbeCandidates returns the endpoints that get no statements because they
// failed and that may be probed now.
func (t *Table) ProbeCandidates() []topology.Endpoint {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.timer.Now()
	var candidates []topology.Endpoint
	for _, e := range t.endpoints {
		if !e.unlisted && e.failures >= minFailures && !now.Before(e.retryAt) {
			candidates = append(candidates, e.listed)
		}
	}
	return candidates
}

// WriteSent records that a write was sent to an endpoint at the given time.
func (t *Table) WriteSent(id string, sentAt time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if e, ok := t.endpoints[id]; ok {
		e.pendingWrites = append(e.pendingWrites, sentAt)
	}
}

// WriteDone records that the write that was sent at the given time has ended
// with or without an answer, and assigns endpoints to waiting statements.
func (t *Table) WriteDone(id string, sentAt time.Time, answered bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if e, ok := t.endpoints[id]; ok {
		e.recordWriteEnd(sentAt, answered)
		t.assignWaiting(t.group(e.listed.Group))
	}
}
