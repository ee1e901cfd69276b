// Package testbed joins the stand-ins of the users' platform with proxies of
// the real code, all in one process on loopback.
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

	"eelgrassladder.example/eelgrassladder/gen/cloud"
	"eelgrassladder.example/eelgrassladder/internal/host/settings"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/keyvalue"
	"eelgrassladder.example/eelgrassladder/internal/lab/member"
)

// The keys of the platform's store.
const (
	configurationKey = "op/config"
	endpointPrefix   = "servers/"
)

// Plan says what an estate holds. It is immutable.
type Plan struct {
	// Groups is how many groups of three members there are; each is named
	// group-N and has the databases primary-N, bounded-N and own-N.
	Groups int
	// Slots and Connections are those of each member.
	Slots       int
	Connections int
	// StatementTime is how long a statement takes at a member.
	StatementTime time.Duration
	// PromoteTime is how long a promotion takes.
	PromoteTime time.Duration
	// AdvertisedAddress returns the address under which the platform lists a member that
	// listens on the given one; nil lists the member's own.
	AdvertisedAddress func(id, address string) (string, error)
}

// DefaultPlan is a small estate with quick members.
func DefaultPlan() Plan {
	return Plan{Groups: 1, Slots: 2, Connections: 16, StatementTime: time.Millisecond, PromoteTime: 100 * time.Millisecond}
}

// Testbed is the platform with its groups. Use New to make one.
type Testbed struct {
	// Store is the platform's store, and Address where it listens.
	Store        *keyvalue.Store
	StoreAddress string
	// PromotionAddress is where promotions are taken.
	PromotionAddress string
	// Groups are the database groups.
	Groups []*member.Group

	plan  Plan
	tasks *task.Group
	// mutex guards the fields below. It is a leaf.
	mutex    sync.Mutex
	version  uint64
	sequence int
}

// New starts a platform with the groups of the plan.
func New(g *task.Group, p Plan) (*Testbed, error) {
	e := &Testbed{Store: keyvalue.New(), plan: p, tasks: g}
	store, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	promotion, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	e.StoreAddress, e.PromotionAddress = store.Addr().String(), promotion.Addr().String()
	e.Store.Serve(g, store)
	keyvalue.PromotionHandler(e.promote).Serve(g, promotion)
	for i := range p.Groups {
		if err := e.addGroup(i); err != nil {
			return nil, err
		}
	}
	e.Configure(nil)
	return e, nil
}

// addGroup starts a group of three members that register in the store.
func (e *Testbed) addGroup(i int) error {
	g := member.NewGroup(fmt.Sprintf("group-%d", i), 1, e.plan.PromoteTime)
	for k := range 3 {
		m, err := e.AddMember(g, fmt.Sprintf("m-%d-%d", i, k))
		if err != nil {
			return err
		}
		if err := e.Register(m, k); err != nil {
			return err
		}
	}
	e.Groups = append(e.Groups, g)
	return nil
}

// AddMember starts a member of a group that is not listed yet.
func (e *Testbed) AddMember(g *member.Group, id string, options ...member.Option) (*member.Member, error) {
	return g.Add(e.tasks, id, e.plan.Slots, e.plan.Connections, e.plan.StatementTime, options...)
}

// Register has a member register in the store, in the zone with the number.
func (e *Testbed) Register(m *member.Member, zone int) error {
	listed := m.Address
	if e.plan.AdvertisedAddress != nil {
		var err error
		if listed, err = e.plan.AdvertisedAddress(m.ID, m.Address); err != nil {
			return err
		}
	}
	m.Register(func(primary, leaving bool) {
		e.announce(m.Group(), m, listed, "zone-"+strconv.Itoa(zone), primary, leaving)
	})
	return nil
}

// ReassignAddress ends a member for good. A new member of another group takes its
// address at once, which shows that the first one does not come back.
func (e *Testbed) ReassignAddress(m *member.Member, to *member.Group, id string) error {
	m.Terminate()
	next, err := e.AddMember(to, id, member.WithAddress(m.Address))
	if err != nil {
		return err
	}
	if err := e.Register(next, 0); err != nil {
		return err
	}
	e.Deregister(m)
	return nil
}

// announce writes the entry of a member.
func (e *Testbed) announce(group string, m *member.Member, address, zone string, primary, leaving bool) {
	e.mutex.Lock()
	e.sequence++
	sequence := e.sequence
	e.mutex.Unlock()
	entry := map[string]any{
		"service": group, "address": address, "zone": zone, "version": "v1", "slots": m.Slots, "state": "ready",
		"cold-left-ms": 0, "db-role": "replica", "sequence": sequence, "born": 1700000000000,
	}
	if primary {
		entry["db-role"] = "primary"
	}
	if leaving {
		entry["state"] = "draining"
	}
	e.Store.Put(endpointPrefix+m.ID, encode(entry))
}

// Deregister takes a member off the platform's list.
func (e *Testbed) Deregister(m *member.Member) { e.Store.Delete(endpointPrefix + m.ID) }

// Rename lists a member under another ID, as one that was started again after
// a crash.
func (e *Testbed) Rename(m *member.Member, id string) {
	old := m.Rename(id)
	primary, _ := m.State()
	m.Announce(primary, false)
	e.Store.Delete(endpointPrefix + old)
}

// promote passes a promotion to the group that it names.
func (e *Testbed) promote(p *cloud.PromotePayload) error {
	for _, g := range e.Groups {
		if g.Name == p.Service {
			return g.Promote(p.ID, p.Token)
		}
	}
	return errors.Errorf("no group %s", p.Service)
}

// Configure writes a new version of the configuration and returns it. The
// function may change the routes, which are keyed by database.
func (e *Testbed) Configure(change func(routes map[string]map[string]any)) uint64 {
	e.mutex.Lock()
	e.version += 3
	version := e.version
	e.mutex.Unlock()
	routes := map[string]map[string]any{}
	var services []map[string]any
	for i := range e.plan.Groups {
		group := fmt.Sprintf("group-%d", i)
		for _, kind := range []struct{ name, kind string }{
			{"primary", "primary"}, {"bounded", "bounded_stale"}, {"own", "read_own_writes"},
		} {
			database := fmt.Sprintf("%s-%d", kind.name, i)
			routes[database] = map[string]any{
				"name": "r-" + database, "host": database, "path-prefix": "/", "route-type": kind.kind, "service": group,
				"timeout-ms": 1000, "target-latency-ms": 300, "priority": 1, "max-staleness-ms": 1500,
			}
		}
		services = append(services, map[string]any{"name": group, "max-conns": e.plan.Connections, "sync-replicas": 1})
	}
	if change != nil {
		change(routes)
	}
	list := make([]map[string]any, 0, len(routes))
	for _, r := range routes {
		list = append(list, r)
	}
	e.Store.Put(configurationKey, encode(map[string]any{
		"version": version, "routes": list, "services": services, "limits": map[string]any{"tx-idle-ms": 1000},
	}))
	return version
}

// Settings returns settings of a proxy that listens on free ports of loopback.
func (e *Testbed) Settings(name string) settings.Node {
	const free = "127.0.0.1:0"
	return settings.Node{
		Name: name, DataCentre: "zone-0", Callers: free, Readiness: free, Metrics: free, Sibling: free,
		Store: e.StoreAddress, Promotion: e.PromotionAddress,
		GraceSeconds: 4, Descriptors: 4096, MemoryMegabytes: 512,
	}
}

// WaitFor calls f until it reports true, or fails when the time is over.
func WaitFor(ctx context.Context, limit time.Duration, f func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticks := time.NewTicker(5 * time.Millisecond)
	defer ticks.Stop()
	for !f() {
		select {
		case <-ctx.Done():
			return errors.Errorf("not so within %v", limit)
		case <-ticks.C:
		}
	}
	return nil
}

// encode returns the JSON of a value.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // maps of plain values always have a JSON form
	}
	return b
}
