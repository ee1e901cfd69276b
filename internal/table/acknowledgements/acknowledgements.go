// Package acknowledgements is the table of answers that wait until a majority
// of the group holds their position.
package acknowledgements

import (
	"container/heap"
	"slices"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// Table holds waiting answers of one group. Its rank is Acknowledgements.
type Table struct {
	mutex *lockrank.Mutex
	// term is the term in force; answers of another term fail.
	term uint64
	// held is the last log place that a majority holds in the term.
	held uint64
	// waiting is ordered by place, the lowest first.
	waiting pending
}

// answer is one waiting answer.
type answer struct {
	place    uint64
	deadline time.Time
	deliver  func(held bool)
}

// New returns an empty table in term zero.
func New() *Table { return &Table{mutex: lockrank.New(lockrank.Acknowledgements)} }

// Begin starts a term. Everything that waited in another term fails.
func (t *Table) Begin(term uint64) {
	t.mutex.Lock()
	failed := t.waiting
	t.waiting = nil
	t.term = term
	t.held = 0
	t.mutex.Unlock()
	for _, a := range failed {
		a.deliver(false)
	}
}

// ContinueTerm starts a term whose log goes on from the term before, in which
// everything up to the place was kept. What waited for a later place fails.
func (t *Table) ContinueTerm(term, kept uint64) {
	t.mutex.Lock()
	t.term = term
	t.held = 0
	failed := t.remove(func(a answer) bool { return a.place > kept })
	t.mutex.Unlock()
	for _, a := range failed {
		a.deliver(false)
	}
}

// Expire fails what has waited past its deadline.
func (t *Table) Expire(now time.Time) {
	t.mutex.Lock()
	failed := t.remove(func(a answer) bool { return now.After(a.deadline) })
	t.mutex.Unlock()
	for _, a := range failed {
		a.deliver(false)
	}
}

// remove takes out the answers that match. The caller holds the mutex.
func (t *Table) remove(match func(answer) bool) []answer {
	var removed []answer
	t.waiting = slices.DeleteFunc(t.waiting, func(a answer) bool {
		if match(a) {
			removed = append(removed, a)
			return true
		}
		return false
	})
	heap.Init(&t.waiting)
	return removed
}

// Await calls deliver once: with true when a majority holds the position in
// its term, with false when the term or the time ends first. It may call it
// at once.
func (t *Table) Await(p position.Position, deadline time.Time, deliver func(held bool)) {
	t.mutex.Lock()
	current := p.Term == t.term && p.Term != 0
	held := current && p.Log <= t.held
	if current && !held {
		heap.Push(&t.waiting, answer{place: p.Log, deadline: deadline, deliver: deliver})
	}
	t.mutex.Unlock()
	if held || !current {
		deliver(held)
	}
}

// Advance records that a majority holds the place in the term.
func (t *Table) Advance(term, place uint64) {
	t.mutex.Lock()
	var done []answer
	if term == t.term && place > t.held {
		t.held = place
		for len(t.waiting) > 0 && t.waiting[0].place <= place {
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
	return position.Position{Term: t.term, Log: t.held}
}

// Waiting returns how many answers wait.
func (t *Table) Waiting() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.waiting)
}

// pending is a heap of answers.
type pending []answer

func (p pending) Len() int           { return len(p) }
func (p pending) Less(a, b int) bool { return p[a].place < p[b].place }
func (p pending) Swap(a, b int)      { p[a], p[b] = p[b], p[a] }

// Push adds an answer, for container/heap.
func (p *pending) Push(x any) { *p = append(*p, x.(answer)) }

// Pop removes the last answer, for container/heap.
func (p *pending) Pop() any {
	old := *p
	a := old[len(old)-1]
	*p = old[:len(old)-1]
	return a
}
