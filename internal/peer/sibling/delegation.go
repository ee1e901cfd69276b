package sibling

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"eelgrassladder.example/eelgrassladder/gen/peer"
	"eelgrassladder.example/eelgrassladder/internal/model/delegation"
)

const (
	// fragmentBytes is the length from which on a message is sent in parts, between which
	// others can be sent.
	fragmentBytes = 16 << 10
	// maxDelegatedBytes is the limit of one message: a client's statement of 1 MiB, its
	// session values and its prepared statement.
	maxDelegatedBytes = 4 << 20
	// delegationBufferBytes bounds the buffers of a stream, which hold one part.
	delegationBufferBytes = 4 * fragmentBytes
	// sendTimeout bounds the sending of one part to a proxy that does not read. The deadline
	// is set anew once less than sendTimeoutRest of it is left.
	sendTimeout     = 300 * time.Millisecond
	sendTimeoutRest = 200 * time.Millisecond
)

// errTooLong says that a message is longer than maxDelegatedBytes. Nothing was sent.
var errTooLong = errors.New("the message to another proxy would be too long")

// errFragment says that the other proxy has sent a part of a message that does not follow the
// one before.
var errFragment = errors.New("another proxy sent an unexpected part of a message")

// Delegation is the sending side of an open stream of operations. Several goroutines may
// send; one receives.
type Delegation struct {
	call peer.DRPCPeer_DelegateClient
	pace *pace
	// long is held while the parts of a long message are sent, so that the other side has
	// the parts of one message at a time. pace.mutex may be taken while it is held.
	long sync.Mutex
	// partial holds the parts of an answer that is not whole. Only Receive uses it.
	partial assembly
}

// OpenDelegation opens a stream to the proxy at an address, and waits until the proxy says that
// it runs operations: a host accepts connections also for a process that is frozen. The stream
// lives until Close; ctx bounds only the opening.
func OpenDelegation(ctx context.Context, address string) (*Delegation, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	connection := drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: delegationBufferBytes},
		Stream: drpcstream.Options{MaximumBufferSize: delegationBufferBytes},
	}})
	call, err := peer.NewDRPCPeerClient(connection).Delegate(context.WithoutCancel(ctx))
	if err != nil {
		_ = connection.Close()
		return nil, errors.WithStack(err)
	}
	d := &Delegation{call: call, pace: &pace{stream: raw}}
	stop := context.AfterFunc(ctx, d.Close)
	_, err = call.Recv()
	if !stop() && err == nil {
		// The wait ended at the moment at which the answer came, and d is closed.
		err = ctx.Err()
	}
	if err != nil {
		d.Close()
		return nil, errors.Wrap(err, "open a stream of operations")
	}
	return d, nil
}

// Send sends a request of the operation with a number. After an error the other proxy does
// not have the whole request and will not get it; the stream must then be closed, unless the
// request was too long.
func (d *Delegation) Send(number uint64, r delegation.Request) error {
	m := encodeRequest(number, r)
	if proto.Size(m) <= fragmentBytes {
		return d.pace.send(func() error { return d.call.Send(m) })
	}
	return sendFragments(&d.long, m, func(fragment []byte, more bool) error {
		part := &peer.Delegated{Number: number, Fragment: fragment, More: more}
		return d.pace.send(func() error { return d.call.Send(part) })
	})
}

// TooLong reports whether an error of Send says that the request is too long.
func (d *Delegation) TooLong(err error) bool { return errors.Is(err, errTooLong) }

// Receive returns the next answer and the number of its operation.
func (d *Delegation) Receive() (uint64, delegation.Answer, error) {
	for {
		m, err := d.call.Recv()
		if err != nil {
			return 0, delegation.Answer{}, errors.WithStack(err)
		}
		if len(m.GetFragment()) > 0 {
			whole := &peer.DelegatedAnswer{}
			if done, err := d.partial.add(m.GetNumber(), m.GetFragment(), m.GetMore(), whole); err != nil {
				return 0, delegation.Answer{}, err
			} else if !done {
				continue
			}
			m = whole
		}
		return m.GetNumber(), decodeAnswer(m), nil
	}
}

// Close closes the connection of the stream, without waiting for those that use it.
func (d *Delegation) Close() { _ = d.pace.stream.Close() }

// DelegationStream is the receiving side of a stream of operations. Several goroutines may
// send; one receives.
type DelegationStream struct {
	call    peer.DRPCPeer_DelegateStream
	pace    *pace
	long    sync.Mutex
	partial assembly
}

// newDelegationStream returns the receiving side of a call.
func newDelegationStream(call peer.DRPCPeer_DelegateStream) *DelegationStream {
	stream, _ := call.Context().Value(drpcctx.TransportKey{}).(net.Conn)
	return &DelegationStream{call: call, pace: &pace{stream: stream}}
}

// Receive returns the next request and the number of its operation.
func (s *DelegationStream) Receive() (uint64, delegation.Request, error) {
	for {
		m, err := s.call.Recv()
		if err != nil {
			return 0, delegation.Request{}, errors.WithStack(err)
		}
		if len(m.GetFragment()) > 0 {
			whole := &peer.Delegated{}
			if done, err := s.partial.add(m.GetNumber(), m.GetFragment(), m.GetMore(), whole); err != nil {
				return 0, delegation.Request{}, err
			} else if !done {
				continue
			}
			m = whole
		}
		return m.GetNumber(), decodeRequest(m), nil
	}
}

// Send sends the answer of the operation with a number. After an error the stream must be
// ended, by Close.
func (s *DelegationStream) Send(number uint64, a delegation.Answer) error {
	m := encodeAnswer(number, a)
	if proto.Size(m) <= fragmentBytes {
		return s.pace.send(func() error { return s.call.Send(m) })
	}
	return sendFragments(&s.long, m, func(fragment []byte, more bool) error {
		part := &peer.DelegatedAnswer{Number: number, Fragment: fragment, More: more}
		return s.pace.send(func() error { return s.call.Send(part) })
	})
}

// Close closes the connection of the stream, so that Receive returns an error.
func (s *DelegationStream) Close() {
	if s.pace.stream != nil {
		_ = s.pace.stream.Close()
	}
}

// sendFragments sends a long message in parts, while it holds the mutex.
func sendFragments(mutex *sync.Mutex, m proto.Message, send func(fragment []byte, more bool) error) error {
	text, err := proto.Marshal(m)
	if err != nil {
		return errors.WithStack(err)
	}
	if len(text) > maxDelegatedBytes {
		return errTooLong
	}
	mutex.Lock()
	defer mutex.Unlock()
	for len(text) > 0 {
		n := min(len(text), fragmentBytes)
		if err := send(text[:n], n < len(text)); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// assembly holds the parts of a message that is not whole. The zero value has none.
type assembly struct {
	number uint64
	text   []byte
}

// add adds a part, and decodes the message if the part is the last. It reports whether it
// did.
func (a *assembly) add(number uint64, fragment []byte, more bool, whole proto.Message) (bool, error) {
	if len(a.text) > 0 && a.number != number || len(a.text)+len(fragment) > maxDelegatedBytes {
		return false, errFragment
	}
	a.number, a.text = number, append(a.text, fragment...)
	if more {
		return false, nil
	}
	err := proto.Unmarshal(a.text, whole)
	a.text = nil
	return true, errors.WithStack(err)
}

// pace sends the messages of a stream one after another, each within sendTimeout.
type pace struct {
	// stream is the connection; nil if its deadline cannot be set.
	stream net.Conn
	// mutex guards deadline, and is held while a message is sent. No other lock is taken
	// while it is held.
	mutex    sync.Mutex
	deadline time.Time
}

// send calls f with a deadline of the connection.
func (p *pace) send(f func() error) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if now := time.Now(); p.stream != nil && p.deadline.Sub(now) < sendTimeoutRest {
		p.deadline = now.Add(sendTimeout)
		if err := p.stream.SetWriteDeadline(p.deadline); err != nil {
			return errors.WithStack(err)
		}
	}
	return errors.WithStack(f())
}
