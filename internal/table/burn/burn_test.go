package burn_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/model/class"
	"eelgrassladder.example/eelgrassladder/internal/table/burn"
)

var deposits = class.Class{Name: "deposits", Target: class.Target{Share: 0.99, Within: class.Duration(time.Second)}}

func TestWindowsCountTheRequestsWithinThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_700_000_000, 0)
		now := start
		table := burn.New(start)
		type timedRequest struct {
			at   time.Time
			good bool
		}
		var requests []timedRequest
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Second)
			good := rapid.Bool().Draw(t, "good")
			table.Record(deposits, good, now)
			requests = append(requests, timedRequest{now, good})
		}
		for i, c := range table.Counts(now) {
			window := burn.Windows[i].Length
			assert.Assert(t, c.Covered <= window)
			var minimum, maximum uint64
			for _, r := range requests {
				// A window consists of whole buckets of 30 s, so up to 30 s at its
				// beginning are not counted.
				age := now.Sub(r.at)
				if age < window-30*time.Second {
					minimum++
				}
				if age < window {
					maximum++
				}
			}
			assert.Assert(t, c.Good+c.Bad >= minimum && c.Good+c.Bad <= maximum, "window %s counts %d requests, want %d to %d", c.Window, c.Good+c.Bad, minimum, maximum)
		}
	})
}

func TestCountsReportThePartOfAWindowThatIsCovered(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	table := burn.New(start)
	table.Record(deposits, false, start.Add(time.Minute))
	counts := table.Counts(start.Add(10 * time.Minute))
	assert.Equal(t, counts[0].Covered, 5*time.Minute)
	assert.Equal(t, counts[1].Covered, 10*time.Minute, "the table covers ten minutes of the window of an hour")
	assert.Equal(t, counts[1].Bad, uint64(1))
	assert.Assert(t, counts[1].Rate() > 99)
}
