// Package cluster runs a complete system on loopback in one process, for tests and
// experiments: simulated database groups and a simulated platform, and real
// proxies in front of them.
package cluster

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	generated "eelgrassladder.example/eelgrassladder/gen/platform"
	"eelgrassladder.example/eelgrassladder/internal/host/fleet"
	"eelgrassladder.example/eelgrassladder/internal/host/keyring"
	"eelgrassladder.example/eelgrassladder/internal/host/service"
	"eelgrassladder.example/eelgrassladder/internal/host/settings"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/lab/group"
	"eelgrassladder.example/eelgrassladder/internal/lab/platform"
	"eelgrassladder.example/eelgrassladder/internal/lab/workload"
)

// OperatorToken is the token that operators of every cluster present to its proxies.
const OperatorToken = "operators-of-the-lab"

// readyTimeout bounds the wait until all proxies are ready and all groups served.
const readyTimeout = 15 * time.Second

// anyPort is a listen address with a free port on loopback.
const anyPort = "127.0.0.1:0"

// Plan describes the cluster to start. It is immutable.
type Plan struct {
	// Workload gives the groups, the data centres, the limits of the members and
	// the configuration.
	Workload workload.Workload
	// Proxies is how many proxies run.
	Proxies int
	// Conditions are the conditions of every member at the start.
	Conditions group.Conditions
	// Options are passed to the service of every proxy.
	Options []service.Option
	// Keys holds the TLS configurations of every proxy. Its operators' token is
	// replaced by OperatorToken.
	Keys keyring.Keyring
}

// Cluster is a running system. Start it with Start.
type Cluster struct {
	plan  Plan
	tasks *task.Group
	// Store is the key-value service and host list of the simulated platform.
	Store *platform.Store
	// Groups are the simulated database groups, in the order of the workload.
	Groups []*group.Group
	// Proxies are the proxies by index; nil for one that does not run.
	Proxies []*Proxy
	// platformAddress is the host and port of the simulated platform.
	platformAddress string
	// mutex guards Proxies. No other lock is taken while it is held.
	mutex sync.Mutex
}

// Proxy is one proxy of a cluster.
type Proxy struct {
	Name    string
	Service *service.Service
	// stop ends the proxy at once.
	stop context.CancelFunc
	// done is closed when the proxy has ended.
	done chan struct{}
}

// Start starts a cluster and waits until every proxy is ready and every group is
// served. It fails if a part can't be started, or the wait takes longer than
// readyTimeout (15 seconds).
func Start(ctx context.Context, p Plan) (*Cluster, error) {
	c := &Cluster{plan: p, tasks: task.New(ctx), Store: platform.NewStore()}
	address, err := platform.Start(c.tasks, c.Store, anyPort)
	if err != nil {
		return nil, err
	}
	c.platformAddress = address
	layout := group.Layout{Slots: p.Workload.Slots, Connections: p.Workload.Connections}
	for i, name := range p.Workload.Groups {
		layout.DataCentres = nil
		for k := range membersPerGroup {
			layout.DataCentres = append(layout.DataCentres, p.Workload.DataCentres[(i+k)%len(p.Workload.DataCentres)])
		}
		g, err := group.Start(c.tasks, name, layout, p.Conditions)
		if err != nil {
			return nil, err
		}
		c.Groups = append(c.Groups, g)
	}
	if _, err := c.Store.Swap(ctx, &generated.SwapPayload{
		Key: fleet.ConfigurationKey, Value: p.Workload.Configuration, ChangeID: "lab",
	}); err != nil {
		return nil, errors.WithStack(err)
	}
	for i := range p.Proxies {
		c.Proxies = append(c.Proxies, nil)
		if err := c.StartProxy(i); err != nil {
			return nil, err
		}
	}
	return c, c.awaitAllServed(ctx)
}

// membersPerGroup is the number of members in every group.
const membersPerGroup = 3

// StartProxy starts the proxy with the index, for the first time or after Kill or
// Drain. It does not wait until the proxy is ready.
func (c *Cluster) StartProxy(i int) error {
	name := fmt.Sprintf("proxy-%d", i+1)
	ctx, stop := context.WithCancel(c.tasks.Context())
	keys := c.plan.Keys
	keys.OperatorToken = OperatorToken
	instance, err := service.New(ctx, settings.Settings{
		Name:       name,
		DataCentre: c.plan.Workload.DataCentres[i%len(c.plan.Workload.DataCentres)],
		Listen:     settings.Listen{Postgres: anyPort, HTTP: anyPort, Operator: anyPort, Sibling: anyPort},
		Platform:   settings.Platform{Address: c.platformAddress},
		Siblings:   c.siblings(),
		Endpoints:  settings.Endpoints{User: "eelgrassladder"},
	}, keys, c.plan.Options...)
	if err != nil {
		stop()
		return err
	}
	p := &Proxy{Name: name, Service: instance, stop: stop, done: make(chan struct{})}
	c.mutex.Lock()
	c.Proxies[i] = p
	c.mutex.Unlock()
	// Publish the host list before the proxy reads it for the first time: with an
	// empty list the proxy would refuse every database until it reads again.
	c.PublishHostList()
	c.tasks.GoIsolated(name, func(context.Context) {
		defer close(p.done)
		_ = instance.Run(ctx)
	})
	return nil
}

// siblings returns the addresses on which the running proxies serve other proxies.
func (c *Cluster) siblings() []string {
	var addresses []string
	for _, p := range c.proxiesByIndex() {
		if p != nil {
			addresses = append(addresses, p.Service.Addresses().Sibling)
		}
	}
	return addresses
}

// Kill ends a proxy at once, as a crash of its process does, and returns when it
// has ended. It returns false if the proxy does not run.
func (c *Cluster) Kill(i int) bool {
	p := c.takeProxy(i)
	if p == nil {
		return false
	}
	p.stop()
	<-p.done
	return true
}

// takeProxy replaces the proxy with the index by nil and returns it; nil if it does not
// run.
func (c *Cluster) takeProxy(i int) *Proxy {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.Proxies[i]
	c.Proxies[i] = nil
	return p
}

// proxiesByIndex returns a copy of Proxies, with nil for a proxy that does not run.
func (c *Cluster) proxiesByIndex() []*Proxy {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.Proxies)
}

// Drain shuts a proxy down gracefully and returns when it has ended. It does nothing if
// the proxy does not run.
func (c *Cluster) Drain(ctx context.Context, i int) {
	p := c.proxiesByIndex()[i]
	if p == nil {
		return
	}
	p.Service.Shutdown(ctx)
	<-p.done
	c.takeProxy(i)
}

// PublishHostList publishes a host list of the running proxies and all members.
func (c *Cluster) PublishHostList() { c.PublishHostListLeaving(nil) }

// PublishHostListLeaving publishes a host list of the running proxies and all members,
// which marks the members with these names as leaving.
func (c *Cluster) PublishHostListLeaving(leaving map[string]bool) {
	list := &generated.HostList{Proxies: []*generated.ListedProxy{}, Endpoints: []*generated.ListedEndpoint{}}
	for i, p := range c.proxiesByIndex() {
		if p == nil {
			continue
		}
		list.Proxies = append(list.Proxies, &generated.ListedProxy{
			Name: p.Name, DataCentre: c.plan.Workload.DataCentres[i%len(c.plan.Workload.DataCentres)],
			Address: p.Service.Addresses().Sibling,
		})
	}
	for _, g := range c.Groups {
		for _, m := range g.HostListEntries() {
			list.Endpoints = append(list.Endpoints, &generated.ListedEndpoint{
				Name: m.Name, Group: g.Name(), DataCentre: m.DataCentre, Address: m.Address,
				Leaving: leaving[m.Name], Slots: m.Slots, Connections: m.Connections,
			})
		}
	}
	c.Store.SetHosts(list)
}

// awaitAllServed waits until allServed reports true. It fails after readyTimeout, or
// when ctx ends.
func (c *Cluster) awaitAllServed(ctx context.Context) error {
	end := time.Now().Add(readyTimeout)
	for time.Now().Before(end) && ctx.Err() == nil {
		if c.allServed() {
			return nil
		}
		timer.Sleep(ctx, 5*time.Millisecond)
	}
	return errors.Errorf("wait for the cluster: not every proxy is ready or not every group is served after %v, or when the context ended", readyTimeout)
}

// allServed reports whether every proxy is ready and sees all others as live, and
// every group has an owner that knows the term of its primary.
func (c *Cluster) allServed() bool {
	served := 0
	running := 0
	for _, p := range c.proxiesByIndex() {
		if p == nil {
			continue
		}
		running++
		if !p.Service.Ready() {
			return false
		}
		for _, o := range p.Service.Owners() {
			if _, term, _ := o.Observations(); term != 0 {
				served++
			}
		}
	}
	for _, p := range c.proxiesByIndex() {
		if p != nil && p.Service.LiveProxies() != running {
			return false
		}
	}
	return served == len(c.Groups)
}

// AwaitServed waits until every running proxy is ready and every group is served.
// It fails after readyTimeout (15 seconds), or when ctx ends.
func (c *Cluster) AwaitServed(ctx context.Context) error { return c.awaitAllServed(ctx) }

// Owner returns the index of the proxy that owns the group with a name, or -1 if none
// does.
func (c *Cluster) Owner(name string) int {
	for i, p := range c.proxiesByIndex() {
		if p == nil {
			continue
		}
		for _, o := range p.Service.Owners() {
			if o.Group().Name == name {
				return i
			}
		}
	}
	return -1
}

// Addresses returns the PostgreSQL addresses of the proxies to which a load
// balancer would send callers: those that are ready, or all that run if none is
// ready.
func (c *Cluster) Addresses() []string {
	var ready, all []string
	for _, p := range c.proxiesByIndex() {
		if p == nil {
			continue
		}
		all = append(all, p.Service.Addresses().Postgres)
		if p.Service.Ready() {
			ready = append(ready, p.Service.Addresses().Postgres)
		}
	}
	if len(ready) == 0 {
		return all
	}
	return ready
}

// Stop ends the cluster and returns when all its tasks have ended.
func (c *Cluster) Stop() {
	c.tasks.Stop()
	_ = c.tasks.Wait()
}
