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
	"eelgrassladder.example/eelgrassladder/internal/peer/caller"
	"eelgrassladder.example/eelgrassladder/internal/peer/operator"
	"eelgrassladder.example/eelgrassladder/internal/policy/ownership"
)

// The bounds of HTTP requests.
const (
	headerTime   = 10 * time.Second
	maxBodyBytes = 8 << 20
)

// serveWeb serves callers over HTTP, and operators.
func (s *Service) serveWeb() {
	callers := goahttp.NewMuxer()
	endpoints := work.NewEndpoints(caller.NewHTTPFrontend(s.front))
	workserver.Mount(callers, workserver.New(endpoints, callers, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil))
	s.serveHTTP("callers over HTTP", s.listeners.http, callers)

	operators := goahttp.NewMuxer()
	service := operator.New(s.keys.OperatorToken, s.settings.DataCentre, s.platform, s.timer, s.versions, s.fleet, s.observed, s.burn)
	points := generated.NewEndpoints(service)
	operatorserver.Mount(operators, operatorserver.New(points, operators, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil))
	root := http.NewServeMux()
	root.Handle("/", operators)
	root.Handle("/metrics", promhttp.HandlerFor(s.metrics.Registry, promhttp.HandlerOpts{}))
	root.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	root.HandleFunc("/readyz", s.serveReady)
	s.serveHTTP("operators", s.listeners.operator, root)
}

// serveHTTP serves a handler until the process ends.
func (s *Service) serveHTTP(name string, listener net.Listener, h http.Handler) {
	web := &http.Server{Handler: http.MaxBytesHandler(h, maxBodyBytes), ReadHeaderTimeout: headerTime}
	s.tasks.Go(name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = web.Close() })
		defer stop()
		if err := web.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.WithStack(err)
		}
		return ctx.Err()
	})
}

// serveReady answers whether the proxy serves.
func (s *Service) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("not ready\n"))
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// observed lists the groups of the host list as this proxy observes them: in
// full those that it owns, and only the owner of the others.
func (s *Service) observed() []*generated.ObservedGroup {
	view, _ := s.members.View()
	list, _, _ := s.fleet.Hosts()
	var all []*generated.ObservedGroup
	for name := range list.Groups {
		one := &generated.ObservedGroup{Name: name, Members: []*generated.ObservedMember{}}
		if p, ok := ownership.Owner(view, name); ok {
			one.Owner = p.Name
		}
		if o := s.registry.Find(name); o != nil {
			members, term, primary := o.Observed()
			one.Term, one.Primary, one.Serving = term, primary, term != 0
			for _, m := range members {
				one.Members = append(one.Members, &generated.ObservedMember{
					Name: m.Member.Name, DataCentre: m.Member.DataCentre, Role: string(m.Progress.Role),
					Term: m.Progress.Term, Received: m.Progress.Received, Applied: m.Progress.Applied,
					Reachable: m.Reachable, Leaving: m.Member.Leaving,
				})
			}
		}
		all = append(all, one)
	}
	return all
}
