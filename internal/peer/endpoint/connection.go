// Package endpoint talks to the members of database groups in the PostgreSQL
// protocol. It holds the connections that run callers' requests, pools of them,
// and the control connections through which the proxy reads a member's progress
// and changes its term and role.
package endpoint

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/socket"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/peer/wire"
)

// CodeSuperseded is the SQLSTATE with which a member refuses work of another term.
// It proves that the refused statement was not run.
const CodeSuperseded = "GT001"

// termParameter is the start-up parameter that binds a connection to a term; the
// member refuses its work in any other term.
const termParameter = "group.term"

// MaxAnswerBytes is the limit for one answer of a member.
const MaxAnswerBytes = 16 << 20

// cancelGrace is how long a cancelled statement may take to end before its
// connection counts as broken. It also bounds the sending of the cancel request, and
// the closing of a control connection.
const cancelGrace = time.Second

// connectTimeout bounds the opening of a connection, and its reset in a pool.
const connectTimeout = 2 * time.Second

// Credentials identify the proxies to members. They must never be logged.
type Credentials struct {
	User string
	// Password may be empty.
	Password string
}

// Result is a member's answer to one request.
type Result struct {
	// Payload holds the encoded messages of the answer, ReadyForQuery included.
	Payload []byte
	// Status is the state of the transaction after the answer.
	Status request.Status
	// Code is the SQLSTATE of the first error, or empty.
	Code string
	// Committed is true when a COMMIT in the request has run, even if a later
	// statement failed.
	Committed bool
	// Position is the member's term and the last log index that the request can
	// have written or read. It is zero if it was not asked for or is not known.
	Position position.Position
}

// Connection is one connection to a member. It runs one request at a time and must
// not be used by two goroutines at once.
type Connection struct {
	stream net.Conn
	// raw is the socket of stream.
	raw    syscall.RawConn
	reader *wire.Reader
	// account is charged for the answer that is read, of which answerBytes have been received.
	account     eelgrassladder.Account
	answerBytes int
	// process and secret identify the connection in a cancel request.
	process uint32
	secret  []byte
	// prepared holds the names of the statements prepared on the connection.
	prepared map[string]bool
	// broken is true once the connection can't be reused.
	broken bool
	// status is the state of the transaction after the last answer.
	status request.Status
}

// Connect opens a connection that is bound to a term. The address is an IP address and
// a port.
func Connect(ctx context.Context, address, database string, c Credentials, term uint64) (*Connection, error) {
	config, err := connectionConfig(address, database, c)
	if err != nil {
		return nil, err
	}
	config.RuntimeParams[termParameter] = strconv.FormatUint(term, 10)
	opened, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	hijacked, err := opened.Hijack()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	raw, err := rawSocket(hijacked.Conn)
	if err != nil || hijacked.Frontend.ReadBufferLen() > 0 {
		_ = hijacked.Conn.Close()
		return nil, errors.Errorf("open connection: error %v, %d unread bytes", err, hijacked.Frontend.ReadBufferLen())
	}
	made := &Connection{
		account:  eelgrassladder.UnlimitedMemory{},
		stream:   hijacked.Conn,
		raw:      raw,
		reader:   wire.NewReader(hijacked.Conn, MaxAnswerBytes),
		process:  hijacked.PID,
		secret:   hijacked.SecretKey,
		prepared: map[string]bool{},
		status:   request.Idle,
	}
	made.reader.OnMessage(made.hold)
	return made, nil
}

// hold charges the account of the request for another message of its answer.
func (c *Connection) hold(bytes int) error {
	c.answerBytes += bytes
	return errors.WithStack(c.account.Hold(eelgrassladder.AnswerMemory, c.answerBytes))
}

// rawSocket returns the socket of a TCP connection.
func rawSocket(c net.Conn) (syscall.RawConn, error) {
	stream, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("a connection of type %T has no socket", c)
	}
	raw, err := stream.SyscallConn()
	return raw, errors.WithStack(err)
}

// errUnasked is returned for a connection on which bytes have arrived that belong to no
// request, or that the member has closed.
var errUnasked = errors.New("the member has sent what belongs to no request, or closed the connection")

// connectionConfig returns the configuration of pgconn for a member. The address is
// an IP address and a port.
func connectionConfig(address, database string, c Credentials) (*pgconn.Config, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	config, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	portNumber, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	config.Host = host
	config.Port = uint16(portNumber)
	config.User = c.User
	config.Password = c.Password
	config.Database = database
	config.Fallbacks = nil
	config.ConnectTimeout = connectTimeout
	return config, nil
}

// Exchange sends a request and reads its whole answer. If withPosition is true, it
// also asks for the position, in the same write. It sends nothing if bytes have arrived
// since the last answer: they may be a second one, which would be taken for that of the
// request. After an error the connection is broken, and sent tells whether the member may
// have received the request.
func (c *Connection) Exchange(ctx context.Context, r request.Request, withPosition bool) (result Result, sent bool, err error) {
	if err := c.checkQuiet(); err != nil {
		return Result{}, false, err
	}
	stop := c.watchCancel(ctx)
	defer stop()
	outgoing, expected := c.compose(r)
	if withPosition {
		outgoing = appendQuery(outgoing, positionQuery)
	}
	n, err := c.stream.Write(outgoing)
	if err != nil {
		c.broken = true
		return Result{}, n > 0, errors.WithStack(err)
	}
	c.account, c.answerBytes = eelgrassladder.AccountOf(ctx), 0
	result, err = c.readAnswer(expected)
	c.account = eelgrassladder.UnlimitedMemory{}
	if err == nil && withPosition {
		result.Position, err = c.readPosition()
	}
	if err != nil {
		c.broken = true
		return Result{}, true, err
	}
	c.status = result.Status
	return result, true, nil
}

// Position asks the member for its position after a transaction has ended.
func (c *Connection) Position(ctx context.Context) (position.Position, error) {
	if err := c.checkQuiet(); err != nil {
		return position.Position{}, err
	}
	stop := c.watchCancel(ctx)
	defer stop()
	if _, err := c.stream.Write(appendQuery(nil, positionQuery)); err != nil {
		c.broken = true
		return position.Position{}, errors.WithStack(err)
	}
	p, err := c.readPosition()
	if err != nil {
		c.broken = true
	}
	return p, err
}

// Reset rolls back an open transaction and discards the session state of the
// connection, so that nothing of one caller is visible to the next. After an error
// the connection is broken, as it is after an answer that is not that of the reset.
func (c *Connection) Reset(ctx context.Context) error {
	if err := c.checkQuiet(); err != nil {
		return err
	}
	stop := c.watchCancel(ctx)
	defer stop()
	commands := []string{"DISCARD ALL"}
	if c.status != request.Idle {
		commands = []string{"ROLLBACK", "DISCARD ALL"}
	}
	var outgoing []byte
	for _, command := range commands {
		outgoing = appendQuery(outgoing, command)
	}
	if _, err := c.stream.Write(outgoing); err != nil {
		c.broken = true
		return errors.WithStack(err)
	}
	for _, command := range commands {
		result, err := c.readAnswer(nil)
		if err != nil || result.Code != "" || result.Status != request.Idle || !completes(result.Payload, command) {
			c.broken = true
			return errors.Errorf("reset connection: error %v, SQLSTATE %q, or not the answer to %s", err, result.Code, command)
		}
	}
	c.status = request.Idle
	clear(c.prepared)
	return nil
}

// checkQuiet returns an error if bytes have arrived since the last answer, or if the member
// has closed the connection, which is then broken. A notice that the member sends by itself
// ends a connection too.
func (c *Connection) checkQuiet() error {
	unread := c.reader.Buffered()
	if unread == 0 && !socket.Readable(c.raw) {
		return nil
	}
	c.broken = true
	klog.V(1).InfoS("Connection closed between requests", "From", c.stream.LocalAddr().String(), "To", c.stream.RemoteAddr().String(), "Unread", unread)
	return errors.WithStack(errUnasked)
}

// Broken reports whether the connection can't be reused.
func (c *Connection) Broken() bool { return c.broken }

// Status returns the state of the transaction after the last answer.
func (c *Connection) Status() request.Status { return c.status }

// Close closes the connection; the member rolls an open transaction back.
func (c *Connection) Close() {
	c.broken = true
	_ = c.stream.Close()
}

// watchCancel asks the member to cancel the running statement when ctx ends, and makes
// reads and writes fail if that takes longer than cancelGrace. The returned function
// ends the watch and removes the deadline.
func (c *Connection) watchCancel(ctx context.Context) func() {
	if ctx.Done() == nil {
		return func() {}
	}
	var mutex sync.Mutex
	finished := false
	stop := context.AfterFunc(ctx, func() {
		mutex.Lock()
		defer mutex.Unlock()
		if finished {
			return
		}
		_ = c.stream.SetDeadline(time.Now().Add(cancelGrace))
		c.cancel()
	})
	return func() {
		if stop() {
			return
		}
		mutex.Lock()
		finished = true
		mutex.Unlock()
		_ = c.stream.SetDeadline(time.Time{})
	}
}

// cancel sends a cancel request for this connection on a separate connection, as
// the protocol requires.
func (c *Connection) cancel() {
	stream, err := net.DialTimeout("tcp", c.stream.RemoteAddr().String(), cancelGrace)
	if err != nil {
		return
	}
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(cancelGrace))
	message, err := (&pgproto3.CancelRequest{ProcessID: c.process, SecretKey: c.secret}).Encode(nil)
	if err == nil {
		_, _ = stream.Write(message)
	}
}
