package timer

import (
	"container/heap"
	"time"
)

// subscription is a Subscription of a Service or of a Manual.
type subscription struct {
	// due is the next time at which the subscription fires.
	due time.Time
	// period is zero for a subscription that fires once.
	period time.Duration
	// times has room for one time. A new time is dropped while nobody has received the
	// last one.
	times chan time.Time
	// index is the index of the subscription in its schedule, or -1 once it was removed.
	index int
	// remove removes the subscription from its schedule under the timer's lock.
	remove func(*subscription)
}

// C returns the channel of times.
func (s *subscription) C() <-chan time.Time { return s.times }

// Stop removes the subscription from its schedule.
func (s *subscription) Stop() { s.remove(s) }

// send delivers the time, unless nobody has received the last one yet.
func (s *subscription) send(now time.Time) {
	select {
	case s.times <- now:
	default:
	}
}

// schedule is a heap of subscriptions, ordered by due time.
type schedule []*subscription

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(a, b int) bool { return s[a].due.Before(s[b].due) }

func (s schedule) Swap(a, b int) {
	s[a], s[b] = s[b], s[a]
	s[a].index = a
	s[b].index = b
}

// Push adds a subscription, for container/heap.
func (s *schedule) Push(x any) {
	sub := x.(*subscription)
	sub.index = len(*s)
	*s = append(*s, sub)
}

// Pop removes and returns the last subscription, for container/heap.
func (s *schedule) Pop() any {
	old := *s
	sub := old[len(old)-1]
	sub.index = -1
	*s = old[:len(old)-1]
	return sub
}

// remove removes a subscription from the schedule, if it is there.
func (s *schedule) remove(sub *subscription) {
	if sub.index >= 0 {
		heap.Remove(s, sub.index)
	}
}
