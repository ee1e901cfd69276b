// Package topology holds the endpoints that the platform lists.
package topology

import (
	"maps"
	"slices"
	"strings"
)

// Endpoint is one member of a database group. It is immutable.
type Endpoint struct {
	// ID names one instance and is never reused for another address.
	ID string
	// Group is the name of its group.
	Group string
	// Address is an IP number and a port; another instance may get it later.
	Address string
	// DataCentre is where it stands.
	DataCentre string
	// Slots is how many statements it runs at one time; at least one.
	Slots int
	// Leaving is true when it takes no new work.
	Leaving bool
	// Primary is true when it sees itself as the primary.
	Primary bool
	// StartedAt is when its process started, in its own time of day; zero when
	// it does not say.
	StartedAt int64
	// Revision is the store's revision of its entry.
	Revision uint64
}

// Snapshot is the set of endpoints at one moment. It is immutable.
type Snapshot struct {
	// endpoints is keyed by ID and never written after it was set.
	endpoints map[string]Endpoint
	// groups holds the endpoints of each group, ordered by ID.
	groups map[string][]Endpoint
}

// New returns a roster of the endpoints.
func New(all ...Endpoint) Snapshot {
	endpoints := make(map[string]Endpoint, len(all))
	for _, e := range all {
		endpoints[e.ID] = e
	}
	return index(endpoints)
}

// With returns the roster with the endpoint added or replaced.
func (r Snapshot) With(e Endpoint) Snapshot {
	endpoints := maps.Clone(r.endpoints)
	if endpoints == nil {
		endpoints = map[string]Endpoint{}
	}
	endpoints[e.ID] = e
	return index(endpoints)
}

// Without returns the roster without the endpoint.
func (r Snapshot) Without(id string) Snapshot {
	if _, ok := r.endpoints[id]; !ok {
		return r
	}
	endpoints := maps.Clone(r.endpoints)
	delete(endpoints, id)
	return index(endpoints)
}

// Endpoint returns an endpoint by its ID.
func (r Snapshot) Endpoint(id string) (Endpoint, bool) {
	e, ok := r.endpoints[id]
	return e, ok
}

// Group returns the endpoints of a group, ordered by ID. The slice must not
// be changed.
func (r Snapshot) Group(name string) []Endpoint { return r.groups[name] }

// AddressReused reports whether another instance is listed at the address of an
// endpoint that is not listed, which proves that the endpoint has ended.
func (r Snapshot) AddressReused(e Endpoint) bool {
	if _, ok := r.endpoints[e.ID]; ok {
		return false
	}
	for _, other := range r.endpoints {
		if other.Address == e.Address {
			return true
		}
	}
	return false
}

// Len returns the number of endpoints.
func (r Snapshot) Len() int { return len(r.endpoints) }

// All returns all endpoints, ordered by ID.
func (r Snapshot) All() []Endpoint {
	all := slices.Collect(maps.Values(r.endpoints))
	slices.SortFunc(all, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// index orders the endpoints by group.
func index(endpoints map[string]Endpoint) Snapshot {
	groups := map[string][]Endpoint{}
	for _, e := range endpoints {
		groups[e.Group] = append(groups[e.Group], e)
	}
	for _, g := range groups {
		slices.SortFunc(g, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
	return Snapshot{endpoints: endpoints, groups: groups}
}
