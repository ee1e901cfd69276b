package keyvalue

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	goahttp "goa.design/goa/v3/http"

	"eelgrassladder.example/eelgrassladder/gen/cloud"
	cloudserver "eelgrassladder.example/eelgrassladder/gen/http/cloud/server"
	"eelgrassladder.example/eelgrassladder/gen/http/kv/server"
	"eelgrassladder.example/eelgrassladder/gen/kv"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
)

// headerTimeout bounds how long a client may take to send the header of a request.
const headerTimeout = 10 * time.Second

// Serve starts an HTTP server for the calls of the store. It serves the listener until
// the task group ends.
func (s *Store) Serve(g *task.Group, l net.Listener) {
	mux := goahttp.NewMuxer()
	server.Mount(mux, server.New(kv.NewEndpoints(s), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, errorStatus))
	serve(g, l, s.nameEra(abortLostAnswers(mux)))
}

// PromotionHandler handles the promotions that a proxy requests from the platform. An
// error refuses the promotion.
type PromotionHandler func(p *cloud.PromotePayload) error

// Promote calls f.
func (f PromotionHandler) Promote(_ context.Context, p *cloud.PromotePayload) error { return f(p) }

// Serve starts an HTTP server for promotions. It serves the listener until the task
// group ends.
func (f PromotionHandler) Serve(g *task.Group, l net.Listener) {
	mux := goahttp.NewMuxer()
	endpoints := cloud.NewEndpoints(f)
	cloudserver.Mount(mux, cloudserver.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, errorStatus))
	serve(g, l, mux)
}

// serve starts an HTTP server that runs until the task group ends.
func serve(g *task.Group, l net.Listener, h http.Handler) {
	httpServer := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	g.Go("platform", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = httpServer.Close() })
		defer stop()
		if err := httpServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.WithStack(err)
		}
		return ctx.Err()
	})
}

// httpStatus is the HTTP status of an answer that reports an error.
type httpStatus int

// StatusCode returns the HTTP status.
func (s httpStatus) StatusCode() int { return int(s) }

// errorStatus maps an error to the HTTP status of its answer. The status of
// errAnswerLost is never sent: abortLostAnswers drops the connection instead.
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

// abortLostAnswers wraps a handler so that it closes the connection instead of sending
// the answer to a call that failed with errAnswerLost.
func abortLostAnswers(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&abortingWriter{ResponseWriter: w}, r)
	})
}

// eraHeader is the header in which the store names its era.
const eraHeader = "Store-Era"

// nameEra wraps a handler so that its answers name the era of the store. An answer to a call that
// began in a former era is lost.
func (s *Store) nameEra(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&eraWriter{ResponseWriter: w, store: s, began: s.Era()}, r)
	})
}

// eraWriter names the era in the header of an answer, and aborts the request if the store is in
// another era than when it began.
type eraWriter struct {
	http.ResponseWriter
	store *Store
	began uint64
}

// WriteHeader writes the header with the era, or panics with http.ErrAbortHandler, which makes
// the HTTP server close the connection.
func (w *eraWriter) WriteHeader(code int) {
	if w.store.Era() != w.began {
		panic(http.ErrAbortHandler)
	}
	if w.began > 0 {
		w.Header().Set(eraHeader, strconv.FormatUint(w.began, 10))
	}
	w.ResponseWriter.WriteHeader(code)
}

// abortingWriter aborts the request if its answer has the status of errAnswerLost.
type abortingWriter struct {
	http.ResponseWriter
}

// WriteHeader writes the header, or panics with http.ErrAbortHandler for the
// status of errAnswerLost, which makes the HTTP server close the connection.
func (w *abortingWriter) WriteHeader(code int) {
	if code == http.StatusTeapot {
		panic(http.ErrAbortHandler)
	}
	w.ResponseWriter.WriteHeader(code)
}
