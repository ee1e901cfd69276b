package roster_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/trade/roster"
)

func TestAnInstanceAtTheSameAddressReplacesOneThatIsNotListed(t *testing.T) {
	old := roster.Endpoint{ID: "old", Group: "g", Address: "10.0.0.1:5"}
	r := roster.New(old, roster.Endpoint{ID: "other", Group: "g", Address: "10.0.0.2:5"})
	assert.Assert(t, !r.Replaced(old), "it is listed")
	r = r.Without("old")
	assert.Assert(t, !r.Replaced(old), "it may come back")
	r = r.With(roster.Endpoint{ID: "new", Group: "h", Address: "10.0.0.1:5"})
	assert.Assert(t, r.Replaced(old))
}

func TestARosterIsNotChangedByWith(t *testing.T) {
	r := roster.New(roster.Endpoint{ID: "a", Group: "g"})
	next := r.With(roster.Endpoint{ID: "b", Group: "g"}).Without("a")
	assert.Equal(t, r.Len(), 1)
	assert.Equal(t, len(r.Group("g")), 1)
	assert.Equal(t, next.Group("g")[0].ID, "b")
}
