package topology_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

func TestAnInstanceAtTheSameAddressReplacesOneThatIsNotListed(t *testing.T) {
	old := topology.Endpoint{ID: "old", Group: "g", Address: "10.0.0.1:5"}
	r := topology.New(old, topology.Endpoint{ID: "other", Group: "g", Address: "10.0.0.2:5"})
	assert.Assert(t, !r.AddressReused(old), "it is listed")
	r = r.Without("old")
	assert.Assert(t, !r.AddressReused(old), "it may come back")
	r = r.With(topology.Endpoint{ID: "new", Group: "h", Address: "10.0.0.1:5"})
	assert.Assert(t, r.AddressReused(old))
}

func TestARosterIsNotChangedByWith(t *testing.T) {
	r := topology.New(topology.Endpoint{ID: "a", Group: "g"})
	next := r.With(topology.Endpoint{ID: "b", Group: "g"}).Without("a")
	assert.Equal(t, r.Len(), 1)
	assert.Equal(t, len(r.Group("g")), 1)
	assert.Equal(t, next.Group("g")[0].ID, "b")
}
