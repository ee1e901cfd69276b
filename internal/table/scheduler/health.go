package scheduler

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

// Health is what the use of an endpoint has shown of it. It is immutable.
type Health struct {
	// Heard is when it last answered anything; zero for never.
	Heard time.Time
	// Running is how many statements are there without an answer.
	Running int
	// Failures counts tries without an answer since then.
	Failures int
	// Refused is true if the last failure proves that no process listens.
	Refused bool
	// OldestPendingWrite is when the oldest write without an answer was sent, of those
	// sent after the last write that was answered; zero if there is none.
	OldestPendingWrite time.Time
}

// Health returns what is known of an endpoint.
func (t *Table) Health(id string) Health {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e, ok := t.endpoints[id]
	if !ok {
		return Health{}
	}
	return Health{
		Heard: e.heard, Running: e.running, Failures: e.failures, Refused: e.refused, OldestPendingWrite: e.waiting(),
	}
}

// ProbeCandidates returns the endpoints that statements are kept from by failures and
// that may be asked again now.
func (t *Table) ProbeCandidates() []topology.Endpoint {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.timer.Now()
	var all []topology.Endpoint
	for _, e := range t.endpoints {
		if !e.gone && e.failures >= provenFailures && !now.Before(e.downUntil) {
			all = append(all, e.told)
		}
	}
	return all
}

// WriteSent notes that a write was sent to an endpoint.
func (t *Table) WriteSent(id string, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if e, ok := t.endpoints[id]; ok {
		e.writes = append(e.writes, at)
	}
}

// WriteDone notes that the write that was sent then has ended, with or
// without an answer.
func (t *Table) WriteDone(id string, at time.Time, answered bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if e, ok := t.endpoints[id]; ok {
		e.ended(at, answered)
		t.match(t.group(e.told.Group))
	}
}
