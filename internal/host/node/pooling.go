package node

import (
	"context"
	"sync/atomic"

	"k8s.io/klog/v2"

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
		before := known
		known = &groupPoolers{version: routes.Version, generation: generation, byGroup: map[string]pooling.Poolers{}}
		fleet := p.fleet()
		for g := range routes.Groups() {
			known.byGroup[g] = pooling.Choose(fleet, g, connectionLimit(routes, g))
		}
		known.logChange(before, fleet.Size())
		p.latest.Store(known)
	}
	return known.byGroup[group]
}

// logChange logs how many groups have poolers, and of how many of them this proxy is one, if that
// differs from what was known before.
func (p *groupPoolers) logChange(before *groupPoolers, proxies int) {
	pooled, delegated := p.counts()
	if before != nil {
		if oldPooled, oldDelegated := before.counts(); oldPooled == pooled && oldDelegated == delegated {
			return
		}
	}
	klog.InfoS("Poolers chosen", "Proxies", proxies, "Groups", len(p.byGroup), "Pooled", pooled, "Pools", pooled-delegated)
}

// counts returns how many groups have poolers, and in how many of these this proxy is none.
func (p *groupPoolers) counts() (pooled, delegated int) {
	for _, poolers := range p.byGroup {
		if len(poolers.All()) > 0 {
			pooled++
		}
		if poolers.Delegates() {
			delegated++
		}
	}
	return pooled, delegated
}

// openDelegation opens a stream of operations to the proxy at an address.
func openDelegation(ctx context.Context, address string) (delegation.Stream, error) {
	s, err := sibling.OpenDelegation(ctx, address)
	if err != nil {
		return nil, err
	}
	return s, nil
}
