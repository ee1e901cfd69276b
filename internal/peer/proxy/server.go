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

// Handler handles the messages of other proxies.
type Handler interface {
	// Run runs a request, or refuses it if this proxy does not own its group.
	Run(ctx context.Context, r request.Request) request.Answer
	// RollBack rolls back a pinned transaction.
	RollBack(group string, pin uint64)
	// HandleHeartbeat handles a heartbeat and returns the answer.
	HandleHeartbeat(b Heartbeat) Heartbeat
	// TakeOver takes over a group and reports whether it did.
	TakeOver(group string, h owner.Handover) bool
}

// Server serves other proxies. Use NewServer to make one.
type Server struct {
	handler Handler
	timer   eelgrassladder.Timer
	tasks   *task.Group
}

// NewServer returns a Server that passes messages to the handler.
func NewServer(handler Handler, t eelgrassladder.Timer, g *task.Group) *Server {
	return &Server{handler: handler, timer: t, tasks: g}
}

// Serve accepts connections until ctx ends, over mutual TLS if config is not nil.
func (s *Server) Serve(ctx context.Context, listener net.Listener, config *tls.Config) error {
	mux := drpcmux.New()
	if err := sibling.DRPCRegisterSibling(mux, s); err != nil {
		return errors.WithStack(err)
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	return errors.WithStack(drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: drpcOptions()}).Serve(ctx, listener))
}

// Exchange answers a heartbeat.
func (s *Server) Exchange(_ context.Context, m *sibling.Beat) (*sibling.Beat, error) {
	return EncodeHeartbeat(s.handler.HandleHeartbeat(DecodeHeartbeat(m))), nil
}

// Hand answers the offer of a group.
func (s *Server) Hand(_ context.Context, m *sibling.Handover) (*sibling.Handed, error) {
	return &sibling.Handed{Taken: s.handler.TakeOver(m.GetGroup(), decodeHandover(m))}, nil
}

// Forward runs the requests of one other proxy until its stream ends. It then cancels
// the running requests and rolls back the open transactions of the stream.
func (s *Server) Forward(call sibling.DRPCSibling_ForwardStream) error {
	f := &forwardStream{
		server: s, call: call, sending: make(chan struct{}, 1),
		running: map[uint64]context.CancelFunc{}, pins: map[uint64]string{},
	}
	defer f.abortAll()
	for {
		p, err := call.Recv()
		if err != nil {
			return nil
		}
		switch {
		case p.GetRequest() == nil:
			f.cancel(p.GetId())
		case p.GetRelease():
			f.rollBack(p.GetRequest().GetGroup(), p.GetRequest().GetPin())
		default:
			f.start(p.GetId(), decodeRequest(p.GetRequest(), s.timer.Now()))
		}
	}
}

// forwardStream is the receiving side of one Forward stream from another proxy.
type forwardStream struct {
	server *Server
	call   sibling.DRPCSibling_ForwardStream
	// sending is a semaphore of capacity one that is held while a message is sent.
	sending chan struct{}
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// running holds the functions that cancel the running requests, by identifier.
	running map[uint64]context.CancelFunc
	// pins maps the pin of each open transaction of the stream to its group.
	pins map[uint64]string
}

// start runs a request in a goroutine, which sends its answer.
func (f *forwardStream) start(id uint64, r request.Request) {
	ctx, cancel := context.WithCancel(f.server.tasks.Context())
	f.mutex.Lock()
	f.running[id] = cancel
	f.mutex.Unlock()
	f.server.tasks.GoIsolated("forwarded request", func(context.Context) {
		defer cancel()
		answer := f.server.handler.Run(ctx, r)
		f.recordAnswer(id, r, answer)
		f.sending <- struct{}{}
		defer func() { <-f.sending }()
		_ = f.call.Send(&sibling.Parcel{Id: id, Answer: encodeAnswer(answer)})
	})
}

// recordAnswer records that a request has ended and which transaction is open after
// it.
func (f *forwardStream) recordAnswer(id uint64, r request.Request, a request.Answer) {
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

// cancel cancels a request if it is still running.
func (f *forwardStream) cancel(id uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if cancel, ok := f.running[id]; ok {
		cancel()
	}
}

// rollBack rolls back a transaction.
func (f *forwardStream) rollBack(group string, pin uint64) {
	f.mutex.Lock()
	delete(f.pins, pin)
	f.mutex.Unlock()
	f.server.handler.RollBack(group, pin)
}

// abortAll cancels all running requests and rolls back all open transactions.
func (f *forwardStream) abortAll() {
	f.mutex.Lock()
	pins := f.pins
	f.pins = map[uint64]string{}
	for _, cancel := range f.running {
		cancel()
	}
	f.mutex.Unlock()
	for pin, group := range pins {
		f.server.handler.RollBack(group, pin)
	}
}
