package node

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/heartbeat"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

// Registry decodes what the platform keeps in its store.
type Registry interface {
	// Keys returns the key of the configuration and the prefix of the keys
	// of endpoints.
	Keys() (configuration, endpoints string)
	// Endpoint decodes an entry of an endpoint.
	Endpoint(i eelgrassladder.Item) (topology.Endpoint, error)
	// Routes decodes the configuration.
	Routes(i eelgrassladder.Item) (route.Table, error)
}

// storeHead is how long a configuration that came from the store is not
// passed on: the others have it from there in that time, unless the store
// turns them away.
const storeHead = time.Second

// beliefs is what the process takes to be in force. Its values are replaced
// whole, never changed.
type beliefs struct {
	routes atomic.Pointer[route.Table]
	roster atomic.Pointer[topology.Snapshot]
	// known is closed with the first routes.
	known chan struct{}

	// mutex guards the fields below. It is a leaf.
	mutex sync.Mutex
	// tenures is keyed by group. It is replaced, never changed.
	tenures map[string]leadership.Record
	// opened holds primaries that lead although the store still has the closed
	// record of the revision. It is replaced, never changed.
	opened map[string]leadership.Record
	// said holds tenures and opened as they are told to other proxies, with
	// their digest. It is replaced, never changed.
	said heartbeat.Message
	// proxies holds the addresses of the other registered proxies by name. It
	// is replaced, never changed.
	proxies map[string]string
	// configuration is the item that the routes in force were decoded from,
	// and told the boot time from which it is passed on to other proxies.
	configuration eelgrassladder.Item
	told          time.Duration
	// duty is the newest that is known.
	duty leadership.PromotionLock
	// changed is told of each group whose record has changed.
	changed func(group string)
	// name is that of this proxy, and registry decodes what others tell.
	name     string
	registry Registry
	clock    eelgrassladder.Clock
}

// newBeliefs returns beliefs without routes and endpoints.
func newBeliefs(name string, r Registry, c eelgrassladder.Clock) *beliefs {
	b := &beliefs{known: make(chan struct{}), changed: func(string) {}, name: name, registry: r, clock: c}
	b.routes.Store(&route.Table{})
	b.roster.Store(&topology.Snapshot{})
	return b
}

// Routes returns the routes in force.
func (b *beliefs) Routes() route.Table { return *b.routes.Load() }

// Known returns a channel that is closed once there are routes.
func (b *beliefs) Known() <-chan struct{} { return b.known }

// Endpoints returns the endpoints in use.
func (b *beliefs) Endpoints() topology.Snapshot { return *b.roster.Load() }

// takeRoutes brings a configuration into force unless it is older than the
// one that is.
func (b *beliefs) takeRoutes(i eelgrassladder.Item, source string, told time.Duration) {
	t, err := b.registry.Routes(i)
	if err != nil {
		klog.ErrorS(err, "Configuration cannot be read", "Revision", i.Revision, "Source", source)
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	old := b.routes.Load()
	if t.Version <= old.Version {
		return
	}
	b.routes.Store(&t)
	if old.Version == 0 {
		close(b.known)
	}
	b.configuration, b.told = i, told
	klog.InfoS("Routes in force", "Version", t.Version, "Before", old.Version, "Source", source)
}

// setProxies replaces the addresses of the other proxies.
func (b *beliefs) setProxies(proxies map[string]string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.proxies = proxies
}

// Name returns the name of this proxy.
func (b *beliefs) Name() string { return b.name }

// Proxies returns the addresses of the other proxies by name.
func (b *beliefs) Proxies() map[string]string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.proxies
}

// AddConfiguration adds the text of the configuration to a beat for a proxy that
// has an older version.
func (b *beliefs) AddConfiguration(made heartbeat.Message, theirs uint64) heartbeat.Message {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if theirs >= b.routes.Load().Version || b.clock.SinceBoot() < b.told {
		return made
	}
	return made.WithConfiguration(b.configuration.Value, b.configuration.Revision)
}

// Message returns what is told to other proxies.
func (b *beliefs) Message() heartbeat.Message {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.said.WithSender(b.name, b.routes.Load().Version)
}

// gather puts the records together that are told to other proxies. The caller
// holds the mutex.
func (b *beliefs) gather() {
	all := make([]heartbeat.Record, 0, len(b.tenures))
	for _, t := range b.tenures {
		all = append(all, heartbeat.Record{Group: t.Group, Revision: t.Revision, Value: t.Bytes()})
		if o := b.opened[t.Group]; t.Closed && o.Revision == t.Revision {
			all = append(all, heartbeat.Record{Group: t.Group, Revision: t.Revision, Value: o.Bytes(), Unwritten: true})
		}
	}
	b.said = heartbeat.Message{}.WithRecords(all)
}

// Receive takes what another proxy has told.
func (b *beliefs) Receive(h heartbeat.Message) {
	if len(h.Configuration) > 0 {
		key, _ := b.registry.Keys()
		b.takeRoutes(eelgrassladder.Item{Key: key, Value: h.Configuration, Revision: h.Revision}, h.Sender, 0)
	}
	for _, r := range h.Records {
		t, err := leadership.Parse(r.Group, r.Value, r.Revision)
		switch {
		case err != nil:
			klog.ErrorS(err, "Record from another proxy cannot be read", "Proxy", h.Sender)
		case r.Unwritten:
			b.LearnUnwritten(t)
		default:
			b.LearnRecord(t)
		}
	}
}

// LearnUnwritten takes a primary that leads although the store still has the
// closed record of the revision.
func (b *beliefs) LearnUnwritten(t leadership.Record) {
	b.mutex.Lock()
	known := b.opened[t.Group].Revision >= t.Revision
	if !known {
		opened := maps.Clone(b.opened)
		if opened == nil {
			opened = map[string]leadership.Record{}
		}
		opened[t.Group] = t
		b.opened = opened
		b.gather()
	}
	b.mutex.Unlock()
	if !known {
		b.changed(t.Group)
	}
}

// Lead returns the record of a group, with the primary that leads already
// where the store has not taken its record yet.
func (b *beliefs) Lead(group string) leadership.Record {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	t := b.tenures[group]
	if o := b.opened[group]; t.Closed && o.Revision == t.Revision {
		return o
	}
	return t
}

// Groups returns the names of the groups that routes lead to.
func (b *beliefs) Groups() map[string]bool { return b.Routes().Groups() }

// Record returns the record of a group.
func (b *beliefs) Record(group string) leadership.Record {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.tenures[group]
}

// PromotionLock returns who may order promotions, as far as is known.
func (b *beliefs) PromotionLock() leadership.PromotionLock {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.duty
}

// LearnPromotionLock takes a duty unless it is older than what is known.
func (b *beliefs) LearnPromotionLock(d leadership.PromotionLock) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if d.Revision > b.duty.Revision {
		b.duty = d
	}
}

// LearnRecord takes a record unless it is older than what is known.
func (b *beliefs) LearnRecord(t leadership.Record) {
	if b.keep(t) {
		b.changed(t.Group)
	}
}

// keep stores a record and reports whether it is new.
func (b *beliefs) keep(t leadership.Record) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if t.Revision <= b.tenures[t.Group].Revision {
		return false
	}
	tenures := maps.Clone(b.tenures)
	if tenures == nil {
		tenures = map[string]leadership.Record{}
	}
	tenures[t.Group] = t
	b.tenures = tenures
	b.gather()
	return true
}
