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

// now is the present as a time since boot.
const now = time.Hour

// provenLeader returns the state of a group whose primary is p, with a recent
// proof and two recent positions.
func provenLeader() leader.State {
	return leader.State{}.WithPrimary("p", 1, now-time.Minute).WithProof(now-100*time.Millisecond).
		WithSample(now-800*time.Millisecond, position.Position{Term: 1, Log: 9}).
		WithSample(now-200*time.Millisecond, position.Position{Term: 1, Log: 12})
}

// endpoints returns a remote primary and two replicas, the first of them local.
func endpoints() []placement.EndpointSnapshot {
	service := 10 * time.Millisecond
	return []placement.EndpointSnapshot{
		{ID: "p", Usable: true, Available: true, Slots: 2, ServiceTime: service},
		{ID: "near", Usable: true, Available: true, Slots: 2, ServiceTime: service, Local: true},
		{ID: "far", Usable: true, Available: true, Slots: 2, ServiceTime: service},
	}
}

func boundedRead() placement.Need {
	return placement.Need{Group: "g", Consistency: route.Bounded, Staleness: time.Second}
}

func TestABoundedReadGoesToTheNearReplicaWithTheOldestAllowedPosition(t *testing.T) {
	c := placement.Choose(boundedRead(), provenLeader(), endpoints(), now)
	assert.Equal(t, c.Index, 1)
	assert.Equal(t, c.After, position.Position{Term: 1, Log: 9})
}

func TestAReadThatIsTooLongWithItsPositionGoesToThePrimary(t *testing.T) {
	c := placement.Choose(boundedRead(), provenLeader(), endpoints(), now)
	n, ok := placement.Shorten(boundedRead(), c.After)
	assert.Assert(t, ok)
	proven := provenLeader().WithProof(now)
	c = placement.Choose(n, proven, endpoints(), now)
	assert.Equal(t, c.Index, 0)
	_, ok = placement.Shorten(n, c.After)
	assert.Assert(t, !ok, "it is too long without a position")
}

func TestAReadOfOwnWritesNeedsThem(t *testing.T) {
	n := boundedRead()
	n.Consistency, n.Required = route.ReadYourWrites, position.Position{Term: 1, Log: 30}
	c := placement.Choose(n, provenLeader(), endpoints(), now)
	assert.Equal(t, c.After, position.Position{Term: 1, Log: 30})
	changed := endpoints()
	for i := range changed[1:] {
		changed[i+1].Lacked = position.Position{Term: 1, Log: 20}
	}
	c = placement.Choose(n, provenLeader(), changed, now)
	assert.Equal(t, c.Index, 0, "both replicas lack it")
	assert.Assert(t, c.After.IsZero())
}

// TestWithoutAProofNothingGoesToThePrimary guards against writes at a primary that was
// replaced, which acknowledges them as long as any replica receives them.
func TestWithoutAProofNothingGoesToThePrimary(t *testing.T) {
	l := leader.State{}.WithPrimary("p", 1, now)
	for _, n := range []placement.Need{
		{Write: true},
		{Write: true, Consistency: route.ReadYourWrites, Staleness: time.Minute},
		{Consistency: route.Primary},
		{Write: true, Reads: true, Consistency: route.Primary},
		boundedRead(),
	} {
		c := placement.Choose(n, l, endpoints(), now)
		assert.Equal(t, c.Index, -1)
		assert.Assert(t, c.AwaitsProof)
	}
}

func TestNothingNewGoesToAPrimaryThatIsReplaced(t *testing.T) {
	l := provenLeader().WithClosed(now)
	for _, n := range []placement.Need{{Write: true}, {Consistency: route.Primary}} {
		assert.Equal(t, placement.Choose(n, l, endpoints(), now).Index, -1)
	}
	assert.Equal(t, placement.Choose(boundedRead(), l, endpoints(), now).Index, 1, "replicas continue to serve")
}

func TestUnusableAndFullEndpointsAreSkipped(t *testing.T) {
	changed := endpoints()
	changed[1].Available = false
	assert.Equal(t, placement.Choose(boundedRead(), provenLeader(), changed, now).Index, 2)
	changed[2].Usable = false
	assert.Equal(t, placement.Choose(boundedRead(), provenLeader(), changed, now).Index, 0)
	changed[0].Usable = false
	assert.Equal(t, placement.Choose(boundedRead(), provenLeader(), changed, now).Index, -1)
}

func TestASlowBusyOrAvoidedEndpointCostsMoreThanARemoteOne(t *testing.T) {
	changed := endpoints()
	changed[1].ServiceTime = 100 * time.Millisecond
	assert.Equal(t, placement.Choose(boundedRead(), provenLeader(), changed, now).Index, 2)
	changed = endpoints()
	changed[1].Running = 12
	assert.Equal(t, placement.Choose(boundedRead(), provenLeader(), changed, now).Index, 2)
	n := boundedRead()
	n.Avoid = "near"
	assert.Equal(t, placement.Choose(n, provenLeader(), endpoints(), now).Index, 2)
}

// TestAReadThatAllowsLittleStalenessSeesThePresent guards against a read that asks for
// positions of a time to come, which no proxy knows.
func TestAReadThatAllowsLittleStalenessSeesThePresent(t *testing.T) {
	n := boundedRead()
	n.Staleness = 50 * time.Millisecond
	l := leader.State{}.WithPrimary("p", 1, now-time.Minute).WithProof(now-100*time.Millisecond).
		WithSample(now-100*time.Millisecond, position.Position{Term: 1, Log: 12}).WithSample(now, position.Position{Term: 1, Log: 13})
	c := placement.Choose(n, l, endpoints(), now)
	assert.Equal(t, c.Index, 1)
	assert.Equal(t, c.After, position.Position{Term: 1, Log: 13})
}

// TestOnlyAStatementThatLacksAProofAwaitsOne guards against reads that wait for a busy
// replica and are counted, and refused, as waiting for a proof.
func TestOnlyAStatementThatLacksAProofAwaitsOne(t *testing.T) {
	proven := provenLeader()
	late := now + leader.ProofLifetime
	assert.Assert(t, !placement.AwaitsProof(boundedRead(), proven, now))
	assert.Assert(t, !placement.AwaitsProof(boundedRead(), proven, late-100*time.Millisecond), "a known position is old enough")
	assert.Assert(t, placement.AwaitsProof(boundedRead(), proven, now+time.Minute))
	assert.Assert(t, placement.AwaitsProof(placement.Need{Consistency: route.Primary}, proven, late))
	assert.Assert(t, placement.AwaitsProof(placement.Need{Write: true, Reads: true}, proven, late))
	assert.Assert(t, placement.AwaitsProof(placement.Need{Write: true}, proven, late))
	assert.Assert(t, placement.AwaitsProof(placement.Need{Write: true, Consistency: route.ReadYourWrites, Staleness: time.Minute}, proven, late))
	assert.Assert(t, !placement.AwaitsProof(placement.Need{Write: true}, proven, now))
}
