package node

import (
	"maps"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/proof"
	"eelgrassladder.example/eelgrassladder/internal/model/fleetrecord"
	"eelgrassladder.example/eelgrassladder/internal/model/heartbeat"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/route"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// Registry decodes the platform's entries in the store.
type Registry interface {
	// Keys returns the key of the configuration and the prefix of the keys of
	// endpoints.
	Keys() (configuration, endpoints string)
	// Endpoint decodes the entry of an endpoint.
	Endpoint(i eelgrassladder.Item) (topology.Endpoint, error)
	// Routes decodes the configuration.
	Routes(i eelgrassladder.Item) (route.Table, error)
}

// passOnDelay is how long after it came from the store a configuration is not passed on
// to other proxies. In that time they read it from the store themselves, unless the store
// refuses their calls.
const passOnDelay = time.Second

// clusterState is the state of the system as this process knows it: routes,
// endpoints, records of primaries, the promotion lock and the other proxies. Its
// values are replaced as a whole and never modified.
type clusterState struct {
	routes    atomic.Pointer[route.Table]
	endpoints atomic.Pointer[topology.Snapshot]
	// routesKnown is closed once there are routes.
	routesKnown chan struct{}
	// wasRegistered is true once this proxy has been registered in the store.
	wasRegistered atomic.Bool
	// dataCentres holds the data centres of the registered proxies by name. It is replaced,
	// never modified. proxyGeneration grows with each change of it or of proxies.
	dataCentres     atomic.Pointer[map[string]string]
	proxyGeneration atomic.Uint64

	// mutex guards the fields below. Its rank is lockrank.Cluster: the records are read
	// while the table is locked, so the table is never locked while the mutex is held.
	// While it is held, only the locks of the log are taken.
	mutex *lockrank.Mutex
	// records is keyed by the name of the group. It is replaced, never modified.
	records map[string]leadership.Record
	// unwritten holds the records of new primaries that are not written to the store
	// yet, by the name of the group. Each has the revision of the closed record that
	// the store still has. It is replaced, never modified.
	unwritten map[string]leadership.Record
	// message is a message with records and unwritten, for other proxies. It is
	// replaced, never modified.
	message heartbeat.Message
	// proxies holds the addresses of the other registered proxies by name. It is
	// replaced, never modified.
	proxies map[string]string
	// departed holds the other proxies whose registrations have ended less than
	// lenderRetention ago, by address. It changes only together with proxyGeneration, so that
	// all parts count the same proxies. proxiesSince is the boot time since which this process
	// has had the list of proxies; zero for never.
	departed     map[string]departedProxy
	proxiesSince time.Duration
	// configuration is the item from which the current routes were decoded. It is
	// passed on to other proxies from the boot time passOnFrom.
	configuration eelgrassladder.Item
	passOnFrom    time.Duration
	promotionLock leadership.PromotionLock
	// fleetRecord is the record of the proxies that share the limits of teams.
	fleetRecord fleetrecord.Record
	// onRecord is called with the name of each group whose record has changed, without
	// the mutex and by several goroutines at a time. It has to read the record itself.
	onRecord func(group string)
	// onChange is called when the routes or the proxies have changed, without the mutex and by
	// several goroutines at a time. It has to read them itself.
	onChange func()
	// name is the name of this proxy. registry decodes configurations.
	name     string
	registry Registry
	clock    eelgrassladder.Clock
	eras     eelgrassladder.Eras
}

// newClusterState returns a state without routes and endpoints.
func newClusterState(name string, r Registry, c eelgrassladder.Clock, eras eelgrassladder.Eras) *clusterState {
	s := &clusterState{
		routesKnown: make(chan struct{}), mutex: lockrank.New(lockrank.Cluster), onRecord: func(string) {}, onChange: func() {},
		name: name, registry: r, clock: c, eras: eras,
	}
	s.routes.Store(&route.Table{})
	s.endpoints.Store(&topology.Snapshot{})
	s.dataCentres.Store(&map[string]string{})
	return s
}

// Routes returns the current routes.
func (s *clusterState) Routes() route.Table { return *s.routes.Load() }

// WasRegistered reports whether this proxy has been registered since it started.
func (s *clusterState) WasRegistered() bool { return s.wasRegistered.Load() }

// Known returns a channel that is closed once there are routes.
func (s *clusterState) Known() <-chan struct{} { return s.routesKnown }

// Endpoints returns the endpoints in use.
func (s *clusterState) Endpoints() topology.Snapshot { return *s.endpoints.Load() }

// setRoutes decodes a configuration and makes its routes the current ones, if their
// version is newer. The configuration is passed on to other proxies from the boot time
// passOnFrom. The source is only logged.
func (s *clusterState) setRoutes(i eelgrassladder.Item, source string, passOnFrom time.Duration) {
	routes, err := s.registry.Routes(i)
	if err != nil {
		klog.ErrorS(err, "Could not decode the configuration", "Revision", i.Revision, "Source", source)
		return
	}
	if s.adoptRoutes(routes, i, source, passOnFrom) {
		s.onChange()
	}
}

// adoptRoutes makes routes, which were decoded from an item, the current ones if their version
// is newer, and reports whether it is.
func (s *clusterState) adoptRoutes(routes route.Table, i eelgrassladder.Item, source string, passOnFrom time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old := s.routes.Load()
	if routes.Version <= old.Version {
		return false
	}
	s.routes.Store(&routes)
	if old.Version == 0 {
		close(s.routesKnown)
	}
	s.configuration, s.passOnFrom = i, passOnFrom
	klog.InfoS("Routes in force", "Version", routes.Version, "Before", old.Version, "Source", source)
	return true
}

// departedProxy is a proxy whose registration has ended. It is immutable.
type departedProxy struct {
	name string
	// at is the boot time at which this process learned of it.
	at time.Duration
}

// proxyRetention is how long a proxy whose registration has ended may still run, cut off
// from the store, and have proofs of primaries from replicas.
const proxyRetention = proof.MaxRecordAge

// lenderRetention is how long a proxy whose registration has ended still counts as one of those
// that share the limits of teams, and of those for which connections have to suffice. Cut off from
// the store, it goes on producing its share.
const lenderRetention = 60 * time.Second

// setDataCentres replaces the data centres of the proxies.
func (s *clusterState) setDataCentres(byName map[string]string) {
	s.dataCentres.Store(&byName)
	s.proxyGeneration.Add(1)
}

// setProxies replaces the addresses of the other proxies.
func (s *clusterState) setProxies(proxies map[string]string) {
	s.replaceProxies(proxies)
	s.onChange()
}

// replaceProxies is setProxies without the call of onChange.
func (s *clusterState) replaceProxies(proxies map[string]string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	defer s.proxyGeneration.Add(1)
	now := s.clock.SinceBoot()
	if s.proxiesSince == 0 {
		s.proxiesSince = now
	}
	departed, registered := s.retained(now), map[string]bool{}
	for _, address := range proxies {
		registered[address] = true
		delete(departed, address)
	}
	for name, address := range s.proxies {
		if !registered[address] {
			departed[address] = departedProxy{name: name, at: now}
		}
	}
	s.proxies, s.departed = proxies, departed
}

// forgetDeparted forgets the proxies whose registrations have ended lenderRetention ago.
func (s *clusterState) forgetDeparted() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kept := s.retained(s.clock.SinceBoot())
	if len(kept) == len(s.departed) {
		return
	}
	s.departed = kept
	s.proxyGeneration.Add(1)
}

// retained returns a copy of departed without the proxies whose registrations ended
// lenderRetention before a boot time. The caller holds the mutex.
func (s *clusterState) retained(now time.Duration) map[string]departedProxy {
	kept := map[string]departedProxy{}
	for address, d := range s.departed {
		if now-d.at < lenderRetention {
			kept[address] = d
		}
	}
	return kept
}

// RecentlyDeparted returns how many other proxies, by name, have left less than lenderRetention ago
// and not come back.
func (s *clusterState) RecentlyDeparted() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	names := map[string]bool{}
	for _, d := range s.departed {
		if _, ok := s.proxies[d.name]; !ok && d.name != s.name {
			names[d.name] = true
		}
	}
	return len(names)
}

// DepartedProxies returns the names of the proxies, by address, whose registrations have
// ended less than proxyRetention ago. It reports whether this process has had the list of
// proxies for long enough to know all of them.
func (s *clusterState) DepartedProxies() (map[string]string, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.SinceBoot()
	names := map[string]string{}
	for address, d := range s.departed {
		if now-d.at < proxyRetention {
			names[address] = d.name
		}
	}
	return names, s.settled(now)
}

// presentLenders returns the addresses, by name, of the other proxies that are registered, or
// whose registrations have ended less than lenderRetention ago.
func (s *clusterState) presentLenders() map[string]string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.SinceBoot()
	latest, lenders := map[string]time.Duration{}, map[string]string{}
	for address, d := range s.departed {
		if at, ok := latest[d.name]; now-d.at < lenderRetention && d.name != s.name && (!ok || d.at > at) {
			latest[d.name], lenders[d.name] = d.at, address
		}
	}
	maps.Copy(lenders, s.proxies)
	return lenders
}

// Name returns the name of this proxy.
func (s *clusterState) Name() string { return s.name }

// Proxies returns the addresses of the other proxies by name.
func (s *clusterState) Proxies() map[string]string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.proxies
}

// AddConfiguration adds the text of the configuration to a message if the
// receiver's version is older.
func (s *clusterState) AddConfiguration(m heartbeat.Message, receiverVersion uint64) heartbeat.Message {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if receiverVersion >= s.routes.Load().Version || s.clock.SinceBoot() < s.passOnFrom {
		return m
	}
	return m.WithConfiguration(s.configuration.Value, s.configuration.Revision)
}

// Message returns the message to send to other proxies, without reports of
// primaries and without the text of the configuration.
func (s *clusterState) Message() heartbeat.Message {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.message.WithSender(s.name, s.routes.Load().Version).WithEra(s.eras.Current()).WithSettled(s.settled(s.clock.SinceBoot()))
}

// settled reports whether this process has had the list of proxies for long enough to know all
// that may still run. The caller holds the mutex.
func (s *clusterState) settled(now time.Duration) bool {
	return s.proxiesSince > 0 && now-s.proxiesSince >= proxyRetention
}

// Era returns the newest known era of the store; zero if the store names none.
func (s *clusterState) Era() uint64 { return s.eras.Current() }

// buildMessage replaces the message for other proxies by one with the present records.
// The caller holds the mutex.
func (s *clusterState) buildMessage() {
	records := make([]heartbeat.Record, 0, len(s.records))
	for _, r := range s.records {
		records = append(records, heartbeat.Record{Group: r.Group, Revision: r.Revision, Value: r.Bytes()})
		if u := s.unwritten[r.Group]; r.Closed && u.Revision == r.Revision {
			records = append(records, heartbeat.Record{Group: r.Group, Revision: r.Revision, Value: u.Bytes(), Unwritten: true})
		}
	}
	s.message = heartbeat.Message{}.WithRecords(records)
}

// Receive adopts the era, the configuration and the records in a message from another proxy, if
// they are newer.
func (s *clusterState) Receive(m heartbeat.Message) {
	newest := m.Era
	for _, encoded := range m.Records {
		newest = max(newest, encoded.Revision.Era())
	}
	s.eras.Learn(newest, m.Sender)
	if len(m.Configuration) > 0 {
		key, _ := s.registry.Keys()
		s.setRoutes(eelgrassladder.Item{Key: key, Value: m.Configuration, Revision: m.Revision}, m.Sender, 0)
	}
	for _, encoded := range m.Records {
		record, err := leadership.Parse(encoded.Group, encoded.Value, encoded.Revision)
		switch {
		case err != nil:
			klog.ErrorS(err, "Could not decode a record from another proxy", "Proxy", m.Sender)
		case encoded.Unwritten:
			s.LearnUnwritten(record)
		default:
			s.LearnRecord(record)
		}
	}
}

// LearnUnwritten adopts the record of a new primary that is not written to the store yet,
// if it is newer than the known one. Its revision is that of the closed record in the
// store.
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

// CurrentRecord returns the record of a group that applies: the unwritten one if the
// record in the store is the closed one that it replaces, and otherwise the one in the
// store.
func (s *clusterState) CurrentRecord(group string) leadership.Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := s.records[group]
	if u := s.unwritten[group]; r.Closed && u.Revision == r.Revision {
		return u
	}
	return r
}

// claimedPrimary returns the ID of the listed endpoint that claims to be the group's
// primary; empty if none does.
func (s *clusterState) claimedPrimary(group string) string {
	claimed := ""
	for _, e := range s.Endpoints().Group(group) {
		if e.Primary {
			claimed = e.ID
		}
	}
	return claimed
}

// Groups returns the names of the groups that at least one route uses.
func (s *clusterState) Groups() map[string]bool { return s.Routes().Groups() }

// Record returns the latest known record of a group in the store.
func (s *clusterState) Record(group string) leadership.Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.records[group]
}

// KnownRecords returns the latest known records by group. The map must not be modified.
func (s *clusterState) KnownRecords() map[string]leadership.Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.records
}

// PromotionLock returns the latest known state of the promotion lock.
func (s *clusterState) PromotionLock() leadership.PromotionLock {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.promotionLock
}

// LearnPromotionLock adopts a state of the promotion lock, if it is newer than the known
// one.
func (s *clusterState) LearnPromotionLock(l leadership.PromotionLock) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if l.Revision > s.promotionLock.Revision {
		s.promotionLock = l
	}
}

// LearnRecord adopts a record of the store, if it is not older than the known one. When it
// returns, the table has applied the record or a newer one.
func (s *clusterState) LearnRecord(r leadership.Record) {
	if s.keepRecord(r) {
		s.onRecord(r.Group)
	}
}

// keepRecord keeps a record if it is newer than the known one. It reports whether the
// record may not have been applied yet: another goroutine may have kept the same one just
// now.
func (s *clusterState) keepRecord(r leadership.Record) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known := s.records[r.Group].Revision; r.Revision <= known {
		return r.Revision == known
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
