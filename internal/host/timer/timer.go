// Package timer implements eelgrassladder.Timer: a service that follows the host's clock,
// and one whose time tests set.
package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder"
)

// idleWait is how long Run sleeps while there are no subscriptions. A new one wakes it.
const idleWait = time.Hour

// Service is a Timer that follows the host's clock. Use New, then Run.
type Service struct {
	// mutex guards subscriptions. No other lock is taken while it is held.
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

// Now returns the current time of the host's clock, with its monotonic reading.
func (s *Service) Now() time.Time { return time.Now() }

// Subscribe returns a subscription that fires once in each period, which must be above
// zero.
func (s *Service) Subscribe(period time.Duration) eelgrassladder.Subscription {
	return s.add(period, period)
}

// Once returns a subscription that fires a single time, after the delay.
func (s *Service) Once(delay time.Duration) eelgrassladder.Subscription {
	return s.add(delay, 0)
}

// Run fires subscriptions until ctx is cancelled.
func (s *Service) Run(ctx context.Context) error {
	next := time.NewTimer(idleWait)
	defer next.Stop()
	for {
		next.Reset(s.fire(time.Now()))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-next.C:
		case <-s.changed:
		}
	}
}

// add schedules a subscription and wakes Run. A period of zero means that it fires only
// once.
func (s *Service) add(delay, period time.Duration) eelgrassladder.Subscription {
	sub := &subscription{
		due:    time.Now().Add(delay),
		period: period,
		times:  make(chan time.Time, 1),
		remove: s.remove,
	}
	s.mutex.Lock()
	heap.Push(&s.subscriptions, sub)
	s.mutex.Unlock()
	s.wake()
	return sub
}

// remove removes a subscription from the schedule, if it is there.
func (s *Service) remove(sub *subscription) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.subscriptions.remove(sub)
}

// wake makes Run check the schedule again.
func (s *Service) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// fire fires all subscriptions that are due. It returns the time until the next one is
// due, or idleWait if there is none.
func (s *Service) fire(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for len(s.subscriptions) > 0 {
		sub := s.subscriptions[0]
		if sub.due.After(now) {
			return sub.due.Sub(now)
		}
		sub.send(now)
		s.reschedule(sub, now)
	}
	return idleWait
}

// reschedule sets the next time of a periodic subscription, and removes one that fires
// only once. A subscription that is late by more than its period skips the missed times.
// The caller holds the mutex.
func (s *Service) reschedule(sub *subscription, now time.Time) {
	if sub.period == 0 {
		heap.Remove(&s.subscriptions, sub.index)
		return
	}
	sub.due = sub.due.Add(sub.period)
	if sub.due.Before(now) {
		sub.due = now.Add(sub.period)
	}
	heap.Fix(&s.subscriptions, sub.index)
}
