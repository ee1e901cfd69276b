package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/listener"
)

// The limits of the addresses for readiness and metrics. Probes and scrapes come from a few
// places, take milliseconds, and have headers of some hundred bytes.
const (
	httpConnections   = 64
	httpHeaderBytes   = 8 << 10
	httpHeaderTimeout = time.Second
	httpReadTimeout   = 2 * time.Second
	httpWriteTimeout  = 10 * time.Second
	// httpIdleTimeout is longer than the usual interval between two scrapes.
	httpIdleTimeout = 60 * time.Second
)

// serve answers HTTP requests until ctx ends.
func serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: httpHeaderTimeout, ReadTimeout: httpReadTimeout, WriteTimeout: httpWriteTimeout,
		IdleTimeout: httpIdleTimeout, MaxHeaderBytes: httpHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	bounded := listener.NewBounded(l, httpConnections, func(address string) {
		klog.V(1).InfoS("HTTP connection closed for a new one", "Client", address, "Limit", httpConnections)
	})
	if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return nil
}
