package sessions_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/table/sessions"
)

// TestTheRequiredPositionCoversEverythingASessionHasSeen guards against reads
// that miss a session's own writes after the session was evicted, or after the
// table was handed over to the next owner.
func TestTheRequiredPositionCoversEverythingASessionHasSeen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := sessions.New(rapid.IntRange(1, 4).Draw(t, "limit"))
		seen := map[string]position.Position{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := fmt.Sprintf("s%d", rapid.IntRange(0, 7).Draw(t, "name"))
			p := position.Position{Term: 1, Log: uint64(rapid.IntRange(1, 100).Draw(t, "log"))}
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				table.RaiseFloor(p)
			case 1:
				// The next owner restores the table from a handover.
				next := sessions.New(rapid.IntRange(1, 4).Draw(t, "next limit"))
				next.RaiseFloor(table.Floor())
				handedOver := table.All()
				for i := len(handedOver) - 1; i >= 0; i-- {
					next.Record(handedOver[i].Name, handedOver[i].Position)
				}
				table = next
			default:
				table.Record(name, p)
				seen[name] = seen[name].Covering(p)
			}
			for name, p := range seen {
				assert.Assert(t, table.Required(name).Covers(p), "session %s has seen position %v", name, p)
			}
		}
	})
}
