package eelgrassladder

import (
	"context"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/revision"
)

// Item is one key of a KeyValue store and its value, or the removal of a key.
type Item struct {
	Key string
	// Value is empty for a removed key.
	Value []byte
	// Revision is the store's revision of the last change of the key.
	Revision revision.Revision
	// Gone is true if the key was removed.
	Gone bool
}

// Expectation is a condition for a change: the revision that a key must have.
type Expectation struct {
	Key string
	// Revision is that of the key's last change; zero if the key must not exist. One of
	// another era than the store's is never that of the key.
	Revision revision.Revision
}

// Put sets the value of a key.
type Put struct {
	Key   string
	Value []byte
	// Lease is the ID of the lease at whose end the store removes the key; zero for
	// none.
	Lease uint64
}

// KeyValue is a key-value store with transactions, watches and leases, with which the
// proxies of the users' platform coordinate. If a method returns another error than
// ErrConflict, ErrLeaseEnded or ErrUnavailable, a change may or may not have been made. That
// holds as well if the store answers in a later era than the one in which it was called: what
// the store had when it was called may be gone.
type KeyValue interface {
	// Range returns all items whose keys have a prefix, and the store's revision at the
	// time. A Watch after that revision misses no change.
	Range(ctx context.Context, prefix string) ([]Item, revision.Revision, error)
	// Watch returns the changes after a revision of the items whose keys have a prefix,
	// as soon as there is one or when the wait is over. It also returns the revision to
	// give to the next Watch.
	Watch(ctx context.Context, prefix string, after revision.Revision, wait time.Duration) ([]Item, revision.Revision, error)
	// Apply makes all puts and removes the given keys if all expectations hold, and
	// returns the revision of the changes. If an expectation does not hold, it changes
	// nothing and returns ErrConflict.
	Apply(ctx context.Context, expected []Expectation, puts []Put, removed []string) (revision.Revision, error)
	// GrantLease creates a lease and returns its ID.
	GrantLease(ctx context.Context, lifetime time.Duration) (uint64, error)
	// RenewLease renews a lease for its lifetime. It returns ErrLeaseEnded if the lease
	// has ended.
	RenewLease(ctx context.Context, lease uint64) error
}

const (
	// ErrCompacted is returned by Watch when the store no longer has all changes after
	// the revision. Call Range again.
	ErrCompacted = constantError("the history after the revision is no longer kept")
	// ErrLeaseEnded is returned for a lease that has ended.
	ErrLeaseEnded = constantError("the lease has ended")
	// ErrUnavailable is returned when the store refused a call. Nothing was changed.
	ErrUnavailable = constantError("the store refused the call")
)
