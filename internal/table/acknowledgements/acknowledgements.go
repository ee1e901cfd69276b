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
// lockrank.Acknowledgements.
type Table struct {
	mutex *lockrank.Mutex
	// term is the current term; answers of any other term fail.
	term uint64
	// commitIndex is the last log index that a majority holds in the term.
	commitIndex uint64
	// waiting is a heap ordered by index, the lowest first.
	waiting answerHeap
}

// answer is a waiting answer.
type answer struct {
	index    uint64
	deadline time.Time
	deliver  func(committed bool)
}

// New returns an empty table in term zero.
func New() *Table { return &Table{mutex: lockrank.New(lockrank.Acknowledgements)} }

// Begin starts a term. All answers that wait in another term fail.
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

// ContinueTerm starts a term whose log continues the log of the term before
// it, up to the committed index. Answers that wait for a later index fail.
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

// Await calls deliver once: with true when a majority holds the position in
// its term, and with false when the term ends or the deadline passes first.
// The call may come before Await returns.
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

// Advance records that a majority holds the log up to the index in the term.
// Answers up to the index are delivered.
func (t *Table) Advance(term, index uint64) {
	t.mutex.Lock()
	var done []answer
	if term == t.term && index > t.commitIndex {
		t.commitIndex = index
		for len(t.waiting) > 0 && t.waiting[0].index <= index {
			done = append(done, heap.Pop(&t.waiting).(answer))
		}
	}
	t.mutex.Unlock()
	for _, a := range done {
		a.deliver(true)
	}
}

// Committed returns the last position that a majority holds.
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

func (p answerHeap) Len() int           { return len(p) }
func (p answerHeap) Less(a, b int) bool { return p[a].index < p[b].index }
func (p answerHeap) Swap(a, b int)      { p[a], p[b] = p[b], p[a] }

// Push adds an answer, for container/heap.
func (p *answerHeap) Push(x any) { *p = append(*p, x.(answer)) }

// Pop removes the last answer, for container/heap.
func (p *answerHeap) Pop() any {
	old := *p
	a := old[len(old)-1]
	*p = old[:len(old)-1]
	return a
}
