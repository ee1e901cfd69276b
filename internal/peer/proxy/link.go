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

// The limits of messages and times between proxies.
const (
	// maxMessageBytes is the limit for one message.
	maxMessageBytes = 40 << 20
	// dialTimeout bounds the opening of a connection to another proxy.
	dialTimeout = 300 * time.Millisecond
	// cancelTimeout is how long the owner may take to answer a cancelled request.
	cancelTimeout = 2 * time.Second
)

// drpcOptions returns the options of the drpc connections on both sides.
func drpcOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// dial opens a connection to another proxy, over TLS if config is not nil.
func dial(ctx context.Context, address string, config *tls.Config) (*drpcconn.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	stream, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if config != nil {
		stream = tls.Client(stream, config)
	}
	return drpcconn.NewWithOptions(stream, drpcconn.Options{Manager: drpcOptions()}), nil
}

// link forwards requests to one other proxy. Concurrent requests share one stream,
// which is opened when it is first needed and again after a failure.
type link struct {
	target    membership.Proxy
	tlsConfig *tls.Config
	timer     eelgrassladder.Timer
	tasks     *task.Group

	// opening is a semaphore of capacity one that is held while a stream is opened.
	opening chan struct{}
	// mutex guards the fields below. Its rank in the lock order is Links.
	mutex *lockrank.Mutex
	// stream is nil before the first request; it may have failed since.
	stream *stream
}

// stream is one open Forward call with the requests that wait for answers.
type stream struct {
	connection *drpcconn.Conn
	call       sibling.DRPCSibling_ForwardClient
	// sending is a semaphore of capacity one that is held while a message is sent.
	sending chan struct{}
	// mutex guards the fields below. Its rank in the lock order is Links.
	mutex *lockrank.Mutex
	// lastID is the identifier of the latest request.
	lastID uint64
	// pending holds the channel for the answer of each request that has none yet. A
	// channel is closed without an answer when the stream fails.
	pending map[uint64]chan *sibling.Answer
	// failed is true once the stream can't be used any more.
	failed bool
}

func newLink(p membership.Proxy, config *tls.Config, t eelgrassladder.Timer, g *task.Group) *link {
	return &link{
		target: p, tlsConfig: config, timer: t, tasks: g,
		opening: make(chan struct{}, 1), mutex: lockrank.New(lockrank.Links),
	}
}

// Forward sends a request and waits for its answer. It reports false if the proxy
// cannot have received the request. When ctx ends, it cancels the request at the
// owner and waits for its answer for cancelTimeout.
func (l *link) Forward(ctx context.Context, r request.Request) (request.Answer, bool) {
	s, err := l.acquireStream(ctx)
	if err != nil {
		return request.Answer{}, false
	}
	id, answers, ok := s.register()
	if !ok {
		return request.Answer{}, false
	}
	defer s.unregister(id)
	if err := s.send(&sibling.Parcel{Id: id, Request: encodeRequest(r, l.timer.Now())}); err != nil {
		s.fail()
		return request.OutcomeUnknown("the connection to the owner was lost while the request was sent"), true
	}
	select {
	case a, ok := <-answers:
		return l.decodeReceived(a, ok)
	case <-ctx.Done():
	}
	_ = s.send(&sibling.Parcel{Id: id, Release: true})
	limit := l.timer.Once(cancelTimeout)
	defer limit.Stop()
	select {
	case a, ok := <-answers:
		return l.decodeReceived(a, ok)
	case <-limit.C():
		return request.OutcomeUnknown("the request was cancelled and its owner has not answered"), true
	}
}

// decodeReceived returns the answer received on a request's channel; ok is false if
// the channel was closed because the stream failed.
func (l *link) decodeReceived(a *sibling.Answer, ok bool) (request.Answer, bool) {
	if !ok {
		return request.OutcomeUnknown("the connection to the owner was lost while the request ran"), true
	}
	return decodeAnswer(a, l.target.Name), true
}

// Release tells the owner to roll back a pinned transaction, if there is a stream.
func (l *link) Release(group string, pin uint64) {
	l.mutex.Lock()
	s := l.stream
	l.mutex.Unlock()
	if s == nil {
		return
	}
	_ = s.send(&sibling.Parcel{Release: true, Request: &sibling.Request{Group: group, Pin: pin}})
}

// acquireStream returns a usable stream, and opens one if there is none.
func (l *link) acquireStream(ctx context.Context) (*stream, error) {
	if s := l.usableStream(); s != nil {
		return s, nil
	}
	select {
	case l.opening <- struct{}{}:
		defer func() { <-l.opening }()
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	}
	if s := l.usableStream(); s != nil {
		return s, nil
	}
	c, err := dial(ctx, l.target.Address, l.tlsConfig)
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
	l.tasks.GoIsolated("answers of "+l.target.Name, func(context.Context) { s.receiveAnswers() })
	return s, nil
}

// usableStream returns the stream, or nil if there is none or it has failed.
func (l *link) usableStream() *stream {
	l.mutex.Lock()
	s := l.stream
	l.mutex.Unlock()
	if s == nil || s.broken() {
		return nil
	}
	return s
}

// close fails the stream of the link, if there is one.
func (l *link) close() {
	l.mutex.Lock()
	s := l.stream
	l.mutex.Unlock()
	if s != nil {
		s.fail()
	}
}

// register adds a request and returns its identifier and the channel for its answer.
// It reports false if the stream has failed.
func (s *stream) register() (uint64, chan *sibling.Answer, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failed {
		return 0, nil, false
	}
	s.lastID++
	answers := make(chan *sibling.Answer, 1)
	s.pending[s.lastID] = answers
	return s.lastID, answers, true
}

// unregister removes a request; an answer that arrives later is dropped.
func (s *stream) unregister(id uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.pending, id)
}

// send sends one message, after those that other goroutines are sending.
func (s *stream) send(p *sibling.Parcel) error {
	s.sending <- struct{}{}
	defer func() { <-s.sending }()
	return errors.WithStack(s.call.Send(p))
}

// receiveAnswers delivers each answer to its request until the stream fails.
func (s *stream) receiveAnswers() {
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

// broken reports whether the stream has failed.
func (s *stream) broken() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failed
}

// fail marks the stream as failed, closes the channels of all requests that wait for
// an answer, and closes the connection.
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
