// Package platform simulates the platform's key-value service and host list for tests
// and experiments. It serves them over HTTP with rate limits, and injects outages,
// delays and answers that are lost after the change took effect.
package platform

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	generated "eelgrassladder.example/eelgrassladder/gen/platform"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
)

// The rate limits of the service, in calls a second. Bursts of as many calls as a second
// allows are admitted.
const (
	writesPerSecond = 400
	readsPerSecond  = 2000
)

// maxValueBytes is the largest size of a value.
const maxValueBytes = 1 << 20

// Conditions are the injected faults. The value is immutable.
type Conditions struct {
	// Down makes the store refuse every call and end open watches with an error.
	Down bool
	// Delay is added to the duration of every call.
	Delay time.Duration
	// LoseAnswers makes changes take effect and then fails the call.
	LoseAnswers bool
	// HostListDelay is the time until Hosts returns a new host list.
	HostListDelay time.Duration
}

// WithDown returns the conditions with Down set to on.
func (c Conditions) WithDown(on bool) Conditions { c.Down = on; return c }

// WithDelay returns the conditions with another delay.
func (c Conditions) WithDelay(d time.Duration) Conditions { c.Delay = d; return c }

// WithLoseAnswers returns the conditions with LoseAnswers set to on.
func (c Conditions) WithLoseAnswers(on bool) Conditions { c.LoseAnswers = on; return c }

// lease is the lease of a key.
type lease struct {
	holder string
	expiry time.Time
}

// datedHostList is a host list with the time from which on Hosts returns it.
type datedHostList struct {
	visibleFrom time.Time
	list        *generated.HostList
}

// Store is the platform's key-value service with its host list. Create it with
// NewStore.
type Store struct {
	reads  *rate.Limiter
	writes *rate.Limiter

	// mutex guards everything below. No other lock is taken while it is held.
	mutex sync.Mutex
	// changed is closed and replaced when an entry or the conditions change.
	changed    chan struct{}
	conditions Conditions
	entries    map[string]generated.Entry
	leases     map[string]lease
	// hostLists holds all host lists, in the order in which they were set.
	hostLists []datedHostList
	// calls counts all calls, also refused ones.
	calls uint64
}

// NewStore returns a store without keys and with an empty host list.
func NewStore() *Store {
	return &Store{
		reads:     rate.NewLimiter(readsPerSecond, readsPerSecond),
		writes:    rate.NewLimiter(writesPerSecond, writesPerSecond),
		changed:   make(chan struct{}),
		entries:   map[string]generated.Entry{},
		leases:    map[string]lease{},
		hostLists: []datedHostList{{list: &generated.HostList{}}},
	}
}

// Conditions returns the current faults.
func (s *Store) Conditions() Conditions {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.conditions
}

// SetConditions replaces the injected faults.
func (s *Store) SetConditions(c Conditions) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.conditions = c
	s.notify()
}

// SetHosts replaces the host list. Hosts returns the new one after HostListDelay.
func (s *Store) SetHosts(list *generated.HostList) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.hostLists = append(s.hostLists, datedHostList{visibleFrom: time.Now().Add(s.conditions.HostListDelay), list: list})
}

// Calls returns the number of calls since the store was created, including refused ones.
func (s *Store) Calls() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// notify wakes all watches. The caller holds the mutex.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit counts a call and waits for the injected delay. It refuses the call during an
// outage, or if the rate limit is exceeded.
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

// Read returns the entry of a key, with version zero if there is none.
func (s *Store) Read(ctx context.Context, p *generated.ReadPayload) (*generated.Entry, error) {
	if err := s.admit(ctx, s.reads); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.entry(p.Key), nil
}

// entry returns a copy of a key's entry, with version zero if there is none. The
// caller holds the mutex.
func (s *Store) entry(key string) *generated.Entry {
	e := s.entries[key]
	e.Key = key
	return &e
}

// Watch waits until the version of a key is above the given one, at most for the given
// time, and returns the entry.
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

// Swap sets a key if it has the expected version. Otherwise, or if the value is longer
// than maxValueBytes, it fails with a conflict.
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

// Lease grants or renews the lease of a key. While another holder has it, the result names
// that holder and Granted is false.
func (s *Store) Lease(ctx context.Context, p *generated.LeasePayload) (*generated.LeaseResult, error) {
	if err := s.admit(ctx, s.writes); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	current := s.leases[p.Key]
	if current.holder != p.Holder && current.expiry.After(now) {
		return &generated.LeaseResult{Holder: current.holder}, nil
	}
	s.leases[p.Key] = lease{holder: p.Holder, expiry: now.Add(time.Duration(p.TermMs) * time.Millisecond)}
	if s.conditions.LoseAnswers {
		return nil, generated.MakeUnavailable(errUnavailable)
	}
	return &generated.LeaseResult{Holder: p.Holder, Granted: true}, nil
}

// Hosts returns the newest host list whose delay is over.
func (s *Store) Hosts(ctx context.Context) (*generated.HostList, error) {
	if err := s.admit(ctx, s.reads); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	newest := s.hostLists[0].list
	for _, l := range s.hostLists {
		if !l.visibleFrom.After(now) {
			newest = l.list
		}
	}
	return newest, nil
}
