// Package leader holds what a proxy knows of the primary of a database group: which
// endpoint leads, until when that is proven, and the ends of its log at known times.
//
// All times are boot times.
package leader

import (
	"slices"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

const (
	// ProofLifetime is how long after a proof the primary may still answer reads that
	// must see all acknowledged commits, and its commits may be reported as acknowledged. A
	// change of primary that could not tell all proxies waits for the same time before it
	// compares logs, and each one before the new primary takes writes, so it adds to the gap
	// in writes if the old primary is cut off rather than down.
	ProofLifetime = 800 * time.Millisecond
	// proofRenewAge is the age from which a proof is renewed. A request to a replica
	// takes a few milliseconds, or a quarter of a second if it fails.
	proofRenewAge = ProofLifetime * 7 / 10
	// CommitGrace is how long after the beginning of a change of primary a commit is
	// still sent to the old primary, and reported as acknowledged. It is half of the time
	// that a planned change leaves for work in flight before it suspends the replicas.
	CommitGrace = 50 * time.Millisecond
	// sampleSpacing is the shortest time between two samples.
	sampleSpacing = 40 * time.Millisecond
	// maxSamples limits the memory for a group. With sampleSpacing, the samples cover
	// more than the largest staleness of the users' routes, 2.5 s.
	maxSamples = 96
)

// sample is the end of the primary's log at a time. It is immutable.
type sample struct {
	// asked is when the request was sent whose answer reported the position. The
	// position covers all commits that were acknowledged before asked.
	asked time.Duration
	// position is the end of the primary's log.
	position position.Position
}

// State is what a proxy knows of a group's primary. It is immutable.
type State struct {
	// Endpoint is the ID of the primary; empty when there is none.
	Endpoint string
	// Term is the primary's term; zero if it is not known yet.
	Term uint64
	// Closed is true while the primary is being replaced. No new work may then be
	// sent to it as the primary.
	Closed bool
	// Since is when the endpoint became the known primary, or when Closed became
	// true.
	Since time.Duration
	// Proven is the latest time at which a proof shows that the endpoint was the only
	// primary; zero for none.
	Proven time.Duration
	// Acknowledged is the newest position that is known to be acknowledged. It does
	// not change with the primary.
	Acknowledged Acknowledged
	// Recorded is what is known of the group's record.
	Recorded Recorded
	// samples are ordered by time and never written after they were set.
	samples []sample
	// pending is a sample that is not proven yet; zero for none.
	pending sample
}

// WithPrimary returns the state with a primary that accepts work. It drops the samples
// and the proof of another primary or term.
func (s State) WithPrimary(endpoint string, term uint64, now time.Duration) State {
	if s.Endpoint == endpoint && !s.Closed && (s.Term == term || s.Term == 0) {
		s.Term = term
		return s
	}
	return State{
		Endpoint: endpoint, Term: term, Since: now, Acknowledged: s.Acknowledged,
		Recorded: Recorded{Revision: s.Recorded.Revision},
	}
}

// WithTerm returns the state with a term that was not known before.
func (s State) WithTerm(term uint64) State {
	s.Term = term
	return s
}

// WithClosed returns the state with Closed set, because its primary is being replaced.
func (s State) WithClosed(now time.Duration) State {
	if s.Closed {
		return s
	}
	s.Closed, s.Since = true, now
	return s
}

// WithProof returns the state with a proof that the endpoint was the only primary at
// the time asked or later. It adds the pending sample if the proof covers it.
func (s State) WithProof(asked time.Duration) State {
	s.Proven = max(s.Proven, asked)
	if s.pending.asked > s.LastSampleTime() {
		return s.WithSample(s.pending.asked, s.pending.position)
	}
	return s
}

// WithAnswer returns the state with a position that the primary reported in the answer to
// a request sent at asked. If there is no proof for it yet, it is the pending sample.
func (s State) WithAnswer(asked time.Duration, p position.Position) State {
	s = s.WithSample(asked, p)
	if s.LastSampleTime() != asked {
		s.pending = sample{asked: asked, position: p}
	}
	return s
}

// WithSample returns the state with a position that the primary reported in the
// answer to a request sent at asked. A position is ignored if there is no valid
// proof for asked, or if the last sample is less than sampleSpacing older.
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

// BeingReplaced reports whether a commit that is sent to the endpoint now would
// probably not be acknowledged: the endpoint has been closed for longer than
// CommitGrace, or it is no longer the primary.
func (s State) BeingReplaced(endpoint string, now time.Duration) bool {
	return s.Endpoint != endpoint || (s.Closed && now-s.Since > CommitGrace)
}

// Confirms reports whether a commit that the endpoint has just acknowledged may be reported
// to its client: the endpoint is not being replaced, and a valid proof shows that it was
// the only primary. A change of primary compares the members' logs after the last such
// report.
func (s State) Confirms(endpoint string, now time.Duration) bool {
	return !s.BeingReplaced(endpoint, now) && s.ProvenAt(now)
}

// Open reports whether new work may be sent to the primary.
func (s State) Open() bool { return s.Endpoint != "" && !s.Closed }

// ProvenAt reports whether a proof that is less than ProofLifetime older shows that
// the endpoint was the only primary at the time.
func (s State) ProvenAt(at time.Duration) bool {
	return s.Endpoint != "" && s.Proven > 0 && at-s.Proven < ProofLifetime
}

// ProofExpiring reports whether the proof is so old that it should be renewed.
func (s State) ProofExpiring(now time.Duration) bool { return now-s.Proven > proofRenewAge }

// PositionCovering returns the oldest known position that covers all commits that
// were acknowledged before since. It returns false if there is none.
func (s State) PositionCovering(since time.Duration) (position.Position, bool) {
	i, _ := slices.BinarySearchFunc(s.samples, since, func(known sample, t time.Duration) int {
		return int(known.asked - t)
	})
	if i == len(s.samples) {
		return position.Position{}, false
	}
	return s.samples[i].position, true
}

// LastSample returns the time and the position of the latest sample. It returns false
// if there is none.
func (s State) LastSample() (time.Duration, position.Position, bool) {
	if len(s.samples) == 0 {
		return 0, position.Position{}, false
	}
	last := s.samples[len(s.samples)-1]
	return last.asked, last.position, true
}

// LastSampleTime returns the time of the latest sample; zero for none.
func (s State) LastSampleTime() time.Duration {
	asked, _, _ := s.LastSample()
	return asked
}
