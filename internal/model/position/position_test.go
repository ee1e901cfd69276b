package position_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

func TestALogHoldsAnEntryByTermFirst(t *testing.T) {
	kept := position.Position{Term: 3, Log: 209}
	for _, c := range []struct {
		end   position.Position
		holds bool
	}{
		{position.Position{Term: 3, Log: 209}, true},
		{position.Position{Term: 3, Log: 210}, true},
		{position.Position{Term: 3, Log: 208}, false},
		{position.Position{Term: 4, Log: 150}, true},
		{position.Position{Term: 1, Log: 999}, false},
		{position.Position{}, false},
	} {
		assert.Equal(t, c.end.UpToDateWith(kept), c.holds, c.end.String())
		assert.Assert(t, c.end.UpToDateWith(position.Position{}), "nothing is known to be kept")
	}
}
