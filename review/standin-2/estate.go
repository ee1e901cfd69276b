package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/gen/cloud"
	"eelgrassladder.example/eelgrassladder/internal/host/settings"
	"eelgrassladder.example/eelgrassladder/internal/lab/keyvalue"
	"eelgrassladder.example/eelgrassladder/internal/lab/member"
	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

const (
	// estateGroup is the service, and estateDatabase the database that leads to its primary.
	estateGroup    = "commissions"
	estateDatabase = "deposit"
	// The bounds of the small deployments.
	heartbeat  = 1200 * time.Millisecond
	drainBound = 7 * time.Second
	recovery   = 12 * time.Second
	// deadline is the time that a request has, and maxRetries how often its client tries again.
	deadline   = 800 * time.Millisecond
	maxRetries = 2
	// estateClients is the number of clients, each of which pauses for clientPause between two
	// requests.
	estateClients = 12
	clientPause   = 100 * time.Millisecond
	// countTime is how long requests are counted before the disruption, and at the end.
	countTime = 5 * time.Second
	// minServed is the share of the requests that has to be served.
	minServed = 0.25
)

// estate is a platform whose store can come back from an older copy.
type estate struct {
	*deployment
	store *store
	// groups are the database groups, and group is the first.
	groups []*member.Group
	group  *member.Group

	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// listed are the members that report themselves, by ID, with their zones.
	listed   map[string]listedMember
	sequence int
	// requests are those that have ended, in any order.
	requests []request
	proxies  []*proxy
	// orders are the orders to promote a member, in the sequence of their arrival.
	orders []member.Order
}

// listedMember is a member that reports itself.
type listedMember struct {
	*member.Member
	zone string
}

// request is a request that has ended. It is immutable.
type request struct {
	sent   time.Time
	served bool
}

// newEstate starts a platform with groups of three members, proxies and the clients of the first
// group.
func newEstate(d *deployment, groups, proxyCount int) (*estate, error) {
	e := &estate{deployment: d, store: newStore(), listed: map[string]listedMember{}}
	proxies, err := e.start(groups, proxyCount)
	if err != nil {
		return nil, err
	}
	e.proxies = proxies
	for i := range estateClients {
		d.tasks.GoIsolated("client", func(ctx context.Context) { e.playClient(ctx, proxies[i%len(proxies)].settings.Callers, i) })
	}
	return e, nil
}

// start starts the platform and the proxies.
func (e *estate) start(groups, proxyCount int) ([]*proxy, error) {
	storeListener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	promotions, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	e.store.serve(e.tasks, storeListener)
	keyvalue.PromotionHandler(func(p *cloud.PromotePayload) error {
		return e.promote(p.Service, member.Order{Member: p.ID, Holder: p.Holder, Token: p.Token})
	}).Serve(e.tasks, promotions)
	for i := range groups {
		if err := e.addGroup(i); err != nil {
			return nil, err
		}
	}
	e.group = e.groups[0]
	e.writeConfiguration()
	e.tasks.Go("heartbeats", e.beat)
	var proxies []*proxy
	// The test bed only gives the proxies their addresses.
	if err := e.deployment.start(testbed.Plan{}); err != nil {
		return nil, err
	}
	for i := range proxyCount {
		zone := zoneOf(i)
		p, err := e.addProxy(fmt.Sprintf("front-%s-%d", zone, i/zones+1), zone, func(s *settings.Node) {
			s.Store, s.Promotion = storeListener.Addr().String(), promotions.Addr().String()
		})
		if err != nil {
			return nil, err
		}
		proxies = append(proxies, p)
	}
	return proxies, nil
}

// zones is the number of zones.
const zones = 3

// zoneOf returns the name of the zone with an index.
func zoneOf(index int) string { return fmt.Sprintf("south-%c", 'a'+index%zones) }

// addGroup starts the group with an index. Its members are called i-1 to i-3 in the first group,
// j-1 to j-3 in the second, and so on.
func (e *estate) addGroup(index int) error {
	g := member.NewGroup(groupName(index), 1, 600*time.Millisecond)
	g.ConnectTime = 12 * time.Millisecond
	g.OnRun = func(r member.Run) { e.write("%s runs %s %s", r.Member, r.ID, r.Text) }
	if index > 0 {
		g.ShareTokens(e.groups[0])
	}
	e.groups = append(e.groups, g)
	for i := range 3 {
		if err := e.addMember(g, fmt.Sprintf("%c-%d", 'i'+index, i+1), zoneOf(i)); err != nil {
			return err
		}
	}
	return nil
}

// groupName returns the name of the group with an index.
func groupName(index int) string {
	if index == 0 {
		return estateGroup
	}
	return fmt.Sprintf("%s-%d", estateGroup, index+1)
}

// promote runs an order to promote a member.
func (e *estate) promote(group string, o member.Order) error {
	e.note("promotion of %s in %s ordered by %s with token %d", o.Member, group, o.Holder, o.Token)
	e.mutex.Lock()
	e.orders = append(e.orders, o)
	e.mutex.Unlock()
	for _, g := range e.groups {
		if g.Name == group {
			return g.Promote(o)
		}
	}
	return errors.Errorf("no group %s", group)
}

// addMember starts a member of a group, which reports itself from now on.
func (e *estate) addMember(g *member.Group, id, zone string) error {
	m, err := g.Add(e.tasks, id, 2, 16, 4*time.Millisecond)
	if err != nil {
		return err
	}
	e.mutex.Lock()
	e.listed[id] = listedMember{Member: m, zone: zone}
	e.mutex.Unlock()
	m.Register(func(primary, leaving bool) { e.report(m, zone, primary, leaving) })
	return nil
}

// report writes the entry of a member.
func (e *estate) report(m *member.Member, zone string, primary, leaving bool) {
	e.mutex.Lock()
	e.sequence++
	sequence := e.sequence
	e.mutex.Unlock()
	entry := map[string]any{
		"service": m.Group(), "address": m.Address, "zone": zone, "version": "v1", "slots": m.Slots, "state": "ready",
		"cold-left-ms": 0, "db-role": "replica", "sequence": sequence, "born": m.StartedAt(),
	}
	if primary {
		entry["db-role"] = "primary"
	}
	if leaving {
		entry["state"] = "draining"
	}
	e.putJSON("servers/"+m.ID, entry)
}

// putJSON writes a key.
func (e *estate) putJSON(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // plain values always have a JSON form
	}
	e.store.put(key, text)
}

// beat has all members report themselves at each heartbeat until ctx ends.
func (e *estate) beat(ctx context.Context) error {
	ticks := time.NewTicker(heartbeat)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
			e.reportAll()
		}
	}
}

// reportAll has all members report themselves.
func (e *estate) reportAll() {
	e.mutex.Lock()
	listed := make([]listedMember, 0, len(e.listed))
	for _, l := range e.listed {
		listed = append(listed, l)
	}
	e.mutex.Unlock()
	for _, l := range listed {
		l.Register(func(primary, leaving bool) { e.report(l.Member, l.zone, primary, leaving) })
	}
}

// writeConfiguration writes the configuration, which never changes.
func (e *estate) writeConfiguration() {
	var routes, services []map[string]any
	for i, g := range e.groups {
		database := estateDatabase
		if i > 0 {
			database = fmt.Sprintf("%s-%d", estateDatabase, i+1)
		}
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r%d", i+1), "host": database, "path-prefix": "/", "route-type": "primary", "service": g.Name,
			"timeout-ms": 800, "target-latency-ms": 120, "priority": 0, "max-staleness-ms": 0,
		})
		services = append(services, map[string]any{"name": g.Name, "max-conns": 16, "sync-replicas": 1})
	}
	e.putJSON("op/config", map[string]any{
		"version": 7, "limits": map[string]any{"tx-idle-ms": 1000}, "routes": routes, "services": services,
	})
}

// primaryID returns the ID of the group's primary; empty if there is none.
func (e *estate) primaryID() string {
	if p := e.group.Primary(); p != nil {
		return p.ID
	}
	return ""
}

// servedShare returns the share of the requests sent in a time that were served.
func (e *estate) servedShare(from, to time.Time) float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	sent, served := 0, 0
	for _, r := range e.requests {
		if r.sent.Before(from) || r.sent.After(to) {
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1))
}

// playClient sends requests at an address until ctx ends: two writes for each read.
func (e *estate) playClient(ctx context.Context, address string, number int) {
	var c *testbed.Client
	for n := 0; ctx.Err() == nil; n++ {
		text := fmt.Sprintf("WRITE item-%d-%d value-%d", number, n%10, n)
		if n%3 == 0 {
			text = fmt.Sprintf("READ item-%d-%d", number, n%10)
		}
		r := request{sent: time.Now()}
		for try := 0; try <= maxRetries && !r.served && time.Since(r.sent) < deadline; try++ {
			if c == nil {
				c, _ = testbed.Dial(address, estateDatabase) // nil after an error
			}
			if c == nil {
				e.pause(clientPause)
				continue
			}
			answer, err := c.Do(text)
			e.write("client %d sent %s %s; answer %q in state %q, error %v", number, answer.ID, text, answer.Code, answer.State, err)
			r.served = err == nil && answer.OK() && time.Since(r.sent) < deadline
			if err != nil {
				c.Close()
				c = nil
			}
			if !retryable(answer, err, text) {
				break
			}
		}
		e.mutex.Lock()
		e.requests = append(e.requests, r)
		e.mutex.Unlock()
		e.pause(clientPause)
	}
}

// retryable reports whether a client may send its request again after an answer that is no
// success: nothing was kept, or it only reads.
func retryable(a testbed.Answer, err error, text string) bool {
	promises := []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "OVERLOAD"}
	return strings.HasPrefix(text, "READ") || err == nil && slices.Contains(promises, a.Code)
}
