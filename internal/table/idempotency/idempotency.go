// Package idempotency is the table of request keys that the owner of a group has
// seen, so that a key runs once.
package idempotency

import (
	"container/list"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// Table holds the keys of one group. Its rank is Keys. A key is never
// forgotten before its time: a full table takes no new keys.
type Table struct {
	mutex *lockrank.Mutex
	// limit is the most keys remembered.
	limit int
	// keep is how long a settled key is remembered.
	keep time.Duration
	// order has the oldest key at its front.
	order *list.List
	// byKey finds the element of a key.
	byKey map[string]*list.Element
}

// Entry is a key with its answer once it is settled.
type Entry struct {
	// Key identifies the request.
	Key string
	// Answer is what the request was told; zero until settled.
	Answer request.Answer
	// settled is closed when Answer is set.
	settled chan struct{}
	// begun is when the key was first seen.
	begun time.Time
}

// State says what the table knows of a key.
type State int

// The states of a key.
const (
	// Fresh keys have not been seen; the caller of Begin must run and Settle.
	Fresh State = iota
	// Known keys run or have run; wait for the channel and ask Answer.
	Known
	// Full means that the table can't take a new key.
	Full
)

// New returns a table for at most limit keys, each kept for a time.
func New(limit int, keep time.Duration) *Table {
	return &Table{
		mutex: lockrank.New(lockrank.Idempotency), limit: limit, keep: keep,
		order: list.New(), byKey: map[string]*list.Element{},
	}
}

// Begin records a key. For a known key it returns the channel that is closed
// when the answer is there.
func (t *Table) Begin(key string, now time.Time) (State, <-chan struct{}) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	if e, ok := t.byKey[key]; ok {
		return Known, e.Value.(*Entry).settled
	}
	if t.order.Len() >= t.limit {
		return Full, nil
	}
	t.byKey[key] = t.order.PushBack(&Entry{Key: key, settled: make(chan struct{}), begun: now})
	return Fresh, nil
}

// Settle records the answer of a key. A request that was not run may be sent
// again, so its key is forgotten.
func (t *Table) Settle(key string, a request.Answer) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e, ok := t.byKey[key]
	if !ok {
		return
	}
	o := e.Value.(*Entry)
	o.Answer = a
	close(o.settled)
	if a.Outcome == request.NotRun {
		t.remove(e)
	}
}

// Answer returns the answer of a settled key, and false if it is not known.
func (t *Table) Answer(key string) (request.Answer, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e, ok := t.byKey[key]
	if !ok {
		return request.Answer{}, false
	}
	return e.Value.(*Entry).Answer, true
}

// Settled returns all settled keys, the oldest first.
func (t *Table) Settled() []Entry {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var all []Entry
	for e := t.order.Front(); e != nil; e = e.Next() {
		o := e.Value.(*Entry)
		select {
		case <-o.settled:
			all = append(all, Entry{Key: o.Key, Answer: o.Answer})
		default:
		}
	}
	return all
}

// Restore records keys that another owner has settled.
func (t *Table) Restore(all []Entry, now time.Time) {
	for _, o := range all {
		if state, _ := t.Begin(o.Key, now); state == Fresh {
			t.Settle(o.Key, o.Answer)
		}
	}
}

// expire forgets settled keys whose time is over. The caller holds the mutex.
func (t *Table) expire(now time.Time) {
	for e := t.order.Front(); e != nil; e = t.order.Front() {
		o := e.Value.(*Entry)
		if now.Sub(o.begun) < t.keep {
			return
		}
		select {
		case <-o.settled:
			t.remove(e)
		default:
			return
		}
	}
}

// remove forgets a key. The caller holds the mutex.
func (t *Table) remove(e *list.Element) {
	delete(t.byKey, e.Value.(*Entry).Key)
	t.order.Remove(e)
}
