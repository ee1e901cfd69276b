// Package node runs one proxy process on the users' platform: it creates and connects the
// parts of the process, registers the proxy in the store, and drains it on shutdown.
package node

import (
	"context"
	"maps"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/host/delegation"
	"eelgrassladder.example/eelgrassladder/internal/host/failover"
	"eelgrassladder.example/eelgrassladder/internal/host/gateway"
	"eelgrassladder.example/eelgrassladder/internal/host/gossip"
	"eelgrassladder.example/eelgrassladder/internal/host/healthcheck"
	"eelgrassladder.example/eelgrassladder/internal/host/proof"
	"eelgrassladder.example/eelgrassladder/internal/host/quota"
	"eelgrassladder.example/eelgrassladder/internal/host/settings"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/host/watch"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/peer/sibling"
	policybudget "eelgrassladder.example/eelgrassladder/internal/policy/budget"
	policyquota "eelgrassladder.example/eelgrassladder/internal/policy/quota"
	"eelgrassladder.example/eelgrassladder/internal/policy/sharing"
	"eelgrassladder.example/eelgrassladder/internal/table/budget"
	tablequota "eelgrassladder.example/eelgrassladder/internal/table/quota"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

const (
	// drainTime is how long a stopping process still accepts new clients. The
	// platform's load balancer sends new sessions until two readiness probes in a
	// row, one second apart, have failed.
	drainTime = 2300 * time.Millisecond
	// drainPollInterval is how often a draining process checks whether all clients
	// have left.
	drainPollInterval = 20 * time.Millisecond
	// graceMargin is the part of the platform's grace period that is left for the
	// process to end before it is killed.
	graceMargin = 400 * time.Millisecond
	// exitTime is how long the tasks may take to end once they were stopped. Statements
	// that still run at an endpoint then do not hold the process.
	exitTime = 200 * time.Millisecond
	// gcPercent is the garbage collector's target percentage, twice the default. It
	// trades memory for processor time, because the heap is small.
	gcPercent = 200
	// goMemoryTenths is how many tenths of the process's memory the Go runtime may use
	// before it collects garbage as often as needed. The rest is for the program's text, for
	// what is allocated while the garbage is being collected, and for the kernel's buffers.
	// With 6, crowds of 200 took up to 131 of 160 MB, without the kernel's; with 5, 104.
	goMemoryTenths = 5
)

// Frontend serves clients.
type Frontend interface {
	// Serve accepts clients until ctx ends.
	Serve(ctx context.Context, l net.Listener) error
	// Drain stops accepting clients and ends each session as soon as it is idle.
	Drain()
	// Connections returns the number of open connections.
	Connections() int
}

// Instruments exports metrics of the process's state and counts changes of
// primary.
type Instruments interface {
	failover.Observer
	quota.Observer
	delegation.Observer
	// RegisterGauges exports the version of the routes, the number of clients'
	// connections, the bytes that clients hold, and the age of what is known of each group's primary. The
	// functions must be safe for concurrent use.
	RegisterGauges(version, clients, held func() float64, leaders func() map[string]leader.State, now func() time.Duration)
	// CommitsUnconfirmed counts commits that the primary of a group acknowledged between
	// the time at which its record was last known to be open and the time at which this
	// proxy learned that it is closed.
	CommitsUnconfirmed(commits int)
	// OlderRecordApplied counts a record that was applied after a newer one of its group.
	OlderRecordApplied()
	// EraLearned exports the newest known era of the store.
	EraLearned(era uint64)
}

// Dependencies are the implementations of interfaces, and the handlers, that the process
// uses.
type Dependencies struct {
	Store eelgrassladder.KeyValue
	// Eras knows the era of the store.
	Eras        eelgrassladder.Eras
	Promoter    eelgrassladder.Promoter
	Connector   eelgrassladder.Connector
	Registry    Registry
	Clock       eelgrassladder.Clock
	Observer    gateway.Observer
	Instruments Instruments
	// Quotas bounds the operations of teams; nil if they are not limited.
	Quotas *policyquota.Bounds
	// NewFrontend returns the front end that serves clients through a gateway, within a budget.
	NewFrontend func(*gateway.Gateway, eelgrassladder.Timer, *task.Group, eelgrassladder.Budget) Frontend
	// Readiness returns the handler of the readiness probe.
	Readiness func(ready func() bool) http.Handler
	// Metrics is the handler of the metrics page.
	Metrics http.Handler
}

// quotas limits the operations of teams, and lends tokens of teams to other proxies.
type quotas interface {
	eelgrassladder.Quotas
	sibling.Lender
	// Refresh applies what is known of the system.
	Refresh()
	// Start starts what runs in the background in the task group.
	Start(g *task.Group)
}

// Node is one proxy process. Use New, then Run.
type Node struct {
	settings settings.Node
	// listeners are opened by New, so that clients can connect before Run accepts.
	listeners    listeners
	dependencies Dependencies
	timer        *timer.Service
	tasks        *task.Group
	table        *scheduler.Table
	gateway      *gateway.Gateway
	delegations  *delegation.Server
	prober       *proof.Prober
	gossip       *gossip.Gossip
	controller   *failover.Controller
	checker      *healthcheck.Checker
	frontend     Frontend
	state        *clusterState
	quotas       quotas
	// clients limits what clients hold in memory, and peers what other proxies do.
	clients, peers *budget.Table
	// storeRead is true once the store has been read for the first time.
	storeRead atomic.Bool
	// registered is true while the store lists this proxy. registrationLeaseID is the
	// ID of the lease of its entry; zero before the first.
	registered          atomic.Bool
	registrationLeaseID atomic.Uint64
	// producesFrom is the boot time, in nanoseconds, from which this process produces tokens of
	// teams; zero if that is not known yet.
	producesFrom atomic.Int64
	// leaving is true once the process is stopping.
	leaving atomic.Bool
}

// New opens the listeners of a process, and creates and connects its parts. Run starts
// them.
func New(s settings.Node, d Dependencies) (*Node, error) {
	opened, err := listen(s)
	if err != nil {
		return nil, err
	}
	n := &Node{listeners: opened, settings: s, dependencies: d, timer: timer.New(), tasks: task.New(context.Background()), state: newClusterState(s.Name, d.Registry, d.Clock, d.Eras)}
	n.table = scheduler.New(n.timer, d.Clock, s.DataCentre)
	dialer := control.NewDialer(n.timer, n.table, d.Connector)
	reader := storeReader{clusterState: n.state, store: d.Store}
	n.prober = proof.New(n.timer, d.Clock, n.table, dialer, reader, n.tasks, func(group string) []topology.Endpoint {
		return n.state.Endpoints().Group(group)
	})
	n.quotas = quota.Unlimited{}
	if d.Quotas != nil {
		n.quotas = quota.New(s.Name, *d.Quotas, d.Clock, n.timer, sibling.NewLoans(n.timer), n.quotaView, d.Instruments)
	}
	delegator := delegation.NewClient(n.timer, n.tasks, &pools{clusterState: n.state, fleet: n.fleet}, openDelegation, d.Instruments)
	n.gateway = gateway.New(n.timer, d.Clock, n.table, d.Connector, n.state, n.prober, d.Observer, n.tasks, gateway.WithQuotas(n.quotas), gateway.WithDelegator(s.Name, delegator))
	n.delegations = delegation.NewServer(n.gateway, n.state, n.timer, n.tasks, d.Instruments)
	n.gateway.OnSweep(n.delegations.Sweep)
	d.Eras.OnRise(n.enterEra)
	n.state.onRecord = n.updateLeader
	n.state.onChange = n.quotas.Refresh
	n.controller = failover.New(s.Name, n.timer, d.Clock, n.table, dialer, d.Store, d.Promoter, sibling.NewClient(), reader, n.tasks, d.Instruments)
	n.checker = healthcheck.New(n.timer, n.table, dialer, n.tasks)
	n.gossip = gossip.New(n.timer, d.Clock, n.table, sibling.NewClient(), n.state)
	n.table.OnProofNeeded(n.prober.Probe)
	memory := int64(s.MemoryMegabytes) << 20
	clientLimits := policybudget.NewLimits(memory)
	if s.Clients.Megabytes > 0 {
		clientLimits = clientLimits.WithShared(int64(s.Clients.Megabytes) << 20)
	}
	n.clients, n.peers = budget.New(n.timer, clientLimits), budget.New(n.timer, policybudget.NewPeerLimits(memory))
	n.frontend = d.NewFrontend(n.gateway, n.timer, n.tasks, n.clients)
	d.Instruments.RegisterGauges(
		func() float64 { return float64(n.state.Routes().Version) },
		func() float64 { return float64(n.frontend.Connections()) },
		func() float64 { return float64(n.clients.Held()) }, n.leaders, d.Clock.SinceBoot)
	return n, nil
}

// leaders returns what is known of the primaries of all groups, by name of the
// group.
func (n *Node) leaders() map[string]leader.State {
	leaders := map[string]leader.State{}
	for group := range n.state.Groups() {
		leaders[group] = n.table.Leader(group)
	}
	return leaders
}

// fleet returns the registered proxies and this one.
func (n *Node) fleet() sharing.Fleet {
	dataCentres := maps.Clone(*n.state.dataCentres.Load())
	dataCentres[n.settings.Name] = n.settings.DataCentre
	f := sharing.NewFleet(n.settings.Name, slices.Collect(maps.Keys(n.state.Proxies()))...).
		WithDataCentres(dataCentres).WithDeparted(n.state.RecentlyDeparted())
	if n.state.Routes().HasTeams() {
		return f.WithTeams()
	}
	return f
}

// quotaView returns what the quotas of teams depend on.
func (n *Node) quotaView() tablequota.View {
	routes := n.state.Routes()
	return tablequota.View{
		Version: routes.Version, Teams: routes.Teams(), Lenders: n.state.Lenders(), ProducesFrom: time.Duration(n.producesFrom.Load()),
	}
}

// CallerAddress returns the address at which clients are served.
func (n *Node) CallerAddress() string { return n.listeners.callers.Addr().String() }

// MetricsAddress returns the address at which metrics are served.
func (n *Node) MetricsAddress() string { return n.listeners.metrics.Addr().String() }

// Run runs the process until the context stopping ends; then it drains the process and
// returns. If a part of the process fails, it stops the others and returns the error.
func (n *Node) Run(stopping context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(n.settings.MemoryMegabytes) << 20 / 10 * goMemoryTenths)
	n.tasks.Go("siblings", func(ctx context.Context) error {
		return sibling.NewServer(n.gossip, n.quotas, sibling.WithBudget(n.peers), sibling.WithDelegations(n.delegations)).Serve(ctx, n.listeners.siblings)
	})
	n.tasks.Go("gossip", n.gossip.Run)
	n.tasks.Go("timer", n.timer.Run)
	n.gateway.Start()
	n.quotas.Start(n.tasks)
	n.tasks.Go("store", watch.New(n.dependencies.Store, n.timer, n.dependencies.Clock, "", newFollower(n), n.fleet).Run)
	n.tasks.Go("failover", n.controller.Run)
	n.tasks.Go("proofs", n.prober.KeepAlive)
	n.tasks.Go("health checks", n.checker.Run)
	n.tasks.Go("registration", n.register)
	if n.dependencies.Quotas != nil {
		n.tasks.Go("fleet record", n.recordFleet)
	}
	n.tasks.Go("clients", func(ctx context.Context) error { return n.frontend.Serve(ctx, n.listeners.callers) })
	n.tasks.Go("readiness", func(ctx context.Context) error {
		return serve(ctx, n.listeners.readiness, n.dependencies.Readiness(n.Ready))
	})
	n.tasks.Go("metrics", func(ctx context.Context) error { return serve(ctx, n.listeners.metrics, n.dependencies.Metrics) })
	n.tasks.Go("stop", func(ctx context.Context) error { return n.awaitStop(ctx, stopping) })
	klog.InfoS("Proxy started", "Proxy", n.settings.Name, "DataCentre", n.settings.DataCentre)
	err := n.tasks.WaitStopped(exitTime)
	klog.InfoS("Proxy stopped", "Proxy", n.settings.Name)
	return err
}

// Ready reports whether the process can serve new clients: it has read the store, has been
// registered, without which it has no proof of a primary, knows routes, and is not stopping.
func (n *Node) Ready() bool {
	return n.storeRead.Load() && n.state.WasRegistered() && !n.leaving.Load() && n.state.Routes().Version > 0
}

// awaitStop waits until stopping ends. Then it drains the process: it gives the load
// balancer time to notice, drains the front end, and stops the tasks when all clients
// have left and the operations of other proxies have ended, or the grace period is nearly
// over. Their open transactions are rolled back after half of it.
func (n *Node) awaitStop(ctx, stopping context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-stopping.Done():
	}
	n.leaving.Store(true)
	n.delegations.Drain()
	klog.InfoS("Proxy is leaving", "Proxy", n.settings.Name, "Clients", n.frontend.Connections())
	grace, began := n.settings.Grace(), n.timer.Now()
	deadline := began.Add(grace - graceMargin)
	timer.Pause(ctx, n.timer, min(drainTime, grace/2))
	n.frontend.Drain()
	for (n.frontend.Connections() > 0 || n.delegations.Count() > 0) && n.timer.Now().Before(deadline) {
		if n.timer.Now().Sub(began) >= grace/2 {
			n.delegations.RollBackIdle()
		}
		timer.Pause(ctx, n.timer, drainPollInterval)
	}
	n.tasks.Stop()
	return nil
}
