// Package failover decides when the primary of a database group is
// replaced, and by whom. It does no I/O.
package failover

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

const (
	// suspicion is the silence after which a primary that owes an answer is
	// asked.
	suspicion = 200 * time.Millisecond
	// quiet is the silence after which a primary that owes no answer is asked;
	// whoever sends it a statement notices sooner.
	quiet = 5 * time.Second
	// downSilence is how long a primary must be silent while its host refuses
	// connections, so that one broken connection is not taken for a crash.
	downSilence = 100 * time.Millisecond
	// darkSilence is how long a primary may be silent without any sign.
	darkSilence = 450 * time.Millisecond
	// stallTime is how long a commit may wait for a replica.
	stallTime = 500 * time.Millisecond
	// abandonedTime is how long a change of primary may take before another
	// proxy takes it over. A holder gives up well before.
	abandonedTime = 4 * time.Second
	// dutyTime is how long a proxy may hold the duty without a sign before
	// another takes it.
	dutyTime = 4 * time.Second
	// goneTime is how long the store's list may lack a primary; entries that
	// lapsed with the store are back within 2 s.
	goneTime = 2500 * time.Millisecond
	// outpacedTime is how long a group's replicas may serve almost none of its
	// reads while its primary refuses some.
	outpacedTime = 500 * time.Millisecond
	// restTime is how long a primary leads before its group can be outpaced: a
	// change costs it a second of writes.
	restTime = 10 * time.Second
	// OutpacedLag is how late all replicas must apply the log for a change of
	// primary to be worth its cost: they take about as long to catch up. The
	// one that is promoted applies all that it has at once, and the primary
	// before goes on as a replica that lacks nothing.
	OutpacedLag = 1500 * time.Millisecond
	// listTime is how long a proxy must have had the store's list before it may
	// replace a primary. Entries that lapsed with the store are back within 2 s
	// of its return; until then a replica that is not listed may hold commits
	// that the listed ones lack.
	listTime = 3 * time.Second
	// orphanTime is how long a group may be without any primary.
	orphanTime = time.Second
)

// Reason says why a primary is replaced.
type Reason int

// The reasons.
const (
	// None means that the primary stays.
	None Reason = iota
	// Down means that its host refuses connections.
	Down
	// Unresponsive means that it does not answer.
	Unresponsive
	// Leaving means that the platform takes it away.
	Leaving
	// Unlisted means that the platform no longer lists it.
	Unlisted
	// Stalled means that its commits are not acknowledged.
	Stalled
	// Orphaned means that nobody leads.
	Orphaned
	// Abandoned means that a proxy began a change and did not end it.
	Abandoned
	// Outpaced means that its replicas lag, and it cannot carry all reads.
	Outpaced
)

// String returns the name of the reason.
func (r Reason) String() string {
	return [...]string{"None", "Down", "Dark", "Leaving", "Gone", "Stalled", "Orphaned", "Abandoned", "Outpaced"}[r]
}

// Evidence is what one proxy knows of a group's primary. It is immutable.
type Evidence struct {
	// ListAge is how long this proxy has had the store's list of endpoints.
	ListAge time.Duration
	// HasPrimary is false if no endpoint is known to lead.
	HasPrimary bool
	// StateAge is how long the present state has lasted.
	StateAge time.Duration
	// Closed is true while a proxy replaces the primary.
	Closed bool
	// ClosedBySelf is true if this proxy itself closed the record and has no change
	// under way: the answer to its call was lost, or it has started anew.
	ClosedBySelf bool
	// Listed is false if the platform's list lacks the primary, for Unlisted.
	Listed   bool
	Unlisted time.Duration
	// Leaving is true if the platform takes the primary away.
	Leaving bool
	// SilentFor is the time since the primary last answered anything.
	SilentFor time.Duration
	// Running is how many statements are there without an answer.
	Running int
	// Failures counts tries without an answer since then.
	Failures int
	// Refused is true if the last failure was a refused connection.
	Refused bool
	// ProbeFailed is true if a question of the last moments went unanswered.
	ProbeFailed bool
	// StalledFor is how long the oldest commit has waited for its answer.
	StalledFor time.Duration
	// OutpacedFor is for how long the replicas have served almost no reads, and
	// the primary not all of them.
	OutpacedFor time.Duration
	// Successors is how many other endpoints could lead.
	Successors int
}

// DecideReplacement decides whether the primary is replaced.
func DecideReplacement(e Evidence) Reason {
	switch {
	case e.Successors == 0 || e.ListAge < listTime:
		return None
	case e.Closed:
		return when(e.ClosedBySelf || e.StateAge > abandonedTime, Abandoned)
	case !e.HasPrimary:
		return when(e.StateAge > orphanTime, Orphaned)
	case e.Leaving:
		return Leaving
	case e.Refused && e.Failures >= 2 && e.SilentFor > downSilence:
		return Down
	case e.ProbeFailed && e.Failures >= 2 && e.SilentFor > darkSilence:
		return Unresponsive
	case !e.Listed && e.Unlisted > goneTime && e.Failures > 0:
		return Unlisted
	case e.StalledFor > stallTime:
		return Stalled
	case e.OutpacedFor > outpacedTime && e.StateAge > restTime && e.Failures == 0:
		return Outpaced
	}
	return None
}

// ShouldProbe reports whether the primary shall be asked for its status now.
func ShouldProbe(e Evidence) bool {
	if !e.HasPrimary || e.Closed {
		return false
	}
	return e.SilentFor > quiet || (e.Failures > 0 && e.Refused) ||
		(e.SilentFor > suspicion && (e.Failures > 0 || e.Running > 0))
}

// MayTakeDuty reports whether a proxy may take the duty to order promotions, which
// the holder has shown to have at the given age. One proxy holds it at a time,
// for all groups.
func MayTakeDuty(self, holder string, busy bool, age time.Duration) bool {
	return !busy || holder == self || holder == "" || age > dutyTime
}

// when returns the reason if the condition holds.
func when(holds bool, r Reason) Reason {
	if holds {
		return r
	}
	return None
}

// Candidate is an endpoint that was suspended for a change of primary.
type Candidate struct {
	// ID is the endpoint's ID.
	ID string
	// Received is the end of its log.
	Received position.Position
	// Leaving is true if the platform takes it away.
	Leaving bool
}

// Elect returns the candidate that leads next: of those whose log holds all
// commits that are known to be kept, the one whose log holds the most, and of
// two equal logs the one that stays.
func Elect(all []Candidate, kept position.Position) (Candidate, bool) {
	best, found := Candidate{}, false
	for _, c := range all {
		if c.Received.UpToDateWith(kept) && (!found || better(c, best)) {
			best, found = c, true
		}
	}
	return best, found
}

// better reports whether c leads rather than d.
func better(c, d Candidate) bool {
	if c.Received != d.Received {
		return c.Received.UpToDateWith(d.Received)
	}
	return d.Leaving && !c.Leaving
}
