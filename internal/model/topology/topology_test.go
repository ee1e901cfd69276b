package topology_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

// TestAnAddressIsReusedByAnInstanceOfAnotherID guards against an endpoint that counts as
// ended although it is listed or may be listed again.
func TestAnAddressIsReusedByAnInstanceOfAnotherID(t *testing.T) {
	old := topology.Endpoint{ID: "old", Group: "g", Address: "10.0.0.1:5"}
	listed := topology.New(old, topology.Endpoint{ID: "other", Group: "g", Address: "10.0.0.2:5"})
	assert.Assert(t, !listed.AddressReused(old), "the endpoint is listed")
	listed = listed.Without("old")
	assert.Assert(t, !listed.AddressReused(old), "the endpoint may come back")
	listed = listed.With(topology.Endpoint{ID: "new", Group: "h", Address: "10.0.0.1:5"})
	assert.Assert(t, listed.AddressReused(old))
}

func TestWithDoesNotChangeTheSnapshot(t *testing.T) {
	before := topology.New(topology.Endpoint{ID: "a", Group: "g"})
	after := before.With(topology.Endpoint{ID: "b", Group: "g"}).Without("a")
	assert.Equal(t, before.Len(), 1)
	assert.Equal(t, len(before.Group("g")), 1)
	assert.Equal(t, after.Group("g")[0].ID, "b")
}
