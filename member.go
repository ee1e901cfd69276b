package eelgrassladder

import (
	"context"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/group"
)

// Member controls one member of a database group. It hides how the
// database reports and changes terms, roles and log positions; another database
// needs only another implementation of this interface.
//
// A method returns an error if no answer came; the call may have taken effect all the
// same.
type Member interface {
	// Progress returns the member's progress as soon as its log, term or role differs
	// from known, or when the wait is over.
	Progress(ctx context.Context, known group.Progress, wait time.Duration) (group.Progress, error)
	// Fence asks the member to grant the term to the proposer and to refuse work of
	// lower terms from then on. A member grants a term to only one proposer; if that
	// one repeats the request, it is granted again.
	Fence(ctx context.Context, term uint64, proposer string) (group.Progress, error)
	// Promote makes the member the primary of a term that it has granted to the
	// proposer.
	Promote(ctx context.Context, term uint64, proposer string) (group.Progress, error)
	// Follow makes the member a replica of the primary of a term. The member reports
	// the role Joining until its log is a prefix of the primary's.
	Follow(ctx context.Context, term uint64, primary string) (group.Progress, error)
	// Close closes the control connection.
	Close()
}
