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

// Server answers the beats of other proxies. Use NewServer to make one.
type Server struct {
	heard func(heartbeat.Message) heartbeat.Message
}

// NewServer returns a server that answers with what heard returns.
func NewServer(heard func(heartbeat.Message) heartbeat.Message) *Server { return &Server{heard: heard} }

// Serve accepts connections until ctx ends.
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

// Exchange answers one beat.
func (s *Server) Exchange(_ context.Context, m *peer.Beat) (*peer.Beat, error) {
	return encode(s.heard(decode(m))), nil
}
