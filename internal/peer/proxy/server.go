package proxy

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/gen/sibling"
	"eelgrassladder.example/eelgrassladder/internal/host/owner"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
)

// Local is what this proxy does for other proxies.
type Local interface {
	// Run runs a request if this proxy owns its group.
	Run(ctx context.Context, r request.Request) request.Answer
	// Release gives up a pinned transaction.
	Release(group string, pin uint64)
	// HandleHeartbeat takes a heartbeat and returns the one that answers it.
	HandleHeartbeat(b Heartbeat) Heartbeat
	// TakeOver takes over a group and reports whether it did.
	TakeOver(group string, h owner.Handover) bool
}

// Server answers other proxies.
type Server struct {
	local Local
	timer eelgrassladder.Timer
	tasks *task.Group
}

// NewServer returns a server that asks local.
func NewServer(local Local, t eelgrassladder.Timer, g *task.Group) *Server {
	return &Server{local: local, timer: t, tasks: g}
}

// Serve accepts connections until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener, keys *tls.Config) error {
	mux := drpcmux.New()
	if err := sibling.DRPCRegisterSibling(mux, s); err != nil {
		return errors.WithStack(err)
	}
	if keys != nil {
		listener = tls.NewListener(listener, keys)
	}
	return errors.WithStack(drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()}).Serve(ctx, listener))
}

// Exchange answers a heartbeat.
func (s *Server) Exchange(_ context.Context, m *sibling.Beat) (*sibling.Beat, error) {
	return EncodeHeartbeat(s.local.HandleHeartbeat(DecodeHeartbeat(m))), nil
}

// Hand takes a group over.
func (s *Server) Hand(_ context.Context, m *sibling.Handover) (*sibling.Handed, error) {
	return &sibling.Handed{Taken: s.local.TakeOver(m.GetGroup(), decodeHandover(m))}, nil
}

// Forward runs the requests of one other proxy until its stream ends, and
// then gives up what it has left open.
func (s *Server) Forward(call sibling.DRPCSibling_ForwardStream) error {
	f := &forwarding{
		server: s, call: call, sending: make(chan struct{}, 1),
		running: map[uint64]context.CancelFunc{}, pins: map[uint64]string{},
	}
	defer f.end()
	for {
		p, err := call.Recv()
		if err != nil {
			return nil
		}
		switch {
		case p.GetRequest() == nil:
			f.cancel(p.GetId())
		case p.GetRelease():
			f.release(p.GetRequest().GetGroup(), p.GetRequest().GetPin())
		default:
			f.start(p.GetId(), decodeRequest(p.GetRequest(), s.timer.Now()))
		}
	}
}

// forwarding is one stream of another proxy.
type forwarding struct {
	server *Server
	call   sibling.DRPCSibling_ForwardStream
	// sending has room for one; it is held while a message is sent.
	sending chan struct{}
	// mutex guards the fields below. It is a leaf.
	mutex sync.Mutex
	// running cancels the requests that run, by identifier.
	running map[uint64]context.CancelFunc
	// pins holds the group of each transaction that the stream has open.
	pins map[uint64]string
}

// start runs a request and sends its answer.
func (f *forwarding) start(id uint64, r request.Request) {
	ctx, cancel := context.WithCancel(f.server.tasks.Context())
	f.mutex.Lock()
	f.running[id] = cancel
	f.mutex.Unlock()
	f.server.tasks.GoIsolated("forwarded request", func(context.Context) {
		defer cancel()
		answer := f.server.local.Run(ctx, r)
		f.finish(id, r, answer)
		f.sending <- struct{}{}
		defer func() { <-f.sending }()
		_ = f.call.Send(&sibling.Parcel{Id: id, Answer: encodeAnswer(answer)})
	})
}

// finish notes which transaction is open after a request.
func (f *forwarding) finish(id uint64, r request.Request, a request.Answer) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.running, id)
	if r.Pin != 0 && a.Pin == 0 {
		delete(f.pins, r.Pin)
	}
	if a.Pin != 0 {
		f.pins[a.Pin] = r.Group
	}
}

// cancel gives up a request that runs.
func (f *forwarding) cancel(id uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if cancel, ok := f.running[id]; ok {
		cancel()
	}
}

// release gives up a transaction.
func (f *forwarding) release(group string, pin uint64) {
	f.mutex.Lock()
	delete(f.pins, pin)
	f.mutex.Unlock()
	f.server.local.Release(group, pin)
}

// end gives up everything that the stream has left.
func (f *forwarding) end() {
	f.mutex.Lock()
	pins := f.pins
	f.pins = map[uint64]string{}
	for _, cancel := range f.running {
		cancel()
	}
	f.mutex.Unlock()
	for pin, group := range pins {
		f.server.local.Release(group, pin)
	}
}
