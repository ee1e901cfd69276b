package eelgrassladder

import (
	"context"

	"eelgrassladder.example/eelgrassladder/internal/model/request"
)

// Dispatcher sends a request to the proxy that owns its group and returns the
// answer. Front ends decode requests, call the dispatcher and encode its answers;
// they make no decisions.
//
//	answer := dispatcher.Dispatch(ctx, r)
//	switch answer.Outcome {
//	case request.Done: // answer.Payload is whole
//	case request.NotRun: // it is proven that nothing ran
//	case request.Unknown: // it may have run
//	}
type Dispatcher interface {
	// Dispatch returns once it is known whether the request ran, or that this cannot be
	// found out. If ctx is cancelled, a request that has not started is not run.
	Dispatch(ctx context.Context, r request.Request) request.Answer
	// RollBack has the proxy named owner roll back the pinned transaction pin of a group,
	// because its caller has left. It does not wait, and the message may be lost.
	RollBack(group, owner string, pin uint64)
}
