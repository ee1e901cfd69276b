package keyvalue

import (
	"maps"
	"slices"
	"strings"
	"time"

	"eelgrassladder.example/eelgrassladder/gen/kv"
)

// Copy is what a store held at a time. It is immutable.
type Copy struct {
	revision, lastLease uint64
	items               map[string]*kv.Item
	// leases maps the ID of a lease to the time that it had left.
	leases map[uint64]time.Duration
}

// Entry is a key and its value.
type Entry struct {
	Key   string
	Value []byte
}

// NameEras makes the store name its era in all answers, beginning with the first one.
func (s *Store) NameEras() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era = max(s.era, 1)
}

// Era returns the era of the store; zero if answers name none.
func (s *Store) Era() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}

// Copy returns what the store holds.
func (s *Store) Copy() Copy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	c := Copy{revision: s.revision, lastLease: s.lastLease, items: maps.Clone(s.items), leases: map[uint64]time.Duration{}}
	for id, expiry := range s.leases {
		c.leases[id] = time.Until(expiry)
	}
	return c
}

// Restore makes the store come back from a copy, in the next era. What was written since the copy
// was made is gone, leases too, and revisions and the IDs of leases are given out again. Watches
// from a revision that the copy doesn't have are refused. Answers under way are lost.
func (s *Store) Restore(c Copy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era++
	s.revision, s.lastLease, s.items = c.revision, c.lastLease, maps.Clone(c.items)
	s.leases = map[uint64]time.Time{}
	for id, left := range c.leases {
		s.leases[id] = time.Now().Add(left)
	}
	s.history, s.compactedRevision = nil, c.revision
	s.notifyWatches()
}

// Entries returns the entries whose keys have one of the prefixes, in order of key.
func (s *Store) Entries(prefixes ...string) []Entry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []Entry
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(key, p) }) {
			found = append(found, Entry{Key: key, Value: s.items[key].Value})
		}
	}
	return found
}

// Without returns the copy without the keys that have one of the prefixes.
func (c Copy) Without(prefixes ...string) Copy {
	c.items = maps.Clone(c.items)
	maps.DeleteFunc(c.items, func(key string, _ *kv.Item) bool {
		return slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(key, p) })
	})
	return c
}
