package failover

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// SilentTime is how long a change of primary waits for an old primary that
// does not answer, once a member has left. A proxy that has ended may have
// seen later commits acknowledged than the remaining proxies; the old
// primary's log holds them, and most hosts return sooner.
const OldPrimaryWait = 15 * time.Second

// maxMissingTime is how long a change waits for a member that holds the newest
// reported position, while no member has left. A primary reports the end of
// its log, which may be ahead of what it has acknowledged. A replica is listed
// within three heartbeats of 1.2 s.
const maxMissingTime = 4 * time.Second

// Knowledge is what a change of primary knows of acknowledged commits. It is
// immutable.
type AcknowledgedCommits struct {
	// Replicated is true if a commit is acknowledged only once a replica has
	// received it. Otherwise a change of primary may lose commits.
	Replicated bool
	// Recorded is the acknowledged position in the group's record.
	Recorded position.Position
	// Told is the newest position that a primary reported when it answered a
	// commit. Its field Told is false if no proxy has such a report.
	Reported leader.Acknowledged
	// Primary is the end of the old primary's log; zero if it does not answer.
	PrimaryEnd leader.Acknowledged
	// Named is true if the record lists the members.
	MembersRecorded bool
	// Left are the members that have left since Recorded was written. The ends
	// of their logs are unknown.
	Left []string
	// Lacked is how long no member has held the position in Told.
	MissingFor time.Duration
	// Silent is how long the old primary has not answered this proxy.
	SilentFor time.Duration
}

// Floor returns the position that the next primary's log must hold, and false
// if it is not known yet. While all members can be compared, the longest log
// holds all acknowledged commits, and Told only adds a margin for a limited
// time. If a member has left, or the record does not list the members, the end
// of the old primary's log counts instead; Told counts only once the primary
// has been silent for SilentTime.
func (k AcknowledgedCommits) Floor() (leader.Acknowledged, bool) {
	floor := leader.Acknowledged{Position: k.Recorded, Source: leader.SourceRecord}
	compared := k.MembersRecorded && len(k.Left) == 0
	switch {
	case !k.Replicated:
		return leader.Acknowledged{Source: leader.SourceRecord}, true
	case !compared && !k.PrimaryEnd.Position.IsZero():
		return floor.With(k.Reported).With(k.PrimaryEnd), true
	case !compared:
		return floor.With(k.Reported), k.Reported.Observed && k.SilentFor >= OldPrimaryWait
	case k.Reported.Observed && k.MissingFor < maxMissingTime:
		return floor.With(k.Reported), true
	default:
		return floor, true
	}
}
