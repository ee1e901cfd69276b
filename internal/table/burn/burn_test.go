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

func TestWindowsHoldWhatHappenedInThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_700_000_000, 0)
		now := start
		table := burn.New(start)
		type event struct {
			at   time.Time
			good bool
		}
		var all []event
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Second)
			good := rapid.Bool().Draw(t, "good")
			table.Record(deposits, good, now)
			all = append(all, event{now, good})
		}
		for i, c := range table.Counts(now) {
			length := burn.Windows[i].Length
			assert.Assert(t, c.Covered <= length)
			var least, most uint64
			for _, e := range all {
				// A window is made of whole buckets of 30 s.
				age := now.Sub(e.at)
				if age < length-30*time.Second {
					least++
				}
				if age < length {
					most++
				}
			}
			assert.Assert(t, c.Good+c.Bad >= least && c.Good+c.Bad <= most, "%s: %d of %d to %d", c.Window, c.Good+c.Bad, least, most)
		}
	})
}

func TestARestartedProxySaysHowFarItRemembers(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	table := burn.New(start)
	table.Record(deposits, false, start.Add(time.Minute))
	counts := table.Counts(start.Add(10 * time.Minute))
	assert.Equal(t, counts[0].Covered, 5*time.Minute)
	assert.Equal(t, counts[1].Covered, 10*time.Minute, "an hour is asked for and ten minutes are remembered")
	assert.Equal(t, counts[1].Bad, uint64(1))
	assert.Assert(t, counts[1].Rate() > 99)
}
