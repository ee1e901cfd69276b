package acknowledgements_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/table/acknowledgements"
)

// told is what became of one answer.
type told struct {
	place     uint64
	delivered int
	held      bool
}

func TestEachAnswerIsDeliveredOnceAndOnlyWhenHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := acknowledgements.New()
		var all []*told
		term, place, held := uint64(1), uint64(0), uint64(0)
		now := time.Unix(1000, 0)
		table.Begin(term)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				term++
				kept := uint64(rapid.IntRange(0, int(place)).Draw(t, "kept"))
				table.ContinueTerm(term, kept)
				held, place = 0, place+1
			case 1, 2:
				held = max(held, uint64(rapid.IntRange(0, int(place)).Draw(t, "held")))
				table.Advance(term, held)
			case 3:
				now = now.Add(time.Second)
				table.Expire(now)
			default:
				place++
				one := &told{place: place}
				all = append(all, one)
				table.Await(position.Position{Term: term, Log: place}, now.Add(2*time.Second), func(ok bool) {
					one.delivered++
					one.held = ok
					if ok {
						assert.Assert(t, one.place <= held, "place %d told at %d", one.place, held)
					}
				})
			}
		}
		table.Begin(term + 1)
		for _, one := range all {
			assert.Equal(t, one.delivered, 1, "place %d", one.place)
		}
	})
}
