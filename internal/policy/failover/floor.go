package failover

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// OldPrimaryWait is how long a change of primary waits for an old primary that
// does not answer, once a member has left. A proxy that has ended may have
// seen later commits acknowledged than the remaining proxies; the old
// primary's log holds them, and most hosts return sooner.
const OldPrimaryWait = 15 * time.Second

// maxNoCandidateTime is how long a change waits for a member that holds the newest
// reported position, while no member has left. A primary reports the end of
// its log, which may be ahead of what it has acknowledged. A replica is listed
// within three heartbeats of 1.2 s.
const maxNoCandidateTime = 4 * time.Second

// AcknowledgedCommits is what a change of primary knows of acknowledged
// commits. It is immutable.
type AcknowledgedCommits struct {
	// Replicated is true if a commit is acknowledged only once a replica has
	// received it. Otherwise a change of primary may lose commits.
	Replicated bool
	// Recorded is the acknowledged position in the group's record.
	Recorded position.Position
	// Reported is the newest position that a primary reported when it answered
	// a commit. Its field Observed is false if no proxy has such a report.
	Reported leader.Acknowledged
	// PrimaryEnd is the end of the old primary's log; zero if it does not
	// answer.
	PrimaryEnd leader.Acknowledged
	// MembersRecorded is true if the record lists the members.
	MembersRecorded bool
	// Left are the IDs of the members that have left, or have started again
	// under their IDs, since Recorded was written. The ends of the logs that
	// they had are unknown.
	Left []string
	// NoCandidateFor is how long no member has held the position in Reported.
	NoCandidateFor time.Duration
	// SilentFor is how long the old primary has not answered this proxy.
	SilentFor time.Duration
}

// Floor returns the position that the next primary's log must hold, and false
// if it is not known yet. While all members can be compared, the longest log
// holds all acknowledged commits, and Reported only adds a margin for a
// limited time. If a member has left, or the record does not list the members,
// the position must also cover the end of the old primary's log. If that is
// unknown, Reported is used instead, once the primary has been silent for
// OldPrimaryWait. Without Replicated the position is zero.
func (a AcknowledgedCommits) Floor() (leader.Acknowledged, bool) {
	floor := leader.Acknowledged{Position: a.Recorded, Source: leader.SourceRecord}
	compared := a.MembersRecorded && len(a.Left) == 0
	switch {
	case !a.Replicated:
		return leader.Acknowledged{Source: leader.SourceRecord}, true
	case !compared && !a.PrimaryEnd.Position.IsZero():
		return floor.With(a.Reported).With(a.PrimaryEnd), true
	case !compared:
		return floor.With(a.Reported), a.Reported.Observed && a.SilentFor >= OldPrimaryWait
	case a.Reported.Observed && a.NoCandidateFor < maxNoCandidateTime:
		return floor.With(a.Reported), true
	default:
		return floor, true
	}
}
