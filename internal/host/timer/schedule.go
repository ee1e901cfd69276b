package timer

import (
	"container/heap"
	"time"
)

// entry is one subscription.
type entry struct {
	// due is the next time at which the subscription fires.
	due time.Time
	// period is zero for a subscription that fires once.
	period time.Duration
	// times has room for one time, which is dropped if nobody has received the last.
	times chan time.Time
	// index is the entry's index in the schedule, or -1 once it was removed.
	index int
	// remove removes the entry from its schedule.
	remove func(*entry)
}

// C returns the channel of times.
func (e *entry) C() <-chan time.Time { return e.times }

// Stop removes the subscription from its schedule.
func (e *entry) Stop() { e.remove(e) }

// send delivers the time, unless nobody has received the last one yet.
func (e *entry) send(now time.Time) {
	select {
	case e.times <- now:
	default:
	}
}

// schedule is a heap of entries, ordered by due time.
type schedule []*entry

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(a, b int) bool { return s[a].due.Before(s[b].due) }

func (s schedule) Swap(a, b int) {
	s[a], s[b] = s[b], s[a]
	s[a].index = a
	s[b].index = b
}

// Push adds an entry, for container/heap.
func (s *schedule) Push(x any) {
	e := x.(*entry)
	e.index = len(*s)
	*s = append(*s, e)
}

// Pop removes the last entry, for container/heap.
func (s *schedule) Pop() any {
	old := *s
	e := old[len(old)-1]
	e.index = -1
	*s = old[:len(old)-1]
	return e
}

// remove removes an entry from the schedule, if it is there.
func (s *schedule) remove(e *entry) {
	if e.index >= 0 {
		heap.Remove(s, e.index)
	}
}
