package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/clock"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/team"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/quota"
	table "eelgrassladder.example/eelgrassladder/internal/table/quota"
)

var bakery = team.Team{Name: "bakery"}.WithLimit(100, 100)

// offsetClock is the host's clock with an offset, which stands for time in which the process was
// frozen.
type offsetClock struct {
	clock.Host
	offset atomic.Int64
}

func (c *offsetClock) SinceBoot() time.Duration {
	return c.Host.SinceBoot() + time.Duration(c.offset.Load())
}

// fakeLenders answers requests with a function, and counts results.
type fakeLenders struct {
	borrow func(ctx context.Context, tokens int) (int, error)
	mutex  sync.Mutex
	loans  map[LoanResult]int
	calls  int
	// operations counts the results of operations.
	operations map[OperationResult]int
}

func (f *fakeLenders) Borrow(ctx context.Context, _, _ string, tokens int) (int, error) {
	f.mutex.Lock()
	f.calls++
	f.mutex.Unlock()
	return f.borrow(ctx, tokens)
}

func (f *fakeLenders) CloseIdle() {}
func (f *fakeLenders) Close()     {}

func (f *fakeLenders) OperationCounted(r OperationResult) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.operations[r]++
}

func (f *fakeLenders) LoanCounted(_ LoanSide, r LoanResult) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.loans[r]++
}

func (f *fakeLenders) RegisterRefusals(func() map[string]uint64) {}

// startBorrower returns a limiter that produces no tokens, and its lenders.
func startBorrower(t *testing.T, borrow func(ctx context.Context, tokens int) (int, error)) (*Limiter, *fakeLenders, *offsetClock) {
	t.Helper()
	c, timers := &offsetClock{}, timer.New()
	f := &fakeLenders{borrow: borrow, loans: map[LoanResult]int{}, operations: map[OperationResult]int{}}
	v := table.View{Version: 1, Teams: []team.Team{bakery}, Lenders: map[string]string{}}
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		v.Lenders[name] = "address of " + name
	}
	l := New("self", policy.DefaultBounds(), c, timers, f, func() table.View { return v }, f)
	l.Refresh()
	g := task.New(context.Background())
	g.Go("timer", timers.Run)
	l.Start(g)
	t.Cleanup(func() {
		g.Stop()
		_ = g.Wait()
	})
	return l, f, c
}

func TestAnOperationRunsWithABorrowedToken(t *testing.T) {
	l, f, _ := startBorrower(t, func(_ context.Context, tokens int) (int, error) { return tokens, nil })
	for range 50 {
		assert.Assert(t, l.Take(context.Background(), bakery))
	}
	assert.DeepEqual(t, f.operations, map[OperationResult]int{Borrowed: 50})
	assert.DeepEqual(t, f.loans, map[LoanResult]int{LoanGranted: 50})
	assert.Equal(t, l.Lend(bakery.Name, 3), 0)
	l.GiveBack(bakery, 0)
	assert.Equal(t, f.operations[Returned], 0)
}

// TestAnAnswerThatIsLateByTheClockIsDropped guards against a process that was frozen, and finds
// an answer when it resumes.
func TestAnAnswerThatIsLateByTheClockIsDropped(t *testing.T) {
	var c *offsetClock
	l, f, c := startBorrower(t, func(_ context.Context, tokens int) (int, error) {
		c.offset.Add(int64(policy.AnswerTimeout + time.Millisecond))
		return tokens, nil
	})
	assert.Assert(t, !l.Take(context.Background(), bakery))
	assert.Equal(t, f.loans[LoanGranted], 0)
	assert.Equal(t, f.loans[LoanLate], 4)
}

// TestAnOperationWaitsNoLongerThanItMay guards against operations that wait for several proxies
// that do not answer, and against a request for each of many operations.
func TestAnOperationWaitsNoLongerThanItMay(t *testing.T) {
	l, f, _ := startBorrower(t, func(ctx context.Context, _ int) (int, error) {
		<-ctx.Done()
		return 0, errors.WithStack(ctx.Err())
	})
	g := task.New(context.Background())
	var granted atomic.Int64
	began := time.Now()
	for range 100 {
		g.Go("operation", func(ctx context.Context) error {
			if l.Take(ctx, bakery) {
				granted.Add(1)
			}
			return nil
		})
	}
	assert.NilError(t, g.Wait())
	took := time.Since(began)
	assert.Equal(t, granted.Load(), int64(0))
	assert.Assert(t, took >= policy.MaxWait && took < policy.MaxWait+400*time.Millisecond, "%v", took)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	assert.Assert(t, f.calls <= 4, "%d requests", f.calls)
	assert.Equal(t, f.operations[Refused], 100)
}

// TestATeamThatIsNotLimitedTakesNoToken guards against operations of a version of the
// configuration that still limited the team.
func TestATeamThatIsNotLimitedTakesNoToken(t *testing.T) {
	l, f, _ := startBorrower(t, func(context.Context, int) (int, error) { return 0, nil })
	assert.Assert(t, l.Take(context.Background(), team.Team{Name: "gone"}.WithLimit(1, 1)))
	assert.Equal(t, len(f.operations), 0)
}
