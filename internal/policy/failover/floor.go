package failover

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// OldPrimaryWait is how long an old primary that does not answer is waited for once
// a member has left. What was told may then be less than what was acknowledged,
// if the proxy that was told more has ended; most hosts are back sooner.
const OldPrimaryWait = 15 * time.Second

// lackTime is how long a change waits for a member that holds the newest
// position that was told, while no member has left. The primary tells the end of
// its log, which may be some commits ahead of what it has acknowledged; and a
// member that receives is listed within three heartbeats of 1.2 s.
const lackTime = 4 * time.Second

// AcknowledgedCommits is what a change of primary knows of acknowledged commits. It is
// immutable.
type AcknowledgedCommits struct {
	// Replicated is true if a commit is acknowledged only once a replica has it.
	// Otherwise nothing is promised to be kept by a change.
	Replicated bool
	// Recorded is the kept position in the group's record.
	Recorded position.Position
	// Reported is the newest that an answer to a commit told; its field Reported is
	// false if no proxy remembers one.
	Reported leader.Acknowledged
	// PrimaryEnd is the end of the old primary's log; zero if it does not tell.
	PrimaryEnd leader.Acknowledged
	// MembersRecorded is true if the record names the members.
	MembersRecorded bool
	// Left are members that have left since Recorded was known. Nobody can ask
	// them what they had received.
	Left []string
	// MissingFor is for how long no member has held what was told.
	MissingFor time.Duration
	// SilentFor is for how long the old primary has answered nobody here.
	SilentFor time.Duration
}

// Floor returns the position that the next primary must hold, and whether it is
// known. While all members are compared, the longest log holds all that was
// acknowledged, and what was told adds a margin for a time only. Where one has
// left, or nobody has noted who they were, what the old primary has counts; what
// was told does only if the primary stays silent.
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
	case k.Reported.Observed && k.MissingFor < lackTime:
		return floor.With(k.Reported), true
	default:
		return floor, true
	}
}
