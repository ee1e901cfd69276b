package sibling

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"eelgrassladder.example/eelgrassladder/gen/peer"
	"eelgrassladder.example/eelgrassladder/internal/trade/beat"
)

// Server answers the beats of other proxies. Use NewServer to make one.
type Server struct {
	handle func(beat.Beat) beat.Beat
}

// NewServer returns a server that answers with what handle returns.
func NewServer(handle func(beat.Beat) beat.Beat) *Server { return &Server{handle: handle} }

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
	return encode(s.handle(decode(m))), nil
}
