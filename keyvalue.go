package eelgrassladder

import (
	"context"
	"time"
)

// Item is one key of a KeyValue store, or the news that it is gone.
type Item struct {
	// Key names the item.
	Key string
	// Value is what the key holds; empty for a key that is gone.
	Value []byte
	// Revision is the store's revision of the last change.
	Revision uint64
	// Gone is true if the key was removed.
	Gone bool
}

// Expectation is a revision that a key must have for a change to be made.
type Expectation struct {
	// Key names the item.
	Key string
	// Revision is that of its last change; zero if the key must not exist.
	Revision uint64
}

// Put is a value for a key.
type Put struct {
	// Key names the item.
	Key string
	// Value replaces what the key holds.
	Value []byte
	// Lease ends the key with itself; zero for none.
	Lease uint64
}

// KeyValue is the platform's store. An error other than ErrConflict,
// ErrAbsent and ErrUnavailable says nothing about whether a change was made.
type KeyValue interface {
	// Range returns all items below a prefix, and the revision from which a
	// watch misses nothing.
	Range(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Watch returns the changes below a prefix after a revision, as soon as
	// there is one or when the wait has ended, and the revision to go on from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)
	// Apply makes all changes if all expectations hold, and returns their
	// revision.
	Apply(ctx context.Context, expected []Expectation, puts []Put, removed []string) (uint64, error)
	// GrantLease creates a lease.
	GrantLease(ctx context.Context, lifetime time.Duration) (uint64, error)
	// RenewLease renews a lease.
	RenewLease(ctx context.Context, lease uint64) error
}

const (
	// ErrCompacted is returned by Watch when changes after the revision are
	// no longer kept; read the range again.
	ErrCompacted = constantError("the history after the revision is no longer kept")
	// ErrLeaseEnded is returned for a lease that has ended.
	ErrLeaseEnded = constantError("the lease has ended")
	// ErrUnavailable is returned when the store refused a call, which proves
	// that nothing was done.
	ErrUnavailable = constantError("the store refused the call")
)
