// Package delegations is the table of operations that a proxy runs for clients of other
// proxies. Workers take the statements of the operations and run them.
package delegations

import (
	"context"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/delegation"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// Stream identifies the stream of an operation, on which its answers are sent.
type Stream interface {
	// Send sends the answer of the operation with a number.
	Send(number uint64, a delegation.Answer) error
}

// Session runs the statements of one operation.
type Session interface {
	// Do runs a statement, whose answer must be ready by the deadline.
	Do(deadline time.Time, r delegation.Request) delegation.Answer
	// Close ends the operation, and rolls back an open transaction.
	Close()
}

// Operation is an operation of another proxy's client. The table's mutex guards its state;
// Session and the request of a Work belong to the worker that has it.
type Operation struct {
	stream Stream
	number uint64
	// Session is nil until a worker has opened it.
	Session Session
	// busy is true from when a statement is added until it has ended.
	busy bool
	// givenUp is true once the operation is to be rolled back.
	givenUp bool
	// bytes is the length of the texts of all its requests.
	bytes int
	// idleSince is when the last statement ended.
	idleSince time.Time
}

// Work is what a worker has to do for an operation.
type Work struct {
	Operation *Operation
	// Request is the statement to run, and Deadline when its answer must be ready. If Close
	// is true, the operation is to be rolled back instead.
	Request  delegation.Request
	Deadline time.Time
	Close    bool
}

// Send sends an answer of the operation.
func (o *Operation) Send(a delegation.Answer) error { return o.stream.Send(o.number, a) }

// Stream returns the stream of the operation.
func (o *Operation) Stream() Stream { return o.stream }

// Number returns the number of the operation on its stream.
func (o *Operation) Number() uint64 { return o.number }

// Table holds the operations. Use New to make one. The rank of its mutex is
// lockrank.Delegations.
type Table struct {
	mutex *lockrank.Mutex
	// wake is signalled when work is added to ready.
	wake *sync.Cond
	// ready holds the work that no worker has taken yet.
	ready []Work
	// operations holds the operations by stream and number.
	operations map[Stream]map[uint64]*Operation
	// count is the number of operations, and bytes the length of their texts.
	count, bytes int
	// draining is true once the table takes no more operations.
	draining bool
}

// New returns a table without operations.
func New() *Table {
	t := &Table{mutex: lockrank.New(lockrank.Delegations), operations: map[Stream]map[uint64]*Operation{}}
	t.wake = sync.NewCond(t.mutex)
	return t
}

const (
	// maxOperations bounds the operations of all streams. Poolers have some dozens of
	// connections, and refuse statements that wait for a tenth of a second.
	maxOperations = 4096
	// maxBytes bounds the texts of all operations, above which no more begin. The smallest
	// processes have 184 MB, and a text is held up to three times.
	maxBytes = 8 << 20
)

// Verdict says what became of a request.
type Verdict int

// The verdicts on requests.
const (
	// Accepted means that a worker runs the statement.
	Accepted Verdict = iota
	// Full means that the table takes no more operations, for good or for the moment.
	Full
	// Unknown means that the operation is not open. It has ended, or was rolled back.
	Unknown
)

// Add adds a request of an operation, whose answer must be ready by the deadline.
func (t *Table) Add(s Stream, number uint64, r delegation.Request, deadline time.Time) Verdict {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	o, size := t.operations[s][number], r.Size()
	switch {
	case o == nil && r.Opening == nil:
		return Unknown
	case o == nil && (t.draining || t.count >= maxOperations || t.bytes+size > maxBytes && t.count > 0):
		return Full
	case o == nil:
		o = &Operation{stream: s, number: number}
		if t.operations[s] == nil {
			t.operations[s] = map[uint64]*Operation{}
		}
		t.operations[s][number] = o
		t.count++
	case o.busy || o.givenUp || r.Opening != nil:
		return Unknown
	}
	o.busy = true
	o.bytes += size
	t.bytes += size
	t.enqueue(Work{Operation: o, Request: r, Deadline: deadline})
	return Accepted
}

// GiveUp has an operation rolled back, once its running statement has ended.
func (t *Table) GiveUp(s Stream, number uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if o := t.operations[s][number]; o != nil {
		t.giveUp(o)
	}
}

// EndStream has all operations of a stream rolled back.
func (t *Table) EndStream(s Stream) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, o := range t.operations[s] {
		t.giveUp(o)
	}
}

// Expire has the operations rolled back that have been idle since before a time.
func (t *Table) Expire(before time.Time) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	expired := 0
	for _, operations := range t.operations {
		for _, o := range operations {
			if !o.busy && !o.givenUp && o.idleSince.Before(before) {
				t.giveUp(o)
				expired++
			}
		}
	}
	return expired
}

// Drain makes the table take no more operations.
func (t *Table) Drain() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.draining = true
}

// Draining reports whether Drain was called.
func (t *Table) Draining() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.draining
}

// Count returns the number of operations.
func (t *Table) Count() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.count
}

// Finish ends the work on an operation. Open is true if its transaction is still open. It
// reports whether the worker has to close the operation's session, and call Finish again
// with open false.
func (t *Table) Finish(o *Operation, open bool, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if open && o.givenUp {
		return true
	}
	if open {
		o.busy, o.idleSince = false, now
		return false
	}
	if operations := t.operations[o.stream]; operations[o.number] == o {
		delete(operations, o.number)
		t.count--
		t.bytes -= o.bytes
		if len(operations) == 0 {
			delete(t.operations, o.stream)
		}
	}
	return false
}

// GivenUp reports whether an operation is to be rolled back, so that a statement of it which
// has not started need not run.
func (t *Table) GivenUp(o *Operation) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return o.givenUp
}

// Take returns the next work, and waits if there is none. It returns false if there is none
// and ctx has ended; call Close then to end the wait.
func (t *Table) Take(ctx context.Context) (Work, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for len(t.ready) == 0 {
		if ctx.Err() != nil {
			return Work{}, false
		}
		t.wake.Wait()
	}
	w := t.ready[0]
	t.ready[0] = Work{}
	t.ready = t.ready[1:]
	return w, true
}

// Close wakes all workers, so that they notice that their context has ended.
func (t *Table) Close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.wake.Broadcast()
}

// giveUp marks an operation, and has an idle one closed by a worker. The caller holds the
// mutex.
func (t *Table) giveUp(o *Operation) {
	if o.givenUp {
		return
	}
	o.givenUp = true
	if !o.busy {
		o.busy = true
		t.enqueue(Work{Operation: o, Close: true})
	}
}

// enqueue passes work to a worker. The caller holds the mutex.
func (t *Table) enqueue(w Work) {
	t.ready = append(t.ready, w)
	t.wake.Signal()
}
