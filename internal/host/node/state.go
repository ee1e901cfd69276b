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
const passOnDelay = time.Second

// beliefs is what the process takes to be in force. Its values are replaced
// whole, never changed.
type clusterState struct {
	routes    atomic.Pointer[route.Table]
	endpoints atomic.Pointer[topology.Snapshot]
	// known is closed with the first routes.
	known chan struct{}

	// mutex guards the fields below. It is a leaf.
	mutex sync.Mutex
	// tenures is keyed by group. It is replaced, never changed.
	records map[string]leadership.Record
	// opened holds primaries that lead although the store still has the closed
	// record of the revision. It is replaced, never changed.
	unwritten map[string]leadership.Record
	// said holds tenures and opened as they are told to other proxies, with
	// their digest. It is replaced, never changed.
	message heartbeat.Message
	// proxies holds the addresses of the other registered proxies by name. It
	// is replaced, never changed.
	proxies map[string]string
	// configuration is the item that the routes in force were decoded from,
	// and told the boot time from which it is passed on to other proxies.
	configuration eelgrassladder.Item
	shareFrom     time.Duration
	// duty is the newest that is known.
	lock leadership.PromotionLock
	// changed is told of each group whose record has changed.
	onRecord func(group string)
	// name is that of this proxy, and registry decodes what others tell.
	name     string
	registry Registry
	clock    eelgrassladder.Clock
}

// newBeliefs returns beliefs without routes and endpoints.
func newClusterState(name string, r Registry, c eelgrassladder.Clock) *clusterState {
	s := &clusterState{known: make(chan struct{}), onRecord: func(string) {}, name: name, registry: r, clock: c}
	s.routes.Store(&route.Table{})
	s.endpoints.Store(&topology.Snapshot{})
	return s
}

// Routes returns the routes in force.
func (s *clusterState) Routes() route.Table { return *s.routes.Load() }

// Known returns a channel that is closed once there are routes.
func (s *clusterState) Known() <-chan struct{} { return s.known }

// Roster returns the endpoints in use.
func (s *clusterState) Endpoints() topology.Snapshot { return *s.endpoints.Load() }

// takeRoutes brings a configuration into force unless it is older than the
// one that is.
func (s *clusterState) setRoutes(i eelgrassladder.Item, source string, shareFrom time.Duration) {
	t, err := s.registry.Routes(i)
	if err != nil {
		klog.ErrorS(err, "Configuration cannot be read", "Revision", i.Revision, "Source", source)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old := s.routes.Load()
	if t.Version <= old.Version {
		return
	}
	s.routes.Store(&t)
	if old.Version == 0 {
		close(s.known)
	}
	s.configuration, s.shareFrom = i, shareFrom
	klog.InfoS("Routes in force", "Version", t.Version, "Before", old.Version, "Source", source)
}

// setProxies replaces the addresses of the other proxies.
func (s *clusterState) setProxies(proxies map[string]string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.proxies = proxies
}

// Name returns the name of this proxy.
func (s *clusterState) Name() string { return s.name }

// Proxies returns the addresses of the other proxies by name.
func (s *clusterState) Proxies() map[string]string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.proxies
}

// Configuration adds the text of the configuration to a beat for a proxy that
// has an older version.
func (s *clusterState) AddConfiguration(m heartbeat.Message, receiverVersion uint64) heartbeat.Message {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if receiverVersion >= s.routes.Load().Version || s.clock.SinceBoot() < s.shareFrom {
		return m
	}
	return m.WithConfiguration(s.configuration.Value, s.configuration.Revision)
}

// Beat returns what is told to other proxies.
func (s *clusterState) Message() heartbeat.Message {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.message.WithSender(s.name, s.routes.Load().Version)
}

// gather puts the records together that are told to other proxies. The caller
// holds the mutex.
func (s *clusterState) buildMessage() {
	all := make([]heartbeat.Record, 0, len(s.records))
	for _, r := range s.records {
		all = append(all, heartbeat.Record{Group: r.Group, Revision: r.Revision, Value: r.Bytes()})
		if u := s.unwritten[r.Group]; r.Closed && u.Revision == r.Revision {
			all = append(all, heartbeat.Record{Group: r.Group, Revision: r.Revision, Value: u.Bytes(), Unwritten: true})
		}
	}
	s.message = heartbeat.Message{}.WithRecords(all)
}

// Heard takes what another proxy has told.
func (s *clusterState) Receive(m heartbeat.Message) {
	if len(m.Configuration) > 0 {
		key, _ := s.registry.Keys()
		s.setRoutes(eelgrassladder.Item{Key: key, Value: m.Configuration, Revision: m.Revision}, m.Sender, 0)
	}
	for _, encoded := range m.Records {
		record, err := leadership.Parse(encoded.Group, encoded.Value, encoded.Revision)
		switch {
		case err != nil:
			klog.ErrorS(err, "Record from another proxy cannot be read", "Proxy", m.Sender)
		case encoded.Unwritten:
			s.LearnUnwritten(record)
		default:
			s.LearnRecord(record)
		}
	}
}

// LearnOpened takes a primary that leads although the store still has the
// closed record of the revision.
func (s *clusterState) LearnUnwritten(r leadership.Record) {
	s.mutex.Lock()
	known := s.unwritten[r.Group].Revision >= r.Revision
	if !known {
		unwritten := maps.Clone(s.unwritten)
		if unwritten == nil {
			unwritten = map[string]leadership.Record{}
		}
		unwritten[r.Group] = r
		s.unwritten = unwritten
		s.buildMessage()
	}
	s.mutex.Unlock()
	if !known {
		s.onRecord(r.Group)
	}
}

// Lead returns the record of a group, with the primary that leads already
// where the store has not taken its record yet.
func (s *clusterState) CurrentRecord(group string) leadership.Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := s.records[group]
	if u := s.unwritten[group]; r.Closed && u.Revision == r.Revision {
		return u
	}
	return r
}

// Groups returns the names of the groups that routes lead to.
func (s *clusterState) Groups() map[string]bool { return s.Routes().Groups() }

// Tenure returns the record of a group.
func (s *clusterState) Record(group string) leadership.Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.records[group]
}

// Duty returns who may order promotions, as far as is known.
func (s *clusterState) PromotionLock() leadership.PromotionLock {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lock
}

// LearnDuty takes a duty unless it is older than what is known.
func (s *clusterState) LearnPromotionLock(l leadership.PromotionLock) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if l.Revision > s.lock.Revision {
		s.lock = l
	}
}

// LearnTenure takes a record unless it is older than what is known.
func (s *clusterState) LearnRecord(r leadership.Record) {
	if s.storeRecord(r) {
		s.onRecord(r.Group)
	}
}

// keep stores a record and reports whether it is new.
func (s *clusterState) storeRecord(r leadership.Record) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if r.Revision <= s.records[r.Group].Revision {
		return false
	}
	records := maps.Clone(s.records)
	if records == nil {
		records = map[string]leadership.Record{}
	}
	records[r.Group] = r
	s.records = records
	s.buildMessage()
	return true
}
