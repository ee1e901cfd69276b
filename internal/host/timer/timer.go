// Package timer provides the time service that the parts of the system subscribe
// to, and a manual one for tests.
package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder"
)

// idleWait is how long the service sleeps when no subscription is due.
const idleWait = time.Hour

// Service is a Timer that follows the host's clock. Use New, then Run.
type Service struct {
	// mutex guards subscriptions. It is a leaf: no other lock is taken under it.
	mutex sync.Mutex
	// subscriptions is a heap with the earliest due time first.
	subscriptions schedule
	// changed has room for one value. It wakes Run when a subscription is added.
	changed chan struct{}
}

// New returns a service. Subscriptions fire only while Run is running.
func New() *Service {
	return &Service{changed: make(chan struct{}, 1)}
}

// Now returns the present time with its monotonic reading.
func (s *Service) Now() time.Time { return time.Now() }

// Subscribe returns a subscription that fires once in each period.
func (s *Service) Subscribe(period time.Duration) eelgrassladder.Subscription {
	return s.add(period, period)
}

// Once returns a subscription that fires a single time.
func (s *Service) Once(delay time.Duration) eelgrassladder.Subscription {
	return s.add(delay, 0)
}

// Run fires subscriptions until ctx is cancelled.
func (s *Service) Run(ctx context.Context) error {
	alarm := time.NewTimer(idleWait)
	defer alarm.Stop()
	for {
		alarm.Reset(s.fire(time.Now()))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-alarm.C:
		case <-s.changed:
		}
	}
}

// add schedules a subscription and wakes Run.
func (s *Service) add(delay, period time.Duration) eelgrassladder.Subscription {
	e := &entry{
		due:    time.Now().Add(delay),
		period: period,
		times:  make(chan time.Time, 1),
		remove: s.remove,
	}
	s.mutex.Lock()
	heap.Push(&s.subscriptions, e)
	s.mutex.Unlock()
	s.wake()
	return e
}

// remove takes a subscription off the schedule.
func (s *Service) remove(e *entry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.subscriptions.remove(e)
}

// wake makes Run check the schedule again.
func (s *Service) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// fire sends the time to all subscriptions that are due. It returns the time until
// the next one is due.
func (s *Service) fire(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for len(s.subscriptions) > 0 {
		e := s.subscriptions[0]
		if e.due.After(now) {
			return e.due.Sub(now)
		}
		e.send(now)
		s.reschedule(e, now)
	}
	return idleWait
}

// reschedule moves a periodic subscription to its next time, and removes one that
// fires only once. A subscription that has missed a whole period skips the missed
// times. The caller holds the mutex.
func (s *Service) reschedule(e *entry, now time.Time) {
	if e.period == 0 {
		heap.Remove(&s.subscriptions, e.index)
		return
	}
	e.due = e.due.Add(e.period)
	if e.due.Before(now) {
		e.due = now.Add(e.period)
	}
	heap.Fix(&s.subscriptions, e.index)
}
