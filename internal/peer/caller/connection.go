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

	"eelgrassladder.example/eelgrassladder/internal/peer/wire"
	"eelgrassladder.example/eelgrassladder/internal/trade/request"
	"eelgrassladder.example/eelgrassladder/internal/trade/session"
)

// secretBytes is the length of the secret of a cancel.
const secretBytes = 4

// connection is one caller's connection.
type connection struct {
	frontend *Front
	stream   net.Conn
	reader   *wire.Reader
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
	// requestKey is the request requestKey of the next request; may be empty.
	requestKey string
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

// hasSecret reports whether the secret is the connection's.
func (c *connection) hasSecret(secret []byte) bool {
	return subtle.ConstantTimeCompare(c.secret, secret) == 1
}

// cancelRequest cancels the request that runs.
func (c *connection) cancelRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stop != nil {
		c.stop()
	}
}

// interruptIfIdle wakes the connection if it waits for a message, so that it sees
// that the proxy is draining.
func (c *connection) interruptIfIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.idle {
		_ = c.stream.SetReadDeadline(time.Now())
	}
}

// setIdle marks the connection as waiting for a message, or not.
func (c *connection) setIdle(idle bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idle = idle
	if idle && c.frontend.draining.Load() && c.pin == 0 && !c.failed {
		_ = c.stream.SetReadDeadline(time.Now())
	} else if !idle {
		_ = c.stream.SetReadDeadline(time.Time{})
	}
}

// run answers messages until the connection ends.
func (c *connection) run(ctx context.Context) {
	defer c.releaseTransaction()
	pending := &batch{}
	var buffer []byte
	for ctx.Err() == nil {
		c.setIdle(true)
		kind, message, err := c.reader.Append(buffer[:0])
		c.setIdle(false)
		if err != nil {
			if !c.mustEnd(err) {
				continue
			}
			return
		}
		buffer = reusableBuffer(message)
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

// maxIdleBufferBytes is the largest buffer that an idle connection keeps.
const maxIdleBufferBytes = 4 << 10

// reusableBuffer returns the buffer for the next message, unless it has grown large.
func reusableBuffer(buffer []byte) []byte {
	if cap(buffer) > maxIdleBufferBytes {
		return nil
	}
	return buffer
}

// mustEnd reports whether the connection must end after a failed read, and says
// why to the caller. A draining proxy interrupts the read of connections that
// are in a transaction too; they go on.
func (c *connection) mustEnd(err error) bool {
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
		if len(pending.payload) > 0 || len(pending.settings) > 0 {
			return false, errors.New("simple query inside an extended batch")
		}
		text, _, ok := wire.Text(wire.Body(message))
		if !ok {
			return false, errors.New("malformed Query")
		}
		return true, c.handleQuery(ctx, text, message)
	case 'P', 'B', 'D', 'E', 'C':
		if len(pending.payload)+len(message) > maxBatchBytes {
			return false, errors.New("batch is longer than the limit")
		}
		return false, pending.add(c.known, kind, message)
	case 'S':
		return true, c.handleSync(ctx, pending, message, false)
	case 'H':
		return c.handleFlush(ctx, pending)
	case 'X', 'd', 'c', 'f':
		return false, nil
	case 'F':
		return true, c.send(encodeRefusal(request.Refusal{
			Code: request.CodeNotSupported, Message: "function calls are not supported",
		}, c.status()))
	default:
		return false, errors.Errorf("unexpected message type %q", kind)
	}
}

// handleFlush answers what can be answered before the Sync: a batch that runs
// nothing yet.
func (c *connection) handleFlush(ctx context.Context, pending *batch) (bool, error) {
	if len(pending.payload) == 0 && len(pending.settings) == 0 {
		return false, nil
	}
	if pending.executes || len(pending.texts) > 0 {
		pending.refuse(request.CodeNotSupported, "Flush between Bind and Sync is not supported")
		return false, nil
	}
	return true, c.handleSync(ctx, pending, nil, true)
}

// handleQuery runs a handleQuery query.
func (c *connection) handleQuery(ctx context.Context, text string, message []byte) error {
	if isSettingStatement(text) {
		var out encoder
		result, refused := c.runSetting(text)
		if refused != nil {
			out.addError(*refused)
		} else {
			out.addSettingResult(result, true)
		}
		return c.send(out.finish(c.status()))
	}
	if reason := unsupportedReason(text); reason != "" {
		return c.send(encodeRefusal(request.Refusal{Code: request.CodeNotSupported, Message: reason}, c.status()))
	}
	if c.failed {
		return c.answerFailed(endsTransaction(text))
	}
	r := c.request(message)
	r.Opens = beginsTransaction(text)
	r.ReadOnly = c.readOnly || declaresReadOnly(text)
	r.Fingerprint = fingerprint(text)
	return c.dispatch(ctx, r, false)
}

// handleSync runs an extended batch. With flushed, the caller has not asked for the
// end of the batch yet.
func (c *connection) handleSync(ctx context.Context, b *batch, message []byte, flushed bool) error {
	if b.refusal != nil {
		return c.send(encodeRefusal(*b.refusal, c.status()))
	}
	if len(b.settings) > 0 {
		if len(b.payload) > 0 {
			return c.send(encodeRefusal(request.Refusal{
				Code: request.CodeNotSupported, Message: "eelgrassladder settings need a batch of their own",
			}, c.status()))
		}
		return c.sendAnswer(c.answerSettings(b), flushed)
	}
	if len(b.payload) == 0 {
		var out encoder
		return c.send(out.finish(c.status()))
	}
	for _, text := range b.texts {
		if reason := unsupportedReason(text); reason != "" {
			return c.send(encodeRefusal(request.Refusal{Code: request.CodeNotSupported, Message: reason}, c.status()))
		}
	}
	if c.failed {
		return c.answerFailed(len(b.texts) > 0 && endsTransaction(b.texts[0]))
	}
	if message == nil {
		message = appendMessage(nil, 'S', "", nil)
	}
	r := c.request(append(b.payload, message...))
	r.Prepared = b.prepared
	r.Fingerprint = b.fingerprint()
	r.Describes = !b.executes
	r.ReadOnly = c.readOnly || r.Describes
	if len(b.texts) > 0 {
		r.Opens = beginsTransaction(b.texts[0])
		r.ReadOnly = r.ReadOnly || declaresReadOnly(b.texts[0])
	}
	return c.dispatch(ctx, r, flushed)
}

// request returns a request of this connection.
func (c *connection) request(payload []byte) request.Request {
	r := request.Request{
		Group: c.database, Database: c.database, Caller: c.caller, Class: c.class,
		Key: c.requestKey, SessionName: c.sessionName, Required: c.token.Position(c.database),
		Payload: payload,
	}
	c.requestKey = ""
	if c.pin != 0 {
		r = r.WithPin(c.owner, c.pin)
		r.Key = ""
	}
	return r
}

// dispatch passes a request on and sends its answer.
func (c *connection) dispatch(ctx context.Context, r request.Request, flushed bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mutex.Lock()
	c.stop = cancel
	c.mutex.Unlock()
	answer := c.frontend.dispatch(ctx, r)
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
		payload = append(encodeSessionStatus(c.token), payload...)
	}
	return c.sendAnswer(payload, flushed)
}

// sendRefusal answers a request that was not run, or may not have been. A
// transaction that was open is given up.
func (c *connection) sendRefusal(r request.Request, answer request.Answer) error {
	if r.Pin != 0 {
		c.frontend.dispatcher.Release(r.Group, c.owner, c.pin)
		c.pin = 0
		c.owner = ""
		c.failed = true
	}
	return c.send(encodeRefusal(answer.Refusal, c.status()))
}

// answerFailed answers inside a transaction that was lost.
func (c *connection) answerFailed(ends bool) error {
	var out encoder
	if ends {
		c.failed = false
		out.addRollback()
		return c.send(out.finish(request.Idle))
	}
	out.addError(request.Refusal{
		Code: "25P02", Message: "current transaction is aborted, commands ignored until end of transaction block",
	})
	return c.send(out.finish(request.Aborted))
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

// releaseTransaction gives up what the connection has left open.
func (c *connection) releaseTransaction() {
	if c.pin != 0 {
		c.frontend.dispatcher.Release(c.database, c.owner, c.pin)
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
	_ = c.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.stream.Write(payload)
	return errors.WithStack(err)
}

// lingerTimeout is how long a connection that ends waits for its caller to have
// read why.
const lingerTimeout = time.Second

// fatal tells the caller why its connection ends. What the caller has sent
// meanwhile is read and dropped, because closing a connection with unread
// bytes would take the message from the caller.
func (c *connection) fatal(r request.Refusal) {
	var out encoder
	out.add(errorMessage("FATAL", r))
	if c.send(out.bytes) != nil {
		return
	}
	halfCloser, ok := c.stream.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	_ = c.stream.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.stream)
}
