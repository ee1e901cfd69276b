package eelgrassladder

import (
	"context"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/hostlist"
)

// Entry is one key of a Store and its value.
type Entry struct {
	Key string
	// Value is a text of at most one megabyte.
	Value string
	// Version grows with each change; zero if the key is absent.
	Version uint64
	// ChangeID identifies the change that made the version.
	ChangeID string
}

// Store is a key-value service that gives each key a version. It holds the
// configuration of proxies that are started with `eelgrassladder serve`. If Swap returns
// another error than ErrConflict, the change may or may not have taken effect.
type Store interface {
	// Read returns the current entry of a key.
	Read(ctx context.Context, key string) (Entry, error)
	// Watch returns the entry of a key as soon as its version is higher than above, or
	// when the wait is over.
	Watch(ctx context.Context, key string, above uint64, wait time.Duration) (Entry, error)
	// Swap writes the entry e if the version of its key is the expected one, and returns
	// the entry with its new version. Otherwise it returns ErrConflict.
	Swap(ctx context.Context, e Entry, expected uint64) (Entry, error)
}

// Directory is the platform's list of live and leaving hosts. The list lags behind
// the real state.
type Directory interface {
	// Hosts returns the platform's latest list.
	Hosts(ctx context.Context) (hostlist.HostList, error)
}

// ErrConflict is returned when a key has another version or revision than expected. Then
// nothing was changed.
const ErrConflict = constantError("the key has another version")

// constantError is an error that can be a constant.
type constantError string

// Error returns the text.
func (e constantError) Error() string { return string(e) }
