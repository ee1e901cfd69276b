package service

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	goahttp "goa.design/goa/v3/http"

	operatorserver "eelgrassladder.example/eelgrassladder/gen/http/operator/server"
	workserver "eelgrassladder.example/eelgrassladder/gen/http/work/server"
	generated "eelgrassladder.example/eelgrassladder/gen/operator"
	"eelgrassladder.example/eelgrassladder/gen/work"
	"eelgrassladder.example/eelgrassladder/internal/host/listener"
	"eelgrassladder.example/eelgrassladder/internal/peer/caller"
	"eelgrassladder.example/eelgrassladder/internal/peer/operator"
	"eelgrassladder.example/eelgrassladder/internal/policy/ownership"
)

// The limits of HTTP requests.
const (
	headerTimeout  = 10 * time.Second
	maxBodyBytes   = 8 << 20
	maxHeaderBytes = 16 << 10
	// readTimeout bounds the reading of a request, and answerTimeout the time from the end of
	// its header to the end of its answer. The longest timeout of a class is below a minute.
	readTimeout   = 30 * time.Second
	answerTimeout = 90 * time.Second
	idleTimeout   = 2 * time.Minute
	// bodyCopies is how often each byte of a request is counted: it is decoded from a buffer
	// that grows by doubling, and encoded for an endpoint.
	bodyCopies = 4
)

// serveWeb serves HTTP on two listeners: one for callers, and one for
// operators, metrics and health.
func (s *Service) serveWeb() {
	callerMux := goahttp.NewMuxer()
	callerMethods := work.NewEndpoints(caller.NewHTTPFrontend(s.frontend))
	workserver.Mount(callerMux, workserver.New(callerMethods, callerMux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil))
	s.serveHTTP("callers over HTTP", s.listeners.http, s.frontend.ChargeRequests(callerMux))

	apiMux := goahttp.NewMuxer()
	service := operator.New(s.keys.OperatorToken, s.settings.DataCentre, s.platform, s.timer, s.configurations, s.fleet, s.observedGroups, s.burn)
	operatorMethods := generated.NewEndpoints(service)
	operatorserver.Mount(apiMux, operatorserver.New(operatorMethods, apiMux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil))
	operatorMux := http.NewServeMux()
	operatorMux.Handle("/", apiMux)
	operatorMux.Handle("/metrics", promhttp.HandlerFor(s.metrics.Registry, promhttp.HandlerOpts{}))
	operatorMux.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	operatorMux.HandleFunc("/readyz", s.serveReady)
	s.serveHTTP("operators", s.listeners.operator, operatorMux)
}

// serveHTTP starts to serve a handler on the listener, in a task with the given
// name.
func (s *Service) serveHTTP(name string, l net.Listener, h http.Handler) {
	server := &http.Server{
		Handler: http.MaxBytesHandler(h, maxBodyBytes), ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
		WriteTimeout: answerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	bounded := listener.NewCharged(s.bounded(name, l), s.callers, listener.Bounds{Copies: bodyCopies})
	s.tasks.Go(name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
			return errors.WithStack(err)
		}
		return ctx.Err()
	})
}

// serveReady answers the readiness probe.
func (s *Service) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("not ready\n"))
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// observedGroups describes the groups of the host list: the owner of each, and
// the term, primary and members of those that this proxy owns.
func (s *Service) observedGroups() []*generated.ObservedGroup {
	view, _ := s.proxies.View()
	list, _, _ := s.fleet.Hosts()
	var groups []*generated.ObservedGroup
	for name := range list.Groups {
		described := &generated.ObservedGroup{Name: name, Members: []*generated.ObservedMember{}}
		if p, ok := ownership.Owner(view, name); ok {
			described.Owner = p.Name
		}
		if o := s.registry.Find(name); o != nil {
			members, term, primary := o.Observations()
			described.Term, described.Primary, described.Serving = term, primary, term != 0
			for _, m := range members {
				described.Members = append(described.Members, &generated.ObservedMember{
					Name: m.Member.Name, DataCentre: m.Member.DataCentre, Role: string(m.Progress.Role),
					Term: m.Progress.Term, Received: m.Progress.Received, Applied: m.Progress.Applied,
					Reachable: m.Reachable, Leaving: m.Member.Leaving,
				})
			}
		}
		groups = append(groups, described)
	}
	return groups
}
