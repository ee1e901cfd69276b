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
	renewAge = ProofLifetime * 7 / 10
	// commitTime is how long after the beginning of a change of primary a commit
	// is still sent to the old one: half of what a planned change leaves to work
	// in flight before it suspends the replicas.
	commitTime = 50 * time.Millisecond
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

// State is what is known of a group's primary. It is immutable.
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
	// Acknowledged is what is known to be acknowledged; it outlasts the primary.
	Acknowledged Acknowledged
	// samples are ordered by time and never written after they were set.
	samples []sample
	// pending is a position that waits for a proof; zero for none.
	pending sample
}

// WithPrimary returns the lead of an endpoint that is open for work. Samples
// and proofs of another term are dropped.
func (l State) WithPrimary(endpoint string, term uint64, now time.Duration) State {
	if l.Endpoint == endpoint && !l.Closed && (l.Term == term || l.Term == 0) {
		l.Term = term
		return l
	}
	return State{Endpoint: endpoint, Term: term, Since: now, Acknowledged: l.Acknowledged}
}

// WithTerm returns the lead with a term that was not known before.
func (l State) WithTerm(term uint64) State {
	l.Term = term
	return l
}

// WithClosed returns the lead while its primary is being replaced.
func (l State) WithClosed(now time.Duration) State {
	if l.Closed {
		return l
	}
	l.Closed, l.Since = true, now
	return l
}

// WithProof returns the lead after the endpoint was seen to be the only
// primary at some time not before asked.
func (l State) WithProof(asked time.Duration) State {
	l.Proven = max(l.Proven, asked)
	if l.pending.asked > l.LastSampleTime() {
		return l.WithSample(l.pending.asked, l.pending.position)
	}
	return l
}

// WithAnswer returns the lead with a position whose proof may come later: it
// is kept if the lead is proven for asked within the lifetime of a proof.
func (l State) WithAnswer(asked time.Duration, p position.Position) State {
	l = l.WithSample(asked, p)
	if l.LastSampleTime() != asked {
		l.pending = sample{asked: asked, position: p}
	}
	return l
}

// WithSample returns the lead with a position that the primary told in the
// answer to a request sent at asked. A position told without a valid proof
// is of no use and is left out.
func (l State) WithSample(asked time.Duration, p position.Position) State {
	if !l.ProvenAt(asked) || p.Term != l.Term {
		return l
	}
	if n := len(l.samples); n > 0 && asked-l.samples[n-1].asked < sampleSpacing {
		return l
	}
	kept := l.samples
	if len(kept) >= maxSamples {
		kept = kept[1:]
	}
	l.samples = append(slices.Clip(kept), sample{asked: asked, position: p})
	return l
}

// BeingReplaced reports whether commits that are sent to an endpoint now are
// likely to wait in vain: it is being replaced, or no longer leads.
func (l State) BeingReplaced(endpoint string, now time.Duration) bool {
	return l.Endpoint != endpoint || (l.Closed && now-l.Since > commitTime)
}

// Open reports whether new work may be sent to the primary.
func (l State) Open() bool { return l.Endpoint != "" && !l.Closed }

// ProvenAt reports whether it is certain that the endpoint was the only primary
// at the time.
func (l State) ProvenAt(at time.Duration) bool {
	return l.Endpoint != "" && l.Proven > 0 && at-l.Proven < ProofLifetime
}

// ProofExpiring reports whether the proof should be renewed before it ends.
func (l State) ProofExpiring(now time.Duration) bool { return now-l.Proven > renewAge }

// PositionCovering returns the oldest known position that covers all commits
// acknowledged before since.
func (l State) PositionCovering(since time.Duration) (position.Position, bool) {
	i, _ := slices.BinarySearchFunc(l.samples, since, func(s sample, t time.Duration) int {
		return int(s.asked - t)
	})
	if i == len(l.samples) {
		return position.Position{}, false
	}
	return l.samples[i].position, true
}

// LastSample returns the latest sample and when it was asked for.
func (l State) LastSample() (time.Duration, position.Position, bool) {
	if len(l.samples) == 0 {
		return 0, position.Position{}, false
	}
	s := l.samples[len(l.samples)-1]
	return s.asked, s.position, true
}

// LastSampleTime returns when the latest sample was asked for; zero for none.
func (l State) LastSampleTime() time.Duration {
	asked, _, _ := l.LastSample()
	return asked
}
