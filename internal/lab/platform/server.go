package platform

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	goahttp "goa.design/goa/v3/http"

	"eelgrassladder.example/eelgrassladder/gen/http/platform/server"
	generated "eelgrassladder.example/eelgrassladder/gen/platform"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
)

// The errors of the store's calls.
var (
	errUnavailable     = errors.New("the store does not serve")
	errVersionConflict = errors.New("the key has another version")
	errValueTooLong    = errors.New("the value is too long")
)

// headerTimeout bounds how long a client may take to send the header of a request.
const headerTimeout = 10 * time.Second

// Start serves the store over HTTP on an address until the task group ends. It returns
// the address that it listens on, with the chosen port if that of the argument is zero.
// It fails if it cannot listen.
func Start(g *task.Group, s *Store, address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.WithStack(err)
	}
	mux := goahttp.NewMuxer()
	endpoints := generated.NewEndpoints(s)
	handler := server.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
	server.Mount(mux, handler)
	httpServer := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	g.Go("platform", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = httpServer.Close() })
		defer stop()
		if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.WithStack(err)
		}
		return ctx.Err()
	})
	return listener.Addr().String(), nil
}
