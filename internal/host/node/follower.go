package node

import (
	"strings"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/trade/lead"
	"eelgrassladder.example/eelgrassladder/internal/trade/roster"
	"eelgrassladder.example/eelgrassladder/internal/trade/route"
)

// follower brings what the store says into force. It is used by the watcher's
// goroutine alone.
type follower struct {
	node *Node
}

// Reset takes all keys of the store.
func (f *follower) Reset(items []eelgrassladder.Item) {
	r := roster.New()
	for _, i := range items {
		r = f.take(r, i)
	}
	f.force(r)
	f.node.listed.Store(true)
}

// Changed takes keys that have changed.
func (f *follower) Changed(items []eelgrassladder.Item) {
	r := f.node.beliefs.Roster()
	for _, i := range items {
		r = f.take(r, i)
	}
	f.force(r)
}

// Lost notes that the store does not answer.
func (f *follower) Lost(err error) { klog.ErrorS(err, "Store is not reachable") }

// Found notes that the store answers again.
func (f *follower) Found() { klog.InfoS("Store is reachable again") }

// take brings one key into force and returns the roster with it.
func (f *follower) take(r roster.Roster, i eelgrassladder.Item) roster.Roster {
	n := f.node
	configuration, endpoints := n.parts.Registry.Keys()
	switch {
	case i.Key == configuration && !i.Gone:
		f.takeRoutes(i)
	case strings.HasPrefix(i.Key, endpoints):
		if i.Gone {
			id := strings.TrimPrefix(i.Key, endpoints)
			klog.InfoS("Endpoint is gone", "Endpoint", id, "Revision", i.Revision)
			return r.Without(id)
		}
		e, err := n.parts.Registry.Endpoint(i)
		if err != nil {
			klog.ErrorS(err, "Entry names no endpoint", "Key", i.Key, "Revision", i.Revision)
			return r.Without(strings.TrimPrefix(i.Key, endpoints))
		}
		klog.InfoS("Endpoint listed", "Endpoint", e.ID, "Group", e.Group, "Leaving", e.Leaving,
			"Primary", e.Primary, "DataCentre", e.DataCentre, "Revision", i.Revision)
		return r.With(e)
	}
	return r
}

// takeRoutes brings the operators' configuration into force.
func (f *follower) takeRoutes(i eelgrassladder.Item) {
	t, err := f.node.parts.Registry.Routes(i)
	if err != nil {
		klog.ErrorS(err, "Configuration cannot be read", "Revision", i.Revision)
		return
	}
	if f.node.beliefs.setRoutes(t) {
		f.share()
	}
}

// share divides the endpoints' connections among the proxies.
func (f *follower) share() {
	routes := f.node.beliefs.Routes
	f.node.table.SetShares(1, func(group string) int { return connections(routes(), group) })
}

// connections is how many connections an endpoint of the group takes.
func connections(t route.Table, group string) int {
	g, ok := t.Group(group)
	if !ok {
		return 1
	}
	return g.Connections
}

// force brings a roster into force.
func (f *follower) force(r roster.Roster) {
	f.node.beliefs.roster.Store(&r)
	f.node.table.SetRoster(r)
	now := f.node.parts.Clock.Boot()
	groups := map[string]string{}
	for _, e := range r.All() {
		if e.Primary {
			groups[e.Group] = e.ID
		}
	}
	for group, id := range groups {
		f.node.table.Change(group, func(l lead.Lead) lead.Lead {
			if l.Endpoint == id {
				return l
			}
			klog.InfoS("Primary known", "Group", group, "Endpoint", id, "Before", l.Endpoint)
			return l.WithPrimary(id, 0, now)
		})
	}
}
