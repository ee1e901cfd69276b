package succession_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/policy/succession"
	"eelgrassladder.example/eelgrassladder/internal/trade/lead"
	"eelgrassladder.example/eelgrassladder/internal/trade/position"
)

func TestWhatTheNextPrimaryMustHold(t *testing.T) {
	at := func(n uint64) position.Position { return position.Position{Term: 2, Log: n} }
	reported := lead.Kept{Position: at(20), Told: true, Source: "Answer"}
	primary := lead.Kept{Position: at(25), Source: "m-0"}
	left := []string{"m-2"}
	for name, c := range map[string]struct {
		knowledge succession.Knowledge
		want      position.Position
		unknown   bool
	}{
		"the reported position": {
			knowledge: succession.Knowledge{Recorded: at(10), Told: reported, Primary: primary, Named: true}, want: at(20),
		},
		"the reported position, only for a limited time while all members are compared": {
			knowledge: succession.Knowledge{Recorded: at(10), Told: reported, Named: true, Lacked: 5 * time.Second}, want: at(10),
		},
		"the reported position, without a limit once a member has left": {
			knowledge: succession.Knowledge{Recorded: at(10), Told: reported, Left: left, Lacked: time.Hour, Silent: time.Minute}, want: at(20),
		},
		"a member has left, and the primary may return": {
			knowledge: succession.Knowledge{Recorded: at(10), Told: reported, Named: true, Left: left, Silent: time.Second}, unknown: true,
		},
		"the end of the primary's log once a member has left": {
			knowledge: succession.Knowledge{Recorded: at(10), Told: reported, Primary: primary, Named: true, Left: left}, want: at(25),
		},
		"the end of the primary's log if no proxy has a report and a member has left": {
			knowledge: succession.Knowledge{Recorded: at(10), Primary: primary, Named: true, Left: left, Lacked: time.Hour}, want: at(25),
		},
		"the end of the primary's log if no proxy has a report and no members are recorded": {
			knowledge: succession.Knowledge{Primary: primary}, want: at(25),
		},
		"the recorded position if all recorded members are compared": {
			knowledge: succession.Knowledge{Recorded: at(10), Primary: primary, Named: true}, want: at(10),
		},
		"the reported position, without a limit if no members are recorded": {
			knowledge: succession.Knowledge{Told: reported, Lacked: time.Hour, Silent: time.Minute}, want: at(20),
		},
		"nothing is known and a member has left": {
			knowledge: succession.Knowledge{Recorded: at(10), Named: true, Left: left}, unknown: true,
		},
		"nothing is known and no members are recorded": {unknown: true},
	} {
		c.knowledge.Replicated = true
		floor, known := c.knowledge.Floor()
		assert.Equal(t, known, !c.unknown, name)
		if known {
			assert.Equal(t, floor.Position, c.want, name)
		}
	}
}

func TestAnUnreplicatedGroupHasNoFloor(t *testing.T) {
	floor, known := succession.Knowledge{Recorded: position.Position{Term: 2, Log: 9}, Left: []string{"m-2"}}.Floor()
	assert.Assert(t, known)
	assert.Assert(t, floor.Position.IsZero())
}
