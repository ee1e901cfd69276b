package failover

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// TestTheAnswerThatOneElectionCarriesCoversEarlierOnes guards against a wait for an order
// whose answer the holder has noted in a later election.
func TestTheAnswerThatOneElectionCarriesCoversEarlierOnes(t *testing.T) {
	f := newOrderFixture()
	f.state.record = f.written.WithElected("m-1", 5, false)
	f.controller.latestOrder("g")
	f.state.record = f.state.record.WithRevision(8).WithElected("m-1", 5, true)
	assert.Assert(t, !f.controller.ordersAnswered("g"))
	f.state.record = f.state.record.WithOrdersAnswered()
	assert.Assert(t, f.controller.ordersAnswered("g"))
}

// TestALateAnswerSettlesAnOrder guards against a wait for an order that was answered after
// its change went on.
func TestALateAnswerSettlesAnOrder(t *testing.T) {
	f := newOrderFixture()
	f.promoter.answer = make(chan struct{})
	_, err := f.recordElection(context.Background(), topology.Endpoint{ID: "m-1"})
	assert.NilError(t, err)
	outcome := f.sendOrder(eelgrassladder.PromotionOrder{Group: "g", Endpoint: "m-1", Token: 7}, f.clock.now)
	assert.Assert(t, !f.controller.ordersAnswered("g"))
	close(f.promoter.answer)
	assert.NilError(t, <-outcome)
	assert.Assert(t, f.controller.ordersAnswered("g"))
	assert.Assert(t, f.controller.latestOrder("g").InDoubt(), "the member may still take over")
}

// TestAnElectionThatIsOverIsRemovedFromTheRecord guards against a process that starts later,
// takes an election that stayed in an open record for a new one, and replaces no primary until
// it is in doubt no more.
func TestAnElectionThatIsOverIsRemovedFromTheRecord(t *testing.T) {
	f := newOrderFixture()
	f.state.record = leadership.Record{
		Group: "g", Revision: 40, Endpoint: "m-1", Term: 4, Holder: "other",
		Elected: leadership.Election{Endpoint: "m-1", After: 5, Token: 5, Repeated: true},
	}
	f.controller.latestOrder("g")
	f.clock.now += policy.PromotionDoubt - 1
	_, over := f.controller.electionOver("g")
	assert.Assert(t, !over)
	f.clock.now++
	r, over := f.controller.electionOver("g")
	assert.Assert(t, over)
	f.controller.endElection(context.Background(), r)
	assert.Equal(t, f.state.record.Elected, leadership.Election{})
	assert.Equal(t, f.store.expected[0].Revision, revision.Revision(40))
	_, over = f.controller.electionOver("g")
	assert.Assert(t, !over)
}

// TestAnElectionThatHasJustBeenReadIsNotOver guards against the removal of an election that
// arrives after the elections were noted: its order may still be seen.
func TestAnElectionThatHasJustBeenReadIsNotOver(t *testing.T) {
	f := newOrderFixture()
	f.state.record = leadership.Record{
		Group: "g", Revision: 40, Endpoint: "m-1", Term: 4, Holder: "other",
		Elected: leadership.Election{Endpoint: "m-1", After: 5, Token: 5, Repeated: true},
	}
	_, over := f.controller.electionOver("g")
	assert.Assert(t, !over)
}

// TestAnElectionIsNotOverWhileItIsNeeded guards against the removal of an election while its
// member may still take over although the order was answered, or while a change needs it.
func TestAnElectionIsNotOverWhileItIsNeeded(t *testing.T) {
	f := newOrderFixture()
	f.state.record = leadership.Record{
		Group: "g", Revision: 40, Endpoint: "m-1", Term: 4, Holder: "other",
		Elected: leadership.Election{Endpoint: "m-1", After: 5, Token: 5, Repeated: true, Answered: true},
	}
	f.controller.latestOrder("g")
	f.clock.now += policy.PromotionDoubt - 1
	_, over := f.controller.electionOver("g")
	assert.Assert(t, !over, "answered, but in doubt")
	f.clock.now++
	f.state.record.Closed = true
	_, over = f.controller.electionOver("g")
	assert.Assert(t, !over, "the record is closed")
}

// TestOnlyTheElectionThatIsOverIsRemoved guards against the removal of an election that arrives
// after the one before it was found to be over.
func TestOnlyTheElectionThatIsOverIsRemoved(t *testing.T) {
	f := newOrderFixture()
	over := leadership.Record{Group: "g", Revision: 40, Endpoint: "m-1", Term: 4}
	f.state.record = over.WithRevision(41).WithElected("m-2", 5, false)
	f.controller.endElection(context.Background(), over)
	assert.Equal(t, f.store.expected[0].Revision, revision.Revision(40))
}

// TestEachElectionOfAMemberCountsFromItsOwnTime guards against a repeated order whose doubt ends
// with that of the first one, and against an earlier order that is forgotten because a later
// one was refused.
func TestEachElectionOfAMemberCountsFromItsOwnTime(t *testing.T) {
	f := newOrderFixture()
	first := leadership.Election{Endpoint: "m-1", After: 5, Token: 5}
	second := leadership.Election{Endpoint: "m-1", After: 6, Token: 5, Repeated: true}
	f.state.record.Elected = first
	f.controller.latestOrder("g")
	f.clock.now += policy.PromotionDoubt / 2
	f.state.record.Elected = second
	f.controller.latestOrder("g")
	f.controller.noteOutcome("g", second, eelgrassladder.ErrPromotionRefused)
	_, o, found := f.controller.mayBeSeenAfter(7)
	assert.Assert(t, found, "the first order is unanswered")
	assert.Equal(t, o.Age, policy.PromotionDoubt/2)

	f = newOrderFixture()
	f.state.record.Elected = first
	f.controller.latestOrder("g")
	f.clock.now += policy.PromotionDoubt / 2
	f.state.record.Elected = second
	f.controller.latestOrder("g")
	f.clock.now += policy.PromotionDoubt/2 + 1
	assert.Assert(t, f.controller.latestOrder("g").Unanswered(), "the second order is in doubt")
	_, _, found = f.controller.mayBeSeenAfter(7)
	assert.Assert(t, found)
}

// TestAnOrderOfAGroupWithoutARouteIsAwaited guards against a proxy that does not know of an
// order because its configuration names no route to the group yet, or no more.
func TestAnOrderOfAGroupWithoutARouteIsAwaited(t *testing.T) {
	f := newOrderFixture()
	f.controller.state = &routelessState{f.state}
	f.state.record.Elected = leadership.Election{Endpoint: "m-1", After: 5, Token: 5}
	_, _, found := f.controller.mayBeSeenAfter(7)
	assert.Assert(t, found)
}

// routelessState is a holdingState whose configuration names no group.
type routelessState struct{ *holdingState }

func (*routelessState) Groups() map[string]bool { return nil }
