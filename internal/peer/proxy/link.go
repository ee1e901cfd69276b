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

// Limits for messages between proxies, and timeouts.
const (
	// maxMessageBytes is the limit for one message. It is above the largest answer of
	// an endpoint, 16 MiB, and the largest batch of a caller, 8 MiB.
	maxMessageBytes = 40 << 20
	// dialTimeout bounds the opening of a connection to another proxy.
	dialTimeout = 300 * time.Millisecond
	// cancelTimeout is how long Forward waits for the owner's answer to a request
	// that it has cancelled.
	cancelTimeout = 2 * time.Second
)

// drpcOptions returns the options of the drpc connections on both sides.
func drpcOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// dial opens a connection to another proxy, over TLS if config is not nil.
func dial(ctx context.Context, address string, config *tls.Config) (*drpcconn.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if config != nil {
		raw = tls.Client(raw, config)
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: drpcOptions()}), nil
}

// link forwards requests to one other proxy. Concurrent requests share one Forward
// stream, which is opened when it is first needed and again after a failure.
type link struct {
	peer      membership.Proxy
	tlsConfig *tls.Config
	timer     eelgrassladder.Timer
	tasks     *task.Group

	// opening is a semaphore of capacity one that is held while a stream is opened.
	opening chan struct{}
	// mutex guards the fields below. Its rank in the lock order is Links.
	mutex *lockrank.Mutex
	// stream is nil before the first request. It may have failed.
	stream *forwardCall
}

// forwardCall is the sending side of one open Forward stream, with the requests that
// wait for answers.
type forwardCall struct {
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
	// failed is true once the stream can no longer be used.
	failed bool
}

func newLink(p membership.Proxy, config *tls.Config, t eelgrassladder.Timer, g *task.Group) *link {
	return &link{
		peer: p, tlsConfig: config, timer: t, tasks: g,
		opening: make(chan struct{}, 1), mutex: lockrank.New(lockrank.Links),
	}
}

// Forward sends a request to the owner and waits for its answer. It reports false if
// the owner cannot have received the request. When ctx ends, it cancels the request at
// the owner and waits up to cancelTimeout for the answer.
func (l *link) Forward(ctx context.Context, r request.Request) (request.Answer, bool) {
	s, err := l.acquireStream(ctx)
	if err != nil {
		return request.Answer{}, false
	}
	id, answer, ok := s.register()
	if !ok {
		return request.Answer{}, false
	}
	defer s.unregister(id)
	if err := s.send(&sibling.Parcel{Id: id, Request: encodeRequest(r, l.timer.Now())}); err != nil {
		s.fail()
		return request.OutcomeUnknown("the connection to the owner was lost while the request was sent"), true
	}
	select {
	case a, ok := <-answer:
		return l.decodeReceived(a, ok)
	case <-ctx.Done():
	}
	// A parcel with an Id and no Request cancels that request; Release is not read.
	_ = s.send(&sibling.Parcel{Id: id, Release: true})
	limit := l.timer.Once(cancelTimeout)
	defer limit.Stop()
	select {
	case a, ok := <-answer:
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
	return decodeAnswer(a, l.peer.Name), true
}

// RollBack asks the owner to roll back a pinned transaction. It does not wait for that.
// Without a stream it does nothing: the owner rolls back the open transactions of a
// stream when the stream ends.
func (l *link) RollBack(group string, pin uint64) {
	l.mutex.Lock()
	s := l.stream
	l.mutex.Unlock()
	if s == nil {
		return
	}
	_ = s.send(&sibling.Parcel{Release: true, Request: &sibling.Request{Group: group, Pin: pin}})
}

// acquireStream returns a usable stream, and opens one if there is none.
func (l *link) acquireStream(ctx context.Context) (*forwardCall, error) {
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
	c, err := dial(ctx, l.peer.Address, l.tlsConfig)
	if err != nil {
		return nil, err
	}
	call, err := sibling.NewDRPCSiblingClient(c).Forward(l.tasks.Context())
	if err != nil {
		_ = c.Close()
		return nil, errors.WithStack(err)
	}
	s := &forwardCall{
		connection: c, call: call, sending: make(chan struct{}, 1),
		mutex: lockrank.New(lockrank.Links), pending: map[uint64]chan *sibling.Answer{},
	}
	l.mutex.Lock()
	l.stream = s
	l.mutex.Unlock()
	l.tasks.GoIsolated("answers of "+l.peer.Name, func(context.Context) { s.receiveAnswers() })
	return s, nil
}

// usableStream returns the stream, or nil if there is none or it has failed.
func (l *link) usableStream() *forwardCall {
	l.mutex.Lock()
	s := l.stream
	l.mutex.Unlock()
	if s == nil || s.hasFailed() {
		return nil
	}
	return s
}

// closeStream closes the link's stream, if there is one. The next Forward opens
// another.
func (l *link) closeStream() {
	l.mutex.Lock()
	s := l.stream
	l.mutex.Unlock()
	if s != nil {
		s.fail()
	}
}

// register adds a request and returns its identifier and the channel for its answer.
// It reports false if the stream has failed.
func (s *forwardCall) register() (uint64, chan *sibling.Answer, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failed {
		return 0, nil, false
	}
	s.lastID++
	answer := make(chan *sibling.Answer, 1)
	s.pending[s.lastID] = answer
	return s.lastID, answer, true
}

// unregister removes a request; an answer that arrives later is dropped.
func (s *forwardCall) unregister(id uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.pending, id)
}

// send sends one message, after those that other goroutines are sending.
func (s *forwardCall) send(p *sibling.Parcel) error {
	s.sending <- struct{}{}
	defer func() { <-s.sending }()
	return errors.WithStack(s.call.Send(p))
}

// receiveAnswers delivers each answer to its request until the stream fails.
func (s *forwardCall) receiveAnswers() {
	defer s.fail()
	for {
		p, err := s.call.Recv()
		if err != nil {
			return
		}
		s.mutex.Lock()
		answer, ok := s.pending[p.GetId()]
		delete(s.pending, p.GetId())
		s.mutex.Unlock()
		if ok {
			answer <- p.GetAnswer()
		}
	}
}

func (s *forwardCall) hasFailed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failed
}

// fail marks the stream as failed, closes the channels of all requests that wait for
// an answer, and closes the connection.
func (s *forwardCall) fail() {
	s.mutex.Lock()
	first := !s.failed
	s.failed = true
	pending := s.pending
	s.pending = map[uint64]chan *sibling.Answer{}
	s.mutex.Unlock()
	for _, answer := range pending {
		close(answer)
	}
	if first {
		_ = s.connection.Close()
	}
}
