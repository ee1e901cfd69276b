package node

import (
	"sync/atomic"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/trade/roster"
	"eelgrassladder.example/eelgrassladder/internal/trade/route"
)

// Registry decodes what the platform keeps in its store.
type Registry interface {
	// Keys returns the key of the configuration and the prefix of the keys
	// of endpoints.
	Keys() (configuration, endpoints string)
	// Endpoint decodes an entry of an endpoint.
	Endpoint(i eelgrassladder.Item) (roster.Endpoint, error)
	// Routes decodes the configuration.
	Routes(i eelgrassladder.Item) (route.Table, error)
}

// beliefs is what the process takes to be in force. Its values are replaced
// whole, never changed.
type beliefs struct {
	routes atomic.Pointer[route.Table]
	roster atomic.Pointer[roster.Roster]
}

// newBeliefs returns beliefs without routes and endpoints.
func newBeliefs() *beliefs {
	b := &beliefs{}
	b.routes.Store(&route.Table{})
	b.roster.Store(&roster.Roster{})
	return b
}

// Routes returns the routes in force.
func (b *beliefs) Routes() route.Table { return *b.routes.Load() }

// Roster returns the endpoints in use.
func (b *beliefs) Roster() roster.Roster { return *b.roster.Load() }

// setRoutes brings routes into force unless they are older than those that
// are, and reports whether it did.
func (b *beliefs) setRoutes(t route.Table) bool {
	for {
		old := b.routes.Load()
		if t.Version <= old.Version {
			return false
		}
		if b.routes.CompareAndSwap(old, &t) {
			klog.InfoS("Routes in force", "Version", t.Version, "Before", old.Version)
			return true
		}
	}
}
