package sibling

import (
	"context"
	"net"
	"runtime/debug"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"eelgrassladder.example/eelgrassladder/gen/peer"
	"eelgrassladder.example/eelgrassladder/internal/model/heartbeat"
)

// Server answers the heartbeats of other proxies. Use NewServer to make one.
type Server struct {
	handle func(heartbeat.Message) heartbeat.Message
}

// NewServer returns a Server that answers each heartbeat with the result of
// handle.
func NewServer(handle func(heartbeat.Message) heartbeat.Message) *Server {
	return &Server{handle: handle}
}

// Serve accepts connections until ctx ends, and then returns the error of ctx.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := peer.DRPCRegisterPeer(mux, s); err != nil {
		return errors.WithStack(err)
	}
	err := drpcserver.New(mux).Serve(ctx, l)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.WithStack(err)
}

// Exchange answers one heartbeat; it implements the generated service. A panic ends the
// call, not the process.
func (s *Server) Exchange(_ context.Context, m *peer.Beat) (answer *peer.Beat, err error) {
	defer func() {
		if r := recover(); r != nil {
			klog.ErrorS(nil, "Answering a heartbeat panicked", "Proxy", m.GetSender(), "Reason", r, "Stack", string(debug.Stack()))
			err = errors.Errorf("answering a heartbeat of %q panicked: %v", m.GetSender(), r)
		}
	}()
	return encode(s.handle(decode(m))), nil
}
