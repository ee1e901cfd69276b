package node

import (
	"maps"
	"strings"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

// follower brings what the store says into force. It is used by the watcher's
// goroutine alone.
type follower struct {
	node *Node
	// proxies holds the addresses of registered proxies by name.
	proxies map[string]string
}

// Reset takes all keys of the store.
func (f *follower) Reset(items []eelgrassladder.Item) {
	r := topology.New()
	f.proxies = map[string]string{}
	for _, i := range items {
		r = f.take(r, i)
	}
	f.force(r)
	f.node.listed.Store(true)
}

// Changed takes keys that have changed.
func (f *follower) Changed(items []eelgrassladder.Item) {
	r := f.node.beliefs.Endpoints()
	for _, i := range items {
		r = f.take(r, i)
	}
	f.force(r)
}

// Disconnected notes that the store does not answer.
func (f *follower) Disconnected(err error) { klog.ErrorS(err, "Store is not reachable") }

// Reconnected notes that the store answers again.
func (f *follower) Reconnected() { klog.InfoS("Store is reachable again") }

// take brings one key into force and returns the roster with it.
func (f *follower) take(r topology.Snapshot, i eelgrassladder.Item) topology.Snapshot {
	n := f.node
	configuration, endpoints := n.parts.Registry.Keys()
	switch {
	case i.Key == configuration && !i.Gone:
		n.beliefs.takeRoutes(i, "store", n.parts.Clock.SinceBoot()+storeHead)
	case strings.HasPrefix(i.Key, proxyPrefix):
		f.takeProxy(i)
	case i.Key == leadership.PromotionLockKey:
		f.takeDuty(i)
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
	default:
		if group, ok := leadership.Group(i.Key); ok && !i.Gone {
			f.takeTenure(group, i)
		}
	}
	return r
}

// takeProxy notes a proxy that has registered or left.
func (f *follower) takeProxy(i eelgrassladder.Item) {
	name := strings.TrimPrefix(i.Key, proxyPrefix)
	r := parseRegistration(i.Value)
	if i.Gone {
		delete(f.proxies, name)
	} else {
		f.proxies[name] = r.address
	}
	klog.InfoS("Proxy registered or gone", "Proxy", name, "Gone", i.Gone, "Proxies", len(f.proxies))
	if name == f.node.settings.Name {
		f.node.takeRegistration(r, i.Gone)
	}
	others := maps.Clone(f.proxies)
	delete(others, f.node.settings.Name)
	f.node.beliefs.setProxies(others)
}

// share divides the endpoints' connections among the proxies.
func (f *follower) share() {
	routes := f.node.beliefs.Routes
	proxies := len(f.proxies)
	if !f.node.registered.Load() {
		proxies++
	}
	f.node.table.SetShares(proxies, func(group string) int { return connections(routes(), group) })
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
func (f *follower) force(r topology.Snapshot) {
	f.node.beliefs.roster.Store(&r)
	f.node.table.SetRoster(r)
	f.share()
	for group := range f.node.beliefs.Groups() {
		f.node.lead(group)
	}
}

// takeTenure takes the record of a group.
func (f *follower) takeTenure(group string, i eelgrassladder.Item) {
	t, err := leadership.Parse(group, i.Value, i.Revision)
	if err != nil {
		klog.ErrorS(err, "Record of a primary cannot be read", "Key", i.Key, "Revision", i.Revision)
		return
	}
	f.node.beliefs.LearnRecord(t)
}

// takeDuty takes who may order promotions.
func (f *follower) takeDuty(i eelgrassladder.Item) {
	d, err := leadership.ParsePromotionLock(i.Value, i.Revision)
	if err != nil {
		klog.ErrorS(err, "Duty cannot be read", "Revision", i.Revision)
	}
	f.node.beliefs.LearnPromotionLock(d.WithRevision(i.Revision, f.node.parts.Clock.SinceBoot()))
}

// errLost says that a change of primary may have lost commits. The position that
// was told may be some commits ahead of what was acknowledged.
var errLost = errors.New("the log of the new primary ends before a position that callers were told")

// lead brings into force who leads a group: the record says so, and before
// the first record the endpoints themselves do.
func (n *Node) lead(group string) {
	t, now := n.beliefs.Lead(group), n.parts.Clock.SinceBoot()
	claimant := ""
	for _, e := range n.beliefs.Endpoints().Group(group) {
		if e.Primary {
			claimant = e.ID
		}
	}
	lost := false
	before, after := n.table.UpdateLeader(group, func(l leader.State) leader.State {
		if t.Closed {
			l = l.WithAcknowledged(leader.Acknowledged{Position: t.Acknowledged, Source: leader.SourceRecord, At: now})
		} else {
			l, lost = l.WithRecord(t.Term, t.Acknowledged, now)
		}
		switch {
		case t.Closed:
			return l.WithClosed(now)
		case t.Revision > 0:
			return l.WithPrimary(t.Endpoint, t.Term, now)
		case claimant != "" && claimant != l.Endpoint:
			return l.WithPrimary(claimant, 0, now)
		}
		return l
	})
	if lost {
		klog.ErrorS(errLost, "Primary lacks commits that may be acknowledged", "Group", group, "Endpoint", t.Endpoint, "Term", t.Term,
			"Log", t.Acknowledged.String(), "Kept", before.Acknowledged.Position.String(), "KeptFrom", before.Acknowledged.Source,
			"Revision", t.Revision, "Holder", t.Holder)
	}
	if before.Endpoint != after.Endpoint || before.Closed != after.Closed {
		klog.InfoS("Primary changed", "Group", group, "Endpoint", after.Endpoint, "Term", after.Term,
			"Closed", after.Closed, "Before", before.Endpoint, "Revision", t.Revision, "Holder", t.Holder)
	}
}
