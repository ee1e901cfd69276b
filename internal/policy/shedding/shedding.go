// Package shedding decides when a statement that waits in the proxy is
// refused. A refused statement did not run, so the client can retry at once; a
// late refusal leaves it no time to do so.
package shedding

import "time"

const (
	// capacityShare is the part of its target that a statement may wait for
	// a free endpoint. One that waits longer would be answered late, at the
	// expense of others.
	capacityShare = 0.22
	// proofShare is the part of its target that a statement may wait for a
	// proof that the primary is the only one, which takes one request to an
	// endpoint.
	proofShare = 0.5
	// expectedChangeTime is how long a change of primary takes once it has
	// begun: a promotion of at least 300 ms, and then the lifetime of a proof.
	expectedChangeTime = 1100 * time.Millisecond
	// longChangeShare is the part of its timeout that a statement may wait for
	// a change of primary that takes longer than expected.
	longChangeShare = 0.42
	// runShare is the part of its timeout that a statement needs to run.
	runShare = 0.15
	// unknownWaitShare is the part of its target that a statement may wait if
	// the end of the wait cannot be forecast.
	unknownWaitShare = 0.25
)

// Wait describes a waiting statement. It is immutable.
type Wait struct {
	// Waited is how long the statement has waited.
	Waited time.Duration
	// Timeout is the total time that the statement may take, the wait included.
	Timeout time.Duration
	// Target is the time within which the statement should be answered.
	Target time.Duration
}

// ForCapacity reports whether a statement that waits for a free endpoint is
// refused. Forecast is the time until an endpoint will be free.
func ForCapacity(w Wait, forecast time.Duration) bool {
	return w.Waited+forecast > fraction(w.Target, capacityShare)
}

// ForProof reports whether a statement that waits for a proof that the primary
// is the only one is refused. Known is how long the primary has been known: a
// statement that has waited for a change of primary waits for the proof since then.
func ForProof(w Wait, known time.Duration) bool {
	return min(w.Waited, known) > fraction(w.Target, proofShare) || w.Waited > w.Timeout-fraction(w.Timeout, runShare)
}

// ForChange reports whether a statement that needs the primary is refused
// while the primary is being replaced. Lasted is how long the change has taken
// so far. During the expected time, a statement is refused if the rest of its
// timeout is too short; after that, if it has waited for long.
func ForChange(w Wait, lasted time.Duration) bool {
	maxWait := w.Timeout - w.Waited - fraction(w.Timeout, runShare)
	if lasted > expectedChangeTime {
		return w.Waited > fraction(w.Timeout, longChangeShare)
	}
	return expectedChangeTime-lasted > maxWait
}

// ForUnknownWait reports whether a statement is refused if the end of its wait
// cannot be forecast.
func ForUnknownWait(w Wait) bool { return w.Waited > fraction(w.Target, unknownWaitShare) }

// fraction returns the given share of a duration; a share of 1 is all of it.
func fraction(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }
