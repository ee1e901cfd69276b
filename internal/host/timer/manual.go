package timer

import (
	"container/heap"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder"
)

// Manual is a Timer for tests. Its time changes only with Advance.
type Manual struct {
	// mutex guards the fields below. It is a leaf.
	mutex sync.Mutex
	// now never runs backwards.
	now time.Time
	// subscriptions is a heap with the earliest due time first.
	subscriptions schedule
}

// NewManual returns a timer that starts at the given time.
func NewManual(now time.Time) *Manual { return &Manual{now: now} }

// Now returns the timer's present time.
func (m *Manual) Now() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.now
}

// Subscribe returns a subscription that fires once in each period.
func (m *Manual) Subscribe(period time.Duration) eelgrassladder.Subscription {
	return m.add(period, period)
}

// Once returns a subscription that fires a single time.
func (m *Manual) Once(delay time.Duration) eelgrassladder.Subscription {
	return m.add(delay, 0)
}

// Advance moves the time forward and fires the subscriptions that become due, in
// the order of their times.
func (m *Manual) Advance(by time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	end := m.now.Add(by)
	for len(m.subscriptions) > 0 && !m.subscriptions[0].due.After(end) {
		e := m.subscriptions[0]
		m.now = e.due
		e.send(m.now)
		if e.period == 0 {
			heap.Remove(&m.subscriptions, e.index)
			continue
		}
		e.due = e.due.Add(e.period)
		heap.Fix(&m.subscriptions, e.index)
	}
	m.now = end
}

// add schedules a subscription.
func (m *Manual) add(delay, period time.Duration) eelgrassladder.Subscription {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	e := &entry{due: m.now.Add(delay), period: period, times: make(chan time.Time, 1), remove: m.remove}
	heap.Push(&m.subscriptions, e)
	return e
}

// remove takes a subscription off the schedule.
func (m *Manual) remove(e *entry) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.subscriptions.remove(e)
}
