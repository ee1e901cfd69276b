package eelgrassladder

import (
	"context"

	"eelgrassladder.example/eelgrassladder/internal/model/membership"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
)

// Sibling is a client for a proxy of the same system, to which it can forward callers'
// requests.
type Sibling interface {
	// Forward sends a request to the proxy, which should own the request's group; if it
	// does not, answer.Moved is true. Sent is true if the proxy may have received the
	// request. If sent is false, the request may be sent to another proxy.
	Forward(ctx context.Context, r request.Request) (answer request.Answer, sent bool)
	// RollBack asks the proxy to roll back the pinned transaction pin of a group. It does
	// not wait, and the message may be lost.
	RollBack(group string, pin uint64)
}

// Siblings returns clients for the proxies of the system.
type Siblings interface {
	// Client returns the client for a proxy, which may be this one.
	Client(p membership.Proxy) Sibling
}
