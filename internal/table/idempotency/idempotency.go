// Package idempotency is the table of the request keys that the owner of a
// group has seen, so that a request with a key runs at most once. A key is
// settled once the outcome of its request is known.
package idempotency

import (
	"container/list"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// Table holds the keys of one group. The rank of its mutex is
// lockrank.Idempotency. The key of a request that may have run is never
// forgotten before its retention time has passed; a full table accepts no new
// keys.
type Table struct {
	mutex *lockrank.Mutex
	// limit is the maximum number of keys.
	limit int
	// retention is how long a key is kept at least after it was first seen. One
	// that is not settled is kept longer.
	retention time.Duration
	// order holds the entries, the oldest first.
	order *list.List
	// byKey holds the element of order for each key.
	byKey map[string]*list.Element
}

// Entry is a key, with the answer of its request once it is settled.
type Entry struct {
	Key string
	// Answer is the answer of the request; zero until settled.
	Answer request.Answer
	// settled is closed when Answer is set. It is nil in an Entry that Settled
	// returns.
	settled chan struct{}
	// firstSeen is when the key was added. It is zero in an Entry that Settled
	// returns.
	firstSeen time.Time
}

// BeginResult is the result of Begin.
type BeginResult int

// Results of Begin.
const (
	// Added means that the key was not known and has been added. The caller of
	// Begin must run the request and call Settle.
	Added BeginResult = iota
	// Known means that the request runs or has run. Wait for the channel, then
	// call Answer, which returns false if the request did not run after all.
	Known
	// Full means that the key is not known, and that the table has no room for
	// it.
	Full
)

// New returns a table for at most limit keys, each kept for the retention
// time.
func New(limit int, retention time.Duration) *Table {
	return &Table{
		mutex: lockrank.New(lockrank.Idempotency), limit: limit, retention: retention,
		order: list.New(), byKey: map[string]*list.Element{},
	}
}

// Begin adds a key that is not known, if there is room, and reports which was
// the case. For a known key it also returns the channel that is closed when the
// key is settled.
func (t *Table) Begin(key string, now time.Time) (BeginResult, <-chan struct{}) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	if e, ok := t.byKey[key]; ok {
		return Known, e.Value.(*Entry).settled
	}
	if t.order.Len() >= t.limit {
		return Full, nil
	}
	t.byKey[key] = t.order.PushBack(&Entry{Key: key, settled: make(chan struct{}), firstSeen: now})
	return Added, nil
}

// Settle stores the answer of a key. If the request did not run, the key is
// forgotten, so that the request can be sent again. A key that is settled already
// keeps its answer.
func (t *Table) Settle(key string, a request.Answer) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e, ok := t.byKey[key]
	if !ok {
		return
	}
	entry := e.Value.(*Entry)
	select {
	case <-entry.settled:
		return
	default:
	}
	entry.Answer = a
	close(entry.settled)
	if a.Outcome == request.NotRun {
		t.remove(e)
	}
}

// Answer returns the answer of a key, which is zero until the key is settled.
// It returns false if the key is not known, as after its request did not run.
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
	var settled []Entry
	for e := t.order.Front(); e != nil; e = e.Next() {
		entry := e.Value.(*Entry)
		select {
		case <-entry.settled:
			settled = append(settled, Entry{Key: entry.Key, Answer: entry.Answer})
		default:
		}
	}
	return settled
}

// Restore adds keys that another owner of the group has settled, while there is
// room. Their retention time begins now.
func (t *Table) Restore(entries []Entry, now time.Time) {
	for _, entry := range entries {
		if result, _ := t.Begin(entry.Key, now); result == Added {
			t.Settle(entry.Key, entry.Answer)
		}
	}
}

// expire removes settled keys whose retention time has passed, from the oldest
// up to the first key that has to stay. The caller holds the mutex.
func (t *Table) expire(now time.Time) {
	for e := t.order.Front(); e != nil; e = t.order.Front() {
		entry := e.Value.(*Entry)
		if now.Sub(entry.firstSeen) < t.retention {
			return
		}
		select {
		case <-entry.settled:
			t.remove(e)
		default:
			return
		}
	}
}

// remove removes a key. The caller holds the mutex.
func (t *Table) remove(e *list.Element) {
	delete(t.byKey, e.Value.(*Entry).Key)
	t.order.Remove(e)
}
