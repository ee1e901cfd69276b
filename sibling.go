package eelgrassladder

import (
	"context"

	"eelgrassladder.example/eelgrassladder/internal/model/membership"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
)

// Sibling is a proxy of the same system, to which callers' requests can be
// forwarded.
type Sibling interface {
	// Forward sends a request to the proxy, which should own the request's group.
	// Sent is true if the proxy may have received the request. If it is false, the
	// request may be sent to another proxy.
	Forward(ctx context.Context, r request.Request) (answer request.Answer, sent bool)
	// Release rolls back a pinned transaction at the proxy.
	Release(group string, pin uint64)
}

// Siblings returns the proxies of the system.
type Siblings interface {
	// Sibling returns a proxy.
	Sibling(p membership.Proxy) Sibling
}
