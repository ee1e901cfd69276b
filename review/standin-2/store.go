package main

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	goahttp "goa.design/goa/v3/http"

	"eelgrassladder.example/eelgrassladder/gen/http/kv/server"
	"eelgrassladder.example/eelgrassladder/gen/kv"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
)

// The errors of the store's calls, by which the HTTP statuses of the answers are chosen.
var (
	errNotFound    = errors.New("no such key or lease")
	errCompacted   = errors.New("the store does not have the history after this revision")
	errUnavailable = errors.New("the store is away")
)

// maxPage is the highest number of items of one answer.
const maxPage = 500

// contents are what a copy of the store holds.
type contents struct {
	revision  uint64
	items     map[string]*kv.Item
	leases    map[uint64]lease
	lastLease uint64
}

// lease is a lease of the store. It is immutable.
type lease struct {
	lifetime time.Duration
	expiry   time.Time
}

// store is the platform's key-value store, which can come back from an older copy. Use
// newStore to make one.
type store struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	contents
	// era rises each time that the store comes back from a copy.
	era int
	// away is true while the store answers no call.
	away bool
	// history holds the changes after the revision compacted.
	history   []*kv.Item
	compacted uint64
	// changed is closed and replaced with each change.
	changed chan struct{}
}

func newStore() *store {
	return &store{
		contents: contents{revision: 1, items: map[string]*kv.Item{}, leases: map[uint64]lease{}},
		era:      1, changed: make(chan struct{}),
	}
}

// serve serves the listener until the task group ends.
func (s *store) serve(g *task.Group, l net.Listener) {
	mux := goahttp.NewMuxer()
	server.Mount(mux, server.New(kv.NewEndpoints(s), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, statusOf))
	h := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		s.mutex.Unlock()
		mux.ServeHTTP(w, r)
	})}
	g.Go("store", func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = h.Close() })()
		if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.WithStack(err)
		}
		return ctx.Err()
	})
}

// status is the HTTP status of an error.
type status int

// StatusCode returns the status.
func (s status) StatusCode() int { return int(s) }

// statusOf returns the HTTP status of an error.
func statusOf(_ context.Context, err error) goahttp.Statuser {
	switch {
	case errors.Is(err, errNotFound):
		return status(http.StatusNotFound)
	case errors.Is(err, errCompacted):
		return status(http.StatusGone)
	default:
		return status(http.StatusServiceUnavailable)
	}
}

// copyContents returns a copy of what the store holds.
func (s *store) copyContents() contents {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := s.contents
	c.items, c.leases = maps.Clone(c.items), maps.Clone(c.leases)
	return c
}

// leave makes the store answer no call.
func (s *store) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = true
	s.notify()
}

// resume makes the store answer again, with all that it had.
func (s *store) resume() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = false
	s.notify()
}

// value returns the value and the revision of a key; nil and zero if there is no such key.
func (s *store) value(key string) ([]byte, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if i, ok := s.items[key]; ok {
		return i.Value, i.Revision
	}
	return nil, 0
}

// comeBack makes the store answer again, with what an older copy holds, in the next era.
func (s *store) comeBack(c contents) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.contents, s.away, s.history, s.compacted = c, false, nil, c.revision
	s.era++
	s.notify()
}

// put writes a key as the operator and the members do, unless the store is away.
func (s *store) put(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.away {
		return
	}
	s.revision++
	s.set(key, value, 0)
}

// remove removes a key as the platform does, unless the store is away.
func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.away {
		return
	}
	s.revision++
	s.unset(key)
}

// Range returns a page of the items whose keys have a prefix.
func (s *store) Range(_ context.Context, p *kv.RangePayload) (*kv.RangeResult, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.admit(); err != nil {
		return nil, err
	}
	after, more := "", false
	if p.After != nil {
		after = *p.After
	}
	result := &kv.RangeResult{AtRev: s.revision, HasMore: &more}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, p.PathPrefix) || key <= after {
			continue
		}
		if more = len(result.Items) == maxPage; more {
			break
		}
		result.Items = append(result.Items, s.items[key])
	}
	return result, nil
}

// Watch returns the changes after a revision, and waits for one if there is none.
func (s *store) Watch(ctx context.Context, p *kv.WatchPayload) (*kv.WatchResult, error) {
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

// events returns the changes that a watch asks for, or the channel that is closed with the next
// change.
func (s *store) events(p *kv.WatchPayload, timedOut bool) (*kv.WatchResult, chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.admit(); err != nil {
		return nil, nil, err
	}
	if p.After < s.compacted || p.After > s.revision {
		return nil, nil, errCompacted
	}
	result := &kv.WatchResult{AtRev: s.revision}
	for _, i := range s.history {
		if i.Revision > p.After && strings.HasPrefix(i.Key, p.PathPrefix) {
			result.Events = append(result.Events, i)
		}
	}
	if len(result.Events) > 0 || timedOut {
		return result, nil, nil
	}
	return nil, s.changed, nil
}

// Txn puts and deletes keys if every expected revision matches.
func (s *store) Txn(_ context.Context, p *kv.TxnPayload) (*kv.TxnResult, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.admit(); err != nil {
		return nil, err
	}
	conflict := &kv.Conflict{}
	for _, e := range p.ExpectedRev {
		i, ok := s.items[e.Key]
		if ok && i.Revision == e.Revision || !ok && e.Revision == 0 {
			continue
		}
		if !ok {
			i = &kv.Item{Key: e.Key}
		}
		conflict.Items = append(conflict.Items, i)
	}
	if len(conflict.Items) > 0 {
		return nil, conflict
	}
	for _, e := range p.PutEntries {
		if _, ok := s.leases[leaseOf(e.Lease)]; !ok && leaseOf(e.Lease) != 0 {
			return nil, errNotFound
		}
	}
	s.revision++
	for _, e := range p.PutEntries {
		s.set(e.Key, e.Value, leaseOf(e.Lease))
	}
	for _, key := range p.DeleteKeys {
		s.unset(key)
	}
	return &kv.TxnResult{Revision: s.revision}, nil
}

// leaseOf returns the lease of an entry; zero for none.
func leaseOf(id *uint64) uint64 {
	if id == nil {
		return 0
	}
	return *id
}

// Lease creates a lease.
func (s *store) Lease(_ context.Context, p *kv.LeasePayload) (*kv.LeaseResult, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.admit(); err != nil {
		return nil, err
	}
	s.lastLease++
	lifetime := time.Duration(p.TTLMs) * time.Millisecond
	s.leases[s.lastLease] = lease{lifetime: lifetime, expiry: time.Now().Add(lifetime)}
	return &kv.LeaseResult{Lease: s.lastLease, TTLMs: &p.TTLMs}, nil
}

// Keep renews a lease.
func (s *store) Keep(_ context.Context, p *kv.KeepPayload) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.admit(); err != nil {
		return err
	}
	l, ok := s.leases[p.Lease]
	if !ok {
		return errNotFound
	}
	s.leases[p.Lease] = lease{lifetime: l.lifetime, expiry: time.Now().Add(l.lifetime)}
	return nil
}

// End ends a lease and removes its keys.
func (s *store) End(_ context.Context, p *kv.EndPayload) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.admit(); err != nil {
		return err
	}
	if _, ok := s.leases[p.Lease]; !ok {
		return errNotFound
	}
	s.leases[p.Lease] = lease{}
	s.expire()
	return nil
}

// admit returns an error while the store is away, and otherwise ends the leases that have run
// out. The caller holds the mutex.
func (s *store) admit() error {
	if s.away {
		return errUnavailable
	}
	s.expire()
	return nil
}

// expire ends the leases that have run out, and removes their keys. The caller holds the mutex.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.expiry) {
			continue
		}
		delete(s.leases, id)
		for key, i := range s.items {
			if leaseOf(i.Lease) == id {
				s.revision++
				s.unset(key)
			}
		}
	}
}

// set writes a key at the present revision. The caller holds the mutex.
func (s *store) set(key string, value []byte, lease uint64) {
	created := s.revision
	if before, ok := s.items[key]; ok {
		created = *before.CreatedRev
	}
	i := &kv.Item{Key: key, Value: value, Revision: s.revision, CreatedRev: &created, Lease: &lease}
	s.items[key] = i
	s.history = append(s.history, i)
	s.notify()
}

// unset removes a key at the present revision. The caller holds the mutex.
func (s *store) unset(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	deleted := true
	s.history = append(s.history, &kv.Item{Key: key, Revision: s.revision, Deleted: &deleted})
	s.notify()
}

// notify wakes the watches. The caller holds the mutex.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
