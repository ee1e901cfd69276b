package eelgrassladder

import (
	"context"

	"github.com/pkg/errors"
)

// Budget limits the memory that clients hold in this process, over all front ends.
type Budget interface {
	// Open opens the account of a new client. It reports false if there are already as many
	// clients as the memory allows. displace closes the client's connection; another
	// goroutine calls it, at most once, if others need the memory. It must not block.
	Open(displace func()) (Account, bool)
}

// Account is what one client holds. One goroutine at a time uses it.
type Account interface {
	// Hold sets how many bytes the client holds for a use. If they are more than before, it
	// may wait for others to release memory, for a few seconds at most. It returns
	// ErrMemoryShort, ErrDisplaced or ErrSessionTooLarge if the client may not hold them; what
	// is held for the use is then as before.
	Hold(u MemoryUse, bytes int) error
	// Close releases all that the client holds. It may be called more than once.
	Close()
}

// MemoryUse is what a client holds memory for.
type MemoryUse int

// The uses of memory.
const (
	// MessageMemory is for the messages that were received and are not answered yet.
	MessageMemory MemoryUse = iota
	// AnswerMemory is for the answer that the client has not read yet.
	AnswerMemory
	// SessionMemory is for session values, prepared statements and the open transaction.
	SessionMemory
	// MemoryUses is the number of uses.
	MemoryUses
)

// ErrMemoryShort is returned when the memory for clients stayed in use for too long.
const ErrMemoryShort = constantError("the memory for clients is in use")

// ErrDisplaced is returned to a client whose connection was closed because others need its
// memory.
const ErrDisplaced = constantError("the connection was closed because other clients need its memory")

// ErrSessionTooLarge is returned when one session would hold more than it may.
const ErrSessionTooLarge = constantError("the session would hold more than one session may")

// accountKey is the context key of an account.
type accountKey struct{}

// ContextWithAccount returns a context that names the account which is charged for answers to
// requests of the context. Several goroutines may then use the account.
func ContextWithAccount(ctx context.Context, a Account) context.Context {
	return context.WithValue(ctx, accountKey{}, a)
}

// AccountOf returns the account that a context names, or one without limits.
func AccountOf(ctx context.Context) Account {
	if a, ok := ctx.Value(accountKey{}).(Account); ok {
		return a
	}
	return UnlimitedMemory{}
}

// IsMemoryRefusal reports whether an error says that a client may not hold what it needs.
func IsMemoryRefusal(err error) bool {
	return errors.Is(err, ErrMemoryShort) || errors.Is(err, ErrDisplaced) || errors.Is(err, ErrSessionTooLarge)
}

// UnlimitedMemory is a Budget and an Account without limits.
type UnlimitedMemory struct{}

// Open returns an account without limits.
func (UnlimitedMemory) Open(func()) (Account, bool) { return UnlimitedMemory{}, true }

// Hold does nothing.
func (UnlimitedMemory) Hold(MemoryUse, int) error { return nil }

// Close does nothing.
func (UnlimitedMemory) Close() {}

// RefusalReason says why a client was refused, or its connection closed.
type RefusalReason string

// The reasons, which are values of a label of a metric.
const (
	// TooManyClients means that the limit of connections was reached.
	TooManyClients RefusalReason = "TooManyClients"
	// MemoryShort means that no memory became free in time.
	MemoryShort RefusalReason = "MemoryShort"
	// Displaced means that other clients needed the memory that the client held.
	Displaced RefusalReason = "Displaced"
	// SessionTooLarge means that session values and prepared statements exceed what one
	// session may hold. Only the statement is refused.
	SessionTooLarge RefusalReason = "SessionTooLarge"
	// MessageTooLarge means that a message exceeds the protocol's limit.
	MessageTooLarge RefusalReason = "MessageTooLarge"
	// MessageMalformed means that a message is not one of the protocol's.
	MessageMalformed RefusalReason = "MessageMalformed"
	// MessageTimeout means that the rest of a message did not arrive in time.
	MessageTimeout RefusalReason = "MessageTimeout"
	// ConnectTimeout means that the first message did not arrive in time.
	ConnectTimeout RefusalReason = "ConnectTimeout"
	// AnswerTimeout means that the client did not read an answer in time.
	AnswerTimeout RefusalReason = "AnswerTimeout"
)

// RefusalReasons returns all reasons.
func RefusalReasons() []RefusalReason {
	return []RefusalReason{
		TooManyClients, MemoryShort, Displaced, SessionTooLarge, MessageTooLarge, MessageMalformed, MessageTimeout, ConnectTimeout, AnswerTimeout,
	}
}

// Refusals records which clients were refused. Its method must not block.
type Refusals interface {
	// Refused records that the client at an address was refused, or its connection closed.
	Refused(r RefusalReason, address string)
}
