package caller

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/model/session"
	"eelgrassladder.example/eelgrassladder/internal/peer/wire"
)

// secretBytes is the length of the secret of a cancel.
const secretBytes = 4

// connection is one caller's connection.
type connection struct {
	front  *Frontend
	stream net.Conn
	reader *wire.Reader
	// number and secret identify the connection for a cancel.
	number uint32
	secret []byte
	// caller is the authenticated caller.
	caller string
	// database is the name of the database group.
	database string
	// class is the class of work in force on the connection.
	class string
	// token holds the positions that the session has seen.
	token session.Token
	// sessionName names a session that the owner remembers; may be empty.
	sessionName string
	// key is the request key of the next request; may be empty.
	key string
	// readOnly is true when the caller declared so at its start.
	readOnly bool
	// known holds the caller's prepared statements.
	known statements
	// owner and pin identify the open transaction; pin is zero without one.
	owner string
	pin   uint64
	// failed is true when the open transaction was lost, until its end.
	failed bool

	// mutex guards the fields below. It is a leaf.
	mutex sync.Mutex
	// stop gives up the request that runs; nil when none does.
	stop context.CancelFunc
	// idle is true while the connection waits for a message.
	idle bool
}

// newSecret returns a secret for cancels.
func newSecret() []byte {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	return secret
}

// holds reports whether the secret is the connection's.
func (c *connection) holds(secret []byte) bool {
	return subtle.ConstantTimeCompare(c.secret, secret) == 1
}

// giveUp cancels the request that runs.
func (c *connection) giveUp() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stop != nil {
		c.stop()
	}
}

// closeIfIdle wakes the connection if it waits for a message, so that it sees
// that the proxy is draining.
func (c *connection) closeIfIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.idle {
		_ = c.stream.SetReadDeadline(time.Now())
	}
}

// rest marks the connection as waiting for a message, or not.
func (c *connection) rest(idle bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idle = idle
	if idle && c.front.draining.Load() && c.pin == 0 && !c.failed {
		_ = c.stream.SetReadDeadline(time.Now())
	} else if !idle {
		_ = c.stream.SetReadDeadline(time.Time{})
	}
}

// run answers messages until the connection ends.
func (c *connection) run(ctx context.Context) {
	defer c.abandon()
	pending := &batch{}
	var buffer []byte
	for ctx.Err() == nil {
		c.rest(true)
		kind, message, err := c.reader.ReadMessage(buffer[:0])
		c.rest(false)
		if err != nil {
			if !c.ended(err) {
				continue
			}
			return
		}
		buffer = keep(message)
		done, err := c.handle(ctx, pending, kind, message)
		if err != nil {
			c.fatal(request.Refusal{Code: request.CodeProtocol, Message: err.Error()})
			return
		}
		if done {
			pending = &batch{}
		}
		if kind == 'X' {
			return
		}
	}
}

// maxKept is the largest buffer that an idle connection keeps.
const maxKept = 4 << 10

// keep returns the buffer for the next message, unless it has grown large.
func keep(buffer []byte) []byte {
	if cap(buffer) > maxKept {
		return nil
	}
	return buffer
}

// ended reports whether the connection must end after a failed read, and says
// why to the caller. A draining proxy interrupts the read of connections that
// are in a transaction too; they go on.
func (c *connection) ended(err error) bool {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && c.pin != 0:
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.fatal(request.Refusal{
			Code: request.CodeShutdown, Message: "the proxy is leaving", Hint: "Connect again.",
		})
	case errors.Is(err, wire.ErrTooLarge):
		c.fatal(request.Refusal{Code: request.CodeProtocol, Message: err.Error()})
	}
	return true
}

// handle takes one message and reports whether a batch has ended.
func (c *connection) handle(ctx context.Context, pending *batch, kind byte, message []byte) (bool, error) {
	switch kind {
	case 'Q':
		if len(pending.payload) > 0 || len(pending.own) > 0 {
			return false, errors.New("simple query inside an extended batch")
		}
		text, _, ok := wire.CutString(wire.Body(message))
		if !ok {
			return false, errors.New("malformed Query")
		}
		return true, c.simple(ctx, text, message)
	case 'P', 'B', 'D', 'E', 'C':
		if len(pending.payload)+len(message) > maxBatchBytes {
			return false, errors.New("batch is longer than the limit")
		}
		return false, pending.add(c.known, kind, message)
	case 'S':
		return true, c.sync(ctx, pending, message, false)
	case 'H':
		return c.flush(ctx, pending)
	case 'X', 'd', 'c', 'f':
		return false, nil
	case 'F':
		return true, c.send(refusal(request.Refusal{
			Code: request.CodeNotSupported, Message: "function calls are not supported",
		}, c.status()))
	default:
		return false, errors.Errorf("unexpected message type %q", kind)
	}
}

// flush answers what can be answered before the Sync: a batch that runs
// nothing yet.
func (c *connection) flush(ctx context.Context, pending *batch) (bool, error) {
	if len(pending.payload) == 0 && len(pending.own) == 0 {
		return false, nil
	}
	if pending.executes || len(pending.texts) > 0 {
		pending.refuse(request.CodeNotSupported, "Flush between Bind and Sync is not supported")
		return false, nil
	}
	return true, c.sync(ctx, pending, nil, true)
}

// simple runs a simple query.
func (c *connection) simple(ctx context.Context, text string, message []byte) error {
	if ownSetting(text) {
		var out encoder
		result, refused := c.runOwn(text)
		if refused != nil {
			out.refuse(*refused)
		} else {
			out.result(result, true)
		}
		return c.send(out.ready(c.status()))
	}
	if reason := unsupported(text); reason != "" {
		return c.send(refusal(request.Refusal{Code: request.CodeNotSupported, Message: reason}, c.status()))
	}
	if c.failed {
		return c.answerFailed(closes(text))
	}
	r := c.request(message)
	r.OpensTransaction = opens(text)
	r.ReadOnly = c.readOnly || declaresReadOnly(text)
	r.Fingerprint = fingerprint(text)
	return c.pass(ctx, r, false)
}

// sync runs an extended batch. With flushed, the caller has not asked for the
// end of the batch yet.
func (c *connection) sync(ctx context.Context, b *batch, message []byte, flushed bool) error {
	if b.fault != nil {
		return c.send(refusal(*b.fault, c.status()))
	}
	if len(b.own) > 0 {
		if len(b.payload) > 0 {
			return c.send(refusal(request.Refusal{
				Code: request.CodeNotSupported, Message: "eelgrassladder settings need a batch of their own",
			}, c.status()))
		}
		return c.sendAnswer(c.answerOwn(b), flushed)
	}
	if len(b.payload) == 0 {
		var out encoder
		return c.send(out.ready(c.status()))
	}
	for _, text := range b.texts {
		if reason := unsupported(text); reason != "" {
			return c.send(refusal(request.Refusal{Code: request.CodeNotSupported, Message: reason}, c.status()))
		}
	}
	if c.failed {
		return c.answerFailed(len(b.texts) > 0 && closes(b.texts[0]))
	}
	if message == nil {
		message = appendMessage(nil, 'S', "", nil)
	}
	r := c.request(append(b.payload, message...))
	r.Prepared = b.prepared
	r.Fingerprint = b.fingerprint()
	r.DescribeOnly = !b.executes
	r.ReadOnly = c.readOnly || r.DescribeOnly
	if len(b.texts) > 0 {
		r.OpensTransaction = opens(b.texts[0])
		r.ReadOnly = r.ReadOnly || declaresReadOnly(b.texts[0])
	}
	return c.pass(ctx, r, flushed)
}

// request returns a request of this connection.
func (c *connection) request(payload []byte) request.Request {
	r := request.Request{
		Group: c.database, Database: c.database, Caller: c.caller, Class: c.class,
		Key: c.key, SessionName: c.sessionName, Required: c.token.Position(c.database),
		Payload: payload,
	}
	c.key = ""
	if c.pin != 0 {
		r = r.WithPin(c.owner, c.pin)
		r.Key = ""
	}
	return r
}

// pass passes a request on and sends its answer.
func (c *connection) pass(ctx context.Context, r request.Request, flushed bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mutex.Lock()
	c.stop = cancel
	c.mutex.Unlock()
	answer := c.front.run(ctx, r)
	c.mutex.Lock()
	c.stop = nil
	c.mutex.Unlock()
	if answer.Outcome != request.Done {
		return c.sendRefusal(r, answer)
	}
	c.owner = answer.Owner
	c.pin = answer.Pin
	before := c.token
	c.token = c.token.WithPosition(c.database, answer.Position)
	payload := answer.Payload
	if c.token.Position(c.database) != before.Position(c.database) {
		payload = append(sessionStatus(c.token), payload...)
	}
	return c.sendAnswer(payload, flushed)
}

// sendRefusal answers a request that was not run, or may not have been. A
// transaction that was open is given up.
func (c *connection) sendRefusal(r request.Request, answer request.Answer) error {
	if r.Pin != 0 {
		c.front.dispatcher.Release(r.Group, c.owner, c.pin)
		c.pin = 0
		c.owner = ""
		c.failed = true
	}
	return c.send(refusal(answer.Refusal, c.status()))
}

// answerFailed answers inside a transaction that was lost.
func (c *connection) answerFailed(ends bool) error {
	var out encoder
	if ends {
		c.failed = false
		out.rolledBack()
		return c.send(out.ready(request.Idle))
	}
	out.refuse(request.Refusal{
		Code: "25P02", Message: "current transaction is aborted, commands ignored until end of transaction block",
	})
	return c.send(out.ready(request.Aborted))
}

// status returns the state of the transaction as the caller must see it.
func (c *connection) status() request.Status {
	switch {
	case c.failed:
		return request.Aborted
	case c.pin != 0:
		return request.Open
	default:
		return request.Idle
	}
}

// abandon gives up what the connection has left open.
func (c *connection) abandon() {
	if c.pin != 0 {
		c.front.dispatcher.Release(c.database, c.owner, c.pin)
	}
}

// readyBytes is the length of a ReadyForQuery message.
const readyBytes = 6

// sendAnswer sends a whole answer; after a Flush, without its end.
func (c *connection) sendAnswer(payload []byte, flushed bool) error {
	if flushed {
		payload = payload[:max(len(payload)-readyBytes, 0)]
	}
	return c.send(payload)
}

// send writes messages to the caller.
func (c *connection) send(payload []byte) error {
	_ = c.stream.SetWriteDeadline(time.Now().Add(writeTime))
	_, err := c.stream.Write(payload)
	return errors.WithStack(err)
}

// closingTime is how long a connection that ends waits for its caller to have
// read why.
const closingTime = time.Second

// fatal tells the caller why its connection ends. What the caller has sent
// meanwhile is read and dropped, because closing a connection with unread
// bytes would take the message from the caller.
func (c *connection) fatal(r request.Refusal) {
	var out encoder
	out.add(errorMessage("FATAL", r))
	if c.send(out.bytes) != nil {
		return
	}
	half, ok := c.stream.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.stream.SetReadDeadline(time.Now().Add(closingTime))
	_, _ = io.Copy(io.Discard, c.stream)
}
