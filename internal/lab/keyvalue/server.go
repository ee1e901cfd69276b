package keyvalue

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	goahttp "goa.design/goa/v3/http"

	"eelgrassladder.example/eelgrassladder/gen/cloud"
	cloudserver "eelgrassladder.example/eelgrassladder/gen/http/cloud/server"
	"eelgrassladder.example/eelgrassladder/gen/http/kv/server"
	"eelgrassladder.example/eelgrassladder/gen/kv"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
)

// readTimeout bounds how long a client may take to send its request.
const readTimeout = 10 * time.Second

// Serve answers the calls of the store on the listener until the group ends.
func (s *Store) Serve(g *task.Group, l net.Listener) {
	mux := goahttp.NewMuxer()
	server.Mount(mux, server.New(kv.NewEndpoints(s), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, errorStatus))
	serve(g, l, abortLostAnswers(mux))
}

// Promotions takes the calls of the platform that one proxy at a time makes.
type Promotions func(p *cloud.PromotePayload) error

// Promote passes a promotion on.
func (f Promotions) Promote(_ context.Context, p *cloud.PromotePayload) error { return f(p) }

// Serve answers promotions on the listener until the group ends.
func (f Promotions) Serve(g *task.Group, l net.Listener) {
	mux := goahttp.NewMuxer()
	endpoints := cloud.NewEndpoints(f)
	cloudserver.Mount(mux, cloudserver.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, errorStatus))
	serve(g, l, mux)
}

// serve runs an HTTP server until the group ends.
func serve(g *task.Group, l net.Listener, h http.Handler) {
	httpServer := &http.Server{Handler: h, ReadHeaderTimeout: readTimeout}
	g.Go("platform", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = httpServer.Close() })
		defer stop()
		if err := httpServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.WithStack(err)
		}
		return ctx.Err()
	})
}

// httpStatus is an error with the status that it is told by.
type httpStatus int

// StatusCode returns the status.
func (s httpStatus) StatusCode() int { return int(s) }

// errorStatus returns the status of an error.
func errorStatus(_ context.Context, err error) goahttp.Statuser {
	switch {
	case errors.Is(err, errNotFound):
		return httpStatus(http.StatusNotFound)
	case errors.Is(err, errCompacted):
		return httpStatus(http.StatusGone)
	case errors.Is(err, errUnavailable):
		return httpStatus(http.StatusServiceUnavailable)
	case errors.Is(err, errAnswerLost):
		return httpStatus(http.StatusTeapot)
	default:
		return httpStatus(http.StatusConflict)
	}
}

// abortLostAnswers closes the connection in place of an answer that is to be lost.
func abortLostAnswers(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&abortingWriter{ResponseWriter: w}, r)
	})
}

// abortingWriter is a writer that drops the connection of a lost answer.
type abortingWriter struct {
	http.ResponseWriter
}

// WriteHeader drops the connection for the status of a lost answer.
func (w *abortingWriter) WriteHeader(code int) {
	if code == http.StatusTeapot {
		panic(http.ErrAbortHandler)
	}
	w.ResponseWriter.WriteHeader(code)
}
