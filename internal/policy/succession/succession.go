// Package succession decides when the primary of a database group is
// replaced, and by whom. It does no I/O.
package succession

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/trade/position"
)

const (
	// probeSilence is the silence after which a primary that owes an answer is
	// asked.
	probeSilence = 200 * time.Millisecond
	// idleProbeSilence is the silence after which a primary that owes no answer is asked;
	// whoever sends it a statement notices sooner.
	idleProbeSilence = 5 * time.Second
	// downSilence is how long a primary must be silent while its host refuses
	// connections, so that one broken connection is not taken for a crash.
	downSilence = 100 * time.Millisecond
	// unresponsiveSilence is how long a primary may be silent without any sign.
	unresponsiveSilence = 450 * time.Millisecond
	// maxCommitWait is how long a commit may wait for a replica.
	maxCommitWait = 500 * time.Millisecond
	// maxChangeTime is how long a change of primary may take before another
	// proxy takes it over. A holder gives up well before.
	maxChangeTime = 4 * time.Second
	// dutyTimeout is how long a proxy may hold the duty without a sign before
	// another takes it.
	dutyTimeout = 4 * time.Second
	// maxUnlistedTime is how long the store's list may lack a primary; entries that
	// lapsed with the store are back within 2 s.
	maxUnlistedTime = 2500 * time.Millisecond
	// minOutpacedTime is how long a group's replicas may serve almost none of its
	// reads while its primary refuses some.
	minOutpacedTime = 500 * time.Millisecond
	// minLeadTime is how long a primary leads before its group can be outpaced: a
	// change costs it a second of writes.
	minLeadTime = 10 * time.Second
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
	// maxLeaderlessTime is how long a group may be without any primary.
	maxLeaderlessTime = time.Second
)

// Reason says why a primary is replaced.
type Reason int

// The reasons.
const (
	// None means that the primary stays.
	None Reason = iota
	// Down means that its host refuses connections.
	Down
	// Dark means that it does not answer.
	Dark
	// Leaving means that the platform takes it away.
	Leaving
	// Gone means that the platform no longer lists it.
	Gone
	// Stalled means that its commits are not acknowledged.
	Stalled
	// Leaderless means that nobody leads.
	Leaderless
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
	// HasList is how long this proxy has had the store's list of endpoints.
	HasList time.Duration
	// Known is false if no endpoint is known to lead.
	Known bool
	// Since is how long the present state has lasted.
	Since time.Duration
	// Closed is true while a proxy replaces the primary.
	Closed bool
	// Own is true if this proxy itself closed the record and has no change
	// under way: the answer to its call was lost, or it has started anew.
	Own bool
	// Listed is false if the platform's list lacks the primary, for Unlisted.
	Listed   bool
	Unlisted time.Duration
	// Leaving is true if the platform takes the primary away.
	Leaving bool
	// Silent is the time since the primary last answered anything.
	Silent time.Duration
	// Running is how many statements are there without an answer.
	Running int
	// Failures counts tries without an answer since then.
	Failures int
	// Refused is true if the last failure was a refused connection.
	Refused bool
	// Probed is true if a question of the last moments went unanswered.
	Probed bool
	// Stalled is how long the oldest commit has waited for its answer.
	Stalled time.Duration
	// Outpaced is for how long the replicas have served almost no reads, and
	// the primary not all of them.
	Outpaced time.Duration
	// Successors is how many other endpoints could lead.
	Successors int
}

// Judge decides whether the primary is replaced.
func Judge(e Evidence) Reason {
	switch {
	case e.Successors == 0 || e.HasList < listTime:
		return None
	case e.Closed:
		return reasonIf(e.Own || e.Since > maxChangeTime, Abandoned)
	case !e.Known:
		return reasonIf(e.Since > maxLeaderlessTime, Leaderless)
	case e.Leaving:
		return Leaving
	case e.Refused && e.Failures >= 2 && e.Silent > downSilence:
		return Down
	case e.Probed && e.Failures >= 2 && e.Silent > unresponsiveSilence:
		return Dark
	case !e.Listed && e.Unlisted > maxUnlistedTime && e.Failures > 0:
		return Gone
	case e.Stalled > maxCommitWait:
		return Stalled
	case e.Outpaced > minOutpacedTime && e.Since > minLeadTime && e.Failures == 0:
		return Outpaced
	}
	return None
}

// Asks reports whether the primary shall be asked for its status now.
func Asks(e Evidence) bool {
	if !e.Known || e.Closed {
		return false
	}
	return e.Silent > idleProbeSilence || (e.Failures > 0 && e.Refused) ||
		(e.Silent > probeSilence && (e.Failures > 0 || e.Running > 0))
}

// Takes reports whether a proxy may take the duty to order promotions, which
// the holder has shown to have at the given age. One proxy holds it at a time,
// for all groups.
func Takes(self, holder string, busy bool, age time.Duration) bool {
	return !busy || holder == self || holder == "" || age > dutyTimeout
}

// reasonIf returns the reason if the condition holds.
func reasonIf(holds bool, r Reason) Reason {
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
func Elect(candidates []Candidate, kept position.Position) (Candidate, bool) {
	best, found := Candidate{}, false
	for _, c := range candidates {
		if c.Received.Holds(kept) && (!found || better(c, best)) {
			best, found = c, true
		}
	}
	return best, found
}

// better reports whether c leads rather than d.
func better(c, d Candidate) bool {
	if c.Received != d.Received {
		return c.Received.Holds(d.Received)
	}
	return d.Leaving && !c.Leaving
}
