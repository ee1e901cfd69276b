// Package leader holds what a proxy knows of the primary of a database group:
// which endpoint leads, how long that is certain, and how far its log had
// come at which time.
//
// All times are readings of the clock that counts suspended time.
package leader

import (
	"slices"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

const (
	// ProofLifetime is how long after a proof the primary may still answer
	// reads that must be current. A change of primary waits as long before
	// the next primary takes writes, so it adds to the write gap when the old
	// primary is cut off rather than dead.
	ProofLifetime = time.Second
	// renewAge is the age from which a proof is renewed: a question to a
	// replica takes some milliseconds, or a quarter of a second if it fails.
	proofRenewAge = ProofLifetime * 7 / 10
	// commitTime is how long after the beginning of a change of primary a commit
	// is still sent to the old one: half of what a planned change leaves to work
	// in flight before it suspends the replicas.
	commitGrace = 50 * time.Millisecond
	// sampleSpacing is the least time between two kept samples.
	sampleSpacing = 40 * time.Millisecond
	// maxSamples bounds the memory of a group; with the spacing it covers
	// more than the largest staleness of the users' routes (2.5 s).
	maxSamples = 96
)

// sample is a position that the primary told.
type sample struct {
	// asked is when the request was sent whose answer told the position; the
	// position covers all commits acknowledged before.
	asked time.Duration
	// position is the end of the primary's log.
	position position.Position
}

// Lead is what is known of a group's primary. It is immutable.
type State struct {
	// Endpoint is the ID of the primary; empty when there is none.
	Endpoint string
	// Term is its term; zero when that is not known yet.
	Term uint64
	// Closed is true while the primary is being replaced; nothing new may be
	// sent to it as the primary.
	Closed bool
	// Since is when the primary was opened or closed.
	Since time.Duration
	// Proven is the latest time at which the endpoint is known to have been
	// the only primary; zero for never.
	Proven time.Duration
	// Kept is what is known to be acknowledged; it outlasts the primary.
	Acknowledged Acknowledged
	// samples are ordered by time and never written after they were set.
	samples []sample
	// pending is a position that waits for a proof; zero for none.
	pending sample
}

// WithPrimary returns the lead of an endpoint that is open for work. Samples
// and proofs of another term are dropped.
func (s State) WithPrimary(endpoint string, term uint64, now time.Duration) State {
	if s.Endpoint == endpoint && !s.Closed && (s.Term == term || s.Term == 0) {
		s.Term = term
		return s
	}
	return State{Endpoint: endpoint, Term: term, Since: now, Acknowledged: s.Acknowledged}
}

// WithTerm returns the lead with a term that was not known before.
func (s State) WithTerm(term uint64) State {
	s.Term = term
	return s
}

// WithClosed returns the lead while its primary is being replaced.
func (s State) WithClosed(now time.Duration) State {
	if s.Closed {
		return s
	}
	s.Closed, s.Since = true, now
	return s
}

// WithProof returns the lead after the endpoint was seen to be the only
// primary at some time not before asked.
func (s State) WithProof(asked time.Duration) State {
	s.Proven = max(s.Proven, asked)
	if s.pending.asked > s.LastSampleTime() {
		return s.WithSample(s.pending.asked, s.pending.position)
	}
	return s
}

// WithAnswer returns the lead with a position whose proof may come later: it
// is kept if the lead is proven for asked within the lifetime of a proof.
func (s State) WithAnswer(asked time.Duration, p position.Position) State {
	s = s.WithSample(asked, p)
	if s.LastSampleTime() != asked {
		s.pending = sample{asked: asked, position: p}
	}
	return s
}

// WithSample returns the lead with a position that the primary told in the
// answer to a request sent at asked. A position told without a valid proof
// is of no use and is left out.
func (s State) WithSample(asked time.Duration, p position.Position) State {
	if !s.ProvenAt(asked) || p.Term != s.Term {
		return s
	}
	if n := len(s.samples); n > 0 && asked-s.samples[n-1].asked < sampleSpacing {
		return s
	}
	previous := s.samples
	if len(previous) >= maxSamples {
		previous = previous[1:]
	}
	s.samples = append(slices.Clip(previous), sample{asked: asked, position: p})
	return s
}

// Replaced reports whether commits that are sent to an endpoint now are
// likely to wait in vain: it is being replaced, or no longer leads.
func (s State) BeingReplaced(endpoint string, now time.Duration) bool {
	return s.Endpoint != endpoint || (s.Closed && now-s.Since > commitGrace)
}

// Open reports whether new work may be sent to the primary.
func (s State) Open() bool { return s.Endpoint != "" && !s.Closed }

// Valid reports whether it is certain that the endpoint was the only primary
// at the time.
func (s State) ProvenAt(at time.Duration) bool {
	return s.Endpoint != "" && s.Proven > 0 && at-s.Proven < ProofLifetime
}

// Aging reports whether the proof should be renewed before it ends.
func (s State) ProofExpiring(now time.Duration) bool { return now-s.Proven > proofRenewAge }

// Bound returns the oldest known position that covers all commits
// acknowledged before since.
func (s State) PositionCovering(since time.Duration) (position.Position, bool) {
	i, _ := slices.BinarySearchFunc(s.samples, since, func(one sample, t time.Duration) int {
		return int(one.asked - t)
	})
	if i == len(s.samples) {
		return position.Position{}, false
	}
	return s.samples[i].position, true
}

// Last returns the latest sample and when it was asked for.
func (s State) LastSample() (time.Duration, position.Position, bool) {
	if len(s.samples) == 0 {
		return 0, position.Position{}, false
	}
	last := s.samples[len(s.samples)-1]
	return last.asked, last.position, true
}

// Newest returns when the latest sample was asked for; zero for none.
func (s State) LastSampleTime() time.Duration {
	asked, _, _ := s.LastSample()
	return asked
}
