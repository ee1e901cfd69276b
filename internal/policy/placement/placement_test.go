package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/policy/placement"
)

const now = time.Hour

// proven is the lead of member p with a proof and a position of a moment ago.
func proven() leader.State {
	return leader.State{}.WithPrimary("p", 1, now-time.Minute).WithProof(now-100*time.Millisecond).
		WithSample(now-800*time.Millisecond, position.Position{Term: 1, Log: 9}).
		WithSample(now-200*time.Millisecond, position.Position{Term: 1, Log: 12})
}

// places are a primary elsewhere and two replicas, one of them near.
func places() []placement.EndpointSnapshot {
	service := 10 * time.Millisecond
	return []placement.EndpointSnapshot{
		{ID: "p", Usable: true, Free: true, Slots: 2, Service: service},
		{ID: "near", Usable: true, Free: true, Slots: 2, Service: service, Local: true},
		{ID: "far", Usable: true, Free: true, Slots: 2, Service: service},
	}
}

func bounded() placement.Need {
	return placement.Need{Group: "g", Consistency: route.Bounded, Staleness: time.Second}
}

func TestABoundedReadGoesToTheNearReplicaWithTheOldestAllowedPosition(t *testing.T) {
	c := placement.Choose(bounded(), proven(), places(), now)
	assert.Equal(t, c.Index, 1)
	assert.Equal(t, c.After, position.Position{Term: 1, Log: 9})
}

func TestAReadOfOwnWritesNeedsThem(t *testing.T) {
	n := bounded()
	n.Consistency, n.Required = route.ReadYourWrites, position.Position{Term: 1, Log: 30}
	c := placement.Choose(n, proven(), places(), now)
	assert.Equal(t, c.After, position.Position{Term: 1, Log: 30})
	all := places()
	for i := range all[1:] {
		all[i+1].Behind = position.Position{Term: 1, Log: 20}
	}
	c = placement.Choose(n, proven(), all, now)
	assert.Equal(t, c.Index, 0, "both replicas lack it")
	assert.Assert(t, c.After.IsZero())
}

func TestWithoutAProofOnlyWritesGoToThePrimary(t *testing.T) {
	l := leader.State{}.WithPrimary("p", 1, now)
	c := placement.Choose(placement.Need{Write: true}, l, places(), now)
	assert.Equal(t, c.Index, 0)
	for _, n := range []placement.Need{
		{Consistency: route.Primary}, {Write: true, Reads: true, Consistency: route.Primary}, bounded(),
	} {
		c = placement.Choose(n, l, places(), now)
		assert.Equal(t, c.Index, -1)
		assert.Assert(t, c.AwaitsProof)
	}
}

func TestNothingNewGoesToAPrimaryThatIsReplaced(t *testing.T) {
	l := proven().WithClosed(now)
	for _, n := range []placement.Need{{Write: true}, {Consistency: route.Primary}} {
		assert.Equal(t, placement.Choose(n, l, places(), now).Index, -1)
	}
	assert.Equal(t, placement.Choose(bounded(), l, places(), now).Index, 1, "replicas serve on")
}

func TestUnusableAndFullEndpointsArePassedBy(t *testing.T) {
	all := places()
	all[1].Free = false
	assert.Equal(t, placement.Choose(bounded(), proven(), all, now).Index, 2)
	all[2].Usable = false
	assert.Equal(t, placement.Choose(bounded(), proven(), all, now).Index, 0)
	all[0].Usable = false
	assert.Equal(t, placement.Choose(bounded(), proven(), all, now).Index, -1)
}

func TestASlowOrCrowdedEndpointCostsMoreThanAFarOne(t *testing.T) {
	all := places()
	all[1].Service = 100 * time.Millisecond
	assert.Equal(t, placement.Choose(bounded(), proven(), all, now).Index, 2)
	all = places()
	all[1].Running = 12
	assert.Equal(t, placement.Choose(bounded(), proven(), all, now).Index, 2)
	n := bounded()
	n.Avoid = "near"
	assert.Equal(t, placement.Choose(n, proven(), places(), now).Index, 2)
}
