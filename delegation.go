package eelgrassladder

import (
	"context"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/delegation"
)

// Delegator runs operations of this proxy's clients at poolers: proxies that keep connections
// to endpoints open for others.
type Delegator interface {
	// Delegate returns a new operation of a team, which is empty for none, at a pooler of the
	// group, other than those with the names in tried. It returns nil if this proxy runs the group's operations itself, or if
	// no other pooler can be asked now.
	Delegate(group, team string, tried []string) DelegatedOperation
	// Sweep ends the waits for answers whose deadline has come, and closes streams that are
	// not used. Call it at the interval that the Delegator was made for.
	Sweep()
}

// DelegatedOperation is a single statement or a transaction that runs at a pooler. One
// goroutine at a time uses it. It must be ended with End or GiveUp.
type DelegatedOperation interface {
	// Pooler returns the name of the pooler.
	Pooler() string
	// Run sends a statement and waits for its answer, until a time shortly before the
	// deadline. The error is ErrNotDelegated, ErrAnswerLost or ErrAnswerLate; the operation
	// must then be given up.
	Run(ctx context.Context, deadline time.Time, r delegation.Request) (delegation.Answer, error)
	// End forgets the operation, which has ended at the pooler.
	End()
	// GiveUp tells the pooler that the operation is given up, if it may be open there. The
	// pooler rolls it back. GiveUp does not wait for that.
	GiveUp()
}

// ErrNotDelegated is returned when a statement was not sent to a pooler. The pooler has not
// run it and will not.
const ErrNotDelegated = constantError("the pooler could not be asked")

// ErrAnswerLost is returned when the connection to a pooler ended before the answer, or the
// process stops. The statement may have run.
const ErrAnswerLost = constantError("the connection to the pooler ended before its answer")

// ErrAnswerLate is returned when a pooler did not answer in time. The statement may have run,
// or may still run.
const ErrAnswerLate = constantError("the pooler did not answer in time")
