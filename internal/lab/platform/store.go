// Package platform is the stand-in for the platform's key-value service and
// host list: a real HTTP listener on loopback with rate limits, outages,
// slow answers and answers that are lost after the effect.
package platform

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	generated "eelgrassladder.example/eelgrassladder/gen/platform"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
)

// The rates that the service sustains, in calls a second.
const (
	writesPerSecond = 400
	readsPerSecond  = 2000
)

// maxValueBytes is the longest value of a key.
const maxValueBytes = 1 << 20

// Conditions are the faults in force at the store. The value is immutable.
type Conditions struct {
	// Down refuses every call.
	Down bool
	// Delay is added to every answer.
	Delay time.Duration
	// LoseAnswers makes changes take effect and then fails the call.
	LoseAnswers bool
	// HostListDelay is how old the host list is.
	HostListDelay time.Duration
}

// WithDown returns the conditions with an outage or its end.
func (c Conditions) WithDown(on bool) Conditions { c.Down = on; return c }

// WithDelay returns the conditions with another delay.
func (c Conditions) WithDelay(d time.Duration) Conditions { c.Delay = d; return c }

// WithLoseAnswers returns the conditions with answers lost after the effect.
func (c Conditions) WithLoseAnswers(on bool) Conditions { c.LoseAnswers = on; return c }

// lease is one held key.
type lease struct {
	holder string
	until  time.Time
}

// datedHostList is a host list with the time from which it is shown.
type datedHostList struct {
	visibleFrom time.Time
	list        *generated.HostList
}

// Store holds the keys and the host list.
type Store struct {
	reads  *rate.Limiter
	writes *rate.Limiter

	// mutex guards everything below. It is a leaf.
	mutex      sync.Mutex
	changed    chan struct{}
	conditions Conditions
	entries    map[string]generated.Entry
	leases     map[string]lease
	lists      []datedHostList
	calls      uint64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		reads:   rate.NewLimiter(readsPerSecond, readsPerSecond),
		writes:  rate.NewLimiter(writesPerSecond, writesPerSecond),
		changed: make(chan struct{}),
		entries: map[string]generated.Entry{},
		leases:  map[string]lease{},
		lists:   []datedHostList{{list: &generated.HostList{}}},
	}
}

// Conditions returns the conditions in force.
func (s *Store) Conditions() Conditions {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.conditions
}

// SetConditions puts the conditions into force.
func (s *Store) SetConditions(c Conditions) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.conditions = c
	s.notify()
}

// SetHosts replaces the host list; it is shown after the lag.
func (s *Store) SetHosts(list *generated.HostList) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lists = append(s.lists, datedHostList{visibleFrom: time.Now().Add(s.conditions.HostListDelay), list: list})
}

// Calls returns how many calls were counted.
func (s *Store) Calls() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// notify wakes the watches. The caller holds the mutex.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit counts a call and applies delay, outage and rate limit.
func (s *Store) admit(ctx context.Context, limit *rate.Limiter) error {
	s.mutex.Lock()
	s.calls++
	c := s.conditions
	s.mutex.Unlock()
	if c.Delay > 0 {
		timer.Sleep(ctx, c.Delay)
	}
	if c.Down || !limit.Allow() {
		return generated.MakeUnavailable(errUnavailable)
	}
	return nil
}

// Read reads a key.
func (s *Store) Read(ctx context.Context, p *generated.ReadPayload) (*generated.Entry, error) {
	if err := s.admit(ctx, s.reads); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.entry(p.Key), nil
}

// entry returns a copy of a key's entry. The caller holds the mutex.
func (s *Store) entry(key string) *generated.Entry {
	e := s.entries[key]
	e.Key = key
	return &e
}

// Watch waits for a version above the one given.
func (s *Store) Watch(ctx context.Context, p *generated.WatchPayload) (*generated.Entry, error) {
	if err := s.admit(ctx, s.reads); err != nil {
		return nil, err
	}
	timeout := time.NewTimer(time.Duration(p.WaitMs) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mutex.Lock()
		e, changed, c := s.entry(p.Key), s.changed, s.conditions
		s.mutex.Unlock()
		if c.Down {
			return nil, generated.MakeUnavailable(errUnavailable)
		}
		if e.Version > p.Above {
			return e, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timeout.C:
			return e, nil
		case <-changed:
		}
	}
}

// Swap sets a key if it has the expected version.
func (s *Store) Swap(ctx context.Context, p *generated.SwapPayload) (*generated.Entry, error) {
	if err := s.admit(ctx, s.writes); err != nil {
		return nil, err
	}
	if len(p.Value) > maxValueBytes {
		return nil, generated.MakeConflict(errValueTooLong)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.entries[p.Key].Version != p.Expected {
		return nil, generated.MakeConflict(errVersionConflict)
	}
	s.entries[p.Key] = generated.Entry{
		Key: p.Key, Value: p.Value, Version: p.Expected + 1, ChangeID: p.ChangeID,
	}
	s.notify()
	if s.conditions.LoseAnswers {
		return nil, generated.MakeUnavailable(errUnavailable)
	}
	return s.entry(p.Key), nil
}

// Lease takes or renews a lease.
func (s *Store) Lease(ctx context.Context, p *generated.LeasePayload) (*generated.LeaseResult, error) {
	if err := s.admit(ctx, s.writes); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	current := s.leases[p.Key]
	if current.holder != p.Holder && current.until.After(now) {
		return &generated.LeaseResult{Holder: current.holder}, nil
	}
	s.leases[p.Key] = lease{holder: p.Holder, until: now.Add(time.Duration(p.TermMs) * time.Millisecond)}
	if s.conditions.LoseAnswers {
		return nil, generated.MakeUnavailable(errUnavailable)
	}
	return &generated.LeaseResult{Holder: p.Holder, Granted: true}, nil
}

// Hosts returns the newest list whose lag is over.
func (s *Store) Hosts(ctx context.Context) (*generated.HostList, error) {
	if err := s.admit(ctx, s.reads); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	newest := s.lists[0].list
	for _, l := range s.lists {
		if !l.visibleFrom.After(now) {
			newest = l.list
		}
	}
	return newest, nil
}
