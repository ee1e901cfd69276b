package budget_test

import (
	"context"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/budget"
	"eelgrassladder.example/eelgrassladder/internal/table/budget"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

func TestMain(m *testing.M) {
	lockrank.EnableChecks(true)
	os.Exit(m.Run())
}

const (
	megabyte = 1 << 20
	large    = 2 * megabyte
)

// fixture is a table whose time the test sets.
type fixture struct {
	*budget.Table
	timer *timer.Manual
	tasks *task.Group
}

func newFixture(t *testing.T, l policy.Limits) fixture {
	t.Helper()
	f := fixture{timer: timer.NewManual(time.Unix(1e9, 0)), tasks: task.New(context.Background())}
	f.Table = budget.New(f.timer, l)
	t.Cleanup(func() { _ = f.tasks.Wait() })
	return f
}

// open opens an account that is closed when it is displaced.
func (f fixture) open(t *testing.T) (account eelgrassladder.Account, displaced func() bool) {
	t.Helper()
	closed := false
	account, ok := f.Open(func() {
		closed = true
		account.Close()
	})
	assert.Assert(t, ok)
	return account, func() bool { return closed }
}

// ask asks for large messages in a goroutine, and returns the result once time has passed.
func (f fixture) ask(a eelgrassladder.Account, bytes int) <-chan error {
	result := make(chan error, 1)
	f.tasks.GoIsolated("ask", func(context.Context) { result <- a.Hold(eelgrassladder.MessageMemory, bytes) })
	return result
}

// pass advances the time in steps until a result has come, and returns it.
func (f fixture) pass(t *testing.T, result <-chan error) error {
	t.Helper()
	for range 1000 {
		select {
		case err := <-result:
			return err
		case <-time.After(time.Millisecond):
			f.timer.Advance(50 * time.Millisecond)
		}
	}
	t.Fatal("the request still waits after 50 s")
	return nil
}

// small are limits under which two large messages fit.
var small = policy.Limits{Connections: 8, Shared: 5 * megabyte, Reserve: megabyte, Session: 3 * megabyte, Waiting: 4}

// TestOrdinaryHoldingsAreNotCharged guards against charges and allocations for each small
// message.
func TestOrdinaryHoldingsAreNotCharged(t *testing.T) {
	f := newFixture(t, small)
	a, _ := f.open(t)
	allocations := testing.AllocsPerRun(100, func() {
		assert.NilError(t, a.Hold(eelgrassladder.MessageMemory, 2400))
		assert.NilError(t, a.Hold(eelgrassladder.MessageMemory, 0))
		assert.NilError(t, a.Hold(eelgrassladder.AnswerMemory, 6000))
		assert.NilError(t, a.Hold(eelgrassladder.AnswerMemory, 0))
	})
	assert.Equal(t, allocations, 0.0)
	assert.Equal(t, f.Held(), int64(0))
}

// TestReleasedMemoryGoesToThoseThatWait guards against clients that wait although there is room.
func TestReleasedMemoryGoesToThoseThatWait(t *testing.T) {
	f := newFixture(t, small)
	first, _ := f.open(t)
	second, _ := f.open(t)
	third, _ := f.open(t)
	assert.NilError(t, first.Hold(eelgrassladder.MessageMemory, large))
	assert.NilError(t, second.Hold(eelgrassladder.MessageMemory, large))
	result := f.ask(third, large)
	select {
	case err := <-result:
		t.Fatal("the request did not wait: ", err)
	case <-time.After(20 * time.Millisecond):
	}
	assert.NilError(t, first.Hold(eelgrassladder.MessageMemory, 0))
	assert.NilError(t, <-result)
	assert.Equal(t, f.Held(), int64(2*large))
	for _, a := range []eelgrassladder.Account{first, second, third} {
		a.Close()
		a.Close()
	}
	assert.Equal(t, f.Held(), int64(0))
}

// TestClientsThatMakeNoProgressAreClosedForOthers guards against a crowd that holds all memory
// and keeps others out.
func TestClientsThatMakeNoProgressAreClosedForOthers(t *testing.T) {
	f := newFixture(t, small)
	first, firstClosed := f.open(t)
	second, secondClosed := f.open(t)
	assert.NilError(t, first.Hold(eelgrassladder.MessageMemory, large+megabyte/2))
	assert.NilError(t, second.Hold(eelgrassladder.MessageMemory, megabyte))
	third, _ := f.open(t)
	assert.NilError(t, f.pass(t, f.ask(third, large)))
	assert.Assert(t, firstClosed() && !secondClosed())
	assert.ErrorIs(t, first.Hold(eelgrassladder.AnswerMemory, large), eelgrassladder.ErrDisplaced)
}

// TestAWaitEndsWithARefusal guards against clients that wait for ever while others that make
// progress hold all memory.
func TestAWaitEndsWithARefusal(t *testing.T) {
	f := newFixture(t, small)
	first, _ := f.open(t)
	second, _ := f.open(t)
	assert.NilError(t, first.Hold(eelgrassladder.MessageMemory, 2*large))
	result := f.ask(second, large)
	for step := 0; ; step++ {
		assert.Assert(t, step < 1000, "the request still waits")
		f.timer.Advance(50 * time.Millisecond)
		// The other client makes progress.
		assert.NilError(t, first.Hold(eelgrassladder.MessageMemory, 2*large-step%2*8192))
		select {
		case err := <-result:
			assert.ErrorIs(t, err, eelgrassladder.ErrMemoryShort)
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// TestASessionHoldsNoMoreThanItMay guards against one session that takes all memory although
// nobody else needs it, and against a charge for what was refused.
func TestASessionHoldsNoMoreThanItMay(t *testing.T) {
	f := newFixture(t, small)
	a, _ := f.open(t)
	assert.NilError(t, a.Hold(eelgrassladder.SessionMemory, small.Session))
	assert.ErrorIs(t, a.Hold(eelgrassladder.SessionMemory, small.Session+1), eelgrassladder.ErrSessionTooLarge)
	assert.Equal(t, f.Held(), int64(small.Session))
}

// TestTheNumberOfClientsIsLimited guards against more connections than the memory allows.
func TestTheNumberOfClientsIsLimited(t *testing.T) {
	f := newFixture(t, small)
	first, _ := f.open(t)
	for range small.Connections - 1 {
		f.open(t)
	}
	_, ok := f.Open(func() {})
	assert.Assert(t, !ok)
	first.Close()
	_, ok = f.Open(func() {})
	assert.Assert(t, ok)
}
