// Package service joins the parts of one proxy process: its front ends, its
// owners, its fleet and its operators' interface.
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
	"eelgrassladder.example/eelgrassladder/internal/host/metrics"
	"eelgrassladder.example/eelgrassladder/internal/host/owner"
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
	"eelgrassladder.example/eelgrassladder/internal/table/members"
)

// The times of a process.
const (
	// reconcilePeriod is how often ownership is looked at without a change.
	reconcilePeriod = 50 * time.Millisecond
	// handTime bounds one offer of a group.
	handTime = 500 * time.Millisecond
	// drainTime bounds a graceful shutdown.
	drainTime = 15 * time.Second
	// drainPace is how often a shutdown looks whether it is done.
	drainPace = 10 * time.Millisecond
)

// Service is one proxy process. Use New, then Run.
type Service struct {
	settings  settings.Settings
	keys      keyring.Keyring
	admission eelgrassladder.Admission
	router    eelgrassladder.Router
	observe   func(owner.TermChange)
	// listeners are open before Run, so that no caller finds a closed door.
	listeners listeners

	// self is this proxy as it was at the start of its process.
	self     membership.Proxy
	tasks    *task.Group
	timer    *timer.Service
	metrics  *metrics.Metrics
	members  *members.Table
	versions *configurations.Table
	burn     *burn.Table
	platform *platform.Client
	links    *proxy.Links
	fleet    *fleet.Fleet
	registry *owner.Registry
	front    *caller.Frontend
	ready    atomic.Bool
}

// Option changes a Service while New makes it.
type Option func(*Service)

// WithAdmission sets the policy of admission; the default is by targets.
func WithAdmission(a eelgrassladder.Admission) Option { return func(s *Service) { s.admission = a } }

// WithRouter sets the policy of routing; the default uses replicas.
func WithRouter(r eelgrassladder.Router) Option { return func(s *Service) { s.router = r } }

// WithTermObserver sets a function that is told of each change of term.
func WithTermObserver(f func(owner.TermChange)) Option { return func(s *Service) { s.observe = f } }

// New opens the listeners of a process and joins its parts. Run starts them.
func New(ctx context.Context, s settings.Settings, k keyring.Keyring, options ...Option) (*Service, error) {
	opened, err := listen(s.Listen)
	if err != nil {
		return nil, err
	}
	made := &Service{
		settings: s, keys: k, listeners: opened,
		admission: admission.Targets{}, router: routing.Replicas{},
		tasks: task.New(ctx), timer: timer.New(), metrics: metrics.New(),
		versions: configurations.New(), burn: burn.New(time.Now()),
	}
	for _, o := range options {
		o(made)
	}
	made.join()
	return made, nil
}

// join makes the parts.
func (s *Service) join() {
	s.self = membership.Proxy{
		Name: s.settings.Name, DataCentre: s.settings.DataCentre, Address: s.listeners.sibling.Addr().String(),
		Incarnation: uint64(time.Now().UnixMicro()),
	}
	s.members = members.New(s.self)
	s.platform = platform.New(s.settings.Platform.Address, platform.WithCounter(s.metrics.PlatformCalls))
	s.links = proxy.NewLinks(s.self.Name, s.timer, s.tasks, proxy.WithTLS(s.keys.SiblingTLS))
	s.fleet = fleet.New(s.timer, s.links, s.members, s.versions,
		fleet.WithPlatform(s.platform, s.platform), fleet.WithSeeds(s.settings.Siblings))
	s.registry = owner.NewRegistry(s.self.Name, s.timer, s.tasks, s.newOwner, s.hand)
	dispatcher := dispatch.New(s.self.Name, s.timer, s.members, local{s}, s.links, s.classOf)
	options := []caller.Option{
		caller.WithTLS(s.keys.CallerTLS), caller.WithObserver(s.metrics.Answered), caller.WithGroupLookup(s.knows),
	}
	if s.settings.Limits.Connections > 0 {
		options = append(options, caller.WithConnectionLimit(s.settings.Limits.Connections))
	}
	s.front = caller.New(dispatcher, s.timer, s.versions, s.burn, s.tasks, options...)
	s.gauges()
}

// gauges shows the sizes of the bounded tables.
func (s *Service) gauges() {
	s.metrics.RegisterGauge("eelgrassladder_caller_connections", "Caller connections.", func() float64 {
		return float64(s.front.Connections())
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
		return float64(s.versions.Current().Version)
	})
	s.metrics.RegisterGauge("eelgrassladder_heartbeats", "Heartbeats sent and heard since the start.", func() float64 {
		return float64(s.fleet.HeartbeatCount())
	})
	s.metrics.RegisterGauge("eelgrassladder_proxies_live", "Proxies believed to be live.", func() float64 {
		view, _ := s.members.View()
		return float64(len(view.Live()))
	})
	s.metrics.RegisterBurnRate(func() []burn.Count { return s.burn.Counts(s.timer.Now()) })
}

// classOf finds a class in the configuration in force.
func (s *Service) classOf(name string) (class.Class, bool) { return s.versions.Current().Class(name) }

// knows reports whether the host list holds a group. Before the list was
// read, any name passes.
func (s *Service) knows(name string) bool {
	list, ok, _ := s.fleet.Hosts()
	if !ok {
		return true
	}
	_, found := list.Groups[name]
	return found
}

// newOwner returns an owner of a group that has not started.
func (s *Service) newOwner(g group.Group) *owner.Owner {
	return owner.New(s.self.Name, s.self.Incarnation, g, s.timer, s.classOf,
		owner.WithAdmission(s.admission), owner.WithRouter(s.router),
		owner.WithCredentials(endpoint.Credentials{User: s.settings.Endpoints.User, Password: s.keys.EndpointPassword}),
		owner.WithTermObserver(s.termChanged))
}

// termChanged counts a change of term and passes it on.
func (s *Service) termChanged(e owner.TermChange) {
	s.metrics.TermChanged(e.Group, e.Reason, e.Took)
	if s.observe != nil {
		s.observe(e)
	}
}

// hand offers a group to another proxy.
func (s *Service) hand(ctx context.Context, p membership.Proxy, name string, h owner.Handover) bool {
	taken, err := s.links.HandOver(ctx, p.Address, name, h, handTime)
	return err == nil && taken
}

// Run runs the process until ctx ends, or until Shutdown has finished.
func (s *Service) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.tasks.Stop)
	defer stop()
	s.tasks.Go("timer", s.timer.Run)
	s.fleet.Start(s.tasks)
	s.tasks.Go("ownership", s.reconcile)
	s.tasks.Go("callers", func(ctx context.Context) error { return s.front.Serve(ctx, s.listeners.postgres) })
	s.tasks.Go("siblings", func(ctx context.Context) error {
		return ignoreEnd(ctx, proxy.NewServer(local{s}, s.timer, s.tasks).Serve(ctx, s.listeners.sibling, s.keys.SiblingTLS))
	})
	s.serveWeb()
	klog.InfoS("Proxy started", "Proxy", s.settings.Name, "DataCentre", s.settings.DataCentre,
		"Postgres", s.listeners.postgres.Addr().String(), "Sibling", s.listeners.sibling.Addr().String())
	return s.tasks.Wait()
}

// ignoreEnd drops an error that only says that the process ends.
func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// reconcile keeps the owned groups in step with the view and the host list.
func (s *Service) reconcile(ctx context.Context) error {
	tick := s.timer.Subscribe(reconcilePeriod)
	defer tick.Stop()
	for {
		view, viewChanged := s.members.View()
		list, ok, listChanged := s.fleet.Hosts()
		if ok {
			s.registry.SetGroups(list)
		}
		if ok && s.fleet.Bootstrapped() {
			s.registry.Reconcile(view, list)
			s.ready.Store(s.versions.Current().Version > 0)
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

// Shutdown leaves gracefully: it tells the others, hands its groups over,
// finishes what is in flight, closes idle callers and then ends Run.
func (s *Service) Shutdown(ctx context.Context) {
	klog.InfoS("Proxy leaving", "Proxy", s.settings.Name)
	s.ready.Store(false)
	s.fleet.Leave()
	end := s.timer.Now().Add(drainTime)
	for s.registry.Len() > 0 && s.LiveProxies() > 0 && s.timer.Now().Before(end) && ctx.Err() == nil {
		timer.Pause(ctx, s.timer, drainPace)
	}
	s.front.Drain()
	_ = s.listeners.postgres.Close()
	for s.front.Connections() > 0 && s.timer.Now().Before(end) && ctx.Err() == nil {
		timer.Pause(ctx, s.timer, drainPace)
	}
	klog.InfoS("Proxy left", "Proxy", s.settings.Name, "Groups", s.registry.Len(), "Callers", s.front.Connections())
	s.tasks.Stop()
}

// Addresses tells where the process listens.
func (s *Service) Addresses() settings.Listen {
	return settings.Listen{
		Postgres: s.listeners.postgres.Addr().String(),
		HTTP:     s.listeners.http.Addr().String(),
		Operator: s.listeners.operator.Addr().String(),
		Sibling:  s.listeners.sibling.Addr().String(),
	}
}

// Owners tells the groups that this proxy owns.
func (s *Service) Owners() []*owner.Owner { return s.registry.All() }

// Ready reports whether the proxy serves with a configuration.
func (s *Service) Ready() bool { return s.ready.Load() }

// Version returns the version of the configuration in force here.
func (s *Service) Version() uint64 { return s.versions.Current().Version }

// LiveProxies returns how many proxies are believed to be live.
func (s *Service) LiveProxies() int {
	view, _ := s.members.View()
	return len(view.Live())
}

// listeners are the open listeners of a process.
type listeners struct {
	postgres, http, operator, sibling net.Listener
}

// listen opens all listeners, or none.
func listen(l settings.Listen) (listeners, error) {
	var opened []net.Listener
	for _, address := range []string{l.Postgres, l.HTTP, l.Operator, l.Sibling} {
		one, err := net.Listen("tcp", address)
		if err != nil {
			for _, o := range opened {
				_ = o.Close()
			}
			return listeners{}, errors.WithStack(err)
		}
		opened = append(opened, one)
	}
	return listeners{postgres: opened[0], http: opened[1], operator: opened[2], sibling: opened[3]}, nil
}

// local is this proxy as other proxies and its own dispatcher see it.
type local struct{ service *Service }

// Run runs a request if this proxy owns its group.
func (l local) Run(ctx context.Context, r request.Request) request.Answer {
	return l.service.registry.Run(ctx, r)
}

// Forward runs a request of this proxy's own callers.
func (l local) Forward(ctx context.Context, r request.Request) (request.Answer, bool) {
	return l.service.registry.Run(ctx, r), true
}

// Release gives up a pinned transaction.
func (l local) Release(name string, pin uint64) { l.service.registry.Release(name, pin) }

// HandleHeartbeat takes a heartbeat and returns the one that answers it.
func (l local) HandleHeartbeat(b proxy.Heartbeat) proxy.Heartbeat {
	return l.service.fleet.HandleHeartbeat(b)
}

// TakeOver takes over a group and reports whether it did.
func (l local) TakeOver(name string, h owner.Handover) bool {
	return l.service.registry.TakeOver(name, h)
}
