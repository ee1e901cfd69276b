package delegation

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/delegation"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/policy/pooling"
	"eelgrassladder.example/eelgrassladder/internal/policy/sharing"
)

// errBroken is the error of a fake stream that has ended.
var errBroken = errors.New("broken")

// numbered is a request or an answer with the number of its operation.
type numbered[T any] struct {
	number uint64
	value  T
}

// fakeStream is both sides of a stream.
type fakeStream struct {
	requests chan numbered[delegation.Request]
	answers  chan numbered[delegation.Answer]
	// closed is closed by Close.
	closed chan struct{}
	once   sync.Once
	// sendError is the error of Send; nil to send.
	sendError error
}

func newFakeStream() *fakeStream {
	return &fakeStream{
		requests: make(chan numbered[delegation.Request], 100), answers: make(chan numbered[delegation.Answer], 100), closed: make(chan struct{}),
	}
}

func (s *fakeStream) Send(number uint64, r delegation.Request) error {
	if s.sendError != nil {
		return s.sendError
	}
	s.requests <- numbered[delegation.Request]{number, r}
	return nil
}

func (s *fakeStream) TooLong(error) bool { return false }

func (s *fakeStream) Receive() (uint64, delegation.Answer, error) {
	select {
	case a := <-s.answers:
		return a.number, a.value, nil
	case <-s.closed:
		return 0, delegation.Answer{}, errBroken
	}
}

func (s *fakeStream) Close() { s.once.Do(func() { close(s.closed) }) }

// isClosed reports whether the stream was closed.
func (s *fakeStream) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// counts counts results.
type counts struct {
	mutex   sync.Mutex
	results map[string]int
}

func (c *counts) OperationDelegated(s Side, r Result) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.results == nil {
		c.results = map[string]int{}
	}
	c.results[string(s)+" "+string(r)]++
}

func (c *counts) get(s Side, r Result) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.results[string(s)+" "+string(r)]
}

// clientFixture is a client of a proxy that delegates, with two poolers in its data centre.
type clientFixture struct {
	*Client
	counts
	timer *timer.Manual
	tasks *task.Group

	// fleetLock guards the fields below. No other lock is taken while it is held.
	fleetLock sync.Mutex
	fleet     sharing.Fleet
	addresses map[string]string
	// streams holds the latest stream to each address, and refused the addresses to which
	// none can be opened.
	streams map[string]*fakeStream
	refused map[string]bool
	opened  int
}

func newClientFixture(t *testing.T) *clientFixture {
	t.Helper()
	f := &clientFixture{
		timer: timer.NewManual(time.Unix(1000, 0)), tasks: task.New(context.Background()),
		addresses: map[string]string{}, streams: map[string]*fakeStream{}, refused: map[string]bool{},
	}
	var names []string
	dataCentres := map[string]string{}
	for i := range 40 {
		name := fmt.Sprintf("proxy-%d", i)
		names, dataCentres[name], f.addresses[name] = append(names, name), "here", "address of "+name
	}
	for _, self := range names {
		f.fleet = sharing.NewFleet(self, names...).WithDataCentres(dataCentres)
		if f.Poolers("g").Delegates() {
			break
		}
	}
	assert.Equal(t, len(f.Poolers("g").All()), 2)
	f.Client = NewClient(f.timer, f.tasks, f, f.openStream, f)
	t.Cleanup(func() {
		f.tasks.Stop()
		_ = f.tasks.Wait()
	})
	return f
}

func (f *clientFixture) Poolers(group string) pooling.Poolers {
	return pooling.Choose(f.fleet, group, 16)
}

func (f *clientFixture) Proxies() map[string]string { return f.addresses }

func (f *clientFixture) openStream(_ context.Context, address string) (Stream, error) {
	f.fleetLock.Lock()
	defer f.fleetLock.Unlock()
	f.opened++
	if f.refused[address] {
		return nil, errBroken
	}
	s := newFakeStream()
	f.streams[address] = s
	return s, nil
}

// stream returns the latest stream to a pooler.
func (f *clientFixture) stream(pooler string) *fakeStream {
	f.fleetLock.Lock()
	defer f.fleetLock.Unlock()
	return f.streams["address of "+pooler]
}

// start runs a statement in a goroutine and returns once the pooler has it.
func (f *clientFixture) start(t *testing.T, o eelgrassladder.DelegatedOperation) (chan result, numbered[delegation.Request]) {
	t.Helper()
	done, deadline := make(chan result, 1), f.timer.Now().Add(time.Second)
	f.tasks.GoIsolated("statement", func(ctx context.Context) {
		a, err := o.Run(ctx, deadline, delegation.Request{Opening: &delegation.Opening{}, Statement: statement.Statement{ID: "q1"}})
		done <- result{a, err}
	})
	for {
		if s := f.stream(o.Pooler()); s != nil {
			return done, <-s.requests
		}
		time.Sleep(time.Millisecond)
	}
}

// TestAnswersReachTheirOperations guards against answers that are given to another operation, and
// against operations that all go to one pooler.
func TestAnswersReachTheirOperations(t *testing.T) {
	f := newClientFixture(t)
	var operations []eelgrassladder.DelegatedOperation
	asked := map[string]int{}
	for range 20 {
		o := f.Delegate("g", "", nil)
		operations = append(operations, o)
		asked[o.Pooler()]++
	}
	for name, n := range asked {
		assert.Equal(t, n, 10, name)
	}
	var waiting []chan result
	var requests []numbered[delegation.Request]
	for _, o := range operations {
		done, r := f.start(t, o)
		waiting, requests = append(waiting, done), append(requests, r)
		assert.Assert(t, r.value.Left > 900*time.Millisecond && r.value.Left < time.Second-sweepMargin, "%v", r.value.Left)
	}
	for i := len(operations) - 1; i >= 0; i-- {
		f.stream(operations[i].Pooler()).answers <- numbered[delegation.Answer]{requests[i].number, delegation.Answer{Attempts: i + 1}}
	}
	for i, done := range waiting {
		r := <-done
		assert.NilError(t, r.err)
		assert.Equal(t, r.answer.Attempts, i+1)
		operations[i].End()
	}
	assert.Equal(t, f.opened, 2)
	assert.Equal(t, f.get(SideAsker, Served), 20)
}

// TestAPoolerThatCannotRunIsAvoided guards against statements that wait again and again for a
// pooler that is down, drains or was frozen.
func TestAPoolerThatCannotRunIsAvoided(t *testing.T) {
	for name, c := range map[string]struct {
		fail   func(f *clientFixture, o eelgrassladder.DelegatedOperation)
		result Result
		err    error
	}{
		"it refuses connections": {func(f *clientFixture, o eelgrassladder.DelegatedOperation) {
			f.refused["address of "+o.Pooler()] = true
			_, err := o.Run(context.Background(), f.timer.Now().Add(time.Second), delegation.Request{})
			assert.ErrorIs(t, err, eelgrassladder.ErrNotDelegated)
		}, Unreachable, nil},
		"nothing can be sent": {func(f *clientFixture, o eelgrassladder.DelegatedOperation) {
			f.open = func(context.Context, string) (Stream, error) {
				s := newFakeStream()
				s.sendError = errBroken
				return s, nil
			}
			_, err := o.Run(context.Background(), f.timer.Now().Add(time.Second), delegation.Request{})
			assert.ErrorIs(t, err, eelgrassladder.ErrNotDelegated)
		}, Unreachable, nil},
		"it drains": {func(f *clientFixture, o eelgrassladder.DelegatedOperation) {
			done, r := f.start(t, o)
			f.stream(o.Pooler()).answers <- numbered[delegation.Answer]{r.number, delegation.Answer{Moved: true}}
			assert.Assert(t, (<-done).answer.Moved)
		}, Moved, nil},
		"it is frozen": {func(f *clientFixture, o eelgrassladder.DelegatedOperation) {
			done, _ := f.start(t, o)
			f.timer.Advance(time.Second - sweepMargin - 1)
			f.Sweep()
			assert.Equal(t, len(done), 0, "the wait ended before its time")
			f.timer.Advance(1)
			f.Sweep()
			assert.ErrorIs(t, (<-done).err, eelgrassladder.ErrAnswerLate)
			assert.Assert(t, f.stream(o.Pooler()).isClosed(), "a stream is used on which nothing comes")
		}, Late, nil},
	} {
		f := newClientFixture(t)
		o := f.Delegate("g", "", nil)
		c.fail(f, o)
		o.GiveUp()
		for range 3 {
			other := f.Delegate("g", "", nil)
			assert.Assert(t, other.Pooler() != o.Pooler(), name)
			assert.Assert(t, f.Delegate("g", "", []string{other.Pooler()}) == nil, name)
		}
		assert.Equal(t, f.get(SideAsker, c.result), 1, name)
		f.timer.Advance(avoidTime)
		assert.Equal(t, f.Delegate("g", "", nil).Pooler(), o.Pooler(), name)
		assert.Assert(t, f.Delegate("g", "", nil).Pooler() != o.Pooler(), "%s: more than one operation tries at a time", name)
	}
}

// TestAPoolerThatRunsAgainIsUsed guards against a pooler that is not used any more, or by one
// operation at a time, after it has failed once.
func TestAPoolerThatRunsAgainIsUsed(t *testing.T) {
	f := newClientFixture(t)
	o := f.Delegate("g", "", nil)
	done, r := f.start(t, o)
	f.stream(o.Pooler()).answers <- numbered[delegation.Answer]{r.number, delegation.Answer{Moved: true}}
	<-done
	o.End()
	var others []string
	for _, name := range f.Poolers("g").All() {
		if name != o.Pooler() {
			others = append(others, name)
		}
	}
	assert.Assert(t, f.Delegate("g", "", others) == nil)
	f.timer.Advance(avoidTime)
	trying := f.Delegate("g", "", others)
	assert.Assert(t, trying != nil && f.Delegate("g", "", others) == nil)
	done, r = f.start(t, trying)
	f.stream(o.Pooler()).answers <- numbered[delegation.Answer]{r.number, delegation.Answer{}}
	<-done
	for range 3 {
		assert.Assert(t, f.Delegate("g", "", others) != nil)
	}
}

// TestAStoppingPoolerEndsWhatItHas guards against a transaction that ends because its pooler
// begins to stop, and against operations that are lost when the process ends.
func TestAStoppingPoolerEndsWhatItHas(t *testing.T) {
	f := newClientFixture(t)
	open := f.Delegate("g", "", nil)
	var others []string
	for _, name := range f.Poolers("g").All() {
		if name != open.Pooler() {
			others = append(others, name)
		}
	}
	answer := func(done chan result, r numbered[delegation.Request], a delegation.Answer) {
		f.stream(open.Pooler()).answers <- numbered[delegation.Answer]{r.number, a}
		assert.NilError(t, (<-done).err)
	}
	done, r := f.start(t, open)
	answer(done, r, delegation.Answer{})
	before := f.stream(open.Pooler())
	next := f.Delegate("g", "", others)
	done, r = f.start(t, next)
	answer(done, r, delegation.Answer{Moved: true, Draining: true})
	next.End()
	done, r = f.start(t, open)
	answer(done, r, delegation.Answer{})
	f.timer.Advance(avoidTime)
	f.refused["address of "+open.Pooler()] = true
	_, err := f.Delegate("g", "", others).Run(context.Background(), f.timer.Now().Add(time.Second), delegation.Request{})
	assert.ErrorIs(t, err, eelgrassladder.ErrNotDelegated)
	assert.Assert(t, !before.isClosed())
	open.End()
	assert.Assert(t, before.isClosed())
}

// TestALateAnswerDoesNotEndAWorkingStream guards against one slow statement that fails all others.
func TestALateAnswerDoesNotEndAWorkingStream(t *testing.T) {
	f := newClientFixture(t)
	slow := f.Delegate("g", "", nil)
	tried := []string{}
	for _, name := range f.Poolers("g").All() {
		if name != slow.Pooler() {
			tried = append(tried, name)
		}
	}
	done, r := f.start(t, slow)
	fast := f.Delegate("g", "", tried)
	answered, q := f.start(t, fast)
	f.timer.Advance(time.Millisecond)
	s := f.stream(slow.Pooler())
	s.answers <- numbered[delegation.Answer]{q.number, delegation.Answer{}}
	assert.NilError(t, (<-answered).err)
	f.timer.Advance(time.Second)
	f.Sweep()
	assert.ErrorIs(t, (<-done).err, eelgrassladder.ErrAnswerLate)
	assert.Assert(t, !s.isClosed())
	slow.GiveUp()
	given := <-s.requests
	assert.Assert(t, given.value.GivenUp && given.number == r.number)
	s.answers <- numbered[delegation.Answer]{r.number, delegation.Answer{}} // arrives too late, and is dropped
}

// TestABrokenStreamEndsAllWaits guards against statements that wait for a pooler that has ended.
func TestABrokenStreamEndsAllWaits(t *testing.T) {
	f := newClientFixture(t)
	o := f.Delegate("g", "", nil)
	done, _ := f.start(t, o)
	f.stream(o.Pooler()).Close()
	assert.ErrorIs(t, (<-done).err, eelgrassladder.ErrAnswerLost)
	assert.Equal(t, f.get(SideAsker, Lost), 1)
	o.GiveUp()
	assert.Equal(t, len(f.stream(o.Pooler()).requests), 0)
	// The transaction does not continue on another stream.
	_, err := o.Run(context.Background(), f.timer.Now().Add(time.Second), delegation.Request{})
	assert.ErrorIs(t, err, eelgrassladder.ErrNotDelegated)
}

// TestAStreamWithoutOperationsIsClosed guards against connections to former poolers that stay.
func TestAStreamWithoutOperationsIsClosed(t *testing.T) {
	f := newClientFixture(t)
	o := f.Delegate("g", "", nil)
	done, r := f.start(t, o)
	s := f.stream(o.Pooler())
	s.answers <- numbered[delegation.Answer]{r.number, delegation.Answer{}}
	<-done
	f.timer.Advance(2 * streamIdleTime)
	f.Sweep()
	assert.Assert(t, !s.isClosed(), "a stream was closed whose transaction is open")
	o.End()
	f.timer.Advance(streamIdleTime)
	f.Sweep()
	assert.Assert(t, !s.isClosed())
	f.timer.Advance(1)
	f.Sweep()
	assert.Assert(t, s.isClosed())
}

// TestAPoolerThatStartsElsewhereIsReached guards against a pooler that is avoided, or called at
// its old address, after it was started again.
func TestAPoolerThatStartsElsewhereIsReached(t *testing.T) {
	f := newClientFixture(t)
	o := f.Delegate("g", "", nil)
	done, _ := f.start(t, o)
	before := f.stream(o.Pooler())
	f.addresses[o.Pooler()] = "another address"
	for {
		if again := f.Delegate("g", "", nil); again.Pooler() == o.Pooler() {
			break
		}
	}
	assert.ErrorIs(t, (<-done).err, eelgrassladder.ErrAnswerLost)
	assert.Assert(t, before.isClosed())
}

// TestOtherGroupsAndPoolersAreNotDelegated guards against operations that a pooler passes on.
func TestOtherGroupsAndPoolersAreNotDelegated(t *testing.T) {
	f := newClientFixture(t)
	names := []string{}
	dataCentres := map[string]string{}
	for name := range f.addresses {
		names, dataCentres[name] = append(names, name), "here"
	}
	f.fleet = sharing.NewFleet(f.Poolers("g").All()[0], names...).WithDataCentres(dataCentres)
	assert.Assert(t, f.Delegate("g", "", nil) == nil)
}
