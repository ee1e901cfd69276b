// Package acknowledgements is the table of answers that wait until a majority
// of the group holds their log position.
package acknowledgements

import (
	"container/heap"
	"slices"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// Table holds the waiting answers of one group. The rank of its mutex is
// lockrank.Acknowledgements. Answers are delivered after it is unlocked.
type Table struct {
	mutex *lockrank.Mutex
	// term is the current term, zero before the first. Answers that are added
	// for any other term fail.
	term uint64
	// commitIndex is the last log index that a majority holds in the term.
	commitIndex uint64
	// waiting is a heap ordered by index, the lowest first.
	waiting answerHeap
}

// answer is a waiting answer.
type answer struct {
	// index is the log index that a majority must hold.
	index    uint64
	deadline time.Time
	deliver  func(committed bool)
}

// New returns an empty table in term zero.
func New() *Table { return &Table{mutex: lockrank.New(lockrank.Acknowledgements)} }

// Begin starts a term. All waiting answers fail.
func (t *Table) Begin(term uint64) {
	t.mutex.Lock()
	failed := t.waiting
	t.waiting = nil
	t.term = term
	t.commitIndex = 0
	t.mutex.Unlock()
	for _, a := range failed {
		a.deliver(false)
	}
}

// ContinueTerm starts a term whose log continues the log of the term before it
// up to the index committed. Answers that wait for a later index fail; the
// others wait until Advance reports their index in the new term.
func (t *Table) ContinueTerm(term, committed uint64) {
	t.mutex.Lock()
	t.term = term
	t.commitIndex = 0
	failed := t.remove(func(a answer) bool { return a.index > committed })
	t.mutex.Unlock()
	for _, a := range failed {
		a.deliver(false)
	}
}

// Expire fails the answers whose deadline has passed.
func (t *Table) Expire(now time.Time) {
	t.mutex.Lock()
	failed := t.remove(func(a answer) bool { return now.After(a.deadline) })
	t.mutex.Unlock()
	for _, a := range failed {
		a.deliver(false)
	}
}

// remove removes and returns the answers that match. The caller holds the
// mutex.
func (t *Table) remove(matches func(answer) bool) []answer {
	var removed []answer
	t.waiting = slices.DeleteFunc(t.waiting, func(a answer) bool {
		if matches(a) {
			removed = append(removed, a)
			return true
		}
		return false
	})
	heap.Init(&t.waiting)
	return removed
}

// Await arranges that deliver is called once: with true when a majority holds
// the position, and with false if the position's term is not the current one,
// if the term ends first, or when Expire is called after the deadline. Deliver
// may be called before Await returns.
func (t *Table) Await(p position.Position, deadline time.Time, deliver func(committed bool)) {
	t.mutex.Lock()
	current := p.Term == t.term && p.Term != 0
	committed := current && p.Log <= t.commitIndex
	if current && !committed {
		heap.Push(&t.waiting, answer{index: p.Log, deadline: deadline, deliver: deliver})
	}
	t.mutex.Unlock()
	if committed || !current {
		deliver(committed)
	}
}

// Advance records that a majority holds the log up to the index in the term,
// and delivers the answers up to the index. It does nothing if the term is not
// the current one.
func (t *Table) Advance(term, index uint64) {
	t.mutex.Lock()
	var committed []answer
	if term == t.term && index > t.commitIndex {
		t.commitIndex = index
		for len(t.waiting) > 0 && t.waiting[0].index <= index {
			committed = append(committed, heap.Pop(&t.waiting).(answer))
		}
	}
	t.mutex.Unlock()
	for _, a := range committed {
		a.deliver(true)
	}
}

// Committed returns the last position that is known to be held by a majority in
// the current term. Its index is zero until Advance is called in that term.
func (t *Table) Committed() position.Position {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return position.Position{Term: t.term, Log: t.commitIndex}
}

// Waiting returns the number of waiting answers.
func (t *Table) Waiting() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.waiting)
}

// answerHeap is a heap of answers ordered by index.
type answerHeap []answer

func (h answerHeap) Len() int           { return len(h) }
func (h answerHeap) Less(a, b int) bool { return h[a].index < h[b].index }
func (h answerHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }

// Push adds an answer, for container/heap.
func (h *answerHeap) Push(x any) { *h = append(*h, x.(answer)) }

// Pop removes the last answer, for container/heap.
func (h *answerHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	*h = old[:len(old)-1]
	return a
}
