package proxy

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/gen/sibling"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/model/membership"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// The bounds of messages and times between proxies.
const (
	// maxMessageBytes bounds one message between proxies.
	maxMessageBytes = 40 << 20
	// dialTime bounds the opening of a connection to another proxy.
	dialTime = 300 * time.Millisecond
	// cancelTime is how long a cancelled request may take to be answered.
	cancelTime = 2 * time.Second
)

// managerOptions are the library's options on both sides.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// dial opens a connection to another proxy.
func dial(ctx context.Context, address string, keys *tls.Config) (*drpcconn.Conn, error) {
	d := net.Dialer{Timeout: dialTime}
	stream, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if keys != nil {
		stream = tls.Client(stream, keys)
	}
	return drpcconn.NewWithOptions(stream, drpcconn.Options{Manager: managerOptions()}), nil
}

// link carries many requests at once to one other proxy, over one stream that
// is opened when first needed.
type link struct {
	target membership.Proxy
	keys   *tls.Config
	timer  eelgrassladder.Timer
	tasks  *task.Group

	// opening is held while a stream is opened; it has room for one.
	opening chan struct{}
	// mutex guards the fields below. Its rank is Links.
	mutex *lockrank.Mutex
	// stream is nil while there is no connection.
	stream *stream
}

// stream is one opened Forward call.
type stream struct {
	connection *drpcconn.Conn
	call       sibling.DRPCSibling_ForwardClient
	// sending has room for one; it is held while a message is sent.
	sending chan struct{}
	// mutex guards the fields below. Its rank is Links.
	mutex *lockrank.Mutex
	// last is the identifier of the newest request.
	last uint64
	// pending holds a channel for each request without an answer.
	pending map[uint64]chan *sibling.Answer
	// failed is true once the stream carries no more messages.
	failed bool
}

func newLink(p membership.Proxy, keys *tls.Config, t eelgrassladder.Timer, g *task.Group) *link {
	return &link{
		target: p, keys: keys, timer: t, tasks: g,
		opening: make(chan struct{}, 1), mutex: lockrank.New(lockrank.Links),
	}
}

// Forward sends a request and waits for its answer.
func (l *link) Forward(ctx context.Context, r request.Request) (request.Answer, bool) {
	s, err := l.open(ctx)
	if err != nil {
		return request.Answer{}, false
	}
	id, answers, ok := s.begin()
	if !ok {
		return request.Answer{}, false
	}
	defer s.end(id)
	if err := s.send(&sibling.Parcel{Id: id, Request: encodeRequest(r, l.timer.Now())}); err != nil {
		s.fail()
		return request.OutcomeUnknown("the connection to the owner was lost while the request was sent"), true
	}
	select {
	case a, ok := <-answers:
		return l.received(a, ok)
	case <-ctx.Done():
	}
	_ = s.send(&sibling.Parcel{Id: id, Release: true})
	limit := l.timer.Once(cancelTime)
	defer limit.Stop()
	select {
	case a, ok := <-answers:
		return l.received(a, ok)
	case <-limit.C():
		return request.OutcomeUnknown("the request was cancelled and its owner has not answered"), true
	}
}

// received turns what came on a request's channel into an answer.
func (l *link) received(a *sibling.Answer, ok bool) (request.Answer, bool) {
	if !ok {
		return request.OutcomeUnknown("the connection to the owner was lost while the request ran"), true
	}
	return decodeAnswer(a, l.target.Name), true
}

// Release gives up a pinned transaction.
func (l *link) Release(group string, pin uint64) {
	l.mutex.Lock()
	s := l.stream
	l.mutex.Unlock()
	if s == nil {
		return
	}
	_ = s.send(&sibling.Parcel{Release: true, Request: &sibling.Request{Group: group, Pin: pin}})
}

// open returns the stream, opening it if there is none.
func (l *link) open(ctx context.Context) (*stream, error) {
	if s := l.opened(); s != nil {
		return s, nil
	}
	select {
	case l.opening <- struct{}{}:
		defer func() { <-l.opening }()
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	}
	if s := l.opened(); s != nil {
		return s, nil
	}
	c, err := dial(ctx, l.target.Address, l.keys)
	if err != nil {
		return nil, err
	}
	call, err := sibling.NewDRPCSiblingClient(c).Forward(l.tasks.Context())
	if err != nil {
		_ = c.Close()
		return nil, errors.WithStack(err)
	}
	s := &stream{
		connection: c, call: call, sending: make(chan struct{}, 1),
		mutex: lockrank.New(lockrank.Links), pending: map[uint64]chan *sibling.Answer{},
	}
	l.mutex.Lock()
	l.stream = s
	l.mutex.Unlock()
	l.tasks.GoIsolated("answers of "+l.target.Name, func(context.Context) { s.receive() })
	return s, nil
}

// opened returns the stream if it works.
func (l *link) opened() *stream {
	l.mutex.Lock()
	s := l.stream
	l.mutex.Unlock()
	if s == nil || s.broken() {
		return nil
	}
	return s
}

// close ends the link.
func (l *link) close() {
	l.mutex.Lock()
	s := l.stream
	l.mutex.Unlock()
	if s != nil {
		s.fail()
	}
}

// begin registers a request.
func (s *stream) begin() (uint64, chan *sibling.Answer, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failed {
		return 0, nil, false
	}
	s.last++
	answers := make(chan *sibling.Answer, 1)
	s.pending[s.last] = answers
	return s.last, answers, true
}

// end forgets a request; an answer that comes later is dropped.
func (s *stream) end(id uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.pending, id)
}

// send sends one message.
func (s *stream) send(p *sibling.Parcel) error {
	s.sending <- struct{}{}
	defer func() { <-s.sending }()
	return errors.WithStack(s.call.Send(p))
}

// receive hands each answer to the request that it belongs to.
func (s *stream) receive() {
	defer s.fail()
	for {
		p, err := s.call.Recv()
		if err != nil {
			return
		}
		s.mutex.Lock()
		answers, ok := s.pending[p.GetId()]
		delete(s.pending, p.GetId())
		s.mutex.Unlock()
		if ok {
			answers <- p.GetAnswer()
		}
	}
}

// broken reports whether the stream carries no more messages.
func (s *stream) broken() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failed
}

// fail ends the stream; every request without an answer learns of it.
func (s *stream) fail() {
	s.mutex.Lock()
	first := !s.failed
	s.failed = true
	pending := s.pending
	s.pending = map[uint64]chan *sibling.Answer{}
	s.mutex.Unlock()
	for _, answers := range pending {
		close(answers)
	}
	if first {
		_ = s.connection.Close()
	}
}
