package acknowledgements_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/table/acknowledgements"
)

// delivery records how one answer was delivered.
type delivery struct {
	index     uint64
	count     int
	committed bool
}

// TestEachAnswerIsDeliveredOnceAndOnlyWhenCommitted guards against answers that
// are lost or delivered twice when terms change or deadlines pass, and against
// an acknowledgement before a majority holds the index.
func TestEachAnswerIsDeliveredOnceAndOnlyWhenCommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := acknowledgements.New()
		var deliveries []*delivery
		term, index, commitIndex := uint64(1), uint64(0), uint64(0)
		now := time.Unix(1000, 0)
		table.Begin(term)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				term++
				committed := uint64(rapid.IntRange(0, int(index)).Draw(t, "committed"))
				table.ContinueTerm(term, committed)
				commitIndex, index = 0, index+1
			case 1, 2:
				commitIndex = max(commitIndex, uint64(rapid.IntRange(0, int(index)).Draw(t, "commit index")))
				table.Advance(term, commitIndex)
			case 3:
				now = now.Add(time.Second)
				table.Expire(now)
			default:
				index++
				d := &delivery{index: index}
				deliveries = append(deliveries, d)
				table.Await(position.Position{Term: term, Log: index}, now.Add(2*time.Second), func(committed bool) {
					d.count++
					d.committed = committed
					if committed {
						assert.Assert(t, d.index <= commitIndex, "index %d was acknowledged at commit index %d", d.index, commitIndex)
					}
				})
			}
		}
		table.Begin(term + 1)
		for _, d := range deliveries {
			assert.Equal(t, d.count, 1, "deliveries of the answer at index %d", d.index)
		}
	})
}
