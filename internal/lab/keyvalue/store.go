// Package keyvalue simulates the platform's key-value store and its promotion
// interface for tests. It serves the published HTTP calls, with leases and a
// history that can be compacted, and injects outages, delays, missing events and
// answers that are lost after the change took effect.
package keyvalue

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/gen/kv"
)

// maxHistory is how many changes of keys the store keeps for watches.
const maxHistory = 4096

// The errors of the store's calls. errorStatus maps them to HTTP statuses.
var (
	errNotFound    = errors.New("no such key or lease")
	errCompacted   = errors.New("the history after this revision was compacted")
	errUnavailable = errors.New("the store is unavailable")
	errAnswerLost  = errors.New("the answer is lost")
)

// Conditions are the injected faults. The value is immutable.
type Conditions struct {
	// Down makes the store refuse every call and end open watches with an error.
	Down bool
	// LoseAnswers makes the store run a transaction and close the connection instead of
	// answering.
	LoseAnswers bool
	// WithholdEvents withholds changes from watches, which end without events.
	WithholdEvents bool
	// Delay is added to the duration of every call.
	Delay time.Duration
}

// Store is a key-value store with revisions and leases. Create it with New.
type Store struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// changed is closed and replaced with each change of a key, of the history
	// or of the conditions.
	changed    chan struct{}
	conditions Conditions
	// era rises each time that the store comes back from a copy; zero if answers name no era.
	era      uint64
	revision uint64
	items    map[string]*kv.Item
	history  []*kv.Item
	// compactedRevision is the newest revision that the history no longer holds.
	compactedRevision uint64
	// leases maps the ID of a lease to the time when it expires.
	leases    map[uint64]time.Time
	lastLease uint64
	// calls counts the calls by name of the method.
	calls map[string]int
	// observe is called with each key that is written and its value, while the mutex is
	// held; nil for none.
	observe func(key string, value []byte)
}

// New returns an empty store at revision 1.
func New() *Store {
	return &Store{
		changed: make(chan struct{}), revision: 1, items: map[string]*kv.Item{}, leases: map[uint64]time.Time{},
		calls: map[string]int{},
	}
}

// SetConditions replaces the injected faults.
func (s *Store) SetConditions(c Conditions) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.conditions = c
	s.notifyWatches()
}

// Observe makes the store call a function with each key that is written and its value,
// before the write is answered. The function must not call the store.
func (s *Store) Observe(f func(key string, value []byte)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.observe = f
}

// Compact drops the history. Watches from an older revision are refused.
func (s *Store) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatches()
}

// Put writes a key as the platform itself does, whatever the conditions, and
// returns the new revision.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.put(key, value, 0)
	return s.revision
}

// Delete removes a key as the platform itself does, whatever the conditions.
func (s *Store) Delete(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.remove(key)
}

// Value returns the value and the revision of a key; nil and zero if there is no
// such key.
func (s *Store) Value(key string) ([]byte, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if i, ok := s.items[key]; ok {
		return i.Value, i.Revision
	}
	return nil, 0
}

// Calls returns how often each method was called.
func (s *Store) Calls() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.calls)
}

// Range returns a page of the items whose keys have a prefix, in order of key: those
// after the key in the payload, or the first ones.
func (s *Store) Range(ctx context.Context, p *kv.RangePayload) (*kv.RangeResult, error) {
	if err := s.admit(ctx, "Range"); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	const pageSize = 50
	after, more := "", false
	if p.After != nil {
		after = *p.After
	}
	result := &kv.RangeResult{AtRev: s.revision, HasMore: &more}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, p.PathPrefix) || key <= after {
			continue
		}
		if len(result.Items) == pageSize {
			more = true
			break
		}
		result.Items = append(result.Items, s.items[key])
	}
	return result, nil
}

// Watch returns the changes after a revision of the keys with a prefix. While there are
// none, it waits up to the time that the payload gives; then it returns none.
func (s *Store) Watch(ctx context.Context, p *kv.WatchPayload) (*kv.WatchResult, error) {
	if err := s.admit(ctx, "Watch"); err != nil {
		return nil, err
	}
	end := time.NewTimer(time.Duration(p.WaitMs) * time.Millisecond)
	defer end.Stop()
	timedOut := false
	for {
		result, changed, err := s.events(p, timedOut)
		if result != nil || err != nil {
			return result, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-end.C:
			timedOut = true
		case <-changed:
		}
	}
}

// events returns the changes that a watch asks for. If there are none, it returns an
// empty result if the watch has timed out, and otherwise the channel that is closed with
// the next change.
func (s *Store) events(p *kv.WatchPayload, timedOut bool) (*kv.WatchResult, chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	if s.conditions.Down {
		return nil, nil, errUnavailable
	}
	if p.After < s.compactedRevision || p.After > s.revision {
		return nil, nil, errCompacted
	}
	result := &kv.WatchResult{AtRev: s.revision}
	if s.conditions.WithholdEvents {
		result.AtRev = p.After
	} else {
		for _, i := range s.history {
			if i.Revision > p.After && strings.HasPrefix(i.Key, p.PathPrefix) {
				result.Events = append(result.Events, i)
			}
		}
	}
	if len(result.Events) > 0 || timedOut {
		return result, nil, nil
	}
	return nil, s.changed, nil
}

// Txn puts and deletes keys if every expected revision matches. Otherwise the error
// lists the keys whose revisions don't match. It fails with errNotFound if the lease of
// a put doesn't exist.
func (s *Store) Txn(ctx context.Context, p *kv.TxnPayload) (*kv.TxnResult, error) {
	if err := s.admit(ctx, "Txn"); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	conflict := &kv.Conflict{}
	for _, e := range p.ExpectedRev {
		if i, ok := s.items[e.Key]; (ok && i.Revision != e.Revision) || (!ok && e.Revision != 0) {
			conflict.Items = append(conflict.Items, &kv.Item{Key: e.Key})
		}
	}
	if len(conflict.Items) > 0 {
		return nil, conflict
	}
	for _, e := range p.PutEntries {
		if e.Lease != nil && *e.Lease != 0 {
			if _, ok := s.leases[*e.Lease]; !ok {
				return nil, errNotFound
			}
		}
	}
	s.revision++
	for _, e := range p.PutEntries {
		lease := uint64(0)
		if e.Lease != nil {
			lease = *e.Lease
		}
		s.put(e.Key, e.Value, lease)
	}
	for _, key := range p.DeleteKeys {
		s.remove(key)
	}
	if s.conditions.LoseAnswers {
		return nil, errAnswerLost
	}
	return &kv.TxnResult{Revision: s.revision}, nil
}

// Lease creates a lease that expires after the time in the payload.
func (s *Store) Lease(ctx context.Context, p *kv.LeasePayload) (*kv.LeaseResult, error) {
	if err := s.admit(ctx, "Lease"); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = time.Now().Add(time.Duration(p.TTLMs) * time.Millisecond)
	return &kv.LeaseResult{Lease: s.lastLease, TTLMs: &p.TTLMs}, nil
}

// Keep renews a lease for eight seconds, which is the time that proxies ask for.
func (s *Store) Keep(ctx context.Context, p *kv.KeepPayload) error {
	if err := s.admit(ctx, "Keep"); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	if _, ok := s.leases[p.Lease]; !ok {
		return errNotFound
	}
	s.leases[p.Lease] = time.Now().Add(8 * time.Second)
	return nil
}

// End ends a lease and removes its keys.
func (s *Store) End(ctx context.Context, p *kv.EndPayload) error {
	if err := s.admit(ctx, "End"); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.leases[p.Lease]; !ok {
		return errNotFound
	}
	s.leases[p.Lease] = time.Time{}
	s.expire()
	return nil
}

// admit counts a call, waits for the injected delay, and refuses the call while
// the store is down.
func (s *Store) admit(ctx context.Context, method string) error {
	s.mutex.Lock()
	s.calls[method]++
	c := s.conditions
	s.mutex.Unlock()
	if c.Delay > 0 {
		delay := time.NewTimer(c.Delay)
		defer delay.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-delay.C:
		}
	}
	if c.Down {
		return errUnavailable
	}
	return nil
}

// put writes a key at the current revision. The caller holds the mutex.
func (s *Store) put(key string, value []byte, lease uint64) {
	created := s.revision
	if previous, ok := s.items[key]; ok {
		created = *previous.CreatedRev
	}
	i := &kv.Item{Key: key, Value: value, Revision: s.revision, CreatedRev: &created, Lease: &lease}
	s.items[key] = i
	s.record(i)
	if s.observe != nil {
		s.observe(key, value)
	}
}

// remove removes a key at the current revision. The caller holds the mutex.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	deleted := true
	s.record(&kv.Item{Key: key, Revision: s.revision, Deleted: &deleted})
}

// record adds a change to the history, drops the oldest one beyond maxHistory, and
// wakes the watches. The caller holds the mutex.
func (s *Store) record(i *kv.Item) {
	s.history = append(s.history, i)
	if len(s.history) > maxHistory {
		s.compactedRevision = s.history[0].Revision
		s.history = s.history[1:]
	}
	s.notifyWatches()
}

// expire removes expired leases and their keys. Only calls expire leases: a waiting
// watch sees an expiry with the next call. The caller holds the mutex.
func (s *Store) expire() {
	now := time.Now()
	for lease, expiry := range s.leases {
		if now.Before(expiry) {
			continue
		}
		delete(s.leases, lease)
		s.revision++
		for key, i := range s.items {
			if i.Lease != nil && *i.Lease == lease {
				s.remove(key)
			}
		}
	}
}

// notifyWatches wakes all watches. The caller holds the mutex.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
