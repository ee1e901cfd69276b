package succession

import (
	"time"

	"eelgrassladder.example/eelgrassladder/internal/trade/lead"
	"eelgrassladder.example/eelgrassladder/internal/trade/position"
)

// SilentTime is how long an old primary that does not answer is waited for once
// a member has left. What was told may then be less than what was acknowledged,
// if the proxy that was told more has ended; most hosts are back sooner.
const SilentTime = 15 * time.Second

// maxMissingTime is how long a change waits for a member that holds the newest
// position that was told, while no member has left. The primary tells the end of
// its log, which may be some commits ahead of what it has acknowledged; and a
// member that receives is listed within three heartbeats of 1.2 s.
const maxMissingTime = 4 * time.Second

// Knowledge is what a change of primary knows of acknowledged commits. It is
// immutable.
type Knowledge struct {
	// Replicated is true if a commit is acknowledged only once a replica has it.
	// Otherwise nothing is promised to be kept by a change.
	Replicated bool
	// Recorded is the kept position in the group's record.
	Recorded position.Position
	// Told is the newest that an answer to a commit told; its field Told is
	// false if no proxy remembers one.
	Told lead.Kept
	// Primary is the end of the old primary's log; zero if it does not tell.
	Primary lead.Kept
	// Named is true if the record names the members.
	Named bool
	// Left are members that have left since Recorded was known. Nobody can ask
	// them what they had received.
	Left []string
	// Lacked is for how long no member has held what was told.
	Lacked time.Duration
	// Silent is for how long the old primary has answered nobody here.
	Silent time.Duration
}

// Floor returns the position that the next primary must hold, and whether it is
// known. While all members are compared, the longest log holds all that was
// acknowledged, and what was told adds a margin for a time only. Where one has
// left, or nobody has noted who they were, what the old primary has counts; what
// was told does only if the primary stays silent.
func (k Knowledge) Floor() (lead.Kept, bool) {
	floor := lead.Kept{Position: k.Recorded, Source: lead.SourceRecord}
	compared := k.Named && len(k.Left) == 0
	switch {
	case !k.Replicated:
		return lead.Kept{Source: lead.SourceRecord}, true
	case !compared && !k.Primary.Position.IsZero():
		return floor.With(k.Told).With(k.Primary), true
	case !compared:
		return floor.With(k.Told), k.Told.Told && k.Silent >= SilentTime
	case k.Told.Told && k.Lacked < maxMissingTime:
		return floor.With(k.Told), true
	default:
		return floor, true
	}
}
