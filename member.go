package eelgrassladder

import (
	"context"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/model/group"
)

// Member is the control side of one member of a database group: how its
// platform tells terms and log positions. Another platform's words for them
// cost one implementation of this interface.
//
// Every method returns an error when the answer did not come; the call may
// then have taken effect all the same.
type Member interface {
	// Progress returns when the member differs from what is known of its log,
	// term or role, or when the wait has ended, whichever is first.
	Progress(ctx context.Context, known group.Progress, wait time.Duration) (group.Progress, error)
	// Fence asks the member to refuse work of terms below term. It is
	// granted once a term; the same proposer may ask again.
	Fence(ctx context.Context, term uint64, proposer string) (group.Progress, error)
	// Promote makes the member the primary of a term that it has granted to
	// the proposer.
	Promote(ctx context.Context, term uint64, proposer string) (group.Progress, error)
	// Follow makes the member a replica of the primary of a term. It reports
	// the role Joining until its log is a part of the primary's.
	Follow(ctx context.Context, term uint64, primary string) (group.Progress, error)
	// Close gives up the control connection.
	Close()
}
