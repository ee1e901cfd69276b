package node

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/fleetrecord"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

// follower is the watch.Sink that applies the contents of the store to the cluster state
// and the table. Only the watcher's goroutine uses it.
type follower struct {
	node *Node
	// proxies holds the addresses of all registered proxies by name, this one included.
	proxies map[string]string
	// dataCentres holds the data centres of the proxies by name, as far as they are known.
	dataCentres map[string]string
	// malformed holds the keys of the items that cannot be decoded. Each is logged once,
	// however often it is written.
	malformed map[string]bool
}

// newFollower returns a follower for the node.
func newFollower(n *Node) *follower {
	return &follower{node: n, proxies: map[string]string{}, dataCentres: map[string]string{}, malformed: map[string]bool{}}
}

// noteDecoded records whether an item could be decoded; err is nil if it could, or if the
// key was removed. It logs the first error of a key.
func (f *follower) noteDecoded(i eelgrassladder.Item, err error) {
	if err == nil {
		delete(f.malformed, i.Key)
		return
	}
	if !f.malformed[i.Key] {
		f.malformed[i.Key] = true
		klog.ErrorS(err, "Could not decode an item of the store; it names nothing to use", "Key", i.Key, "Revision", i.Revision)
	}
}

// Reset applies all items of the store, as read at a revision or later.
func (f *follower) Reset(items []eelgrassladder.Item, read revision.Revision) {
	f.proxies, f.dataCentres = map[string]string{}, map[string]string{}
	f.applyAll(topology.New(), items)
	if !slices.ContainsFunc(items, func(i eelgrassladder.Item) bool { return i.Key == leadership.PromotionLockKey }) {
		f.node.state.LearnPromotionLock(leadership.RemovedPromotionLock(read))
	}
	if _, ok := f.proxies[f.node.settings.Name]; !ok {
		f.node.registered.Store(false)
	}
	f.applyProxies() // no item says so of those that are gone
	if !f.node.storeRead.Swap(true) && (f.node.state.WasRegistered() || f.node.state.inFleetRecord()) {
		// The other proxies count this one since an earlier process with its name.
		f.node.produceFrom(f.node.dependencies.Clock.SinceBoot())
	}
}

// Changed applies items that have changed.
func (f *follower) Changed(items []eelgrassladder.Item) {
	f.applyAll(f.node.state.Endpoints(), items)
}

// applyAll applies items, those of endpoints to a snapshot. It applies the promotion lock
// last: a proxy that takes the lock must know of all elections that were written before.
func (f *follower) applyAll(endpoints topology.Snapshot, items []eelgrassladder.Item) {
	for _, i := range items {
		if i.Key != leadership.PromotionLockKey {
			endpoints = f.apply(endpoints, i)
		}
	}
	for _, i := range items {
		if i.Key == leadership.PromotionLockKey {
			f.applyPromotionLock(i)
		}
	}
	f.applyEndpoints(endpoints)
}

// Confirmed records that the primaries whose records are open, and written in the present era of
// the store, were not being replaced when the store was asked.
func (f *follower) Confirmed(asked time.Duration) {
	n := f.node
	revisions := map[string]revision.Revision{}
	era := n.state.Era()
	for group := range n.state.Groups() {
		if r := n.state.Record(group); !r.Closed && r.WrittenIn(era) {
			revisions[group] = r.Revision
		}
	}
	n.table.ConfirmRecords(revisions, asked)
}

// Disconnected logs that the store does not answer.
func (f *follower) Disconnected(err error) { klog.ErrorS(err, "Store is not reachable") }

// Reconnected logs that the store answers again.
func (f *follower) Reconnected() { klog.InfoS("Store is reachable again") }

// apply applies one item other than the promotion lock. An item of an endpoint only changes
// the snapshot that is returned, which applyEndpoints has to apply.
func (f *follower) apply(endpoints topology.Snapshot, i eelgrassladder.Item) topology.Snapshot {
	n := f.node
	configurationKey, endpointPrefix := n.dependencies.Registry.Keys()
	switch {
	case i.Key == configurationKey && !i.Gone:
		n.state.setRoutes(i, "store", n.dependencies.Clock.SinceBoot()+passOnDelay)
	case i.Key == fleetrecord.Key && !i.Gone:
		r, err := fleetrecord.Parse(i.Value, i.Revision)
		f.noteDecoded(i, err)
		if err == nil {
			n.state.learnFleet(r)
		}
	case strings.HasPrefix(i.Key, proxyPrefix):
		f.applyProxy(i)
	case strings.HasPrefix(i.Key, endpointPrefix):
		if i.Gone {
			id := strings.TrimPrefix(i.Key, endpointPrefix)
			klog.InfoS("Endpoint is gone", "Endpoint", id, "Revision", i.Revision)
			f.noteDecoded(i, nil)
			return endpoints.Without(id)
		}
		e, err := n.dependencies.Registry.Endpoint(i)
		f.noteDecoded(i, err)
		if err != nil {
			return endpoints.Without(strings.TrimPrefix(i.Key, endpointPrefix))
		}
		klog.InfoS("Endpoint listed", "Endpoint", e.ID, "Group", e.Group, "Leaving", e.Leaving,
			"Primary", e.Primary, "DataCentre", e.DataCentre, "Started", e.StartedAt, "Revision", i.Revision)
		return endpoints.With(e)
	default:
		if group, ok := leadership.Group(i.Key); ok && !i.Gone {
			f.applyRecord(group, i)
		}
	}
	return endpoints
}

// applyProxy applies the item of a proxy that has registered or left.
func (f *follower) applyProxy(i eelgrassladder.Item) {
	name := strings.TrimPrefix(i.Key, proxyPrefix)
	var registered registration
	var err error
	if !i.Gone {
		registered, err = parseRegistration(i.Value)
	}
	f.noteDecoded(i, err)
	gone := i.Gone || err != nil
	if gone {
		delete(f.proxies, name)
		delete(f.dataCentres, name)
	} else {
		f.proxies[name], f.dataCentres[name] = registered.address, registered.dataCentre
	}
	klog.InfoS("Proxy registered or gone", "Proxy", name, "Gone", gone, "Proxies", len(f.proxies))
	if name == f.node.settings.Name {
		f.node.noteRegistration(registered, gone)
	}
	f.applyProxies()
}

// applyProxies makes the registered proxies the current ones.
func (f *follower) applyProxies() {
	others := maps.Clone(f.proxies)
	delete(others, f.node.settings.Name)
	f.node.state.setDataCentres(maps.Clone(f.dataCentres))
	f.node.state.setProxies(others)
}

// divideConnections tells the table which proxies share the endpoints' connections,
// and how many connections each endpoint accepts. The proxy counts itself even while it
// is not registered.
func (f *follower) divideConnections() {
	f.node.state.forgetDeparted()
	routes := f.node.state.Routes
	f.node.table.SetShares(f.node.fleet(), func(group string) int { return connectionLimit(routes(), group) })
}

// connectionLimit returns how many connections each endpoint of the group accepts; one if
// the group is not configured.
func connectionLimit(t route.Table, group string) int {
	g, ok := t.Group(group)
	if !ok {
		return 1
	}
	return g.Connections
}

// applyEndpoints makes a snapshot of the endpoints the current one.
func (f *follower) applyEndpoints(endpoints topology.Snapshot) {
	f.node.state.endpoints.Store(&endpoints)
	f.node.table.SetEndpoints(endpoints)
	f.divideConnections()
	for group := range f.node.state.Groups() {
		f.node.updateLeader(group)
	}
}

// applyRecord applies the record of a group's primary.
func (f *follower) applyRecord(group string, i eelgrassladder.Item) {
	record, err := leadership.Parse(group, i.Value, i.Revision)
	f.noteDecoded(i, err)
	if err != nil {
		return
	}
	f.node.state.LearnRecord(record)
}

// applyPromotionLock applies the state of the promotion lock. It applies the
// revision even if the value cannot be decoded.
func (f *follower) applyPromotionLock(i eelgrassladder.Item) {
	if i.Gone {
		f.noteDecoded(i, nil)
		klog.InfoS("Promotion lock is gone", "Revision", i.Revision)
		f.node.state.LearnPromotionLock(leadership.RemovedPromotionLock(i.Revision))
		return
	}
	lock, err := leadership.ParsePromotionLock(i.Value, i.Revision)
	f.noteDecoded(i, err)
	f.node.state.LearnPromotionLock(lock.WithRevision(i.Revision, f.node.dependencies.Clock.SinceBoot()))
}

// errCommitsMissing says that a change of primary may have lost acknowledged commits. It
// may also be a false alarm, because the known position may be a few commits ahead of what
// was acknowledged.
var errCommitsMissing = errors.New("the log of the new primary ends before a position that callers were told")

// updateLeader updates what the table knows of a group's primary. The group's record says
// which endpoint leads. Without a record, the endpoint that claims to be the primary leads.
// Several goroutines may call it at a time. Each reads the record while the table is
// locked, so that the table never goes back to an older one.
func (n *Node) updateLeader(group string) {
	now := n.dependencies.Clock.SinceBoot()
	var record leadership.Record
	lost, older := false, false
	before, after := n.table.UpdateLeader(group, func(l leader.State) leader.State {
		record = n.state.CurrentRecord(group)
		older = l.RecordPrecedes(record.Revision, record.Closed)
		if record.Closed {
			l = l.WithAcknowledged(leader.Acknowledged{Position: record.Acknowledged, Source: leader.SourceRecord, At: now})
		} else {
			l, lost = l.WithRecord(record.Term, record.Acknowledged, now)
		}
		switch {
		case record.Closed:
			l = l.WithClosed(now)
		case record.Revision > 0:
			l = l.WithPrimary(record.Endpoint, record.Term, now)
		default:
			if claimed := n.state.claimedPrimary(group); claimed != "" && claimed != l.Endpoint {
				l = l.WithPrimary(claimed, 0, now)
			}
		}
		return l.WithRevision(record.Revision)
	})
	if older {
		n.reportOlder(record, before)
	}
	if lost {
		klog.ErrorS(errCommitsMissing, "Primary lacks commits that may be acknowledged", "Group", group, "Endpoint", record.Endpoint, "Term", record.Term,
			"Log", record.Acknowledged.String(), "Kept", before.Acknowledged.Position.String(), "KeptFrom", before.Acknowledged.Source,
			"Revision", record.Revision, "Holder", record.Holder)
	}
	if before.Endpoint != after.Endpoint || before.Closed != after.Closed {
		klog.InfoS("Primary changed", "Group", group, "Endpoint", after.Endpoint, "Term", after.Term,
			"Closed", after.Closed, "Before", before.Endpoint, "Revision", record.Revision, "Holder", record.Holder,
			"RevisionBefore", before.Recorded.Revision)
	}
	if before.Open() && (after.Closed || before.Endpoint != after.Endpoint) {
		n.reportUnconfirmed(record, before, now)
	}
}
