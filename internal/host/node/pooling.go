package node

import (
	"context"
	"sync/atomic"

	"eelgrassladder.example/eelgrassladder/internal/host/delegation"
	"eelgrassladder.example/eelgrassladder/internal/peer/sibling"
	"eelgrassladder.example/eelgrassladder/internal/policy/pooling"
	"eelgrassladder.example/eelgrassladder/internal/policy/sharing"
)

// pools is the delegation.Directory of a process. It keeps the poolers of all groups, which
// change with the proxies and the routes only.
type pools struct {
	*clusterState
	// fleet returns the registered proxies and this one.
	fleet func() sharing.Fleet
	// latest are the poolers as they were last computed.
	latest atomic.Pointer[groupPoolers]
}

// groupPoolers holds the poolers of all groups. It is immutable.
type groupPoolers struct {
	// version is the version of the routes, and generation that of the proxies.
	version, generation uint64
	byGroup             map[string]pooling.Poolers
}

// Poolers returns the poolers of a group.
func (p *pools) Poolers(group string) pooling.Poolers {
	routes, generation := p.Routes(), p.proxyGeneration.Load()
	known := p.latest.Load()
	if known == nil || known.version != routes.Version || known.generation != generation {
		known = &groupPoolers{version: routes.Version, generation: generation, byGroup: map[string]pooling.Poolers{}}
		fleet := p.fleet()
		for g := range routes.Groups() {
			known.byGroup[g] = pooling.Choose(fleet, g, connectionLimit(routes, g))
		}
		p.latest.Store(known)
	}
	return known.byGroup[group]
}

// openDelegation opens a stream of operations to the proxy at an address.
func openDelegation(ctx context.Context, address string) (delegation.Stream, error) {
	s, err := sibling.OpenDelegation(ctx, address)
	if err != nil {
		return nil, err
	}
	return s, nil
}
