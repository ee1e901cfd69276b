package timer

import (
	"container/heap"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder"
)

// Manual is a Timer for tests. Its time changes only with Advance.
type Manual struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// now never runs backwards.
	now time.Time
	// subscriptions is a heap with the earliest due time first.
	subscriptions schedule
}

// NewManual returns a timer that starts at the given time.
func NewManual(now time.Time) *Manual { return &Manual{now: now} }

// Now returns the timer's current time.
func (m *Manual) Now() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.now
}

// Subscribe returns a subscription that fires once in each period, which must be above
// zero.
func (m *Manual) Subscribe(period time.Duration) eelgrassladder.Subscription {
	return m.add(period, period)
}

// Once returns a subscription that fires a single time, after the delay.
func (m *Manual) Once(delay time.Duration) eelgrassladder.Subscription {
	return m.add(delay, 0)
}

// Advance moves the time forward and fires the subscriptions that become due, in the
// order of their times. A subscription that becomes due several times fires each time,
// but its channel has room for only one.
func (m *Manual) Advance(by time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	end := m.now.Add(by)
	for len(m.subscriptions) > 0 && !m.subscriptions[0].due.After(end) {
		sub := m.subscriptions[0]
		m.now = sub.due
		sub.send(m.now)
		if sub.period == 0 {
			heap.Remove(&m.subscriptions, sub.index)
			continue
		}
		sub.due = sub.due.Add(sub.period)
		heap.Fix(&m.subscriptions, sub.index)
	}
	m.now = end
}

// add schedules a subscription. A period of zero means that it fires only once.
func (m *Manual) add(delay, period time.Duration) eelgrassladder.Subscription {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	sub := &subscription{due: m.now.Add(delay), period: period, times: make(chan time.Time, 1), remove: m.remove}
	heap.Push(&m.subscriptions, sub)
	return sub
}

// remove removes a subscription from the schedule, if it is there.
func (m *Manual) remove(sub *subscription) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.subscriptions.remove(sub)
}
