package sibling

import (
	"context"
	"net"

	"github.com/pkg/errors"
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

// Exchange answers one heartbeat; it implements the generated service.
func (s *Server) Exchange(_ context.Context, m *peer.Beat) (*peer.Beat, error) {
	return encode(s.handle(decode(m))), nil
}
