// Package estate joins the stand-ins of the users' platform with proxies of
// the real code, all in one process on loopback.
package estate

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
	// Work is how long a statement takes at a member.
	Work time.Duration
	// PromoteTime is how long a promotion takes.
	PromoteTime time.Duration
	// Listed returns the address under which the platform lists a member that
	// listens on the given one; nil lists the member's own.
	Listed func(id, address string) (string, error)
}

// DefaultPlan is a small estate with quick members.
func DefaultPlan() Plan {
	return Plan{Groups: 1, Slots: 2, Connections: 16, Work: time.Millisecond, PromoteTime: 100 * time.Millisecond}
}

// Estate is the platform with its groups. Use New to make one.
type Estate struct {
	// Store is the platform's store, and Address where it listens.
	Store   *keyvalue.Store
	Address string
	// Promotion is where promotions are taken.
	Promotion string
	// Groups are the database groups.
	Groups []*member.Group

	plan  Plan
	tasks *task.Group
	// mutex guards the fields below. It is a leaf.
	mutex                sync.Mutex
	configurationVersion uint64
	sequence             int
}

// New starts a platform with the groups of the plan.
func New(g *task.Group, p Plan) (*Estate, error) {
	e := &Estate{Store: keyvalue.New(), plan: p, tasks: g}
	storeListener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	promotionListener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	e.Address, e.Promotion = storeListener.Addr().String(), promotionListener.Addr().String()
	e.Store.Serve(g, storeListener)
	keyvalue.Promotions(e.promote).Serve(g, promotionListener)
	for i := range p.Groups {
		if err := e.addGroup(i); err != nil {
			return nil, err
		}
	}
	e.Configure(nil)
	return e, nil
}

// addGroup starts a group of three members that register in the store.
func (e *Estate) addGroup(i int) error {
	g := member.NewGroup(fmt.Sprintf("group-%d", i), 1, e.plan.PromoteTime)
	for k := range 3 {
		m, err := e.Join(g, fmt.Sprintf("m-%d-%d", i, k))
		if err != nil {
			return err
		}
		if err := e.List(m, k); err != nil {
			return err
		}
	}
	e.Groups = append(e.Groups, g)
	return nil
}

// Join starts a member of a group that is not listed yet.
func (e *Estate) Join(g *member.Group, id string, options ...member.Option) (*member.Member, error) {
	return g.Add(e.tasks, id, e.plan.Slots, e.plan.Connections, e.plan.Work, options...)
}

// List has a member register in the store, in the zone with the number.
func (e *Estate) List(m *member.Member, zone int) error {
	address := m.Address
	if e.plan.Listed != nil {
		var err error
		if address, err = e.plan.Listed(m.ID, m.Address); err != nil {
			return err
		}
	}
	m.Register(func(primary, leaving bool) {
		e.writeEntry(m.Group(), m, address, "zone-"+strconv.Itoa(zone), primary, leaving)
	})
	return nil
}

// Depart ends a member for good. A new member of another group takes its
// address at once, which shows that the first one does not come back.
func (e *Estate) Depart(m *member.Member, to *member.Group, id string) error {
	m.End()
	replacement, err := e.Join(to, id, member.At(m.Address))
	if err != nil {
		return err
	}
	if err := e.List(replacement, 0); err != nil {
		return err
	}
	e.Remove(m)
	return nil
}

// writeEntry writes the entry of a member.
func (e *Estate) writeEntry(group string, m *member.Member, address, zone string, primary, leaving bool) {
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

// Remove takes a member off the platform's list.
func (e *Estate) Remove(m *member.Member) { e.Store.Delete(endpointPrefix + m.ID) }

// Rename lists a member under another ID, as one that was started again after
// a crash.
func (e *Estate) Rename(m *member.Member, id string) {
	old := m.Rename(id)
	primary, _ := m.State()
	m.Announce(primary, false)
	e.Store.Delete(endpointPrefix + old)
}

// promote passes a promotion to the group that it names.
func (e *Estate) promote(p *cloud.PromotePayload) error {
	for _, g := range e.Groups {
		if g.Name == p.Service {
			return g.Promote(p.ID, p.Token)
		}
	}
	return errors.Errorf("no group %s", p.Service)
}

// Configure writes a new version of the configuration and returns it. The
// function may change the routes, which are keyed by database.
func (e *Estate) Configure(change func(routes map[string]map[string]any)) uint64 {
	e.mutex.Lock()
	e.configurationVersion += 3
	version := e.configurationVersion
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
func (e *Estate) Settings(name string) settings.Node {
	const freePort = "127.0.0.1:0"
	return settings.Node{
		Name: name, DataCentre: "zone-0", Callers: freePort, Readiness: freePort, Metrics: freePort, Sibling: freePort,
		Store: e.Address, Promotion: e.Promotion,
		GraceSeconds: 4, Descriptors: 4096, MemoryMegabytes: 512,
	}
}

// Until calls condition until it reports true, or fails when the time is over.
func Until(ctx context.Context, limit time.Duration, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Errorf("not so within %v", limit)
		case <-ticker.C:
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
