package position_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// TestUpToDateWithComparesTermsFirst guards against a member with a longer log of an earlier
// term that is taken for one that holds an acknowledged commit.
func TestUpToDateWithComparesTermsFirst(t *testing.T) {
	acknowledged := position.Position{Term: 3, Log: 209}
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
		assert.Equal(t, c.end.UpToDateWith(acknowledged), c.holds, c.end.String())
		assert.Assert(t, c.end.UpToDateWith(position.Position{}), "nothing is known to be acknowledged")
	}
}
