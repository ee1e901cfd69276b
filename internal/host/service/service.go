// Package service assembles one proxy process from its components: the front
// ends for callers, the owners of groups, the fleet and the operators'
// interface. It runs the process and shuts it down gracefully.
package service

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/dispatch"
	"eelgrassladder.example/eelgrassladder/internal/host/fleet"
	"eelgrassladder.example/eelgrassladder/internal/host/keyring"
	"eelgrassladder.example/eelgrassladder/internal/host/listener"
	"eelgrassladder.example/eelgrassladder/internal/host/metrics"
	"eelgrassladder.example/eelgrassladder/internal/host/owner"
	"eelgrassladder.example/eelgrassladder/internal/host/refusal"
	"eelgrassladder.example/eelgrassladder/internal/host/settings"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/class"
	"eelgrassladder.example/eelgrassladder/internal/model/group"
	"eelgrassladder.example/eelgrassladder/internal/model/membership"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/peer/caller"
	"eelgrassladder.example/eelgrassladder/internal/peer/endpoint"
	"eelgrassladder.example/eelgrassladder/internal/peer/platform"
	"eelgrassladder.example/eelgrassladder/internal/peer/proxy"
	"eelgrassladder.example/eelgrassladder/internal/policy/admission"
	"eelgrassladder.example/eelgrassladder/internal/policy/routing"
	"eelgrassladder.example/eelgrassladder/internal/table/burn"
	"eelgrassladder.example/eelgrassladder/internal/table/configurations"
	"eelgrassladder.example/eelgrassladder/internal/table/proxies"
)

// The timing of a process.
const (
	// reconcilePeriod is the interval at which ownership is reconciled without
	// a change of the view or the host list, because waits for handovers time
	// out and a new proxy becomes bootstrapped.
	reconcilePeriod = 50 * time.Millisecond
	// handoverCallTimeout bounds one offer of a group to another proxy. The
	// registry repeats offers.
	handoverCallTimeout = 500 * time.Millisecond
	// shutdownTimeout bounds a graceful shutdown.
	shutdownTimeout = 15 * time.Second
	// shutdownPollPeriod is the interval at which a shutdown checks its
	// progress.
	shutdownPollPeriod = 10 * time.Millisecond
)

// Service is one proxy process. Use New to create it, then Run.
type Service struct {
	settings     settings.Settings
	keys         keyring.Keyring
	admission    eelgrassladder.Admission
	router       eelgrassladder.Router
	onTermChange func(owner.TermChange)
	// listeners are opened in New, so that connections made before Run are
	// accepted by it.
	listeners listeners

	// self describes this proxy as it started. The table of proxies has its current
	// State.
	self           membership.Proxy
	tasks          *task.Group
	timer          *timer.Service
	metrics        *metrics.Metrics
	proxies        *proxies.Table
	configurations *configurations.Table
	burn           *burn.Table
	platform       *platform.Client
	links          *proxy.Links
	fleet          *fleet.Fleet
	registry       *owner.Registry
	frontend       *caller.Frontend
	// callers limits what callers hold in memory, and peers what other proxies do.
	callers, peers eelgrassladder.Budget
	ready          atomic.Bool
	// leaving is true once Shutdown was called; the process is not ready again then.
	leaving atomic.Bool
}

// Option configures a Service in New.
type Option func(*Service)

// WithAdmission sets the admission policy. The default is admission.Targets.
func WithAdmission(a eelgrassladder.Admission) Option { return func(s *Service) { s.admission = a } }

// WithRouter sets the routing policy. The default is routing.Replicas.
func WithRouter(r eelgrassladder.Router) Option { return func(s *Service) { s.router = r } }

// WithTermObserver sets a function that is called after each change of term.
func WithTermObserver(f func(owner.TermChange)) Option {
	return func(s *Service) { s.onTermChange = f }
}

// New opens the listeners of a process and creates its components. Run starts
// them.
func New(ctx context.Context, s settings.Settings, k keyring.Keyring, options ...Option) (*Service, error) {
	opened, err := listen(s.Listen)
	if err != nil {
		return nil, err
	}
	created := &Service{
		settings: s, keys: k, listeners: opened,
		admission: admission.Targets{}, router: routing.Replicas{},
		tasks: task.New(ctx), timer: timer.New(), metrics: metrics.New(),
		configurations: configurations.New(), burn: burn.New(time.Now()),
	}
	for _, o := range options {
		o(created)
	}
	created.createComponents()
	return created, nil
}

// createComponents creates the components and connects them.
func (s *Service) createComponents() {
	s.self = membership.Proxy{
		Name: s.settings.Name, DataCentre: s.settings.DataCentre, Address: s.listeners.sibling.Addr().String(),
		Incarnation: uint64(time.Now().UnixMicro()),
	}
	s.proxies = proxies.New(s.self)
	s.platform = platform.New(s.settings.Platform.Address, platform.WithCounter(s.metrics.PlatformCalls))
	s.links = proxy.NewLinks(s.self.Name, s.timer, s.tasks, proxy.WithTLS(s.keys.SiblingTLS))
	s.fleet = fleet.New(s.timer, s.links, s.proxies, s.configurations,
		fleet.WithPlatform(s.platform, s.platform), fleet.WithSeeds(s.settings.Siblings))
	s.registry = owner.NewRegistry(s.self.Name, s.timer, s.tasks, s.newOwner, s.sendHandover)
	dispatcher := dispatch.New(s.self.Name, s.timer, s.proxies, localProxy{s}, s.links, s.classOf)
	s.createBudgets()
	options := []caller.Option{
		caller.WithBudget(s.callers), caller.WithRefusals(refusal.NewLog(s.metrics.ClientRefused)),
		caller.WithTLS(s.keys.CallerTLS), caller.WithObserver(s.metrics.Answered), caller.WithGroupLookup(s.knownGroup),
	}
	if s.settings.Limits.Connections > 0 {
		options = append(options, caller.WithConnectionLimit(s.settings.Limits.Connections))
	}
	if s.settings.Limits.Descriptors > 0 {
		options = append(options, caller.WithOpenLimit(s.settings.Limits.Descriptors/2))
	}
	s.frontend = caller.New(dispatcher, s.timer, s.configurations, s.burn, s.tasks, options...)
	s.registerGauges()
}

// registerGauges registers the metrics that are computed at each scrape: gauges
// for the sizes of the tables, the configuration version, the heartbeats and the
// live proxies, and the burn rates.
func (s *Service) registerGauges() {
	s.metrics.RegisterGauge("eelgrassladder_caller_connections", "Caller connections.", func() float64 {
		return float64(s.frontend.Connections())
	})
	s.metrics.RegisterGauge("eelgrassladder_groups_owned", "Groups that this proxy owns.", func() float64 {
		return float64(s.registry.Len())
	})
	s.metrics.RegisterGauge("eelgrassladder_requests_waiting", "Requests that wait for a slot here.", func() float64 {
		waiting := 0
		for _, o := range s.registry.All() {
			waiting += o.Waiting()
		}
		return float64(waiting)
	})
	s.metrics.RegisterGauge("eelgrassladder_configuration_version", "Version of the configuration in force.", func() float64 {
		return float64(s.configurations.Current().Version)
	})
	s.metrics.RegisterGauge("eelgrassladder_heartbeats", "Heartbeats sent and heard since the start.", func() float64 {
		return float64(s.fleet.HeartbeatCount())
	})
	s.metrics.RegisterGauge("eelgrassladder_proxies_live", "Proxies believed to be live.", func() float64 {
		view, _ := s.proxies.View()
		return float64(len(view.Live()))
	})
	s.metrics.RegisterBurnRate(func() []burn.Count { return s.burn.Counts(s.timer.Now()) })
}

// classOf returns the class with a name in the current configuration, and false
// if there is none.
func (s *Service) classOf(name string) (class.Class, bool) {
	return s.configurations.Current().Class(name)
}

// knownGroup reports whether the host list has the group. It is true for any
// name while no host list has been read.
func (s *Service) knownGroup(name string) bool {
	list, ok, _ := s.fleet.Hosts()
	if !ok {
		return true
	}
	_, listed := list.Groups[name]
	return listed
}

// newOwner returns an owner of the group that is not started.
func (s *Service) newOwner(g group.Group) *owner.Owner {
	return owner.New(s.self.Name, s.self.Incarnation, g, s.timer, s.classOf,
		owner.WithAdmission(s.admission), owner.WithRouter(s.router),
		owner.WithCredentials(endpoint.Credentials{User: s.settings.Endpoints.User, Password: s.keys.EndpointPassword}),
		owner.WithTermObserver(s.termChanged))
}

// termChanged records a change of term in the metrics, and calls the observer if
// one was set.
func (s *Service) termChanged(c owner.TermChange) {
	s.metrics.TermChanged(c.Group, c.Reason, c.Took)
	if s.onTermChange != nil {
		s.onTermChange(c)
	}
}

// sendHandover offers a group to another proxy and reports whether that proxy
// took it over.
func (s *Service) sendHandover(ctx context.Context, p membership.Proxy, name string, h owner.Handover) bool {
	taken, err := s.links.HandOver(ctx, p.Address, name, h, handoverCallTimeout)
	return err == nil && taken
}

// Run runs the process until ctx ends, Shutdown has finished or a component
// fails.
func (s *Service) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.tasks.Stop)
	defer stop()
	s.limitMemory()
	s.tasks.Go("timer", s.timer.Run)
	s.fleet.Start(s.tasks)
	s.tasks.Go("ownership", s.reconcile)
	s.tasks.Go("callers", func(ctx context.Context) error { return s.frontend.Serve(ctx, s.listeners.postgres) })
	siblings := listener.NewCharged(s.bounded("siblings", s.listeners.sibling), s.peers, siblingBounds)
	s.tasks.Go("siblings", func(ctx context.Context) error {
		return ignoreShutdown(ctx, proxy.NewServer(localProxy{s}, s.timer, s.tasks).Serve(ctx, siblings, s.keys.SiblingTLS))
	})
	s.serveWeb()
	klog.InfoS("Proxy started", "Proxy", s.settings.Name, "DataCentre", s.settings.DataCentre,
		"Postgres", s.listeners.postgres.Addr().String(), "Sibling", s.listeners.sibling.Addr().String())
	return s.tasks.Wait()
}

// ignoreShutdown returns nil if ctx has ended, because a server that is shut
// down returns an error.
func ignoreShutdown(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// reconcile updates the owned groups after each change of the view or the host
// list, and periodically.
func (s *Service) reconcile(ctx context.Context) error {
	tick := s.timer.Subscribe(reconcilePeriod)
	defer tick.Stop()
	for {
		view, viewChanged := s.proxies.View()
		list, ok, listChanged := s.fleet.Hosts()
		if ok {
			s.registry.SetGroups(list)
		}
		if ok && s.fleet.Bootstrapped() {
			s.registry.Reconcile(view, list)
			s.ready.Store(s.configurations.Current().Version > 0 && !s.leaving.Load())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-viewChanged:
		case <-listChanged:
		case <-tick.C():
		}
	}
}

// Shutdown leaves gracefully: it announces that this proxy leaves, waits until
// its groups are handed over and its callers' connections are closed, and ends
// Run. It waits at most shutdownTimeout in all, and does not wait for handovers
// if no other proxy is live.
func (s *Service) Shutdown(ctx context.Context) {
	klog.InfoS("Proxy leaving", "Proxy", s.settings.Name)
	s.leaving.Store(true)
	s.ready.Store(false)
	s.fleet.Leave()
	deadline := s.timer.Now().Add(shutdownTimeout)
	for s.registry.Len() > 0 && s.LiveProxies() > 0 && s.timer.Now().Before(deadline) && ctx.Err() == nil {
		timer.Pause(ctx, s.timer, shutdownPollPeriod)
	}
	s.frontend.Drain()
	_ = s.listeners.postgres.Close()
	for s.frontend.Connections() > 0 && s.timer.Now().Before(deadline) && ctx.Err() == nil {
		timer.Pause(ctx, s.timer, shutdownPollPeriod)
	}
	klog.InfoS("Proxy left", "Proxy", s.settings.Name, "Groups", s.registry.Len(), "Callers", s.frontend.Connections())
	s.tasks.Stop()
}

// Addresses returns the addresses that the process listens on.
func (s *Service) Addresses() settings.Listen {
	return settings.Listen{
		Postgres: s.listeners.postgres.Addr().String(),
		HTTP:     s.listeners.http.Addr().String(),
		Operator: s.listeners.operator.Addr().String(),
		Sibling:  s.listeners.sibling.Addr().String(),
	}
}

// Owners returns the owners of the groups that this proxy owns.
func (s *Service) Owners() []*owner.Owner { return s.registry.All() }

// Ready reports whether the proxy serves callers: it takes part in the ownership
// of groups, has a configuration, and is not leaving.
func (s *Service) Ready() bool { return s.ready.Load() && !s.leaving.Load() }

// ConfigurationVersion returns the version of the current configuration.
func (s *Service) ConfigurationVersion() uint64 { return s.configurations.Current().Version }

// LiveProxies returns how many proxies are live according to this proxy's view.
func (s *Service) LiveProxies() int {
	view, _ := s.proxies.View()
	return len(view.Live())
}

type listeners struct {
	postgres, http, operator, sibling net.Listener
}

// listen opens all listeners, or none.
func listen(l settings.Listen) (listeners, error) {
	var opened []net.Listener
	for _, address := range []string{l.Postgres, l.HTTP, l.Operator, l.Sibling} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, earlier := range opened {
				_ = earlier.Close()
			}
			return listeners{}, errors.WithStack(err)
		}
		opened = append(opened, listener)
	}
	return listeners{postgres: opened[0], http: opened[1], operator: opened[2], sibling: opened[3]}, nil
}

// localProxy serves requests at this proxy. Other proxies call it through the
// server for siblings, and this proxy's dispatcher calls it directly.
type localProxy struct{ service *Service }

// Run runs a request if this proxy owns its group.
func (l localProxy) Run(ctx context.Context, r request.Request) request.Answer {
	return l.service.registry.Run(ctx, r)
}

// Forward runs a request if this proxy owns its group. A call to the proxy
// itself always arrives, so sent is true.
func (l localProxy) Forward(ctx context.Context, r request.Request) (request.Answer, bool) {
	return l.service.registry.Run(ctx, r), true
}

// RollBack rolls back a pinned transaction of a group.
func (l localProxy) RollBack(groupName string, pin uint64) {
	l.service.registry.RollBack(groupName, pin)
}

// HandleHeartbeat applies a heartbeat and returns the reply.
func (l localProxy) HandleHeartbeat(h proxy.Heartbeat) proxy.Heartbeat {
	return l.service.fleet.HandleHeartbeat(h)
}

// TakeOver takes over a group and reports whether it did.
func (l localProxy) TakeOver(name string, h owner.Handover) bool {
	return l.service.registry.TakeOver(name, h)
}
