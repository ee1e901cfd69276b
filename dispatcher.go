package eelgrassladder

import (
	"context"

	"eelgrassladder.example/eelgrassladder/internal/model/request"
)

// Dispatcher brings a request to the owner of its group and its answer back.
// The front ends call it; they decode requests and encode answers, and decide
// nothing.
//
//	answer := dispatcher.Dispatch(ctx, r)
//	switch answer.Outcome {
//	case request.Done: // answer.Payload is whole
//	case request.NotRun: // it is proven that nothing ran
//	case request.Unknown: // it may have run
//	}
type Dispatcher interface {
	// Dispatch returns when the outcome is settled. Cancelling ctx gives the
	// request up; one that has not started is then not run.
	Dispatch(ctx context.Context, r request.Request) request.Answer
	// Release rolls back a pinned transaction that its caller has left.
	Release(group, owner string, pin uint64)
}
