package failover_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

func TestTheFloorCoversAllCommitsThatMayBeAcknowledged(t *testing.T) {
	at := func(n uint64) position.Position { return position.Position{Term: 2, Log: n} }
	reported := leader.Acknowledged{Position: at(20), Observed: true, Source: "Answer"}
	primary := leader.Acknowledged{Position: at(25), Source: "m-0"}
	left := []string{"m-2"}
	for name, c := range map[string]struct {
		commits failover.AcknowledgedCommits
		want    position.Position
		unknown bool
	}{
		"the reported position": {
			commits: failover.AcknowledgedCommits{Recorded: at(10), Reported: reported, PrimaryEnd: primary, MembersRecorded: true}, want: at(20),
		},
		"the reported position, only for a limited time while all members are compared": {
			commits: failover.AcknowledgedCommits{Recorded: at(10), Reported: reported, MembersRecorded: true, NoCandidateFor: 5 * time.Second}, want: at(10),
		},
		"the reported position, without a limit once a member has left": {
			commits: failover.AcknowledgedCommits{Recorded: at(10), Reported: reported, Left: left, NoCandidateFor: time.Hour, SilentFor: time.Minute}, want: at(20),
		},
		"unknown while a primary that stopped answering after a member left may return": {
			commits: failover.AcknowledgedCommits{Recorded: at(10), Reported: reported, MembersRecorded: true, Left: left, SilentFor: time.Second}, unknown: true,
		},
		"the end of the primary's log once a member has left": {
			commits: failover.AcknowledgedCommits{Recorded: at(10), Reported: reported, PrimaryEnd: primary, MembersRecorded: true, Left: left}, want: at(25),
		},
		"the end of the primary's log if no proxy has a report and a member has left": {
			commits: failover.AcknowledgedCommits{Recorded: at(10), PrimaryEnd: primary, MembersRecorded: true, Left: left, NoCandidateFor: time.Hour}, want: at(25),
		},
		"the end of the primary's log if no proxy has a report and no members are recorded": {
			commits: failover.AcknowledgedCommits{PrimaryEnd: primary}, want: at(25),
		},
		"the recorded position if all recorded members are compared": {
			commits: failover.AcknowledgedCommits{Recorded: at(10), PrimaryEnd: primary, MembersRecorded: true}, want: at(10),
		},
		"the reported position, without a limit if no members are recorded": {
			commits: failover.AcknowledgedCommits{Reported: reported, NoCandidateFor: time.Hour, SilentFor: time.Minute}, want: at(20),
		},
		"no log end or reported position is known and a member has left": {
			commits: failover.AcknowledgedCommits{Recorded: at(10), MembersRecorded: true, Left: left}, unknown: true,
		},
		"no position is known and no members are recorded": {unknown: true},
	} {
		c.commits.Replicated = true
		floor, known := c.commits.Floor()
		assert.Equal(t, known, !c.unknown, name)
		if known {
			assert.Equal(t, floor.Position, c.want, name)
		}
	}
}

func TestAnUnreplicatedGroupHasNoFloor(t *testing.T) {
	floor, known := failover.AcknowledgedCommits{Recorded: position.Position{Term: 2, Log: 9}, Left: []string{"m-2"}}.Floor()
	assert.Assert(t, known)
	assert.Assert(t, floor.Position.IsZero())
}
