// Package shedding decides how long a statement waits in the proxy for an
// endpoint before it is refused. A refusal promises that nothing ran, so the
// client can try again at once; one that comes late leaves it no time.
package shedding

import "time"

const (
	// busyShare is the part of its target that a statement waits for capacity.
	// What waits longer would be answered late and take the place of others.
	busyShare = 0.22
	// proofShare is the part of its target that a statement waits for a proof
	// of the primary: one question to an endpoint.
	proofShare = 0.5
	// changeTime is how long a change of primary takes once it has begun: a
	// promotion of 300 to 600 ms, and the lifetime of a proof.
	changeTime = 1050 * time.Millisecond
	// changeShare is the part of its time that a statement waits for a change
	// of primary that takes longer than usual.
	changeShare = 0.42
	// runShare is the part of its time that a statement needs to run.
	runShare = 0.15
	// quickShare is the part of its target that a statement waits where
	// nothing is known to end the wait.
	quickShare = 0.25
)

// Wait is what is known of a statement that waits. It is immutable.
type Wait struct {
	// Waited is how long it has waited.
	Waited time.Duration
	// Timeout is the time that it has in all.
	Timeout time.Duration
	// Target is when it should be answered.
	Target time.Duration
}

// ForCapacity reports whether a statement that waits for a free endpoint is
// refused; ahead is the forecast time until it has one.
func ForCapacity(w Wait, ahead time.Duration) bool {
	return w.Waited+ahead > share(w.Target, busyShare)
}

// ForProof reports whether a statement that waits for a proof of the primary is
// refused.
func ForProof(w Wait) bool { return w.Waited > share(w.Target, proofShare) }

// ForChange reports whether a statement that needs the primary is refused while
// the primary is being replaced; lasted is how long the change has taken.
func ForChange(w Wait, lasted time.Duration) bool {
	left := w.Timeout - w.Waited - share(w.Timeout, runShare)
	if lasted > changeTime {
		return w.Waited > share(w.Timeout, changeShare)
	}
	return changeTime-lasted > left
}

// ForUnknownWait reports whether a statement is refused where nothing is known to
// end the wait.
func ForUnknownWait(w Wait) bool { return w.Waited > share(w.Target, quickShare) }

// share returns a part of a duration.
func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }
