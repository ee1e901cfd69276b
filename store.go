package eelgrassladder

import (
	"context"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/hostlist"
)

// Entry is one key of the platform's store.
type Entry struct {
	// Key names the entry.
	Key string
	// Value is its text, at most one megabyte.
	Value string
	// Version grows with each change; zero means that the key is absent.
	Version uint64
	// ChangeID is the identifier of the change that set the version.
	ChangeID string
}

// Store is the platform's key-value service. An error other than ErrConflict
// says nothing about whether a change has taken effect.
type Store interface {
	// Read returns the entry of a key.
	Read(ctx context.Context, key string) (Entry, error)
	// Watch returns the entry once its version is above the one given, or
	// when the wait has ended.
	Watch(ctx context.Context, key string, above uint64, wait time.Duration) (Entry, error)
	// Swap sets a key whose version is still the expected one.
	Swap(ctx context.Context, e Entry, expected uint64) (Entry, error)
}

// Directory is the platform's lagging list of live and leaving hosts.
type Directory interface {
	// Hosts returns the list as the platform last saw it.
	Hosts(ctx context.Context) (hostlist.HostList, error)
}

// ErrConflict is returned by Swap when the key has another version, which
// proves that the change has not taken effect.
const ErrConflict = constantError("the key has another version")

// constantError is an error that can be a constant.
type constantError string

// Error returns the text.
func (e constantError) Error() string { return string(e) }
