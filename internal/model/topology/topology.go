// Package topology holds the endpoints that the platform lists, and the status that they
// report.
package topology

import (
	"maps"
	"slices"
	"strings"

	"eelgrassladder.example/eelgrassladder/internal/model/revision"
)

// Endpoint is one member of a database group. It is immutable.
type Endpoint struct {
	// ID identifies one instance of a database process. It is never reused for another
	// address.
	ID string
	// Group is the name of the group.
	Group string
	// Address is an IP address and port. Another instance may get it later.
	Address string
	// DataCentre is where the endpoint runs.
	DataCentre string
	// Slots is how many statements the endpoint runs at one time; at least one.
	Slots int
	// Leaving is true if the platform is removing the endpoint, which takes no new work.
	Leaving bool
	// Primary is true if the endpoint reports that it is the primary.
	Primary bool
	// StartedAt is when the process started, in milliseconds of the endpoint's own
	// clock; zero if unknown.
	StartedAt int64
	// Revision is the store's revision of the endpoint's entry.
	Revision revision.Revision
}

// Restarted reports whether the endpoint's process has started again since the earlier
// listing under the same ID. It is false if one of the two starts is unknown.
func (e Endpoint) Restarted(earlier Endpoint) bool {
	return e.ID == earlier.ID && e.StartedAt != 0 && earlier.StartedAt != 0 && e.StartedAt != earlier.StartedAt
}

// Snapshot is the set of listed endpoints at one time. It is immutable.
type Snapshot struct {
	// endpoints is keyed by ID and never written after it was set.
	endpoints map[string]Endpoint
	// groups holds the endpoints of each group, ordered by ID.
	groups map[string][]Endpoint
}

// New returns a snapshot of the endpoints.
func New(listed ...Endpoint) Snapshot {
	endpoints := make(map[string]Endpoint, len(listed))
	for _, e := range listed {
		endpoints[e.ID] = e
	}
	return index(endpoints)
}

// With returns the snapshot with the endpoint added or replaced.
func (s Snapshot) With(e Endpoint) Snapshot {
	endpoints := maps.Clone(s.endpoints)
	if endpoints == nil {
		endpoints = map[string]Endpoint{}
	}
	endpoints[e.ID] = e
	return index(endpoints)
}

// Without returns the snapshot without the endpoint.
func (s Snapshot) Without(id string) Snapshot {
	if _, ok := s.endpoints[id]; !ok {
		return s
	}
	endpoints := maps.Clone(s.endpoints)
	delete(endpoints, id)
	return index(endpoints)
}

// Endpoint returns an endpoint by its ID.
func (s Snapshot) Endpoint(id string) (Endpoint, bool) {
	e, ok := s.endpoints[id]
	return e, ok
}

// Group returns the endpoints of a group, ordered by ID. The slice must not
// be changed.
func (s Snapshot) Group(name string) []Endpoint { return s.groups[name] }

// AddressReused reports whether the endpoint is not listed and another instance is listed
// at its address. This proves that the endpoint's process has ended.
func (s Snapshot) AddressReused(e Endpoint) bool {
	if _, ok := s.endpoints[e.ID]; ok {
		return false
	}
	for _, other := range s.endpoints {
		if other.Address == e.Address {
			return true
		}
	}
	return false
}

// Len returns the number of endpoints.
func (s Snapshot) Len() int { return len(s.endpoints) }

// All returns all endpoints, ordered by ID.
func (s Snapshot) All() []Endpoint {
	endpoints := slices.Collect(maps.Values(s.endpoints))
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return endpoints
}

// index returns the snapshot of the endpoints, which are keyed by ID. The caller must not
// modify the map afterwards.
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
