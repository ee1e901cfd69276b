// Package node joins the parts of one proxy process on the users' platform.
package node

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/host/failover"
	"eelgrassladder.example/eelgrassladder/internal/host/gateway"
	"eelgrassladder.example/eelgrassladder/internal/host/gossip"
	"eelgrassladder.example/eelgrassladder/internal/host/healthcheck"
	"eelgrassladder.example/eelgrassladder/internal/host/proof"
	"eelgrassladder.example/eelgrassladder/internal/host/settings"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/host/watch"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/peer/sibling"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

const (
	// drainTime is how long a process that was told to stop goes on taking
	// work: the platform's balancer sends new sessions until its second
	// readiness probe in a row has failed, a second apart.
	drainTime = 2300 * time.Millisecond
	// leavePace is how often a leaving process looks whether it is done.
	leavePace = 20 * time.Millisecond
	// graceMargin is kept of the time before the process is killed.
	graceMargin = 400 * time.Millisecond
	// garbagePercent trades memory for processor time; the heap is small.
	garbagePercent = 200
)

// Frontend serves clients.
type Frontend interface {
	Serve(ctx context.Context, l net.Listener) error
	// Drain takes no new clients and makes sessions end as soon as they are
	// idle.
	Drain()
	// Connections returns the number of open connections.
	Connections() int
}

// Instruments shows what a process takes to be in force, and how old it is, and
// counts changes of primary.
type Instruments interface {
	failover.Observer
	RegisterGauges(version, clients func() float64, leads func() map[string]leader.State, now func() time.Duration)
}

// Dependencies are what the process needs of the platform.
type Dependencies struct {
	Store     eelgrassladder.KeyValue
	Promoter  eelgrassladder.Promoter
	Connector eelgrassladder.Connector
	Registry  Registry
	Clock     eelgrassladder.Clock
	Observer  gateway.Observer
	// Measures shows what the process takes to be in force, and counts changes
	// of primary.
	Measures Instruments
	// Front returns the clients' front end of a gateway.
	Front func(*gateway.Gateway, eelgrassladder.Timer, *task.Group) Frontend
	// Readiness returns the handler of the readiness probe.
	Readiness func(ready func() bool) http.Handler
	// Metrics serves counters and latency histograms.
	Metrics http.Handler
}

// Node is one proxy process. Use New, then Run.
type Node struct {
	settings settings.Node
	// listeners are open before Run, so that no client finds a closed door.
	listeners listeners
	parts     Dependencies
	timer     *timer.Service
	tasks     *task.Group
	table     *scheduler.Table
	gateway   *gateway.Gateway
	prober    *proof.Prober
	gossip    *gossip.Gossip
	keeper    *failover.Controller
	checkup   *healthcheck.Checker
	front     Frontend
	beliefs   *beliefs
	// listed is true once the store was read for the first time.
	listed atomic.Bool
	// registered is true while the store lists this proxy, and lease is that
	// of the entry; zero for none.
	registered atomic.Bool
	lease      atomic.Uint64
	// leaving is true once the process was told to stop.
	leaving atomic.Bool
}

// New opens the listeners of a process and joins its parts. Run starts them.
func New(s settings.Node, p Dependencies) (*Node, error) {
	opened, err := listen(s)
	if err != nil {
		return nil, err
	}
	n := &Node{listeners: opened, settings: s, parts: p, timer: timer.New(), tasks: task.New(context.Background()), beliefs: newBeliefs(s.Name, p.Registry, p.Clock)}
	n.table = scheduler.New(n.timer, p.Clock, s.DataCentre)
	n.gateway = gateway.New(n.timer, p.Clock, n.table, p.Connector, n.beliefs, p.Observer, n.tasks)
	dialer := control.NewDialer(n.timer, n.table, p.Connector)
	records := ledger{beliefs: n.beliefs, store: p.Store}
	n.prober = proof.New(n.timer, p.Clock, n.table, dialer, records, n.tasks, func(group string) []topology.Endpoint {
		return n.beliefs.Endpoints().Group(group)
	})
	n.beliefs.changed = n.lead
	n.keeper = failover.New(s.Name, n.timer, p.Clock, n.table, dialer, p.Store, p.Promoter, records, n.tasks, p.Measures)
	n.checkup = healthcheck.New(n.timer, n.table, dialer, n.tasks)
	n.gossip = gossip.New(n.timer, p.Clock, n.table, sibling.NewClient(), n.beliefs)
	n.table.OnProofNeeded(n.prober.Probe)
	n.front = p.Front(n.gateway, n.timer, n.tasks)
	p.Measures.RegisterGauges(
		func() float64 { return float64(n.beliefs.Routes().Version) },
		func() float64 { return float64(n.front.Connections()) }, n.leads, p.Clock.SinceBoot)
	return n, nil
}

// leads returns what is known of all primaries.
func (n *Node) leads() map[string]leader.State {
	all := map[string]leader.State{}
	for group := range n.beliefs.Groups() {
		all[group] = n.table.Leader(group)
	}
	return all
}

// Callers returns the address that clients connect to.
func (n *Node) Callers() string { return n.listeners.callers.Addr().String() }

// Metrics returns the address that metrics are served at.
func (n *Node) Metrics() string { return n.listeners.metrics.Addr().String() }

// Run runs the process until it has left after stopping has ended.
func (n *Node) Run(stopping context.Context) error {
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(n.settings.MemoryMegabytes) << 20 / 2)
	n.tasks.Go("siblings", func(ctx context.Context) error {
		return sibling.NewServer(n.gossip.Answer).Serve(ctx, n.listeners.siblings)
	})
	n.tasks.Go("gossip", n.gossip.Run)
	n.tasks.Go("timer", n.timer.Run)
	n.gateway.Start()
	n.tasks.Go("store", watch.New(n.parts.Store, n.timer, "", &follower{node: n, proxies: map[string]string{}},
		func() int { return len(n.beliefs.Proxies()) + 1 }).Run)
	n.tasks.Go("primaries", n.keeper.Run)
	n.tasks.Go("checkup", n.checkup.Run)
	n.tasks.Go("registration", n.register)
	n.tasks.Go("clients", func(ctx context.Context) error { return n.front.Serve(ctx, n.listeners.callers) })
	n.tasks.Go("readiness", func(ctx context.Context) error { return serve(ctx, n.listeners.readiness, n.parts.Readiness(n.Ready)) })
	n.tasks.Go("metrics", func(ctx context.Context) error { return serve(ctx, n.listeners.metrics, n.parts.Metrics) })
	n.tasks.Go("stop", func(ctx context.Context) error { return n.awaitStop(ctx, stopping) })
	klog.InfoS("Proxy started", "Proxy", n.settings.Name, "DataCentre", n.settings.DataCentre)
	err := n.tasks.Wait()
	klog.InfoS("Proxy stopped", "Proxy", n.settings.Name)
	return err
}

// Ready reports whether clients may be sent here.
func (n *Node) Ready() bool {
	return n.listed.Load() && !n.leaving.Load() && n.beliefs.Routes().Version > 0
}

// serve answers HTTP requests until ctx ends.
func serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return nil
}

// awaitStop leaves gracefully once stopping has ended.
func (n *Node) awaitStop(ctx, stopping context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-stopping.Done():
	}
	n.leaving.Store(true)
	klog.InfoS("Proxy is leaving", "Proxy", n.settings.Name, "Clients", n.front.Connections())
	grace := n.settings.Grace()
	end := n.timer.Now().Add(grace - graceMargin)
	timer.Pause(ctx, n.timer, min(drainTime, grace/2))
	n.front.Drain()
	for n.front.Connections() > 0 && n.timer.Now().Before(end) {
		timer.Pause(ctx, n.timer, leavePace)
	}
	n.tasks.Stop()
	return nil
}
