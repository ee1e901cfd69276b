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

// estate is a platform whose store can come back from an older copy, with one group.
type estate struct {
	*deployment
	store *store
	group *member.Group

	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// listed are the members that report themselves, by ID, with their zones.
	listed   map[string]listedMember
	sequence int
	// requests are those that have ended, in any order.
	requests []request
	proxies  []*proxy
	// holder is the name of the proxy that sent the last order to promote a member.
	holder string
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

// newEstate starts a platform with three members, three proxies and their clients.
func newEstate(d *deployment) (*estate, error) {
	e := &estate{deployment: d, store: newStore(), listed: map[string]listedMember{}}
	proxies, err := e.start()
	if err != nil {
		return nil, err
	}
	e.proxies = proxies
	for i := range estateClients {
		d.tasks.GoIsolated("client", func(ctx context.Context) { e.playClient(ctx, proxies[i%len(proxies)].settings.Callers, i) })
	}
	return e, nil
}

// start starts the platform with three members and three proxies.
func (e *estate) start() ([]*proxy, error) {
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
		e.note("promotion of %s ordered by %s with token %d", p.ID, p.Holder, p.Token)
		e.mutex.Lock()
		e.holder = p.Holder
		e.mutex.Unlock()
		return e.group.Promote(member.Order{Member: p.ID, Holder: p.Holder, Token: p.Token})
	}).Serve(e.tasks, promotions)
	e.group = member.NewGroup(estateGroup, 1, 600*time.Millisecond)
	e.group.ConnectTime = 12 * time.Millisecond
	e.group.OnRun = func(r member.Run) { e.write("%s runs %s %s", r.Member, r.ID, r.Text) }
	for i := range 3 {
		if err := e.addMember(fmt.Sprintf("i-%d", i+1), fmt.Sprintf("south-%c", 'a'+i)); err != nil {
			return nil, err
		}
	}
	e.writeConfiguration()
	e.tasks.Go("heartbeats", e.beat)
	var proxies []*proxy
	// The test bed only gives the proxies their addresses.
	if err := e.deployment.start(testbed.Plan{}); err != nil {
		return nil, err
	}
	for i := range 3 {
		p, err := e.addProxy(fmt.Sprintf("front-south-%c-1", 'a'+i), fmt.Sprintf("south-%c", 'a'+i), func(s *settings.Node) {
			s.Store, s.Promotion = storeListener.Addr().String(), promotions.Addr().String()
		})
		if err != nil {
			return nil, err
		}
		proxies = append(proxies, p)
	}
	return proxies, nil
}

// addMember starts a member, which reports itself from now on.
func (e *estate) addMember(id, zone string) error {
	m, err := e.group.Add(e.tasks, id, 2, 16, 4*time.Millisecond)
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
		"service": estateGroup, "address": m.Address, "zone": zone, "version": "v1", "slots": m.Slots, "state": "ready",
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
	e.putJSON("op/config", map[string]any{
		"version": 7, "limits": map[string]any{"tx-idle-ms": 1000},
		"routes": []map[string]any{{
			"name": "r1", "host": estateDatabase, "path-prefix": "/", "route-type": "primary", "service": estateGroup,
			"timeout-ms": 800, "target-latency-ms": 120, "priority": 0, "max-staleness-ms": 0,
		}},
		"services": []map[string]any{{"name": estateGroup, "max-conns": 16, "sync-replicas": 1}},
	})
}

// replace replaces a member: the new one starts first, then the old one drains and leaves. It
// returns before the old one has left.
func (e *estate) replace(id, successor string) error {
	e.mutex.Lock()
	old := e.listed[id]
	e.mutex.Unlock()
	if err := e.addMember(successor, old.zone); err != nil {
		return err
	}
	e.note("%s has started", successor)
	e.pause(time.Second)
	old.Leave()
	e.note("%s drains", id)
	e.tasks.GoIsolated("end of a member", func(context.Context) {
		e.pause(drainBound + 500*time.Millisecond)
		e.mutex.Lock()
		delete(e.listed, id)
		e.mutex.Unlock()
		old.Terminate()
		e.store.remove("servers/" + id)
		e.note("%s has left", id)
	})
	e.pause(2500 * time.Millisecond)
	return nil
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
