package scheduler

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

// Health is what recent use has shown of an endpoint. It is immutable.
type Health struct {
	// LastAnswer is when the endpoint last answered; zero for never.
	LastAnswer time.Time
	// Running is how many statements of this proxy the endpoint runs.
	Running int
	// Failures counts failed attempts since the last answer.
	Failures int
	// Refused is true if the last failure proves that no process listens.
	Refused bool
	// OldestPendingWrite is the earliest send time of the pending writes that
	// were sent after the last answered one; zero if there is none.
	OldestPendingWrite time.Time
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
		LastAnswer: e.lastAnswer, Running: e.running, Failures: e.failures, Refused: e.refused, OldestPendingWrite: e.oldestPendingWrite(),
	}
}

// ProbeCandidates returns the endpoints that get no statements because they
// failed and that may be probed now.
func (t *Table) ProbeCandidates() []topology.Endpoint {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.timer.Now()
	var all []topology.Endpoint
	for _, e := range t.endpoints {
		if !e.unlisted && e.failures >= minFailures && !now.Before(e.retryAt) {
			all = append(all, e.listed)
		}
	}
	return all
}

// WriteSent records that a write was sent to an endpoint.
func (t *Table) WriteSent(id string, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if e, ok := t.endpoints[id]; ok {
		e.pendingWrites = append(e.pendingWrites, at)
	}
}

// WriteDone records that a write, which was sent at the given time, has ended
// with or without an answer.
func (t *Table) WriteDone(id string, at time.Time, answered bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if e, ok := t.endpoints[id]; ok {
		e.writeEnded(at, answered)
		t.assignWaiting(t.group(e.listed.Group))
	}
}
