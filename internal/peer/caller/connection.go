package caller

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/model/session"
	"eelgrassladder.example/eelgrassladder/internal/peer/wire"
)

// connection is one connection of a caller in the PostgreSQL protocol.
type connection struct {
	frontend *Frontend
	stream   net.Conn
	reader   *wire.Reader
	// account is what the caller holds.
	account eelgrassladder.Account
	// pendingBytes is what the messages of the batch that is not run yet take, and keptBytes
	// what the prepared statements do.
	pendingBytes, keptBytes int
	// number and secret identify the connection in a cancel request.
	number uint32
	secret []byte
	// caller is the name of the authenticated caller.
	caller string
	// database is the name of the database group.
	database string
	// class is the name of the class of the connection's requests.
	class string
	// token holds the position that reads of the session must cover, for each database.
	token session.Token
	// sessionName names a session whose position the owner remembers; may be empty.
	sessionName string
	// requestKey is the idempotency key of the next request; may be empty.
	requestKey string
	// readOnly is true when the caller set default_transaction_read_only at the start
	// of the connection.
	readOnly bool
	// known holds the caller's prepared statements.
	known statements
	// owner and pin identify the open transaction at the owner of the group; pin is
	// zero while none is open.
	owner string
	pin   uint64
	// failed is true from the loss of the open transaction until the caller ends it.
	failed bool

	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// stop cancels the running request; nil while none runs.
	stop context.CancelFunc
	// idle is true while the connection waits for the caller's next message.
	idle bool
}

// interruptIfIdle interrupts a read that waits for the caller's next message, so that
// the connection notices that the proxy is draining.
func (c *connection) interruptIfIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.idle {
		_ = c.stream.SetReadDeadline(time.Now())
	}
}

// setIdle records whether the connection waits for a message. A draining proxy does
// not wait outside a transaction.
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

// run handles messages until the connection ends.
func (c *connection) run(ctx context.Context) {
	defer c.rollBackTransaction()
	pending := &batch{}
	var buffer []byte
	for ctx.Err() == nil {
		c.setIdle(true)
		kind, message, err := c.reader.ReadMessage(buffer[:0])
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
		if err := c.holdAfter(pending, len(message), done); err != nil {
			c.fatal(memoryRefusal(err))
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

// maxIdleBufferBytes is the capacity of the largest buffer that an idle connection
// keeps.
const maxIdleBufferBytes = 4 << 10

// reusableBuffer returns the buffer, or nil if it is too large to be kept.
func reusableBuffer(buffer []byte) []byte {
	if cap(buffer) > maxIdleBufferBytes {
		return nil
	}
	return buffer
}

// mustEnd reports whether the connection must end after a failed read, and sends the
// caller the reason. A draining proxy interrupts reads inside a transaction too. The
// connection then continues, unless the transaction is lost.
func (c *connection) mustEnd(err error) bool {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && c.pin != 0:
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.fatal(request.Refusal{
			Code: request.CodeShutdown, Message: "the proxy is leaving", Hint: "Connect again.",
		})
	case eelgrassladder.IsMemoryRefusal(err):
		c.fatal(memoryRefusal(err))
	case errors.Is(err, wire.ErrTooLarge):
		c.frontend.refusals.Refused(eelgrassladder.MessageTooLarge, c.stream.RemoteAddr().String())
		c.fatal(request.Refusal{Code: request.CodeProtocol, Message: err.Error()})
	}
	return true
}

// handle handles one message and reports whether it ends the batch. It returns an
// error if the message violates the protocol or the answer can't be sent.
func (c *connection) handle(ctx context.Context, pending *batch, kind byte, message []byte) (bool, error) {
	switch kind {
	case 'Q': // Query
		if len(pending.payload) > 0 || len(pending.settings) > 0 {
			return false, errors.New("simple query inside an extended batch")
		}
		text, _, ok := wire.CutString(wire.Body(message))
		if !ok {
			return false, errors.New("malformed Query")
		}
		return true, c.handleQuery(ctx, text, message)
	case 'P', 'B', 'D', 'E', 'C': // see batch.add
		if len(pending.payload)+len(message) > maxBatchBytes {
			return false, errors.New("batch is longer than the limit")
		}
		return false, pending.add(c.known, kind, message)
	case 'S': // Sync
		return true, c.handleSync(ctx, pending, message, false)
	case 'H': // Flush
		return c.handleFlush(ctx, pending)
	case 'X', 'd', 'c', 'f': // Terminate, which run acts on, and the messages of a COPY
		return false, nil
	case 'F': // FunctionCall
		return true, c.send(encodeRefusal(request.Refusal{
			Code: request.CodeNotSupported, Message: "function calls are not supported",
		}, c.status()))
	default:
		return false, errors.Errorf("unexpected message type %q", kind)
	}
}

// handleFlush answers a batch before its Sync. It refuses a batch that has bound or
// executed a statement.
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

// handleQuery handles a simple query.
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
	r.OpensTransaction = beginsTransaction(text)
	r.ReadOnly = c.readOnly || declaresReadOnly(text)
	r.Fingerprint = fingerprint(text)
	return c.dispatch(ctx, r, false)
}

// handleSync runs a batch of the extended protocol. If flushed is true, a Flush ended
// it, and the answer must not contain a ReadyForQuery.
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
	r.DescribeOnly = !b.executes
	r.ReadOnly = c.readOnly || r.DescribeOnly
	if len(b.texts) > 0 {
		r.OpensTransaction = beginsTransaction(b.texts[0])
		r.ReadOnly = r.ReadOnly || declaresReadOnly(b.texts[0])
	}
	return c.dispatch(ctx, r, flushed)
}

// request returns a request of this connection and clears requestKey, which is for one
// request only. A request inside a transaction gets no key.
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

// dispatch runs a request, applies its answer to the connection and sends it to the
// caller. A new session token is sent ahead of the answer.
func (c *connection) dispatch(ctx context.Context, r request.Request, flushed bool) error {
	ctx, cancel := context.WithCancel(eelgrassladder.ContextWithAccount(ctx, c.account))
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
		payload = append(encodeSessionToken(c.token), payload...)
	}
	return c.sendAnswer(payload, flushed)
}

// sendRefusal sends the error for a request that was not run or whose outcome is
// unknown. If the request was inside a transaction, that is rolled back and lost.
func (c *connection) sendRefusal(r request.Request, answer request.Answer) error {
	if r.Pin != 0 {
		c.frontend.dispatcher.RollBack(r.Group, c.owner, c.pin)
		c.pin = 0
		c.owner = ""
		c.failed = true
	}
	return c.send(encodeRefusal(answer.Refusal, c.status()))
}

// answerFailed answers a statement inside a transaction that was lost; ends tells
// whether the statement ends the transaction.
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

// status returns the state of the transaction to report to the caller.
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

// rollBackTransaction rolls back a transaction that is still open when the connection
// ends.
func (c *connection) rollBackTransaction() {
	if c.pin != 0 {
		c.frontend.dispatcher.RollBack(c.database, c.owner, c.pin)
	}
}

// readyBytes is the length of a ReadyForQuery message in bytes.
const readyBytes = 6

// sendAnswer sends an answer; after a Flush, without its ReadyForQuery.
func (c *connection) sendAnswer(payload []byte, flushed bool) error {
	if flushed {
		payload = payload[:max(len(payload)-readyBytes, 0)]
	}
	return c.send(payload)
}

// send writes encoded messages to the caller, which is charged for them until it has read
// them.
func (c *connection) send(payload []byte) error {
	if c.account != nil {
		if err := c.hold(eelgrassladder.AnswerMemory, len(payload)); err != nil {
			return err
		}
		defer func() { _ = c.hold(eelgrassladder.AnswerMemory, 0) }()
	}
	_ = c.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.stream.Write(payload)
	return errors.WithStack(err)
}

// lingerTimeout is how long a connection that ends waits for the caller to close its
// side.
const lingerTimeout = time.Second

// fatal sends the caller the error that ends its connection. It then reads and
// discards what the caller still sends, because closing a connection with unread
// bytes resets it and the caller might not receive the error.
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
