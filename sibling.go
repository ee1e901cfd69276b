package eelgrassladder

import (
	"context"

	"eelgrassladder.example/eelgrassladder/internal/model/membership"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
)

// Sibling is what a proxy asks of another one about callers' work.
type Sibling interface {
	// Forward sends a request to the proxy that owns its group. Sent tells
	// whether the proxy may have received it; without sent, it may go
	// elsewhere.
	Forward(ctx context.Context, r request.Request) (answer request.Answer, sent bool)
	// Release gives up a pinned transaction at the proxy.
	Release(group string, pin uint64)
}

// Siblings finds the other proxies.
type Siblings interface {
	// Sibling returns the way to a proxy.
	Sibling(p membership.Proxy) Sibling
}
