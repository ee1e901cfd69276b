package failover_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

func TestWhatTheNextPrimaryMustHold(t *testing.T) {
	at := func(n uint64) position.Position { return position.Position{Term: 2, Log: n} }
	told := leader.Acknowledged{Position: at(20), Observed: true, Source: "Answer"}
	primary := leader.Acknowledged{Position: at(25), Source: "m-0"}
	left := []string{"m-2"}
	for name, c := range map[string]struct {
		knowledge failover.AcknowledgedCommits
		want      position.Position
		unknown   bool
	}{
		"what was told": {
			knowledge: failover.AcknowledgedCommits{Recorded: at(10), Reported: told, PrimaryEnd: primary, MembersRecorded: true}, want: at(20),
		},
		"what was told, only for a time while all members are compared": {
			knowledge: failover.AcknowledgedCommits{Recorded: at(10), Reported: told, MembersRecorded: true, MissingFor: 5 * time.Second}, want: at(10),
		},
		"what was told, without end once a member has left": {
			knowledge: failover.AcknowledgedCommits{Recorded: at(10), Reported: told, Left: left, MissingFor: time.Hour, SilentFor: time.Minute}, want: at(20),
		},
		"a member has left, and the primary may come back": {
			knowledge: failover.AcknowledgedCommits{Recorded: at(10), Reported: told, MembersRecorded: true, Left: left, SilentFor: time.Second}, unknown: true,
		},
		"all that the primary has, once a member has left": {
			knowledge: failover.AcknowledgedCommits{Recorded: at(10), Reported: told, PrimaryEnd: primary, MembersRecorded: true, Left: left}, want: at(25),
		},
		"the primary's log where nobody remembers and a member has left": {
			knowledge: failover.AcknowledgedCommits{Recorded: at(10), PrimaryEnd: primary, MembersRecorded: true, Left: left, MissingFor: time.Hour}, want: at(25),
		},
		"the primary's log where nobody remembers and no member is named": {
			knowledge: failover.AcknowledgedCommits{PrimaryEnd: primary}, want: at(25),
		},
		"the record where all named members are compared": {
			knowledge: failover.AcknowledgedCommits{Recorded: at(10), PrimaryEnd: primary, MembersRecorded: true}, want: at(10),
		},
		"what was told, without end where no member is named": {
			knowledge: failover.AcknowledgedCommits{Reported: told, MissingFor: time.Hour, SilentFor: time.Minute}, want: at(20),
		},
		"nothing is known, and a member has left": {
			knowledge: failover.AcknowledgedCommits{Recorded: at(10), MembersRecorded: true, Left: left}, unknown: true,
		},
		"nothing is known, and no member is named": {unknown: true},
	} {
		c.knowledge.Replicated = true
		floor, known := c.knowledge.Floor()
		assert.Equal(t, known, !c.unknown, name)
		if known {
			assert.Equal(t, floor.Position, c.want, name)
		}
	}
}

func TestAGroupThatPromisesNothingIsNotHeldUp(t *testing.T) {
	floor, known := failover.AcknowledgedCommits{Recorded: position.Position{Term: 2, Log: 9}, Left: []string{"m-2"}}.Floor()
	assert.Assert(t, known)
	assert.Assert(t, floor.Position.IsZero())
}
