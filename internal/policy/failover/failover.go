// Package failover decides when the primary of a database group is replaced
// and which member becomes the next primary. It does no I/O.
package failover

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

const (
	// probeSilence is the silence after which a primary with statements or
	// failures pending is probed.
	probeSilence = 200 * time.Millisecond
	// idleProbeSilence is the silence after which an idle primary is probed. A
	// statement sent to it detects a failure sooner. Where connections are pooled, only
	// poolers do: each of the others would open a connection that few are left for.
	idleProbeSilence = 5 * time.Second
	// downSilence is how long a primary must be silent while its host refuses
	// connections, so that one broken connection does not count as a crash.
	downSilence = 100 * time.Millisecond
	// unresponsiveSilence is how long a primary may be silent before a failed
	// probe counts as a failure of the primary.
	unresponsiveSilence = 450 * time.Millisecond
	// maxCommitWait is how long a commit may wait for a replica before the
	// primary counts as stalled.
	maxCommitWait = 500 * time.Millisecond
	// MaxChangeTime is how long a change of primary may take before another
	// proxy takes it over. The proxy that runs it gives up well before.
	MaxChangeTime = 4 * time.Second
	// lockTimeout is how long the holder of the promotion lock may show no
	// progress before another proxy may take the lock.
	lockTimeout = 4 * time.Second
	// maxUnlistedTime is how long the primary may be missing from the store's
	// list. Entries that expired while the store was down return within 2 s.
	maxUnlistedTime = 2500 * time.Millisecond
	// minOutpacedTime is how long replicas must have served almost no reads,
	// while the primary refused some, before the primary is replaced.
	minOutpacedTime = 500 * time.Millisecond
	// minLeadTime is how long a primary leads before it may be replaced as
	// Outpaced: a change of primary costs the group a second of writes.
	minLeadTime = 10 * time.Second
	// OutpacedLag is the apply lag of all replicas from which a change of
	// primary is worth its cost: catching up would take them about as long.
	// The promoted replica applies its received log at once, and the former
	// primary continues as a replica that is up to date.
	OutpacedLag = 1500 * time.Millisecond
	// minListAge is how long a proxy must have had the store's list before it
	// may replace a primary. After an outage of the store, expired entries
	// return within 2 s; until then an unlisted replica may hold commits that
	// the listed replicas lack.
	minListAge = 3 * time.Second
	// maxLeaderlessTime is how long a group may have no primary.
	maxLeaderlessTime = time.Second
)

// Reason says why a primary is replaced. String returns the text that logs and
// metrics use.
type Reason int

// Reasons for replacing a primary.
const (
	// None means that the primary stays.
	None Reason = iota
	// Down means that its host refuses connections.
	Down
	// Unresponsive means that the primary does not answer. Its text is "Dark".
	Unresponsive
	// Leaving means that the platform is removing the primary.
	Leaving
	// Unlisted means that the platform's list lacks the primary. Its text is
	// "Gone".
	Unlisted
	// Stalled means that the primary acknowledges no commits.
	Stalled
	// Leaderless means that the group has no primary. Its text is "Orphaned".
	Leaderless
	// Abandoned means that a proxy began a change of primary and did not
	// finish it.
	Abandoned
	// Outpaced means that the replicas lag and the primary cannot serve all
	// reads alone.
	Outpaced
)

// String returns the reason's text in logs and metrics.
func (r Reason) String() string {
	return [...]string{"None", "Down", "Dark", "Leaving", "Gone", "Stalled", "Orphaned", "Abandoned", "Outpaced"}[r]
}

// Evidence is one proxy's view of a group's primary. It is immutable.
type Evidence struct {
	// ListAge is how long this proxy has had the store's list of endpoints.
	ListAge time.Duration
	// HasPrimary is true if an endpoint is known to be the primary.
	HasPrimary bool
	// StateAge is how long the primary and Closed have not changed.
	StateAge time.Duration
	// Closed is true while a proxy replaces the primary.
	Closed bool
	// ClosedBySelf is true if this proxy closed the record but is not changing
	// the primary now: the response to its write was lost, or the proxy was
	// restarted.
	ClosedBySelf bool
	// Listed is false if the platform's list has lacked the primary for
	// UnlistedFor.
	Listed      bool
	UnlistedFor time.Duration
	// Leaving is true if the platform is removing the primary.
	Leaving bool
	// SilentFor is the time since the primary last answered.
	SilentFor time.Duration
	// Pooled is true if other proxies, which pool the connections to the primary, run the
	// operations of this one. They notice if it does not answer.
	Pooled bool
	// Running is how many statements wait for the primary's answer.
	Running int
	// Failures counts failed attempts since the primary last answered.
	Failures int
	// Refused is true if the last failure was a refused connection.
	Refused bool
	// Reset is true if the last failure was the reset of an open connection. It does
	// not prove that the primary is down, but a probe soon tells.
	Reset bool
	// ProbeFailed is true if a probe failed after the last answer.
	ProbeFailed bool
	// StalledFor is how long the oldest pending commit has waited.
	StalledFor time.Duration
	// OutpacedFor is how long the replicas have served almost no reads while
	// the primary refused some.
	OutpacedFor time.Duration
	// Successors is how many other endpoints could become the primary.
	Successors int
}

// DecideReplacement returns the reason to replace the primary, or None.
func DecideReplacement(e Evidence) Reason {
	switch {
	case e.Successors == 0 || e.ListAge < minListAge:
		return None
	case e.Closed:
		return reasonIf(e.ClosedBySelf || e.StateAge > MaxChangeTime, Abandoned)
	case !e.HasPrimary:
		return reasonIf(e.StateAge > maxLeaderlessTime, Leaderless)
	case e.Leaving:
		return Leaving
	case e.Refused && e.Failures >= 2 && e.SilentFor > downSilence:
		return Down
	case e.ProbeFailed && e.Failures >= 2 && e.SilentFor > unresponsiveSilence:
		return Unresponsive
	case !e.Listed && e.UnlistedFor > maxUnlistedTime && e.Failures > 0:
		return Unlisted
	case e.StalledFor > maxCommitWait:
		return Stalled
	case e.OutpacedFor > minOutpacedTime && e.StateAge > minLeadTime && e.Failures == 0:
		return Outpaced
	}
	return None
}

// ShouldProbe reports whether the primary should be probed now.
func ShouldProbe(e Evidence) bool {
	if !e.HasPrimary || e.Closed {
		return false
	}
	return (e.SilentFor > idleProbeSilence && !e.Pooled) || (e.Failures > 0 && (e.Refused || e.Reset)) ||
		(e.SilentFor > probeSilence && (e.Failures > 0 || e.Running > 0))
}

// MayTakeLock reports whether the proxy self may take the promotion lock,
// which holder holds; holder is empty if nobody does. Busy is true while the
// holder changes a primary, and age is the time since this proxy last saw the
// holder renew the lock. One proxy at a time holds it, for all groups.
func MayTakeLock(self, holder string, busy bool, age time.Duration) bool {
	return !busy || holder == self || holder == "" || age > lockTimeout
}

func reasonIf(holds bool, r Reason) Reason {
	if holds {
		return r
	}
	return None
}

// Candidate is an endpoint that was suspended for a change of primary and may
// be promoted.
type Candidate struct {
	// ID is the endpoint's ID.
	ID string
	// Received is the end of the endpoint's log.
	Received position.Position
	// Leaving is true if the platform is removing the endpoint.
	Leaving bool
}

// Elect returns the candidate to promote: of the candidates whose log holds
// floor, the one with the longest log. Of two equal logs, the endpoint that is
// not leaving wins. It returns false if no log holds floor.
func Elect(candidates []Candidate, floor position.Position) (Candidate, bool) {
	best, found := Candidate{}, false
	for _, c := range candidates {
		if c.Received.UpToDateWith(floor) && (!found || preferred(c, best)) {
			best, found = c, true
		}
	}
	return best, found
}

// preferred reports whether Elect prefers c to d.
func preferred(c, d Candidate) bool {
	if c.Received != d.Received {
		return c.Received.UpToDateWith(d.Received)
	}
	return d.Leaving && !c.Leaving
}
