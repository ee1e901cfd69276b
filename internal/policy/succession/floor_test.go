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
		"what was told": {
			knowledge: succession.Knowledge{Recorded: at(10), Told: reported, Primary: primary, Named: true}, want: at(20),
		},
		"what was told, only for a time while all members are compared": {
			knowledge: succession.Knowledge{Recorded: at(10), Told: reported, Named: true, Lacked: 5 * time.Second}, want: at(10),
		},
		"what was told, without end once a member has left": {
			knowledge: succession.Knowledge{Recorded: at(10), Told: reported, Left: left, Lacked: time.Hour, Silent: time.Minute}, want: at(20),
		},
		"a member has left, and the primary may come back": {
			knowledge: succession.Knowledge{Recorded: at(10), Told: reported, Named: true, Left: left, Silent: time.Second}, unknown: true,
		},
		"all that the primary has, once a member has left": {
			knowledge: succession.Knowledge{Recorded: at(10), Told: reported, Primary: primary, Named: true, Left: left}, want: at(25),
		},
		"the primary's log where nobody remembers and a member has left": {
			knowledge: succession.Knowledge{Recorded: at(10), Primary: primary, Named: true, Left: left, Lacked: time.Hour}, want: at(25),
		},
		"the primary's log where nobody remembers and no member is named": {
			knowledge: succession.Knowledge{Primary: primary}, want: at(25),
		},
		"the record where all named members are compared": {
			knowledge: succession.Knowledge{Recorded: at(10), Primary: primary, Named: true}, want: at(10),
		},
		"what was told, without end where no member is named": {
			knowledge: succession.Knowledge{Told: reported, Lacked: time.Hour, Silent: time.Minute}, want: at(20),
		},
		"nothing is known, and a member has left": {
			knowledge: succession.Knowledge{Recorded: at(10), Named: true, Left: left}, unknown: true,
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

func TestAnUnreplicatedGroupHasNoFloor(t *testing.T) {
	floor, known := succession.Knowledge{Recorded: position.Position{Term: 2, Log: 9}, Left: []string{"m-2"}}.Floor()
	assert.Assert(t, known)
	assert.Assert(t, floor.Position.IsZero())
}
