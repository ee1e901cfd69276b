// Package testbed runs a simulation of the users' platform on loopback for tests:
// its store, its promotion interface and its database groups. It gives proxies
// their settings and provides a client for them.
package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/settings"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/address"
	"eelgrassladder.example/eelgrassladder/internal/lab/keyvalue"
	"eelgrassladder.example/eelgrassladder/internal/lab/member"
)

// configurationKey is the key of the configuration in the platform's store, and
// endpointPrefix the prefix of the keys of the members' entries.
const (
	configurationKey = "op/config"
	endpointPrefix   = "servers/"
)

// Plan describes the groups of the platform and the behaviour of their members. It is
// immutable.
type Plan struct {
	// Groups is the number of groups. Group N is called group-N, and has three members
	// and the databases primary-N, bounded-N and own-N.
	Groups int
	// Slots and Connections are the limits of each member.
	Slots       int
	Connections int
	// StatementTime is how long a statement holds a slot of a member.
	StatementTime time.Duration
	// PromoteTime is the time from the request for a promotion to the new term.
	PromoteTime time.Duration
	// Teams are the teams of the first configuration. If there are any, clients must
	// identify themselves, and members judge the callers of statements.
	Teams []Team
	// ConnectTime is how long a new connection holds a slot of a member. If it is zero, and
	// there are teams, it is TeamConnectTime.
	ConnectTime time.Duration
	// Queue is how many statements and new connections wait for a slot of a member at one time;
	// zero for any number.
	Queue int
	// Eras makes the platform's store name its era in all answers, as it must before a Drill.
	Eras bool
	// AdvertisedAddress returns the address that the platform's store shows for the member
	// with an ID and a listen address. If it is nil, the store shows the listen address.
	AdvertisedAddress func(id, address string) (string, error)
}

// Team is a team as the platform's configuration describes it.
type Team struct {
	Name string   `json:"name"`
	Keys []string `json:"api-keys"`
	// Rate and Burst limit the team's operations; a team with neither is not limited.
	Rate  float64 `json:"rate-per-s,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// TeamConnectTime is how long the users' platform takes to open a connection to a member.
const TeamConnectTime = 12 * time.Millisecond

// DefaultPlan returns a plan for one group whose members are fast.
func DefaultPlan() Plan {
	return Plan{Groups: 1, Slots: 2, Connections: 16, StatementTime: time.Millisecond, PromoteTime: 100 * time.Millisecond}
}

// Testbed is a running platform with its groups. Create it with New.
type Testbed struct {
	// Store is the platform's store. StoreAddress is the host and port on which it
	// listens.
	Store        *keyvalue.Store
	StoreAddress string
	// PromotionAddress is the host and port of the promotion interface.
	PromotionAddress string
	Groups           []*member.Group

	plan       Plan
	tasks      *task.Group
	promotions promotionQueue
	// promotionGate is the listener of the promotion interface.
	promotionGate *gate
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex                sync.Mutex
	configurationVersion uint64
	// teams are those of the newest configuration, and callers the names of all teams so far.
	teams   []Team
	callers map[string]bool
	// sequence counts the writes of members' entries.
	sequence int
}

// New starts a platform with the groups of the plan and a first configuration. It
// runs until the task group ends.
func New(g *task.Group, p Plan) (*Testbed, error) {
	if len(p.Teams) > 0 && p.ConnectTime == 0 {
		p.ConnectTime = TeamConnectTime
	}
	t := &Testbed{Store: keyvalue.New(), plan: p, tasks: g, callers: map[string]bool{}}
	if p.Eras {
		t.Store.NameEras()
	}
	t.setTeams(p.Teams)
	storeListener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	promotionListener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	t.promotionGate = newGate(promotionListener)
	t.StoreAddress, t.PromotionAddress = storeListener.Addr().String(), promotionListener.Addr().String()
	t.Store.Serve(g, storeListener)
	keyvalue.PromotionHandler(t.promote).Serve(g, t.promotionGate)
	for i := range p.Groups {
		if err := t.addGroup(i); err != nil {
			return nil, err
		}
	}
	t.Configure(nil)
	return t, nil
}

// addGroup starts the group with the index, and registers each of its three members in
// a zone of its own.
func (t *Testbed) addGroup(index int) error {
	g := member.NewGroup(fmt.Sprintf("group-%d", index), 1, t.plan.PromoteTime)
	g.ConnectTime, g.Queue = t.plan.ConnectTime, t.plan.Queue
	if len(t.plan.Teams) > 0 {
		g.KnownCaller = t.isCaller
	}
	if index > 0 {
		g.ShareTokens(t.Groups[0])
	}
	for zone := range 3 {
		m, err := t.AddMember(g, fmt.Sprintf("m-%d-%d", index, zone))
		if err != nil {
			return err
		}
		if err := t.Register(m, zone); err != nil {
			return err
		}
	}
	t.Groups = append(t.Groups, g)
	return nil
}

// AddMember starts a new member of a group. The member is not in the platform's store
// until Register is called for it.
func (t *Testbed) AddMember(g *member.Group, id string, options ...member.Option) (*member.Member, error) {
	return g.Add(t.tasks, id, t.plan.Slots, t.plan.Connections, t.plan.StatementTime, options...)
}

// Register writes the member's entry into the platform's store, in the zone with the
// number, now and on every change of its role or state.
func (t *Testbed) Register(m *member.Member, zone int) error {
	address := m.Address
	if t.plan.AdvertisedAddress != nil {
		var err error
		if address, err = t.plan.AdvertisedAddress(m.ID, m.Address); err != nil {
			return err
		}
	}
	m.Register(func(primary, leaving bool) {
		t.writeEntry(m.Group(), m, address, "zone-"+strconv.Itoa(zone), primary, leaving)
	})
	return nil
}

// ReassignAddress terminates a member, starts a member with another ID on its address
// in group to, and then removes the entry of the terminated one. The entry of the new
// member, with the same address, proves that the terminated one can't come back.
func (t *Testbed) ReassignAddress(m *member.Member, to *member.Group, id string) error {
	m.Terminate()
	replacement, err := t.AddMember(to, id, member.WithAddress(m.Address))
	if err != nil {
		return err
	}
	if err := t.Register(replacement, 0); err != nil {
		return err
	}
	t.Deregister(m)
	return nil
}

// writeEntry writes the entry of a member into the platform's store.
func (t *Testbed) writeEntry(group string, m *member.Member, address, zone string, primary, leaving bool) {
	t.mutex.Lock()
	t.sequence++
	sequence := t.sequence
	t.mutex.Unlock()
	entry := map[string]any{
		"service": group, "address": address, "zone": zone, "version": "v1", "slots": m.Slots, "state": "ready",
		"cold-left-ms": 0, "db-role": "replica", "sequence": sequence, "born": m.StartedAt(),
	}
	if primary {
		entry["db-role"] = "primary"
	}
	if leaving {
		entry["state"] = "draining"
	}
	t.Store.Put(endpointPrefix+m.ID, encode(entry))
}

// ServeView serves the store on another port, with values that are rewritten when they
// are read, and returns the address.
func (t *Testbed) ServeView(r keyvalue.Rewrite) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.WithStack(err)
	}
	t.Store.ServeView(t.tasks, l, r)
	return l.Addr().String(), nil
}

// Deregister removes the entry of a member from the platform's store.
func (t *Testbed) Deregister(m *member.Member) { t.Store.Delete(endpointPrefix + m.ID) }

// Rename gives a member another ID and replaces its entry in the platform's store, as
// the platform does when it starts a member again after a crash.
func (t *Testbed) Rename(m *member.Member, id string) {
	oldID := m.Rename(id)
	primary, _ := m.State()
	m.Announce(primary, false)
	t.Store.Delete(endpointPrefix + oldID)
}

// Configure writes a new version of the configuration and returns the version.
// change may modify the default routes, which are keyed by database; nil keeps them.
// Versions are not consecutive: each is 3 above the one before.
func (t *Testbed) Configure(change func(routes map[string]map[string]any)) uint64 {
	t.mutex.Lock()
	t.configurationVersion += 3
	version, teams := t.configurationVersion, t.teams
	t.mutex.Unlock()
	routes := map[string]map[string]any{}
	var services []map[string]any
	for i := range t.plan.Groups {
		group := fmt.Sprintf("group-%d", i)
		for _, r := range []struct{ databasePrefix, routeType string }{
			{"primary", "primary"}, {"bounded", "bounded_stale"}, {"own", "read_own_writes"},
		} {
			database := fmt.Sprintf("%s-%d", r.databasePrefix, i)
			routes[database] = map[string]any{
				"name": "r-" + database, "host": database, "path-prefix": "/", "route-type": r.routeType, "service": group,
				"timeout-ms": 1000, "target-latency-ms": 300, "priority": 1, "max-staleness-ms": 1500,
			}
		}
		services = append(services, map[string]any{"name": group, "max-conns": t.plan.Connections, "sync-replicas": 1})
	}
	if change != nil {
		change(routes)
	}
	routeList := make([]map[string]any, 0, len(routes))
	for _, r := range routes {
		routeList = append(routeList, r)
	}
	t.Store.Put(configurationKey, encode(map[string]any{
		"version": version, "routes": routeList, "services": services, "limits": map[string]any{"tx-idle-ms": 1000},
		"tenants": teams,
	}))
	return version
}

// ConfigureTeams writes a new version of the configuration with the default routes and other
// teams, and returns the version.
func (t *Testbed) ConfigureTeams(teams ...Team) uint64 {
	t.setTeams(teams)
	return t.Configure(nil)
}

// setTeams sets the teams of the next configuration.
func (t *Testbed) setTeams(teams []Team) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.teams = teams
	for _, other := range teams {
		t.callers[other.Name] = true
	}
}

// isCaller reports whether a team was ever configured with a name.
func (t *Testbed) isCaller(name string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.callers[name]
}

// Settings returns the settings of the proxy with a name, which uses this platform and
// listens on free ports of loopback.
func (t *Testbed) Settings(name string) settings.Node {
	s := settings.Node{
		Contracts: []string{}, // the settings of a process hold a list, never null
		Name:      name, DataCentre: "zone-0", Callers: address.Free, Readiness: address.Free, Metrics: address.Free, Sibling: address.Free,
		Store: t.StoreAddress, Promotion: t.PromotionAddress,
		GraceSeconds: 4, Descriptors: 4096, MemoryMegabytes: 512,
	}
	if len(t.plan.Teams) > 0 {
		window, overrun, slack := 5.0, 0.1, 20.0
		s.Contracts = []string{"tenants", "quota"}
		s.QuotaWindowSeconds, s.QuotaOverrun, s.QuotaSlack = &window, &overrun, &slack
	}
	return s
}

// ReserveAddresses returns the settings with addresses in place of those with a free port.
// They stay the proxy's own until the tasks end, also once it has stopped: other proxies may
// call it for a while, and would reach a proxy of another platform that got its port.
func (t *Testbed) ReserveAddresses(s settings.Node) (settings.Node, error) {
	for _, a := range []*string{&s.Callers, &s.Readiness, &s.Metrics, &s.Sibling} {
		if *a != address.Free {
			continue
		}
		reserved, err := address.Reserve(t.tasks.Context(), *a)
		if err != nil {
			return settings.Node{}, err
		}
		*a = reserved
	}
	return s, nil
}

// WaitFor calls condition every 5 ms until it returns true. It fails when the limit is
// over or ctx ends.
func WaitFor(ctx context.Context, limit time.Duration, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Errorf("wait for a condition: still false after the limit of %v, or when the context ended", limit)
		case <-ticker.C:
		}
	}
	return nil
}

// encode returns a value as JSON.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // impossible: maps of plain values can always be encoded
	}
	return b
}
