package failover

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// TestTheLockIsNotReleasedWhileAnotherChangeTakesIt guards against a change that releases
// the lock which another one of this proxy has just taken.
func TestTheLockIsNotReleasedWhileAnotherChangeTakesIt(t *testing.T) {
	f := newOrderFixture()
	f.controller.changeBegins()
	taking := &change{decision: decision{group: "h"}, controller: f.controller}
	f.store.onApply = func() { assert.Assert(t, !f.controller.onlyChange(), "the change that takes the lock is not counted") }
	assert.NilError(t, taking.closeRecord(context.Background(), leader.State{}, leadership.Record{}))
	f.controller.changeEnded()
	f.store.err = eelgrassladder.ErrConflict
	assert.ErrorIs(t, taking.closeRecord(context.Background(), leader.State{}, leadership.Record{}), eelgrassladder.ErrConflict)
	assert.Assert(t, f.controller.onlyChange(), "a change that could not begin is still counted")
}

// TestThePromotionLockIsKeptWhileAnOrderIsUnanswered guards against a next holder whose
// token the platform sees before the order of this one.
func TestThePromotionLockIsKeptWhileAnOrderIsUnanswered(t *testing.T) {
	for name, c := range map[string]struct {
		err error
		// puts is the number of keys written: two if the lock is released and the orders are
		// noted as answered, none if the lock is kept.
		puts int
	}{
		"answered":   {nil, 2},
		"refused":    {eelgrassladder.ErrPromotionRefused, 2},
		"unanswered": {errors.New("connection reset"), 0},
	} {
		f := newOrderFixture()
		f.controller.changeBegins()
		f.promoter.err = c.err
		_ = f.orderMember("m-1")
		f.store.puts = nil
		f.releaseLock(context.Background())
		assert.Equal(t, len(f.store.puts), c.puts, "%s: %v", name, f.store.puts)
		assert.Equal(t, f.state.record.Elected.Answered, c.puts > 0, name)
		f.clock.now += policy.PromotionDoubt
		f.releaseLock(context.Background())
		assert.Assert(t, len(f.store.puts) > 0, "%s: the lock is kept for good", name)
	}
}

// unlockedState is a fakeState in which no promotion lock is known, as after an operator
// has deleted its key.
type unlockedState struct{ fakeState }

func (*unlockedState) PromotionLock() leadership.PromotionLock { return leadership.PromotionLock{} }

func (*unlockedState) LearnPromotionLock(leadership.PromotionLock) {}

// TestTheTokenDoesNotFallWhenTheLockIsGone guards against a fencing token that begins anew
// when the key of the lock was deleted.
func TestTheTokenDoesNotFallWhenTheLockIsGone(t *testing.T) {
	f := newOrderFixture()
	open := leadership.Record{
		Group: "g", Revision: 40, Endpoint: "m-1", Term: 3, Holder: "other",
		Elected: leadership.Election{Endpoint: "m-1", After: 39, Token: 39, Repeated: true, Answered: true},
	}
	f.controller.state = &unlockedState{fakeState{record: open}}
	f.store.revision = 40
	c := &change{decision: decision{group: "g"}, controller: f.controller}
	assert.NilError(t, c.closeRecord(context.Background(), leader.State{Endpoint: "m-1", Term: 3}, open))
	lock, err := leadership.ParsePromotionLock(f.store.puts[1].Value, f.store.revision)
	assert.NilError(t, err)
	assert.Assert(t, lock.FencingToken() > open.Elected.Token, "token %d after %d", lock.FencingToken(), open.Elected.Token)
}

// manyRecordsState is an unlockedState that knows the records of several groups.
type manyRecordsState struct {
	unlockedState
	records map[string]leadership.Record
}

func (s *manyRecordsState) KnownRecords() map[string]leadership.Record { return s.records }

// TestTheTokenDoesNotFallBelowThatOfAnotherGroup guards against a fencing token below that of
// an order for a group whose record is newer than that of the changed one, when the key of the
// lock was deleted.
func TestTheTokenDoesNotFallBelowThatOfAnotherGroup(t *testing.T) {
	f := newOrderFixture()
	open := leadership.Record{Group: "g", Revision: 40, Endpoint: "m-1", Term: 3, Holder: "other"}
	newer := leadership.Record{Group: "h", Revision: 95, Endpoint: "m-9", Term: 3, Holder: "other"}
	f.controller.state = &manyRecordsState{unlockedState{fakeState{record: open}}, map[string]leadership.Record{"g": open, "h": newer}}
	f.store.revision = 95
	c := &change{decision: decision{group: "g"}, controller: f.controller}
	assert.NilError(t, c.closeRecord(context.Background(), leader.State{Endpoint: "m-1", Term: 3}, open))
	lock, err := leadership.ParsePromotionLock(f.store.puts[1].Value, f.store.revision)
	assert.NilError(t, err)
	assert.Assert(t, lock.FencingToken() > uint64(newer.Revision), "token %d, after one of at most %d", lock.FencingToken(), newer.Revision)
}

// TestAnUnansweredOrderKeepsTheLockBusy guards against a lock that is released, without the
// record, while an order of the holder is unanswered.
func TestAnUnansweredOrderKeepsTheLockBusy(t *testing.T) {
	f := newOrderFixture()
	f.controller.changeBegins()
	f.promoter.err = errors.New("connection reset")
	assert.NilError(t, f.orderMember("m-1"))
	f.store.puts = nil
	f.releaseLock(context.Background())
	assert.Equal(t, len(f.store.puts), 0, "%v", f.store.puts)
}

// TestTheNextHolderDoesNotNoteAnOrderOfTheEarlierOneAsAnswered guards against a change that
// waited for an earlier holder's order in vain and then says that it was answered.
func TestTheNextHolderDoesNotNoteAnOrderOfTheEarlierOneAsAnswered(t *testing.T) {
	f := newOrderFixture()
	f.controller.changeBegins()
	f.written.Elected = leadership.Election{Endpoint: "m-1", After: 5, Token: 5}
	f.state.record = f.written
	f.releaseLock(context.Background())
	assert.Equal(t, len(f.store.puts), 1, "the lock is released, and the record stays: %v", f.store.puts)
	assert.Assert(t, !f.state.record.Elected.Answered)
}

// TestAnUnansweredOrderOfAnotherGroupKeepsTheLockBusy guards against a change that hands on
// the lock with its own end while an order for another group is unanswered.
func TestAnUnansweredOrderOfAnotherGroupKeepsTheLockBusy(t *testing.T) {
	f := newOrderFixture()
	f.promoter.err = errors.New("connection reset")
	assert.NilError(t, f.orderMember("m-1"))
	lock := f.state.PromotionLock()
	assert.Assert(t, f.controller.mustKeepLock(lock, "h"))
	assert.Assert(t, !f.controller.mustKeepLock(lock, "g"), "the member of the group itself leads")
	f.state.record.Holder = "other"
	assert.Assert(t, !f.controller.mustKeepLock(lock, "h"), "another proxy has taken the change over")
}

// TestTheLockIsTakenOnlyFromAHolderThatIsDone guards against a proxy that takes the lock from a
// holder with a change under way, or takes it back at once.
func TestTheLockIsTakenOnlyFromAHolderThatIsDone(t *testing.T) {
	f := newOrderFixture()
	taking := func() error {
		c := &change{decision: decision{group: "g"}, controller: f.controller}
		return c.closeRecord(context.Background(), leader.State{}, f.state.record)
	}
	f.state.lock = leadership.PromotionLock{Revision: 9, Holder: "other", Busy: true, Token: 8, Seen: f.clock.now}
	assert.ErrorContains(t, taking(), "other holds the promotion lock")
	f.state.lock = f.state.lock.WithReleased()
	f.controller.notePromotion()
	assert.ErrorContains(t, taking(), "other has taken the promotion lock")
	assert.Equal(t, len(f.store.puts), 0)
	f.clock.now += lockCooldown
	assert.NilError(t, taking())
	assert.Equal(t, f.store.expected[1].Revision, revision.Revision(9))
}

// TestTheTimeToPromoteCountsFromBeforeTheLockWasTaken guards against an order that is sent when
// another proxy may hold the lock, because the answer of the store was late.
func TestTheTimeToPromoteCountsFromBeforeTheLockWasTaken(t *testing.T) {
	f := newOrderFixture()
	asked := f.clock.now
	f.store.onApply = func() { f.clock.now += time.Second }
	c := &change{decision: decision{group: "g"}, controller: f.controller}
	assert.NilError(t, c.closeRecord(context.Background(), leader.State{}, f.state.record))
	assert.Equal(t, c.began, asked)
}

// TestALockThatIsInUseIsNotReleased guards against a change that releases the lock of another
// proxy, or one that another change of this proxy needs.
func TestALockThatIsInUseIsNotReleased(t *testing.T) {
	for name, prepare := range map[string]func(f orderFixture){
		"of another proxy":  func(f orderFixture) { f.state.lock = f.state.lock.WithHolder("other", 0) },
		"of another change": func(f orderFixture) { f.controller.changeBegins() },
	} {
		f := newOrderFixture()
		f.controller.reporter = NewReporter(ignoringObserver{})
		f.controller.changeBegins()
		prepare(f)
		f.releaseLock(context.Background())
		assert.Equal(t, len(f.store.puts), 0, "%s: %v", name, f.store.puts)
		f.openRecord(context.Background(), successor{id: "m-1", term: 4})
		assert.Equal(t, len(f.store.puts), 1, "%s: the record alone is written: %v", name, f.store.puts)
	}
}

// ignoringObserver is an Observer that does nothing.
type ignoringObserver struct{}

func (ignoringObserver) Changed(string, policy.Reason, Outcome) {}

// TestOpeningARecordKeepsWhatIsNotAnswered guards against a change whose end hides that an
// order is unanswered: it notes an earlier order of the group as answered, or releases the
// lock while one of another group is unanswered.
func TestOpeningARecordKeepsWhatIsNotAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		first error
		// other is true if an order of another group is unanswered.
		other bool
		// answered is whether the opened record says that all orders were answered, and busy
		// whether the lock stays taken.
		answered, busy bool
	}{
		"all orders were answered":                {nil, false, true, false},
		"the first order is unanswered":           {errors.New("connection reset"), false, false, false},
		"an order of another group is unanswered": {nil, true, true, true},
		"orders of both groups are unanswered":    {errors.New("connection reset"), true, false, true},
	} {
		f := newOrderFixture()
		f.controller.reporter = NewReporter(ignoringObserver{})
		f.controller.changeBegins()
		f.promoter.err = c.first
		assert.NilError(t, f.orderMember("m-1"), name)
		f.promoter.err = nil
		assert.NilError(t, f.orderMember("m-1"), name)
		if c.other {
			f.controller.elections["h"] = []sighting{{election: leadership.Election{Endpoint: "m-9", After: 5, Token: 7}, seen: f.clock.now, own: true}}
			f.state.other = leadership.Record{Group: "h", Revision: 9, Closed: true, Holder: "self", Elected: leadership.Election{Endpoint: "m-9", After: 5, Token: 7}}
		}
		f.openRecord(context.Background(), successor{id: "m-1", term: 4})
		assert.Assert(t, f.state.record.Elected.Repeated, name)
		assert.Equal(t, f.state.record.Elected.Answered, c.answered, name)
		assert.Equal(t, len(f.store.puts) == 1, c.busy, "%s: %v", name, f.store.puts)
	}
}

// TestTheLockIsRenewedWhileAnOrderIsUnanswered guards against a lock that another proxy takes
// because the change that waits for an answer does not write it.
func TestTheLockIsRenewedWhileAnOrderIsUnanswered(t *testing.T) {
	f := newOrderFixture()
	f.promoter.err = errors.New("connection reset")
	assert.NilError(t, f.orderMember("m-1"))
	f.store.puts = nil
	f.controller.renewLock()
	assert.NilError(t, f.controller.tasks.Wait())
	assert.Equal(t, len(f.store.puts), 1)
	assert.Equal(t, f.store.puts[0].Key, leadership.PromotionLockKey)
	f.store.puts = nil
	f.clock.now += policy.PromotionDoubt
	f.controller.renewLock()
	assert.NilError(t, f.controller.tasks.Wait())
	assert.Equal(t, len(f.store.puts), 0, "the order is in doubt no more")
}

// TestARefusalThatComesLateDelaysTheNextTurn guards against a proxy that takes the promotion
// lock back less than the platform's lease after the platform saw its order and refused it.
func TestARefusalThatComesLateDelaysTheNextTurn(t *testing.T) {
	for name, err := range map[string]error{"executed": nil, "refused": eelgrassladder.ErrPromotionRefused} {
		f := newOrderFixture()
		f.controller.notePromotion()
		f.clock.now += 2 * time.Second
		f.controller.noteAnswer(err)
		f.clock.now += lockCooldown - 1
		assert.Assert(t, f.controller.coolingDown(), name)
		f.clock.now++
		assert.Assert(t, !f.controller.coolingDown(), name)
	}
}

// TestAnOrderOfAnEarlierProcessDoesNotKeepTheLock guards against a process that starts again
// under its name and renews the lock for an order of the process before, whose answer it can't
// get. Others could not finish the change meanwhile.
func TestAnOrderOfAnEarlierProcessDoesNotKeepTheLock(t *testing.T) {
	f := newOrderFixture()
	f.promoter.err = errors.New("connection reset")
	assert.NilError(t, f.orderMember("m-1"))
	assert.Assert(t, f.controller.mustKeepLock(f.state.PromotionLock(), ""))
	f.controller.elections = map[string][]sighting{}
	f.controller.noteAllElections()
	order := f.controller.latestOrder("g")
	assert.Assert(t, order.Unanswered(), "the order of the process before is heeded all the same")
	assert.Assert(t, !f.controller.mustKeepLock(f.state.PromotionLock(), ""))
	f.store.puts = nil
	f.controller.renewLock()
	assert.NilError(t, f.controller.tasks.Wait())
	assert.Equal(t, len(f.store.puts), 0, "%v", f.store.puts)
}
