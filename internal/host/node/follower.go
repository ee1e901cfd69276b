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
	endpoints := topology.New()
	f.proxies = map[string]string{}
	for _, i := range items {
		endpoints = f.apply(endpoints, i)
	}
	f.applyEndpoints(endpoints)
	f.node.storeRead.Store(true)
}

// Changed takes keys that have changed.
func (f *follower) Changed(items []eelgrassladder.Item) {
	endpoints := f.node.state.Endpoints()
	for _, i := range items {
		endpoints = f.apply(endpoints, i)
	}
	f.applyEndpoints(endpoints)
}

// Lost notes that the store does not answer.
func (f *follower) Disconnected(err error) { klog.ErrorS(err, "Store is not reachable") }

// Found notes that the store answers again.
func (f *follower) Reconnected() { klog.InfoS("Store is reachable again") }

// take brings one key into force and returns the roster with it.
func (f *follower) apply(endpoints topology.Snapshot, i eelgrassladder.Item) topology.Snapshot {
	n := f.node
	configurationKey, endpointPrefix := n.dependencies.Registry.Keys()
	switch {
	case i.Key == configurationKey && !i.Gone:
		n.state.setRoutes(i, "store", n.dependencies.Clock.SinceBoot()+passOnDelay)
	case strings.HasPrefix(i.Key, proxyPrefix):
		f.applyProxy(i)
	case i.Key == leadership.PromotionLockKey:
		f.applyLock(i)
	case strings.HasPrefix(i.Key, endpointPrefix):
		if i.Gone {
			id := strings.TrimPrefix(i.Key, endpointPrefix)
			klog.InfoS("Endpoint is gone", "Endpoint", id, "Revision", i.Revision)
			return endpoints.Without(id)
		}
		e, err := n.dependencies.Registry.Endpoint(i)
		if err != nil {
			klog.ErrorS(err, "Entry names no endpoint", "Key", i.Key, "Revision", i.Revision)
			return endpoints.Without(strings.TrimPrefix(i.Key, endpointPrefix))
		}
		klog.InfoS("Endpoint listed", "Endpoint", e.ID, "Group", e.Group, "Leaving", e.Leaving,
			"Primary", e.Primary, "DataCentre", e.DataCentre, "Revision", i.Revision)
		return endpoints.With(e)
	default:
		if group, ok := leadership.Group(i.Key); ok && !i.Gone {
			f.applyRecord(group, i)
		}
	}
	return endpoints
}

// takeProxy notes a proxy that has registered or left.
func (f *follower) applyProxy(i eelgrassladder.Item) {
	name := strings.TrimPrefix(i.Key, proxyPrefix)
	r := parseRegistration(i.Value)
	if i.Gone {
		delete(f.proxies, name)
	} else {
		f.proxies[name] = r.address
	}
	klog.InfoS("Proxy registered or gone", "Proxy", name, "Gone", i.Gone, "Proxies", len(f.proxies))
	if name == f.node.settings.Name {
		f.node.noteRegistration(r, i.Gone)
	}
	others := maps.Clone(f.proxies)
	delete(others, f.node.settings.Name)
	f.node.state.setProxies(others)
}

// share divides the endpoints' connections among the proxies.
func (f *follower) divideConnections() {
	routes := f.node.state.Routes
	proxies := len(f.proxies)
	if !f.node.registered.Load() {
		proxies++
	}
	f.node.table.SetShares(proxies, func(group string) int { return connectionLimit(routes(), group) })
}

// connections is how many connections an endpoint of the group takes.
func connectionLimit(t route.Table, group string) int {
	g, ok := t.Group(group)
	if !ok {
		return 1
	}
	return g.Connections
}

// force brings a roster into force.
func (f *follower) applyEndpoints(endpoints topology.Snapshot) {
	f.node.state.endpoints.Store(&endpoints)
	f.node.table.SetRoster(endpoints)
	f.divideConnections()
	for group := range f.node.state.Groups() {
		f.node.updateLeader(group)
	}
}

// takeTenure takes the record of a group.
func (f *follower) applyRecord(group string, i eelgrassladder.Item) {
	record, err := leadership.Parse(group, i.Value, i.Revision)
	if err != nil {
		klog.ErrorS(err, "Record of a primary cannot be read", "Key", i.Key, "Revision", i.Revision)
		return
	}
	f.node.state.LearnRecord(record)
}

// takeDuty takes who may order promotions.
func (f *follower) applyLock(i eelgrassladder.Item) {
	lock, err := leadership.ParsePromotionLock(i.Value, i.Revision)
	if err != nil {
		klog.ErrorS(err, "Duty cannot be read", "Revision", i.Revision)
	}
	f.node.state.LearnPromotionLock(lock.WithRevision(i.Revision, f.node.dependencies.Clock.SinceBoot()))
}

// errLost says that a change of primary may have lost commits. The position that
// was told may be some commits ahead of what was acknowledged.
var errCommitsMissing = errors.New("the log of the new primary ends before a position that callers were told")

// lead brings into force who leads a group: the record says so, and before
// the first record the endpoints themselves do.
func (n *Node) updateLeader(group string) {
	record, now := n.state.CurrentRecord(group), n.dependencies.Clock.SinceBoot()
	claimed := ""
	for _, e := range n.state.Endpoints().Group(group) {
		if e.Primary {
			claimed = e.ID
		}
	}
	lost := false
	before, after := n.table.UpdateLeader(group, func(l leader.State) leader.State {
		if record.Closed {
			l = l.WithAcknowledged(leader.Acknowledged{Position: record.Acknowledged, Source: leader.SourceRecord, At: now})
		} else {
			l, lost = l.WithRecord(record.Term, record.Acknowledged, now)
		}
		switch {
		case record.Closed:
			return l.WithClosed(now)
		case record.Revision > 0:
			return l.WithPrimary(record.Endpoint, record.Term, now)
		case claimed != "" && claimed != l.Endpoint:
			return l.WithPrimary(claimed, 0, now)
		}
		return l
	})
	if lost {
		klog.ErrorS(errCommitsMissing, "Primary lacks commits that may be acknowledged", "Group", group, "Endpoint", record.Endpoint, "Term", record.Term,
			"Log", record.Acknowledged.String(), "Kept", before.Acknowledged.Position.String(), "KeptFrom", before.Acknowledged.Source,
			"Revision", record.Revision, "Holder", record.Holder)
	}
	if before.Endpoint != after.Endpoint || before.Closed != after.Closed {
		klog.InfoS("Primary changed", "Group", group, "Endpoint", after.Endpoint, "Term", after.Term,
			"Closed", after.Closed, "Before", before.Endpoint, "Revision", record.Revision, "Holder", record.Holder)
	}
}
